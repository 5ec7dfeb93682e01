"""A simulated suspension of this process's host."""

from __future__ import annotations

import time
from dataclasses import dataclass

import pytest

__all__ = ["Host", "new_host"]


@dataclass
class Host:
    """A host that can be suspended.

    :param suspended_s: total time for which it has been suspended.
    """

    suspended_s: float = 0.0

    def suspend(self, duration_s: float) -> None:
        """Advance the clock that counts suspended time; the monotonic clock stops."""
        self.suspended_s += duration_s


def new_host(monkeypatch: pytest.MonkeyPatch) -> Host:
    """Patch the clocks of this process; return a host that tests can suspend."""
    host = Host()
    real_clock_gettime = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        suspended_s = host.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return real_clock_gettime(clock) + suspended_s

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return host
