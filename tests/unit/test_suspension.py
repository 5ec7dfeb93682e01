"""A process whose host was suspended doesn't take old beliefs for fresh ones.

The steady clock stands still while a host is suspended; the others' time goes on. An
entry that reckons ages by the steady clock wakes with a lease, a credential and a
deadline that ran out long ago, and acts by them.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

import pytest

from railfold._internal.commands import forward
from standins.cluster import free_port

SETTINGS = """
node = "entry-1"
ip = "127.0.0.1"
zone = "hall-a"
[listen]
front = "127.0.0.1:{clients}"
ready = "127.0.0.1:{ready}"
[platform]
address = "127.0.0.1:1"
"""


@dataclass
class Host:
    """A host that can be suspended."""

    suspended_s: float = 0.0

    def suspend(self, for_s: float) -> None:
        """Let the steady clock stand still while the other one goes on."""
        self.suspended_s += for_s


@pytest.fixture
def host(monkeypatch: pytest.MonkeyPatch) -> Host:
    found = Host()
    read = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        suspended_s = found.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return read(clock) + suspended_s

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return found


def test_an_entry_lives_by_a_clock_that_counts_suspended_time(
    host: Host, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.format(clients=free_port(), ready=free_port()))
    aged_s: list[float] = []

    async def run(*_: object) -> None:
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        host.suspend(5.0)
        aged_s.append(loop.time() - before_s)

    monkeypatch.setattr(forward, "_run", run)
    forward._serve(path, None)
    assert aged_s[0] >= 5.0
