"""The clock of railfold processes, and an event loop that uses it.

While a host is suspended, its monotonic clock stops, but time goes on for all other
hosts. An age measured by the monotonic clock is then too small: an expired lease seems
valid, and a connection that the peer has closed seems open. All ages are therefore
measured by the boot-time clock, which includes suspended time and which a jump of the
wall clock doesn't change. The event loop's ``time`` returns this clock.

The loop still sleeps by the monotonic clock, because the kernel's poll does. If the
host is suspended during a sleep, the loop sleeps for the rest of the timeout after it
resumes, although timers may be overdue. Entries have periodic tasks that wake the loop
several times a second, and overdue timers run then.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from absl import logging

__all__ = ["EventLoop", "new_event_loop", "now_s", "run", "unix_time_s"]

T = TypeVar("T")

# A smaller difference between the two clocks can be the time between the two readings,
# which is up to one scheduling delay on a busy host. A shorter suspension doesn't
# change any age enough to matter.
_MIN_SUSPENSION_S = 0.2


def now_s() -> float:
    """Return the time since the host booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return the wall-clock time, which may jump; use it only to report a time."""
    return time.time()


def _monotonic_s() -> float:
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class _SuspensionDetectingSelector(selectors.DefaultSelector):
    """Selector that reports a suspension before the loop handles any other event."""

    def __init__(self) -> None:
        super().__init__()
        self.on_resumed: Callable[[float], None] | None = None
        self._total_suspended_s = now_s() - _monotonic_s()
        self.idle_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        started_s = _monotonic_s()
        ready_keys = super().select(timeout)
        ended_s = _monotonic_s()
        self.idle_s += ended_s - started_s
        total_suspended_s = now_s() - ended_s
        suspension_s, self._total_suspended_s = (
            total_suspended_s - self._total_suspended_s,
            total_suspended_s,
        )
        if suspension_s > _MIN_SUSPENSION_S and self.on_resumed is not None:
            self._notify(self.on_resumed, suspension_s)
        return ready_keys

    def _notify(self, on_resumed: Callable[[float], None], suspension_s: float) -> None:
        """Call the callback and log its exceptions, which would end the event loop."""
        try:
            on_resumed(suspension_s)
        except Exception:
            logging.exception("the callback after a suspension failed")


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock includes the time while the host is suspended."""

    def __init__(self) -> None:
        self._detecting_selector = _SuspensionDetectingSelector()
        super().__init__(self._detecting_selector)

    def time(self) -> float:
        """Return the time for timers and ages, in seconds since the host booted."""
        return now_s()

    @property
    def idle_s(self) -> float:
        """The total time for which the loop has waited for events."""
        return self._detecting_selector.idle_s

    def call_when_resumed(self, callback: Callable[[float], None]) -> None:
        """Set a callback that runs after a suspension, with its duration in seconds.

        It runs before any timer and any socket that became ready, so that expired
        leases and connections can be discarded before other code uses them.
        """
        self._detecting_selector.on_resumed = callback


def new_event_loop() -> EventLoop:
    """Return a new event loop of the kind that all railfold processes use."""
    return EventLoop()


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a program's main coroutine on a new event loop and return its result."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
