"""Child that finds out which engines are slow.

A slow engine goes on serving, and delays every token of every chain that it is part
of. Pauses tell that a chain is slower than its engines should be; the engines then say
which of them it is. New chains and the placement of layers reckon with it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import EngineCalls

__all__ = ["SlowEngineMonitor"]

# A chain that turns slow is noticed up to this much later; each look goes over all
# engines and chains that this entry knows.
_INTERVAL_S = 0.25

# Pauses this many times longer than reckoned are looked into. The reckoning is within
# a fifth on the users' engines.
_SLOW_RATIO = 1.5

# The same engine is asked no more often. A slow one is asked until it isn't any more;
# one that says that it isn't, while its chain stays late, is asked half as often after
# each time: the chain is late for another reason, as a full engine or a slow link.
_MIN_QUERY_INTERVAL_S = 1.0
_MAX_QUERY_INTERVAL_S = 16.0


@dataclass(frozen=True, slots=True)
class _Query:
    """When an engine was asked, and for how long it isn't asked again."""

    sent_s: float
    interval_s: float


class SlowEngineMonitor:
    """Asks the engines of slow chains, and slow engines, how slow they are."""

    def __init__(self, router: Router, calls: EngineCalls) -> None:
        self._router = router
        self._calls = calls
        self._loop = asyncio.get_running_loop()
        self._last_queries: dict[str, _Query] = {}

    async def run(self, ready: asyncio.Event) -> None:
        """Look until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            await self._query_due_engines()

    async def _query_due_engines(self) -> None:
        now_s = self._loop.time()
        due = {
            e.server_id: e for e in self._candidates(now_s) if self._is_due(e, now_s)
        }
        await asyncio.gather(*map(self._calls.update_slowness, due.values()))
        for entry in due.values():
            self._record_query(entry, now_s)
        known_ids = {entry.server_id for entry in self._router.directory}
        for server_id in set(self._last_queries) - known_ids:
            del self._last_queries[server_id]

    def _record_query(self, entry: DirectoryEntry, now_s: float) -> None:
        previous = self._last_queries.get(entry.server_id)
        interval_s = _MIN_QUERY_INTERVAL_S
        if previous is not None and entry.slowness == 1.0:
            interval_s = min(_MAX_QUERY_INTERVAL_S, 2 * previous.interval_s)
        self._last_queries[entry.server_id] = _Query(now_s, interval_s)

    def _candidates(self, now_s: float) -> Iterator[DirectoryEntry]:
        directory = self._router.directory
        yield from (entry for entry in directory if entry.slowness > 1.0)
        for chain in self._router.activity.slow_chains(_SLOW_RATIO, now_s):
            entries = (directory.get(host) for host in chain)
            yield from (entry for entry in entries if entry is not None)

    def _is_due(self, entry: DirectoryEntry, now_s: float) -> bool:
        if not entry.registration.is_model_engine:
            return False
        if self._router.backoffs.left_s(entry.server_id) > 0.0:
            return False  # It wants nothing that can wait.
        last_query = self._last_queries.get(entry.server_id)
        return last_query is None or now_s - last_query.sent_s >= last_query.interval_s
