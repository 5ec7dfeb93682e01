"""Taking what the store says into what an entry knows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from railfold._internal.decisions.engine_directory import Registration
from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.errors import ConfigurationRefusedError, RailfoldError
from railfold._internal.forwarding.adapter import KeyedValue
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import (
    ConfigurationAccepted,
    EngineChanged,
)
from railfold._internal.store.records import LogRecord

__all__ = ["ConfigurationFeed", "RegistrationFeed"]

# Asks the log for the newest record of each key.
_SNAPSHOT = -1


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
        self._next = _SNAPSHOT

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
        """All that was in force when the read was sent is known."""
        self._next = next_offset
        self._router.lease.renew(sent_s)

    def expired(self, first_offset: int) -> int:
        """History is gone: take the newest record of each key."""
        self._next = _SNAPSHOT
        return _SNAPSHOT


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
        self._next = _SNAPSHOT
        self._copy: dict[str, Registration] | None = {}

    def next_offset(self) -> int:
        """Return the offset to read from."""
        return self._next

    def record(self, record: LogRecord) -> None:
        """Take one record."""
        self._next = record.offset + 1
        item: KeyedValue = record.body
        if not item.value:
            self._remove(item.key)
            return
        try:
            registration = self._decode(item.key, item.value)
        except RailfoldError as error:
            self._router.metrics.count("registrations.refused")
            self._router.log.write(
                EngineChanged(item.key, "registration refused", str(error))
            )
            return
        if self._copy is not None:
            self._copy[registration.server_id] = registration
        else:
            self._register(registration)

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """All registrations there are have been given."""
        self._next = next_offset
        if self._copy is None:
            return
        copy, self._copy = self._copy, None
        now_s = asyncio.get_running_loop().time()
        gone = [e.server_id for e in self._router.directory if e.server_id not in copy]
        for server_id in gone:
            self._remove(server_id)
        for registration in copy.values():
            self._register(registration)
        self._router.directory.expire(now_s)
        self._on_copy()

    def expired(self, first_offset: int) -> int:
        """History is gone: take a whole copy."""
        self._next = _SNAPSHOT
        self._copy = {}
        return _SNAPSHOT

    def _register(self, registration: Registration) -> None:
        known = self._router.directory.get(registration.server_id)
        if known is not None and known.registration == registration:
            known.removal_due_s = None
            return
        self._router.directory.register(registration)
        self._router.log.write(
            EngineChanged(
                registration.server_id,
                "draining" if registration.draining else "serving",
                "registered",
                str(registration.layers) if registration.layers else "",
            )
        )

    def _remove(self, server_id: str) -> None:
        if self._copy is not None:
            self._copy.pop(server_id, None)
        now_s = asyncio.get_running_loop().time()
        self._router.directory.remove(server_id, now_s)
        state = "removed"
        if self._router.directory.get(server_id) is not None:
            state = "removal waits"
        self._router.log.write(EngineChanged(server_id, state, "registration removed"))
