"""Taking what the store says into what an entry knows."""

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
    KEY_NAME,
    decode_hold,
    decode_key,
)
from railfold._internal.observability.events import (
    ConfigurationAccepted,
    EngineChanged,
)
from railfold._internal.store.records import NEWEST_OF_EACH_KEY, LogRecord

__all__ = ["ConfigurationFeed", "QuarantineFeed", "RegistrationFeed"]

# Records that name no backend server are remembered up to this many, so that a flood
# of them takes little memory and few log lines.
_REFUSED_KEPT = 1000

# Of an id that somebody else wrote, so much stands in the logs.
_ID_SHOWN = 128

# A registration that nobody renews has lapsed by then: after three heartbeats, and at
# most about two seconds more after the store was away.
_LAPSED_S = 6.0


class ConfigurationFeed:
    """Reads the configuration: the newest version wins, and none goes back."""

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
        self._next = NEWEST_OF_EACH_KEY
        # The newest version that was read since the stream was read anew.
        self._read_version = 0
        # The newest that another entry has read.
        self.version_elsewhere = 0

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next

    def record(self, record: LogRecord) -> None:
        """Take one record."""
        self._next = record.offset + 1
        item: KeyedValue = record.body
        if item.key != self._key or not item.value:
            return
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            table = self._decode(item.value)
        except ConfigurationRefusedError as error:
            self._router.metrics.count("configuration.refused")
            self._router.log.write(
                EngineChanged("", "configuration refused", str(error))
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
        """All that was in force when the read was sent is known.

        Unless the log went back, and holds an older configuration than is known: what
        else it lacks isn't known either.
        """
        self._next = next_offset
        if not self.lacks_newest:
            self._router.lease.renew(sent_s)

    @property
    def lacks_newest(self) -> bool:
        """Whether this or another entry knows a newer configuration than was read."""
        table = self._router.table
        known = table.version if table is not None else 0
        return self._read_version < max(known, self.version_elsewhere)

    @property
    def newer_elsewhere(self) -> bool:
        """Whether another entry knows a newer configuration."""
        table = self._router.table
        return table is None or table.version < self.version_elsewhere

    def expired(self, first_offset: int) -> int:
        """History is gone: take the newest record of each key."""
        self._next = NEWEST_OF_EACH_KEY
        self._read_version = 0
        return NEWEST_OF_EACH_KEY


class RegistrationFeed:
    """Reads the backend servers' registrations.

    :param on_copy: called when a whole copy of them has been taken.
    """

    def __init__(
        self,
        router: Router,
        decode: Callable[[str, bytes], Registration],
        on_copy: Callable[[], None],
    ) -> None:
        self._router = router
        self._decode = decode
        self._on_copy = on_copy
        self._next = NEWEST_OF_EACH_KEY
        self._copy: dict[str, Registration] | None = {}
        # Registered ids whose newest record names no backend server to use.
        self._refused: set[str] = set()
        # Whether the next whole copy is of before what was known last.
        self._went_back = False
        # What such a copy holds of servers that were seen to leave.
        self._left: dict[str, Registration] = {}
        self._left_due_s = 0.0

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next

    def record(self, record: LogRecord) -> None:
        """Take one record."""
        self._next = record.offset + 1
        item: KeyedValue = record.body
        self._left.pop(item.key, None)
        if not item.value:
            self._refused.discard(item.key)
            self._remove(item.key)
            return
        try:
            registration = self._decode(item.key, item.value)
        except RailfoldError as error:
            self._refuse(item.key, error)
            return
        self._refused.discard(item.key)
        if self._copy is not None:
            self._copy[registration.registered_id] = registration
        else:
            self._register(registration)

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """All registrations there are have been given."""
        self._next = next_offset
        now_s = asyncio.get_running_loop().time()
        if self._copy is None:
            self._take_left(now_s)
            return
        copy, self._copy = self._copy, None
        if self._went_back:
            self._pass_over_left(copy, now_s)
        known = [e.registration.registered_id for e in self._router.directory]
        for registered_id in known:
            if registered_id in self._refused:
                self._router.directory.withdraw(registered_id)
            elif registered_id not in copy:
                self._remove(registered_id)
        for registration in copy.values():
            self._register(registration)
        self._router.directory.expire(now_s)
        self._on_copy()

    def expired(self, first_offset: int) -> int:
        """History is gone: take a whole copy."""
        self._next = NEWEST_OF_EACH_KEY
        self._copy = {}
        self._refused = set()
        return NEWEST_OF_EACH_KEY

    def log_went_back(self) -> None:
        """The log came back from an older copy; the next whole copy is of that."""
        self._went_back = True

    def _pass_over_left(self, copy: dict[str, Registration], now_s: float) -> None:
        """Pass over servers of an older copy that were seen to leave since.

        One that does live is taken once it is written again, or if its registration
        hasn't lapsed by the time at which that of a dead one has.
        """
        self._went_back = False
        directory = self._router.directory
        self._left = {i: r for i, r in copy.items() if directory.has_left(r)}
        self._left_due_s = now_s + _LAPSED_S
        for registered_id in self._left:
            if directory.get_by_registered_id(registered_id) is None:
                del copy[registered_id]
            else:
                copy[registered_id] = replace(copy[registered_id], draining=True)

    def _take_left(self, now_s: float) -> None:
        if not self._left or now_s < self._left_due_s:
            return
        left, self._left = self._left, {}
        for registered_id, registration in left.items():
            if self._router.directory.get_by_registered_id(registered_id) is None:
                self._register(registration)

    def _refuse(self, registered_id: str, error: RailfoldError) -> None:
        """Take a record that names no backend server to use.

        The same holds in a whole copy and behind it, so that entries that read it at
        different times agree.
        """
        self._router.metrics.count("registrations.refused")
        if self._copy is not None:
            self._copy.pop(registered_id, None)
        else:
            self._router.directory.withdraw(registered_id)
        if registered_id in self._refused or len(self._refused) >= _REFUSED_KEPT:
            return  # One line a change: whoever writes such records may write many.
        self._refused.add(registered_id)
        self._router.log.write(
            EngineChanged(registered_id[:_ID_SHOWN], "registration refused", str(error))
        )

    def _register(self, registration: Registration) -> None:
        directory = self._router.directory
        known = directory.get_by_registered_id(registration.registered_id)
        if known is not None and known.registration == registration:
            known.removal_due_s = None
            return
        taken = directory.register(registration)
        if taken.entry is None:
            self._router.metrics.count("registrations.outdated")
            return
        self._router.avoidance.readmit(taken.entry.server_id)
        self._router.log.write(
            EngineChanged(
                taken.entry.server_id,
                "draining" if taken.entry.draining else "serving",
                "registered",
                str(registration.layers) if registration.layers else "",
            )
        )
        if taken.ended:
            self._router.report_ended(frozenset(taken.ended))

    def _remove(self, registered_id: str) -> None:
        if self._copy is not None:
            self._copy.pop(registered_id, None)
        directory = self._router.directory
        entry = directory.get_by_registered_id(registered_id)
        directory.remove(registered_id, asyncio.get_running_loop().time())
        state = "removed"
        if directory.get_by_registered_id(registered_id) is not None:
            state = "removal waits"
        name = entry.server_id if entry is not None else registered_id[:_ID_SHOWN]
        self._router.log.write(EngineChanged(name, state, "registration removed"))


class QuarantineFeed:
    """Reads what entries recorded of requests that are held back.

    :param on_key: takes the key that all entries share.
    :param on_known: called when all records were read once.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        on_key: Callable[[bytes], None],
        on_known: Callable[[], None],
    ) -> None:
        self._quarantine = quarantine
        self._on_key = on_key
        self._on_known = on_known
        self._next = NEWEST_OF_EACH_KEY
        self._known = False
        self._has_key = False

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next

    def record(self, record: LogRecord) -> None:
        """Take one record."""
        self._next = record.offset + 1
        item: KeyedValue = record.body
        try:
            self._take(item)
        except PeerMessageError as error:
            name = item.key[:_ID_SHOWN]
            logging.warning(
                "record %r of the quarantine is passed over: %s", name, error
            )

    def _take(self, item: KeyedValue) -> None:
        if item.key == KEY_NAME:
            self._on_key(decode_key(item.value))
            self._has_key = True
        elif item.value:
            self._quarantine.record_read(item.key, decode_hold(item.value))
        else:
            self._quarantine.record_removed(item.key)

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """All that was recorded when the read was sent is known."""
        self._next = next_offset
        if not self._has_key:
            self._quarantine.key_missing(next_offset)
        if not self._known:
            self._known = True
            self._on_known()

    def expired(self, first_offset: int) -> int:
        """History is gone: take the newest record of each key."""
        self._next = NEWEST_OF_EACH_KEY
        self._has_key = False
        return NEWEST_OF_EACH_KEY
