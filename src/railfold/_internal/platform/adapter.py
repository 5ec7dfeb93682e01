"""The adapter as a whole."""

from __future__ import annotations

from railfold._internal.core import Address
from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.platform import configuration, engines
from railfold._internal.platform.dialect import PlatformDialect
from railfold._internal.platform.store import DutyLease, GroupLease, KeyedLog

__all__ = ["MetadataStorePlatform"]


class MetadataStorePlatform:
    """What the forwarding entry needs of the users' platform."""

    configuration_stream = "keyed.op"
    configuration_key = "config"
    registrations_stream = "keyed.servers"
    quarantine_stream = "keyed.railfold-quarantine"
    entries_stream = "keyed.railfold-entries"

    def __init__(self, store: Address, partitions: int) -> None:
        self._store_address = store
        self._partitions = partitions
        self.dialect = PlatformDialect()

    def new_log(self) -> KeyedLog:
        """Return a new client of the store's log."""
        return KeyedLog(self._store_address)

    def new_member_client(self, duty: str) -> GroupLease:
        """Return a client of the group of all entries, which names candidates."""
        return GroupLease(self._store_address, duty, self._partitions)

    def new_lease_client(self, duty: str) -> DutyLease:
        """Return a client for the lease of a duty."""
        return DutyLease(self._store_address, duty, self._partitions)

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Return a configuration."""
        return configuration.decode_configuration(value)

    def decode_registration(self, key: str, value: bytes) -> Registration:
        """Return a backend server's registration."""
        return engines.decode_registration(key, value)
