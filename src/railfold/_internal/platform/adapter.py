"""The adapter that the forwarding entry uses to access its platform."""

from __future__ import annotations

from railfold._internal.core import Address
from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.platform import configuration, engines
from railfold._internal.platform.dialect import PlatformDialect
from railfold._internal.platform.store import DutyLease, GroupLease, KeyedLog

__all__ = ["MetadataStorePlatform"]


class MetadataStorePlatform:
    """Adapter of the platform whose metadata store contains the entries' streams.

    :param store: address of the metadata store.
    :param partitions: how many partitions each topic of the store has.
    """

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
        """Return a new client of the store's log, with its own connection."""
        return KeyedLog(self._store_address)

    def new_member_client(self, duty: str) -> GroupLease:
        """Return a client for membership in the group of all entries.

        Its grants say whether this entry is a candidate for the lease of the duty.
        """
        return GroupLease(self._store_address, duty, self._partitions)

    def new_lease_client(self, duty: str) -> DutyLease:
        """Return a client for the lease of a duty, which one entry holds at a time."""
        return DutyLease(self._store_address, duty, self._partitions)

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Decode a configuration record.

        :raises ConfigurationRefusedError: the record is invalid.
        """
        return configuration.decode_configuration(value)

    def decode_registration(self, key: str, value: bytes) -> Registration:
        """Decode a backend server's registration record.

        :raises EngineError: the record is invalid.
        """
        return engines.decode_registration(key, value)
