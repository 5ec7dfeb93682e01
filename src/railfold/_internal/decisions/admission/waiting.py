"""Requests that wait in an entry for room at engines.

Room comes free every few milliseconds over all engines, so that a short wait lets the
more urgent go first and saves an attempt that an engine would reject. A caller that
must be refused should hear so early: nobody waits for longer than a small part of its
latency objective, and who can't have its turn in that time doesn't wait at all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from railfold._internal.decisions.admission.shares import SheddingDecision
from railfold._internal.decisions.fair_queue import FairQueue
from railfold._internal.errors import QueueFullError

__all__ = ["WaitingRequests", "capacity_wait_limit_s"]

T = TypeVar("T")

# The part of its latency objective that a request may wait for room. A refusal after
# that still leaves the caller most of its time to come back.
_MAX_WAIT_SHARE = 0.125

# A client in the middle of its answer leaves after 2 s without an event.
_STARTED_WAIT_S = 0.5

_MAX_WAITING = 2000
_MAX_WAITING_PER_WORKSPACE = 500

# Weight of one interval in the mean.
_INTERVAL_WEIGHT = 0.2


def capacity_wait_limit_s(objective_s: float, *, started: bool) -> float:
    """Return how long a request may wait for room.

    :param begun: whether its client has a part of the answer.
    """
    return _STARTED_WAIT_S if started else _MAX_WAIT_SHARE * objective_s


@dataclass(slots=True)
class _QueuedRequest(Generic[T]):
    item: T
    workspace: str


class WaitingRequests(Generic[T]):
    """Those that wait for room of one service, in the order of their turns.

    By level, then by fair share of the workspaces, then by what waits longest.
    """

    def __init__(self) -> None:
        self._levels: dict[int, FairQueue[_QueuedRequest[T]]] = {}
        self._queued: dict[T, tuple[int, _QueuedRequest[T]]] = {}
        # Mean time between two of those that found room while others waited.
        self._mean_interval_s = 0.0
        self._last_served_s: float | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def count_ahead(self, level: int) -> int:
        """Return how many go before a new request of a level."""
        return sum(
            len(queue)
            for queue_level, queue in self._levels.items()
            if queue_level <= level
        )

    def predicted_wait_s(self, level: int) -> float:
        """Return when a new request of a level would have its turn, from now."""
        return self.count_ahead(level) * self._mean_interval_s

    def add(
        self, item: T, standing: SheddingDecision, workspace: str, tokens: float
    ) -> bool:
        """Let a request wait; return whether there is a place."""
        queued = _QueuedRequest(item, workspace)
        queue = self._levels.setdefault(
            standing.level, FairQueue(_MAX_WAITING_PER_WORKSPACE, _MAX_WAITING)
        )
        try:
            queue.push(workspace, 1.0, 0, max(1.0, tokens), queued)
        except QueueFullError:
            return False
        self._queued[item] = (standing.level, queued)
        return True

    def remove(self, item: T) -> bool:
        """Take out a request that waits no more; return whether it did."""
        level, queued = self._queued.pop(item, (0, None))
        if queued is None:
            return False
        queue = self._levels.get(level)
        return queue is not None and queue.remove(queued.workspace, queued)

    def served(self, item: T, now_s: float) -> None:
        """Take out a request that found room in its turn."""
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
        # Time in which nobody waits says nothing of how fast room comes free.
        self._last_served_s = now_s if self._queued else None

    def next_items(self, count: int) -> list[T]:
        """Return those whose turn it is, the first of each workspace, so many."""
        items: list[T] = []
        for level in sorted(self._levels):
            items += [queued.item for queued in self._levels[level].heads()]
            if not len(self._levels[level]):
                del self._levels[level]
        return items[:count]
