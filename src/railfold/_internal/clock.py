"""The clock that a process lives by, and the event loop that follows it.

While a host is suspended its steady clock stands still and everybody else's time goes
on. An age that is reckoned by the steady clock is then too small: a lease that lapsed
is taken for valid, a connection that was closed for open. So all ages are reckoned by
the time since the host was started, suspended time included; the event loop's ``time``
is that clock. A jump of the time of day doesn't touch it.

The loop still waits by the steady clock (the kernel's poll). Asleep with a timer due
after the suspension, it would go on waiting for what was left of it. Any entry wakes
several times a second for its upkeep; what was due meanwhile runs then.
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

# A shorter gap between the two clocks is the time between reading one and the other: up
# to a scheduler's turn on a busy host. A shorter suspension ages nothing that matters.
_MIN_SUSPENSION_S = 0.2


def now_s() -> float:
    """Return the time since the host was started, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time_s() -> float:
    """Return the time of day, which may jump; only to tell it to others."""
    return time.time()


def _monotonic_s() -> float:
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class _SuspensionDetectingSelector(selectors.DefaultSelector):
    """Tells of a suspension before anything else that has come meanwhile."""

    def __init__(self) -> None:
        super().__init__()
        self.on_resumed: Callable[[float], None] | None = None
        self._total_suspended_s = now_s() - _monotonic_s()

    def select(self, timeout: float | None = None) -> Any:
        ready_keys = super().select(timeout)
        total_suspended_s = now_s() - _monotonic_s()
        suspension_s, self._total_suspended_s = (
            total_suspended_s - self._total_suspended_s,
            total_suspended_s,
        )
        if suspension_s > _MIN_SUSPENSION_S and self.on_resumed is not None:
            self._notify(self.on_resumed, suspension_s)
        return ready_keys

    def _notify(self, on_resumed: Callable[[float], None], suspension_s: float) -> None:
        """Call back; an error here would end the loop."""
        try:
            on_resumed(suspension_s)
        except Exception:
            logging.exception("the look after a suspension failed")


class EventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the host is suspended."""

    def __init__(self) -> None:
        self._detecting_selector = _SuspensionDetectingSelector()
        super().__init__(self._detecting_selector)

    def time(self) -> float:
        """Return the time by which timers and ages are reckoned."""
        return now_s()

    def call_when_resumed(self, callback: Callable[[float], None]) -> None:
        """Call back after a suspension, with its length in seconds.

        Before any timer and any socket that became ready: what lapsed meanwhile can be
        given up before something acts by it.
        """
        self._detecting_selector.on_resumed = callback


def new_event_loop() -> EventLoop:
    """Return the event loop that every process of railfold runs on."""
    return EventLoop()


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a program's coroutine to its end."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
