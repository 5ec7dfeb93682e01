"""Watching one request's stream for silence, and measuring its pauses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from railfold._internal.decisions.chain_activity import ChainActivity, ChainKey
from railfold._internal.decisions.heartbeats import OverdueTimer

__all__ = ["Silence", "StreamWatch"]

# A silent stream is looked into when its pause is this many times the usual one
# and at least the floor: above the pauses that prompts of other requests cause (up
# to 60 ms on the first sites). A look costs a few probes at most; finding a dead
# host, and its stand-in reading the stream's tokens, has to fit into 200 ms.
_OVERDUE_FACTOR = 3.0
_OVERDUE_FLOOR_S = 0.07
_FIRST_EVENT_OVERDUE_S = 0.25

# While the silence lasts it is looked into again: whether the whole chain stands
# still shows at a later look, and before the probes of the first one time out.
_LOOK_AGAIN_S = 0.03

# An expected pause below this proves nothing: events arrive together.
_LEAST_PAUSE_S = 0.005


@dataclass(frozen=True, slots=True)
class Silence:
    """What is known of a stream that has brought nothing for a while.

    :param suspects: hosts of its chain that no other stream moves through.
    :param stalled: whether its chain surely stands still.
    """

    silent_s: float
    suspects: tuple[str, ...] = ()
    stalled: bool = False


class StreamWatch:
    """Pauses of one request's answer, over all its attempts.

    :param on_silent: called while the stream is silent.
    """

    def __init__(
        self, activity: ChainActivity, on_silent: Callable[[Silence], None]
    ) -> None:
        self._activity = activity
        self._on_silent = on_silent
        self._loop = asyncio.get_running_loop()
        self._overdue = OverdueTimer(
            factor=_OVERDUE_FACTOR,
            floor_s=_OVERDUE_FLOOR_S,
            first_token_s=_FIRST_EVENT_OVERDUE_S,
        )
        self._timer: asyncio.TimerHandle | None = None
        self._chain: ChainKey | None = None
        self._expected_pause_s = _LEAST_PAUSE_S
        self._flowing = False
        self._flowing_since_s = 0.0
        self._opened_s = 0.0
        self._progress_s = 0.0
        self._last_event_s = 0.0
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0

    @property
    def flowing(self) -> bool:
        """Whether the attempt under way has brought events."""
        return self._flowing

    @property
    def moved_s(self) -> float:
        """For how long the attempt under way has brought events."""
        return self._last_event_s - self._flowing_since_s if self._flowing else 0.0

    @property
    def progress_s(self) -> float:
        """When something came last, on the loop's clock."""
        return self._progress_s

    @property
    def silent_s(self) -> float:
        """For how long nothing has come."""
        return self._loop.time() - self._progress_s

    def opened(self, chain: ChainKey | None, expected_pause_s: float) -> None:
        """An attempt was sent, or goes on over another chain.

        :param chain: nothing for a request that isn't watched.
        """
        self.closed()
        now_s = self._loop.time()
        self._chain = chain
        self._expected_pause_s = max(_LEAST_PAUSE_S, expected_pause_s)
        self._opened_s = self._progress_s = now_s
        if chain is not None:
            self._overdue.opened(now_s)
            self._look_at(self._overdue.due_s())

    def closed(self) -> None:
        """The attempt ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._flowing and self._chain is not None:
            self._activity.stream_ended(self._chain)
        self._flowing = False

    def progressed(self) -> float:
        """Bytes came; return for how long none had."""
        now_s = self._loop.time()
        since_s, self._progress_s = now_s - self._progress_s, now_s
        return since_s

    def event(self, since_s: float) -> None:
        """Whole events came, ``since_s`` after what came before."""
        now_s = self._loop.time()
        if self.first_event_s is None:
            self.first_event_s = now_s
            if self._chain is not None:
                wait_s = now_s - self._opened_s
                self._activity.first_event_received(self._chain[0], now_s, wait_s)
        else:
            pause_s = now_s - self._last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_s = now_s
        if self._chain is None:
            return
        if self._flowing:
            self._activity.event_received(
                self._chain, now_s, since_s, self._expected_pause_s
            )
        else:
            self._flowing = True
            self._flowing_since_s = now_s
            self._activity.stream_started(self._chain, now_s)
        if self._overdue.token(now_s):
            self._look_at(self._overdue.due_s())

    def _look_at(self, at_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at_s, self._look, at_s)

    def _look(self, planned_s: float) -> None:
        now_s = self._loop.time()
        due_s = self._overdue.due_s()
        if now_s < due_s:
            self._look_at(due_s)
            return
        if self.first_event_s is None and self._chain is not None:
            self._activity.first_event_pending(
                self._chain[0], now_s, now_s - self._opened_s
            )
        silence = self._silence(now_s, now_s - planned_s)
        self._look_at(now_s + _LOOK_AGAIN_S)
        # Last: it may close the attempt.
        self._on_silent(silence)

    def _silence(self, now_s: float, loop_delay_s: float) -> Silence:
        if self._chain is None or not self._flowing:
            return Silence(self.silent_s)
        return Silence(
            self.silent_s,
            self._activity.suspect_hosts(self._chain, now_s, loop_delay_s),
            self._activity.is_stalled(self._chain, now_s, loop_delay_s),
        )
