"""Requests that wait in an entry for room at engines.

Room comes free every few milliseconds over all engines, so that a short wait lets the
more urgent go first and saves an attempt that an engine would reject. A caller that
must be refused should hear so early: nobody waits for longer than a small part of its
latency objective, and who can't have its turn in that time doesn't wait at all.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from railfold._internal.decisions.admission.shares import Standing
from railfold._internal.decisions.fair_queue import FairQueue
from railfold._internal.errors import QueueFullError

__all__ = ["WaitingRequests", "room_wait_limit_s"]

T = TypeVar("T")

# The part of its latency objective that a request may wait for room. A refusal after
# that still leaves the caller most of its time to come back.
_MOST_SHARE = 0.125

# A client in the middle of its answer leaves after 2 s without an event.
_BEGUN_S = 0.5

_MOST_WAITING = 2000
_MOST_OF_WORKSPACE = 500

# Weight of one interval in the mean.
_INTERVAL_WEIGHT = 0.2


def room_wait_limit_s(objective_s: float, *, begun: bool) -> float:
    """Return how long a request may wait for room.

    :param begun: whether its client has a part of the answer.
    """
    return _BEGUN_S if begun else _MOST_SHARE * objective_s


@dataclass(slots=True)
class _Turn(Generic[T]):
    item: T
    workspace: str


class WaitingRequests(Generic[T]):
    """Those that wait for room of one service, in the order of their turns.

    By level, then by fair share of the workspaces, then by what waits longest.
    """

    def __init__(self) -> None:
        self._levels: dict[int, FairQueue[_Turn[T]]] = {}
        self._turns: dict[T, tuple[int, _Turn[T]]] = {}
        # Mean time between two of those that found room while others waited.
        self._interval_s = 0.0
        self._found_s: float | None = None

    def __len__(self) -> int:
        return len(self._turns)

    def ahead(self, level: int) -> int:
        """Return how many go before a new request of a level."""
        return sum(len(q) for at, q in self._levels.items() if at <= level)

    def predicted_wait_s(self, level: int) -> float:
        """Return when a new request of a level would have its turn, from now."""
        return self.ahead(level) * self._interval_s

    def add(self, item: T, standing: Standing, workspace: str, tokens: float) -> bool:
        """Let a request wait; return whether there is a place."""
        turn = _Turn(item, workspace)
        queue = self._levels.setdefault(
            standing.level, FairQueue(_MOST_OF_WORKSPACE, _MOST_WAITING)
        )
        try:
            queue.push(workspace, 1.0, 0, max(1.0, tokens), turn)
        except QueueFullError:
            return False
        self._turns[item] = (standing.level, turn)
        return True

    def remove(self, item: T) -> bool:
        """Take out a request that waits no more; return whether it did."""
        level, turn = self._turns.pop(item, (0, None))
        if turn is None:
            return False
        queue = self._levels.get(level)
        return queue is not None and queue.remove(turn.workspace, turn)

    def served(self, item: T, now_s: float) -> None:
        """Take out a request that found room in its turn."""
        level, turn = self._turns.pop(item, (0, None))
        queue = self._levels.get(level)
        if turn is None or queue is None:
            return
        queue.served(turn.workspace, turn)
        if self._found_s is not None:
            interval_s = now_s - self._found_s
            self._interval_s += _INTERVAL_WEIGHT * (interval_s - self._interval_s)
        # Time in which nobody waits says nothing of how fast room comes free.
        self._found_s = now_s if self._turns else None

    def in_turn(self, count: int) -> list[T]:
        """Return those whose turn it is, the first of each workspace, so many."""
        found: list[T] = []
        for level in sorted(self._levels):
            found += [turn.item for turn in self._levels[level].heads()]
            if not len(self._levels[level]):
                del self._levels[level]
        return found[:count]
