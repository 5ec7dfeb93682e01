"""Requests that wait at an entry until engines have capacity for them.

Over all engines capacity is freed every few milliseconds. A short wait therefore lets
more urgent requests go first, and saves attempts that an engine would reject. A caller
that must be refused should learn of it early: a request waits at most for a small part
of its latency objective, and isn't queued at all if its predicted wait is longer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from railfold._internal.decisions.admission.shares import SheddingDecision
from railfold._internal.decisions.fair_queue import FairQueue
from railfold._internal.errors import QueueFullError

__all__ = ["WaitingRequests", "capacity_wait_limit_s"]

T = TypeVar("T")

# The part of its latency objective that a request may wait for capacity. A refusal
# after that leaves the caller most of the time for a retry.
_MAX_WAIT_SHARE = 0.125

# Wait limit of a request whose response has started: its client gives up after 2 s
# without an event.
_STARTED_WAIT_S = 0.5

_MAX_WAITING = 2000
_MAX_WAITING_PER_WORKSPACE = 500

# Weight of the newest interval in the moving average.
_INTERVAL_WEIGHT = 0.2


def capacity_wait_limit_s(objective_s: float, *, answer_started: bool) -> float:
    """Return how long, in seconds, a request may wait for capacity.

    :param objective_s: latency objective of the request.
    :param answer_started: whether the client has received a part of the response.
    """
    return _STARTED_WAIT_S if answer_started else _MAX_WAIT_SHARE * objective_s


@dataclass(slots=True)
class _QueuedRequest(Generic[T]):
    item: T
    workspace: str


class WaitingRequests(Generic[T]):
    """Requests that wait for capacity of one service.

    They are ordered by level, then by the fair share of their workspaces, then by how
    long they have waited.
    """

    def __init__(self) -> None:
        self._levels: dict[int, FairQueue[_QueuedRequest[T]]] = {}
        self._queued: dict[T, tuple[int, _QueuedRequest[T]]] = {}
        # Moving average of the time between two served requests while others waited.
        self._mean_interval_s = 0.0
        self._last_served_s: float | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def count_ahead(self, level: int) -> int:
        """Return how many waiting requests go before a new request of ``level``."""
        return sum(
            len(queue)
            for queue_level, queue in self._levels.items()
            if queue_level <= level
        )

    def predicted_wait_s(self, level: int) -> float:
        """Return the expected wait, in seconds, of a new request of ``level``."""
        return self.count_ahead(level) * self._mean_interval_s

    def add(
        self, item: T, decision: SheddingDecision, workspace: str, tokens: float
    ) -> bool:
        """Queue a request; return whether the queue had space for it."""
        queued = _QueuedRequest(item, workspace)
        queue = self._levels.setdefault(
            decision.level, FairQueue(_MAX_WAITING_PER_WORKSPACE, _MAX_WAITING)
        )
        try:
            queue.push(workspace, 1.0, 0, max(1.0, tokens), queued)
        except QueueFullError:
            return False
        self._queued[item] = (decision.level, queued)
        return True

    def remove(self, item: T) -> bool:
        """Remove a request that no longer waits; return whether it was queued."""
        level, queued = self._queued.pop(item, (0, None))
        if queued is None:
            return False
        queue = self._levels.get(level)
        return queue is not None and queue.remove(queued.workspace, queued)

    def served(self, item: T, now_s: float) -> None:
        """Remove a request that got capacity when its turn came."""
        level, queued = self._queued.pop(item, (0, None))
        queue = self._levels.get(level)
        if queued is None or queue is None:
            return
        queue.served(queued.workspace, queued)
        if self._last_served_s is not None:
            interval_s = now_s - self._last_served_s
            self._mean_interval_s += _INTERVAL_WEIGHT * (
                interval_s - self._mean_interval_s
            )
        # Periods without waiting requests don't show how fast capacity is freed.
        self._last_served_s = now_s if self._queued else None

    def next_items(self, count: int) -> list[T]:
        """Return the requests to serve next, at most one per workspace and level.

        :param count: how many to return at most.
        """
        items: list[T] = []
        for level in sorted(self._levels):
            items += [queued.item for queued in self._levels[level].heads()]
            if not len(self._levels[level]):
                del self._levels[level]
        return items[:count]
