"""Interfaces that the adapter of a platform implements, except for its dialect."""

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
    """Body of a record of a keyed stream; an empty value means the key was removed."""

    key: str
    value: bytes


class WritableLog(ReadableLog, Protocol):
    """A log whose keyed streams can also be written."""

    async def put(
        self, stream: str, key: str, value: bytes, expected_end: int | None = None
    ) -> bool:
        """Write the newest record of a key; an empty value removes the key.

        :param expected_end: write only if the stream ends at this offset.
        :return: whether the record was written; False if the stream ends elsewhere.
        :raises LogUnavailableError: no answer arrived; the record may have been written
            or may still be.
        """


class PlatformAdapter(Protocol):
    """Everything that the forwarding entry needs from its platform.

    Streams contain :class:`KeyedValue` records. Each log client has its own connection,
    so that a read that waits for a record doesn't delay other reads.
    """

    @property
    def dialect(self) -> Dialect:
        """Translation of requests, answers and engine calls."""

    @property
    def configuration_stream(self) -> str:
        """The stream that contains the configuration."""

    @property
    def configuration_key(self) -> str:
        """The key of the configuration in its stream."""

    @property
    def registrations_stream(self) -> str:
        """The stream of backend servers' registrations, keyed by registered id."""

    @property
    def quarantine_stream(self) -> str:
        """The stream of entries' records about request contents that are held back."""

    @property
    def entries_stream(self) -> str:
        """The stream of entries' addresses, keyed by entry name."""

    def new_log(self) -> WritableLog:
        """Return a new client of the store's log, with its own connection."""

    def new_member_client(self, duty: str) -> LeaseClient:
        """Return a client for membership in the group of all entries.

        Its grants say whether this entry is a candidate for the lease of the duty.
        """

    def new_lease_client(self, duty: str) -> LeaseClient:
        """Return a client for the lease of a duty, which one entry holds at a time."""

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Decode a configuration record.

        :raises ConfigurationRefusedError: the record is invalid.
        """

    def decode_registration(self, key: str, value: bytes) -> Registration:
        """Decode a backend server's registration record.

        :raises EngineError: the record is invalid.
        """
