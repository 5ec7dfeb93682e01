"""A process whose host was suspended doesn't take old beliefs for fresh ones.

The steady clock stands still while a host is suspended; the others' time goes on. An
entry that reckons ages by the steady clock wakes with a lease, a credential and a
deadline that ran out long ago, and acts by them.
"""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from railfold._internal import clock
from railfold._internal.commands import forward
from railfold._internal.decisions.leadership import Leadership, LeaseGrant
from railfold._internal.forwarding.store.leadership import LEASE_S, LeadershipKeeper
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.metrics import Metrics
from standins.cluster import free_port
from tests.lib.hosts import Host

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


def test_a_jump_of_the_time_of_day_is_no_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    resumed_s: list[float] = []

    async def jump() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, clock.EventLoop)
        loop.call_when_resumed(resumed_s.append)
        before_s = loop.time()
        real = time.time
        monkeypatch.setattr(time, "time", lambda: real() + 3600.0)
        await asyncio.sleep(0.05)
        assert loop.time() - before_s < 5.0

    clock.run(jump())
    assert resumed_s == []


def test_after_waking_the_look_comes_first_then_sockets_then_timers(host: Host) -> None:
    """A deadline that passed meanwhile doesn't beat an answer that had come."""
    order: list[str] = []

    async def wake() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, clock.EventLoop)
        loop.call_when_resumed(lambda suspended_s: order.append("look"))
        near, far = socket.socketpair()
        near.setblocking(False)
        loop.add_reader(near, lambda: (order.append("socket"), near.recv(1)))
        loop.call_later(4.0, order.append, "timer")
        await asyncio.sleep(0)
        far.send(b"x")
        host.suspend(10.0)
        await asyncio.sleep(0.05)
        loop.remove_reader(near)
        near.close()
        far.close()

    clock.run(wake())
    assert order == ["look", "socket", "timer"]


def test_what_was_due_during_the_suspension_runs_at_the_next_wake(host: Host) -> None:
    """The loop itself waits by the steady clock; its upkeep wakes it soon."""

    async def wait() -> float:
        loop = asyncio.get_running_loop()
        due = loop.create_future()
        loop.call_later(5.0, due.set_result, None)

        async def upkeep() -> None:
            while not due.done():  # noqa: ASYNC110 - as the entry's upkeep.
                await asyncio.sleep(0.1)

        # Asleep with both timers when the host is suspended, which a thread does here.
        loop.run_in_executor(None, lambda: (time.sleep(0.02), host.suspend(60.0)))
        task = loop.create_task(upkeep())
        began_s = time.monotonic()
        await due
        await task
        return time.monotonic() - began_s

    assert clock.run(wait()) < 1.0


class SuspendedGranter:
    """Grants the lease; the host is suspended while the answer is on its way."""

    def __init__(self, host: Host, for_s: float) -> None:
        self._host = host
        self._for_s = for_s

    async def renew(self, holder: str, duration_s: float) -> LeaseGrant:
        self._host.suspend(self._for_s)
        return LeaseGrant(is_holder=True, fencing_token=1)

    async def release(self, holder: str) -> None:
        pass


@pytest.mark.parametrize(("suspended_s", "holds"), [(0.5, True), (LEASE_S, False)])
def test_a_lease_counts_from_before_the_suspension(
    host: Host, suspended_s: float, holds: bool
) -> None:
    """Whoever asked for it before may have a successor by the time it wakes."""

    async def renew() -> int | None:
        leadership = Leadership(LEASE_S)
        granter = SuspendedGranter(host, suspended_s)
        keeper = LeadershipKeeper(
            "entry-1",
            leadership,
            granter,
            DecisionLog("entry-1"),
            Metrics(),
            lambda epoch: None,
        )
        await keeper._renew()
        return leadership.current_token(asyncio.get_running_loop().time())

    assert (clock.run(renew()) is not None) is holds
