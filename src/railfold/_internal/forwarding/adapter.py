"""What a platform's adapter brings beside its dialect."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.forwarding.dialect import Dialect
from railfold._internal.forwarding.store.leadership import LeaseClient
from railfold._internal.store.follower import ReadableLog

__all__ = ["KeyedValue", "PlatformAdapter", "WritableLog"]


@dataclass(frozen=True, slots=True)
class KeyedValue:
    """Body of a record of a keyed stream; no value means the key is gone."""

    key: str
    value: bytes


class WritableLog(ReadableLog, Protocol):
    """A log whose keyed streams can be written too."""

    async def put(
        self, stream: str, key: str, value: bytes, expected_end: int | None = None
    ) -> bool:
        """Write the newest record of a key; no value takes it away.

        :param expected_end: write only if the stream ends there.
        :return: whether it was written; not, if the stream ends elsewhere.
        :raises LogUnavailableError: no answer came; it may be written, also later.
        """


class PlatformAdapter(Protocol):
    """Everything that the forwarding entry needs of its platform.

    Streams hold :class:`KeyedValue` records. Each log is a client with a
    connection of its own, so that reads that wait don't hold each other up.
    """

    @property
    def dialect(self) -> Dialect:
        """Translates requests, answers and engine calls."""

    @property
    def configuration_stream(self) -> str:
        """The stream that holds the configuration."""

    @property
    def configuration_key(self) -> str:
        """The key of the newest configuration there."""

    @property
    def registrations_stream(self) -> str:
        """The stream of backend servers' registrations, by their id."""

    @property
    def quarantine_stream(self) -> str:
        """The stream of what entries record of requests that are held back."""

    @property
    def entries_stream(self) -> str:
        """The stream of entries' addresses, by their name."""

    def new_log(self) -> WritableLog:
        """Return a new client of the store's log."""

    def new_member_client(self, role: str) -> LeaseClient:
        """Return a client of the group of all entries, which names candidates."""

    def new_lease_client(self, role: str) -> LeaseClient:
        """Return a client for the lease of a duty."""

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Return a configuration.

        :raises ConfigurationRefusedError: it can't be read.
        """

    def decode_registration(self, key: str, value: bytes) -> Registration:
        """Return a backend server's registration.

        :raises EngineError: it can't be read.
        """
