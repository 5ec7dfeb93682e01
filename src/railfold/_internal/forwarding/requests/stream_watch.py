"""Detecting that an attempt's stream is silent, and measuring the answer's pauses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from railfold._internal.decisions.chain_activity import ChainActivity, ChainKey
from railfold._internal.decisions.heartbeats import OverdueTimer

__all__ = ["AnswerTimes", "Silence", "StreamWatch"]

# A stream is overdue once its pause is this many times its mean pause and at least the
# floor. The floor is above the pauses caused by prefill of other requests, which are up
# to 60 ms. A check of an overdue stream costs a few probes at most. Detecting a dead
# host and the prefill of the stream's tokens at its replacement must take less than
# 200 ms together.
_OVERDUE_FACTOR = 3.0
_OVERDUE_FLOOR_S = 0.07
_FIRST_EVENT_OVERDUE_S = 0.25

# Interval between checks while a stream stays silent. Whether its whole chain has
# stalled may only show at a later check, which comes before the probes sent by the
# first check time out.
_RECHECK_INTERVAL_S = 0.03

# Expected pauses are at least this long: below it, events arrive together, so that
# their pauses say nothing about the chain.
_MIN_EXPECTED_PAUSE_S = 0.005


@dataclass(frozen=True, slots=True)
class Silence:
    """State of a stream that hasn't continued for some time.

    :param silent_s: time since the last event.
    :param suspects: hosts of its chain that no active stream runs through.
    :param stalled: whether a host of its chain has certainly stopped.
    """

    silent_s: float
    suspects: tuple[str, ...] = ()
    stalled: bool = False


@dataclass(slots=True)
class AnswerTimes:
    """Event times of one request's answer over all its attempts.

    Times are on the event loop's clock.
    """

    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0

    def event_received(self, now_s: float) -> None:
        """Record that events were received."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s


class StreamWatch:
    """Detects that the stream of one attempt is silent.

    Times are on the event loop's clock.

    :param activity: event times of all streams of this entry.
    :param times: event times of the request's answer.
    :param on_silent: called when the stream is overdue, and again until it continues.
    """

    def __init__(
        self,
        activity: ChainActivity,
        times: AnswerTimes,
        on_silent: Callable[[Silence], None],
    ) -> None:
        self._activity = activity
        self._times = times
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

    @property
    def has_events(self) -> bool:
        """Whether the current attempt has received an event."""
        return self._has_events

    @property
    def event_span_s(self) -> float:
        """The time between the first and the last event of the current attempt."""
        return (
            self._last_event_s - self._first_event_of_attempt_s
            if self._has_events
            else 0.0
        )

    @property
    def last_progress_s(self) -> float:
        """The time of the last progress, or of the attempt's start without any."""
        return self._last_progress_s

    @property
    def silent_s(self) -> float:
        """The time since the last progress, or since the attempt's start."""
        return self._loop.time() - self._last_progress_s

    def attempt_started(self, chain: ChainKey | None, expected_pause_s: float) -> None:
        """Begin to watch an attempt that was sent, or rerouted to another chain.

        :param chain: nothing for a request that isn't checked for silence.
        :param expected_pause_s: pause between events that the chain's accelerators
            should have.
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
        """Stop watching the attempt."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._has_events and self._chain is not None:
            self._activity.stream_ended(self._chain)
        self._has_events = False

    def progress_received(self) -> float:
        """Record that the answer went on; return the time since it did so before.

        Bytes that complete no event are no progress of a stream.
        """
        now_s = self._loop.time()
        gap_s, self._last_progress_s = now_s - self._last_progress_s, now_s
        return gap_s

    def events_received(self, gap_s: float) -> None:
        """Record that complete events were received.

        :param gap_s: time since the previous progress.
        """
        now_s = self._loop.time()
        if self._times.first_event_s is None and self._chain is not None:
            wait_s = now_s - self._attempt_started_s
            self._activity.first_event_received(self._chain[0], now_s, wait_s)
        self._times.event_received(now_s)
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
        if self._times.first_event_s is None and self._chain is not None:
            self._activity.first_event_pending(
                self._chain[0], now_s, now_s - self._attempt_started_s
            )
        silence = self._measure_silence(now_s, now_s - scheduled_s)
        self._schedule_check(now_s + _RECHECK_INTERVAL_S)
        # This comes last since the callback may end the attempt.
        self._on_silent(silence)

    def _measure_silence(self, now_s: float, loop_delay_s: float) -> Silence:
        if self._chain is None or not self._has_events:
            return Silence(self.silent_s)
        return Silence(
            self.silent_s,
            self._activity.suspect_hosts(self._chain, now_s, loop_delay_s),
            self._activity.is_stalled(self._chain, now_s, loop_delay_s),
        )
