"""Signals that stop a process."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Iterator

import pytest

from railfold._internal.supervision.process import run_process
from railfold._internal.supervision.supervisor import ChildSpec, Supervisor

# For how long the event loop is blocked when the signal comes.
BLOCK_S = 0.5


@pytest.fixture
def restored_signals() -> Iterator[None]:
    """Restore the handlers that a process installs."""
    numbers = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    handlers = {number: signal.getsignal(number) for number in numbers}
    yield
    for number, handler in handlers.items():
        signal.signal(number, handler)


async def wait_forever(ready: asyncio.Event) -> None:
    """Run as a child until cancelled."""
    ready.set()
    await asyncio.Event().wait()


async def test_drain_counts_from_the_signal_while_the_event_loop_is_blocked(
    restored_signals: None,
) -> None:
    loop = asyncio.get_running_loop()
    requested: list[float] = []

    async def drain(requested_s: float) -> None:
        requested.append(requested_s)

    root = Supervisor("root", [ChildSpec("child", wait_forever)])
    running = asyncio.create_task(run_process(root, drain))
    await asyncio.sleep(0.05)
    sent_s = loop.time()
    os.kill(os.getpid(), signal.SIGTERM)
    blocked_until_s = time.monotonic() + BLOCK_S
    while time.monotonic() < blocked_until_s:
        pass
    os.kill(os.getpid(), signal.SIGTERM)
    await asyncio.wait_for(running, 5.0)
    assert requested == [pytest.approx(sent_s, abs=BLOCK_S / 2)]
