"""Child that keeps the list of entries, from the store and from announcements."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from absl import logging

from railfold._internal import clock
from railfold._internal.core import parse_address
from railfold._internal.decisions.backoff import Backoff
from railfold._internal.decisions.peers import Peer, PeerView
from railfold._internal.errors import LogUnavailableError, PeerMessageError
from railfold._internal.forwarding.adapter import KeyedValue, WritableLog
from railfold._internal.forwarding.peers.peer_messages import EntryStarted, PeerMessage
from railfold._internal.forwarding.store.shared_records import (
    decode_entry,
    encode_entry,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.records import NEWEST_OF_EACH_KEY

__all__ = ["PeerListSync"]

# How often the list is read from the store. Entries announce themselves to the others
# when they start, so that the list only makes up for lost announcements. With two calls
# per minute, an entry calls the store 50 times less often than for its placement lease.
_READ_INTERVAL_S = 60.0

# How often an entry writes its row again. A row that is three times as old belongs to
# an entry that no longer exists.
_WRITE_INTERVAL_S = 600.0
_MAX_ROW_AGE_S = 3.0 * _WRITE_INTERVAL_S

_MAX_BACKOFF_S = 10.0


class PeerListSync:
    """Keeps this entry's row in the store's list, and reads the rows of the others.

    :param stream: the stream of the store's log that holds the list.
    :param broadcast: sends a message to the other entries.
    :param on_entry_count: called with the number of entries, including this one.
    """

    def __init__(
        self,
        view: PeerView,
        log: WritableLog,
        stream: str,
        metrics: Metrics,
        rng: random.Random,
        broadcast: Callable[[PeerMessage], None],
        on_entry_count: Callable[[int], None],
    ) -> None:
        self._view = view
        self._log = log
        self._stream = stream
        self._metrics = metrics
        self._rng = rng
        self._broadcast = broadcast
        self._on_entry_count = on_entry_count
        self._backoff = Backoff(max_s=_MAX_BACKOFF_S)
        self._written_s: float | None = None
        self._has_read = False
        self._is_channel_ready = False
        self._has_announced = False
        self._leaving = False
        self._sync_requested = asyncio.Event()
        # Until then the list may lack entries that are running.
        self._incomplete_until_s = float("-inf")

    async def run(self, ready: asyncio.Event) -> None:
        """Write this entry's row and read the list until cancelled."""
        ready.set()
        failures = 0
        while True:
            try:
                await self._sync()
                failures = 0
                delay_s = _READ_INTERVAL_S * (0.8 + 0.4 * self._rng.random())
            except LogUnavailableError as error:
                failures += 1
                delay_s = self._backoff.delay_s(failures)
                logging.info("cannot read or write the list of entries: %s", error)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._sync_requested.wait(), delay_s)

    def log_went_back(self) -> None:
        """Write this entry's row again, since the store may have lost rows."""
        self._written_s = None
        self._incomplete_until_s = asyncio.get_running_loop().time() + _READ_INTERVAL_S
        self._sync_requested.set()

    async def _sync(self) -> None:
        """Write this entry's row if it is due, and read the list.

        It writes before it reads, so that of two entries that start at the same time at
        least one finds the other.
        """
        self._sync_requested.clear()
        now_s = asyncio.get_running_loop().time()
        if not self._leaving and self._is_write_due(now_s):
            own = self._view.own
            value = encode_entry(own, clock.unix_time_s())
            await self._log.put(self._stream, own.name, value)
            self._written_s = now_s
        page = await self._log.read(self._stream, NEWEST_OF_EACH_KEY, 0.0)
        rows = [self._decode_row(record.body) for record in page.records]
        peers = [row for row in rows if row is not None]
        if now_s < self._incomplete_until_s:
            for peer in peers:
                self._view.join(peer)
        else:
            self._view.replace(peers)
        self._on_entry_count(len(self._view) + 1)
        self._metrics.gauge("peers.known", len(self._view))
        self._has_read = True
        self._announce()

    def channel_ready(self) -> None:
        """Announce this entry from now on: the channel has its key."""
        self._is_channel_ready = True
        self._announce()

    def _announce(self) -> None:
        """Announce once that this entry has started, when the list was read."""
        if self._has_announced or not (self._is_channel_ready and self._has_read):
            return
        self._has_announced = True
        own = self._view.own
        started = EntryStarted(
            own.name, str(own.address), own.started_at_ms, own.failure_domain
        )
        self._broadcast(started)

    def _is_write_due(self, now_s: float) -> bool:
        return self._written_s is None or now_s - self._written_s >= _WRITE_INTERVAL_S

    def _decode_row(self, item: KeyedValue) -> Peer | None:
        """Return the entry of a row; ``None`` if the row is empty, old or malformed."""
        if not item.value:
            return None
        oldest_unix_s = clock.unix_time_s() - _MAX_ROW_AGE_S
        try:
            return decode_entry(item.key, item.value, oldest_unix_s)
        except PeerMessageError as error:
            logging.warning("ignored a row of the list of entries: %s", error)
            return None

    def entry_started(self, message: EntryStarted) -> None:
        """Process the announcement of an entry that has started."""
        try:
            address = parse_address(message.address)
        except ValueError as error:
            logging.warning(
                "invalid address in the announcement of an entry: %s", error
            )
            return
        peer = Peer(
            message.name, address, message.started_at_ms, message.failure_domain
        )
        self._view.join(peer)
        self._metrics.gauge("peers.known", len(self._view))
        if self._has_read:
            self._on_entry_count(len(self._view) + 1)

    async def leave(self) -> None:
        """Remove this entry's row, since the entry stops as planned."""
        self._leaving = True
        try:
            await self._log.put(self._stream, self._view.own.name, b"")
        except LogUnavailableError as error:
            logging.info(
                "this entry's row stays in the list until it expires: %s", error
            )
