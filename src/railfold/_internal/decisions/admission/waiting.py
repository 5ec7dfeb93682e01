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

# Weight of one wait in the mean.
_WAIT_WEIGHT = 0.2


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
        self._usual_wait_s = 0.0

    def __len__(self) -> int:
        return len(self._turns)

    def ahead(self, level: int) -> int:
        """Return how many go before a new request of a level."""
        return sum(len(q) for at, q in self._levels.items() if at <= level)

    def predicted_wait_s(self, level: int) -> float:
        """Return when a new request of a level would have its turn, from now."""
        return self.ahead(level) * self._usual_wait_s

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

    def first(self) -> T | None:
        """Return the request whose turn it is."""
        for level in sorted(self._levels):
            turn = self._levels[level].first()
            if turn is not None:
                return turn.item
            del self._levels[level]
        return None

    def take(self) -> T | None:
        """Take the request whose turn it is out."""
        for level in sorted(self._levels):
            turn = self._levels[level].pop()
            if turn is not None:
                del self._turns[turn.item]
                return turn.item
        return None

    def found_room(self, waited_s: float) -> None:
        """A request that waited found room."""
        self._usual_wait_s += _WAIT_WEIGHT * (waited_s - self._usual_wait_s)
