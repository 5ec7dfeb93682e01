"""Clocks and leases of a process whose host was suspended.

The monotonic clock stops while a host is suspended, but time goes on for all other
hosts. An entry that measures ages by the monotonic clock still uses its lease, its
credentials and its deadlines after it resumes, although they expired long ago.
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
from railfold._internal.forwarding.store.leadership import LEASE_S, LeadershipController
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


def test_an_entry_uses_a_clock_that_counts_suspended_time(
    host: Host, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.format(clients=free_port(), ready=free_port()))
    elapsed_s: list[float] = []

    async def run(*_: object) -> None:
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        host.suspend(5.0)
        elapsed_s.append(loop.time() - before_s)

    monkeypatch.setattr(forward, "_run", run)
    forward._serve(path, None)
    assert elapsed_s[0] >= 5.0


def test_a_jump_of_the_wall_clock_is_not_taken_for_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    resumed_s: list[float] = []

    async def jump() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, clock.EventLoop)
        loop.call_when_resumed(resumed_s.append)
        before_s = loop.time()
        real_time = time.time
        monkeypatch.setattr(time, "time", lambda: real_time() + 3600.0)
        await asyncio.sleep(0.05)
        assert loop.time() - before_s < 5.0

    clock.run(jump())
    assert resumed_s == []


def test_after_resuming_callbacks_run_before_sockets_and_sockets_before_timers(
    host: Host,
) -> None:
    """A deadline that passed while suspended doesn't win over an answer received."""
    order: list[str] = []

    async def resume() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, clock.EventLoop)
        loop.call_when_resumed(lambda suspended_s: order.append("look"))
        reading_socket, writing_socket = socket.socketpair()
        reading_socket.setblocking(False)
        loop.add_reader(
            reading_socket, lambda: (order.append("socket"), reading_socket.recv(1))
        )
        loop.call_later(4.0, order.append, "timer")
        await asyncio.sleep(0)
        writing_socket.send(b"x")
        host.suspend(10.0)
        await asyncio.sleep(0.05)
        loop.remove_reader(reading_socket)
        reading_socket.close()
        writing_socket.close()

    clock.run(resume())
    assert order == ["look", "socket", "timer"]


def test_timers_due_during_the_suspension_run_soon_after_resuming(host: Host) -> None:
    """The event loop waits by the monotonic clock, but a periodic task wakes it soon.

    Otherwise a timer that is due would wait for as long as the host was suspended.
    """

    async def wait() -> float:
        loop = asyncio.get_running_loop()
        due = loop.create_future()
        loop.call_later(5.0, due.set_result, None)

        async def upkeep() -> None:
            while not due.done():  # noqa: ASYNC110 - like the entry's upkeep.
                await asyncio.sleep(0.1)

        # A thread suspends the host while the event loop waits for both timers.
        loop.run_in_executor(None, lambda: (time.sleep(0.02), host.suspend(60.0)))
        task = loop.create_task(upkeep())
        started_s = time.monotonic()
        await due
        await task
        return time.monotonic() - started_s

    assert clock.run(wait()) < 1.0


class SuspendingLeaseStore:
    """Grants the lease, and suspends the host before its answer arrives."""

    def __init__(self, host: Host, suspended_s: float) -> None:
        self._host = host
        self._suspended_s = suspended_s

    async def renew(self, holder: str, duration_s: float) -> LeaseGrant:
        self._host.suspend(self._suspended_s)
        return LeaseGrant(is_holder=True, fencing_token=1)

    async def release(self, holder: str) -> None:
        pass


@pytest.mark.parametrize(("suspended_s", "holds"), [(0.5, True), (LEASE_S, False)])
def test_a_lease_runs_from_before_the_suspension(
    host: Host, suspended_s: float, holds: bool
) -> None:
    """Another entry may hold the lease by the time this one resumes."""

    async def renew() -> int | None:
        leadership = Leadership(LEASE_S)
        lease_store = SuspendingLeaseStore(host, suspended_s)
        keeper = LeadershipController(
            "entry-1",
            leadership,
            lease_store,
            DecisionLog("entry-1"),
            Metrics(),
            lambda epoch: None,
        )
        await keeper._renew()
        return leadership.current_token(asyncio.get_running_loop().time())

    assert (clock.run(renew()) is not None) is holds
