"""Readers of the store's streams, which update the state of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from absl import logging

from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.errors import (
    ConfigurationRefusedError,
    PeerMessageError,
    RailfoldError,
)
from railfold._internal.forwarding.adapter import KeyedValue
from railfold._internal.forwarding.quarantine.request_quarantine import (
    RequestQuarantine,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.store.shared_records import (
    PEER_KEY_RECORD,
    decode_hold,
    decode_peer_key,
)
from railfold._internal.observability.events import (
    ConfigurationAccepted,
    ConfigurationRefused,
    EngineChanged,
)
from railfold._internal.store.records import NEWEST_OF_EACH_KEY, LogRecord

__all__ = ["ConfigurationFeed", "QuarantineFeed", "RegistrationFeed"]

# Limits how many ids of refused registrations are remembered, so that many such records
# take little memory and few log lines.
_MAX_REFUSED_IDS = 1000

# Ids in records are written by others and may be long; this many characters are logged.
_MAX_LOGGED_ID_LENGTH = 128

# A registration that isn't renewed lapses within this time: after three heartbeats, and
# up to about two seconds later after an outage of the store.
_REGISTRATION_LAPSE_S = 6.0


class ConfigurationFeed:
    """Reads the configuration and applies each version that is newer than the last."""

    def __init__(
        self,
        router: Router,
        key: str,
        decode: Callable[[bytes], RoutingTable],
        on_accepted: Callable[[RoutingTable], None],
    ) -> None:
        self._router = router
        self._key = key
        self._decode = decode
        self._on_accepted = on_accepted
        self._next_offset = NEWEST_OF_EACH_KEY
        # The newest version read since the stream was last read from its start.
        self._read_version = 0
        # The newest version that another entry is known to have read.
        self.newest_peer_version = 0

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next_offset

    def record(self, record: LogRecord) -> None:
        """Process one record."""
        self._next_offset = record.offset + 1
        item: KeyedValue = record.body
        if item.key != self._key or not item.value:
            return
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            table = self._decode(item.value)
        except ConfigurationRefusedError as error:
            self._router.metrics.count("configuration.refused")
            in_force = self._router.table
            self._router.log.write(
                ConfigurationRefused(
                    in_force.version if in_force else 0, len(item.value), str(error)
                )
            )
            return
        self._read_version = max(self._read_version, table.version)
        previous = self._router.table
        if previous is not None and table.version <= previous.version:
            return
        self._router.table = table
        self._router.metrics.gauge("configuration.version", table.version)
        self._router.log.write(
            ConfigurationAccepted(
                table.version,
                previous.version if previous else 0,
                len(table.routes),
                len(table.credentials or ()),
                len(item.value),
                round((loop.time() - started_s) * 1000, 1),
            )
        )
        self._on_accepted(table)

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """Renew the proof that the known configuration is in force.

        It was in force when the read was sent. If the log was restored from an older
        copy and contains an older configuration than the known one, the read proves
        nothing, since other changes may be missing too.
        """
        self._next_offset = next_offset
        if not self.lacks_newest:
            self._router.lease.renew(sent_s)

    @property
    def lacks_newest(self) -> bool:
        """Whether a newer version than the last one read is known here or elsewhere."""
        table = self._router.table
        known = table.version if table is not None else 0
        return self._read_version < max(known, self.newest_peer_version)

    @property
    def peer_has_newer(self) -> bool:
        """Whether another entry knows a newer version than this one."""
        table = self._router.table
        return table is None or table.version < self.newest_peer_version

    def expired(self, first_offset: int) -> int:
        """Read the newest record of each key, since earlier records have expired."""
        self._next_offset = NEWEST_OF_EACH_KEY
        self._read_version = 0
        return NEWEST_OF_EACH_KEY


class RegistrationFeed:
    """Reads the backend servers' registrations into the directory.

    It first reads a snapshot, which is the newest record of each key, and then the
    records that follow it. It reads another snapshot when it has missed records.

    :param on_snapshot: called when a snapshot has been applied.
    """

    def __init__(
        self,
        router: Router,
        decode: Callable[[str, bytes], Registration],
        on_snapshot: Callable[[], None],
    ) -> None:
        self._router = router
        self._decode = decode
        self._on_snapshot = on_snapshot
        self._next_offset = NEWEST_OF_EACH_KEY
        self._snapshot: dict[str, Registration] | None = {}
        # Registered ids whose newest record describes no usable backend server.
        self._refused_ids: set[str] = set()
        # Whether the next snapshot may be older than the known registrations.
        self._log_restored = False
        # Registrations in such a snapshot whose servers had left before.
        self._departed: dict[str, Registration] = {}
        self._departed_due_s = 0.0

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next_offset

    def record(self, record: LogRecord) -> None:
        """Process one record."""
        self._next_offset = record.offset + 1
        item: KeyedValue = record.body
        self._departed.pop(item.key, None)
        if not item.value:
            self._refused_ids.discard(item.key)
            self._remove(item.key)
            return
        try:
            registration = self._decode(item.key, item.value)
        except RailfoldError as error:
            self._refuse_registration(item.key, error)
            return
        self._refused_ids.discard(item.key)
        if self._snapshot is not None:
            self._snapshot[registration.registered_id] = registration
        else:
            self._register(registration)

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """Apply the snapshot, if one was read."""
        self._next_offset = next_offset
        now_s = asyncio.get_running_loop().time()
        if self._snapshot is None:
            self._register_departed(now_s)
            return
        snapshot, self._snapshot = self._snapshot, None
        if self._log_restored:
            self._exclude_departed(snapshot, now_s)
        known = [e.registration.registered_id for e in self._router.directory]
        for registered_id in known:
            if registered_id in self._refused_ids:
                self._router.directory.withdraw(registered_id)
            elif registered_id not in snapshot:
                self._remove(registered_id)
        for registration in snapshot.values():
            self._register(registration)
        self._router.directory.expire(now_s)
        self._on_snapshot()

    def expired(self, first_offset: int) -> int:
        """Read a snapshot, since earlier records have expired."""
        self._next_offset = NEWEST_OF_EACH_KEY
        self._snapshot = {}
        self._refused_ids = set()
        return NEWEST_OF_EACH_KEY

    def log_restored(self) -> None:
        """Expect an older snapshot, since the log was restored from an older copy."""
        self._log_restored = True

    def _exclude_departed(
        self, snapshot: dict[str, Registration], now_s: float
    ) -> None:
        """Exclude servers from an older snapshot that have left since.

        A server that is still running is registered once its registration is written
        again, or if the registration hasn't lapsed by the time at which the one of a
        stopped server would have.
        """
        self._log_restored = False
        directory = self._router.directory
        self._departed = {i: r for i, r in snapshot.items() if directory.has_left(r)}
        self._departed_due_s = now_s + _REGISTRATION_LAPSE_S
        for registered_id in self._departed:
            if directory.get_by_registered_id(registered_id) is None:
                del snapshot[registered_id]
            else:
                snapshot[registered_id] = replace(
                    snapshot[registered_id], draining=True
                )

    def _register_departed(self, now_s: float) -> None:
        """Register excluded servers whose registrations should have lapsed by now."""
        if not self._departed or now_s < self._departed_due_s:
            return
        departed, self._departed = self._departed, {}
        for registered_id, registration in departed.items():
            if self._router.directory.get_by_registered_id(registered_id) is None:
                self._register(registration)

    def _refuse_registration(self, registered_id: str, error: RailfoldError) -> None:
        """Withdraw the server of a record that describes no usable backend server.

        The result is the same whether the record is part of a snapshot or follows it,
        so that entries that read it at different times agree.
        """
        self._router.metrics.count("registrations.refused")
        if self._snapshot is not None:
            self._snapshot.pop(registered_id, None)
        else:
            self._router.directory.withdraw(registered_id)
        if (
            registered_id in self._refused_ids
            or len(self._refused_ids) >= _MAX_REFUSED_IDS
        ):
            return  # Log once per change; there may be many such records.
        self._refused_ids.add(registered_id)
        self._router.log.write(
            EngineChanged(
                registered_id[:_MAX_LOGGED_ID_LENGTH],
                "registration refused",
                str(error),
            )
        )

    def _register(self, registration: Registration) -> None:
        directory = self._router.directory
        known = directory.get_by_registered_id(registration.registered_id)
        if known is not None and known.registration == registration:
            known.removal_due_s = None
            return
        result = directory.register(registration)
        if result.entry is None:
            self._router.metrics.count("registrations.outdated")
            return
        self._router.avoidance.readmit(result.entry.server_id)
        self._router.log.write(
            EngineChanged(
                result.entry.server_id,
                "draining" if result.entry.draining else "serving",
                "registered",
                str(registration.layers) if registration.layers else "",
            )
        )
        if result.ended:
            self._router.report_ended(frozenset(result.ended))

    def _remove(self, registered_id: str) -> None:
        if self._snapshot is not None:
            self._snapshot.pop(registered_id, None)
        directory = self._router.directory
        entry = directory.get_by_registered_id(registered_id)
        directory.remove(registered_id, asyncio.get_running_loop().time())
        state = "removed"
        if directory.get_by_registered_id(registered_id) is not None:
            state = "removal waits"
        name = (
            entry.server_id
            if entry is not None
            else registered_id[:_MAX_LOGGED_ID_LENGTH]
        )
        self._router.log.write(EngineChanged(name, state, "registration removed"))


class QuarantineFeed:
    """Reads entries' records about request contents that are held back.

    :param on_peer_key: called with the key that all entries share.
    :param on_loaded: called once, when all records have been read.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        on_peer_key: Callable[[bytes], None],
        on_loaded: Callable[[], None],
    ) -> None:
        self._quarantine = quarantine
        self._on_peer_key = on_peer_key
        self._on_loaded = on_loaded
        self._next_offset = NEWEST_OF_EACH_KEY
        self._loaded = False
        self._has_peer_key = False

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next_offset

    def record(self, record: LogRecord) -> None:
        """Process one record."""
        self._next_offset = record.offset + 1
        item: KeyedValue = record.body
        try:
            self._apply(item)
        except PeerMessageError as error:
            name = item.key[:_MAX_LOGGED_ID_LENGTH]
            logging.warning("ignoring quarantine record %r: %s", name, error)

    def _apply(self, item: KeyedValue) -> None:
        if item.key == PEER_KEY_RECORD:
            self._on_peer_key(decode_peer_key(item.value))
            self._has_peer_key = True
        elif item.value:
            self._quarantine.record_read(item.key, decode_hold(item.value))
        else:
            self._quarantine.record_removed(item.key)

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """Report that all records were read, and whether the shared key is missing."""
        self._next_offset = next_offset
        if not self._has_peer_key:
            self._quarantine.key_missing(next_offset)
        if not self._loaded:
            self._loaded = True
            self._on_loaded()

    def expired(self, first_offset: int) -> int:
        """Read the newest record of each key, since earlier records have expired."""
        self._next_offset = NEWEST_OF_EACH_KEY
        self._has_peer_key = False
        return NEWEST_OF_EACH_KEY
