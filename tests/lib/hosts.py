"""A host whose clocks tests move."""

from __future__ import annotations

import time
from dataclasses import dataclass

import pytest

__all__ = ["Host", "new_host"]


@dataclass
class Host:
    """A host that can be suspended."""

    suspended_s: float = 0.0

    def suspend(self, for_s: float) -> None:
        """Let the steady clock stand still while the other one goes on."""
        self.suspended_s += for_s


def new_host(monkeypatch: pytest.MonkeyPatch) -> Host:
    """Let this process live on a host that tests can suspend."""
    host = Host()
    read = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        suspended_s = host.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return read(clock) + suspended_s

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return host
