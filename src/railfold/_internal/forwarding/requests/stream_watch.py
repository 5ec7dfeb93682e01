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
_RECHECK_INTERVAL_S = 0.03

# An expected pause below this proves nothing: events arrive together.
_MIN_EXPECTED_PAUSE_S = 0.005


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
        self._overdue_timer = OverdueTimer(
            factor=_OVERDUE_FACTOR,
            floor_s=_OVERDUE_FLOOR_S,
            first_token_s=_FIRST_EVENT_OVERDUE_S,
        )
        self._timer: asyncio.TimerHandle | None = None
        self._chain: ChainKey | None = None
        self._expected_pause_s = _MIN_EXPECTED_PAUSE_S
        self._has_events = False
        self._first_event_of_attempt_s = 0.0
        self._attempt_started_s = 0.0
        self._last_progress_s = 0.0
        self._last_event_s = 0.0
        self.first_event_s: float | None = None
        self.longest_pause_s = 0.0

    @property
    def has_events(self) -> bool:
        """Whether the attempt under way has brought events."""
        return self._has_events

    @property
    def event_span_s(self) -> float:
        """For how long the attempt under way has brought events."""
        return (
            self._last_event_s - self._first_event_of_attempt_s
            if self._has_events
            else 0.0
        )

    @property
    def last_progress_s(self) -> float:
        """When something came last, on the loop's clock."""
        return self._last_progress_s

    @property
    def silent_s(self) -> float:
        """For how long nothing has come."""
        return self._loop.time() - self._last_progress_s

    def attempt_started(self, chain: ChainKey | None, expected_pause_s: float) -> None:
        """An attempt was sent, or goes on over another chain.

        :param chain: nothing for a request that isn't watched.
        """
        self.attempt_ended()
        now_s = self._loop.time()
        self._chain = chain
        self._expected_pause_s = max(_MIN_EXPECTED_PAUSE_S, expected_pause_s)
        self._attempt_started_s = self._last_progress_s = now_s
        if chain is not None:
            self._overdue_timer.opened(now_s)
            self._schedule_check(self._overdue_timer.due_s())

    def attempt_ended(self) -> None:
        """The attempt ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._has_events and self._chain is not None:
            self._activity.stream_ended(self._chain)
        self._has_events = False

    def bytes_received(self) -> float:
        """Bytes came; return for how long none had."""
        now_s = self._loop.time()
        gap_s, self._last_progress_s = now_s - self._last_progress_s, now_s
        return gap_s

    def events_received(self, gap_s: float) -> None:
        """Whole events came, ``since_s`` after what came before."""
        now_s = self._loop.time()
        if self.first_event_s is None:
            self.first_event_s = now_s
            if self._chain is not None:
                wait_s = now_s - self._attempt_started_s
                self._activity.first_event_received(self._chain[0], now_s, wait_s)
        else:
            pause_s = now_s - self._last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_event_s = now_s
        if self._chain is None:
            return
        if self._has_events:
            self._activity.event_received(
                self._chain, now_s, gap_s, self._expected_pause_s
            )
        else:
            self._has_events = True
            self._first_event_of_attempt_s = now_s
            self._activity.stream_started(self._chain, now_s)
        if self._overdue_timer.token(now_s):
            self._schedule_check(self._overdue_timer.due_s())

    def _schedule_check(self, at_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at_s, self._check, at_s)

    def _check(self, scheduled_s: float) -> None:
        now_s = self._loop.time()
        due_s = self._overdue_timer.due_s()
        if now_s < due_s:
            self._schedule_check(due_s)
            return
        if self.first_event_s is None and self._chain is not None:
            self._activity.first_event_pending(
                self._chain[0], now_s, now_s - self._attempt_started_s
            )
        silence = self._measure_silence(now_s, now_s - scheduled_s)
        self._schedule_check(now_s + _RECHECK_INTERVAL_S)
        # Last: it may close the attempt.
        self._on_silent(silence)

    def _measure_silence(self, now_s: float, loop_delay_s: float) -> Silence:
        if self._chain is None or not self._has_events:
            return Silence(self.silent_s)
        return Silence(
            self.silent_s,
            self._activity.suspect_hosts(self._chain, now_s, loop_delay_s),
            self._activity.is_stalled(self._chain, now_s, loop_delay_s),
        )
