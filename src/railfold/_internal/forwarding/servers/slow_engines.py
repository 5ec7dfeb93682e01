"""Detection of slow engines.

A slow engine continues to serve, but delays every token of all chains that it is part
of. Long pauses between events show that a chain is slower than expected; the reports of
its engines then show which engine is slow. The choice of chains and the placement of
layers take the slowness into account.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import EngineCalls

__all__ = ["SlowEngineMonitor"]

# Interval between checks of all engines and chains that this entry knows. A chain that
# becomes slow is noticed after this time at the latest.
_INTERVAL_S = 0.25

# Minimum ratio of a chain's pauses to the expected pauses at which its engines are
# queried. On the users' engines, expected pauses are accurate to within a fifth.
_SLOW_RATIO = 1.5

# Minimum and maximum interval between queries of an engine. A slow engine is queried at
# the minimum interval until it isn't slow any more. If an engine reports that it isn't
# slow while its chain still is, the interval doubles with each query: the chain has
# another reason to be slow, such as an engine at capacity or a slow link.
_MIN_QUERY_INTERVAL_S = 1.0
_MAX_QUERY_INTERVAL_S = 16.0


@dataclass(frozen=True, slots=True)
class _Query:
    """Time of the last query of an engine, and the interval until the next one."""

    sent_s: float
    interval_s: float


class SlowEngineMonitor:
    """Queries the slowness of slow engines and of all engines in slow chains."""

    def __init__(self, router: Router, calls: EngineCalls) -> None:
        self._router = router
        self._calls = calls
        self._loop = asyncio.get_running_loop()
        self._last_queries: dict[str, _Query] = {}

    async def run(self, ready: asyncio.Event) -> None:
        """Query engines periodically until cancelled."""
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
            return False  # A query can wait for the end of a backoff.
        last_query = self._last_queries.get(entry.server_id)
        return last_query is None or now_s - last_query.sent_s >= last_query.interval_s
