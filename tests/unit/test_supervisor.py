"""Tests of the supervisor tree.

They guard against children that start before the ones they depend on are ready, that
stay stopped after a failure, that are restarted forever, or that stop out of order.
"""

from __future__ import annotations

import asyncio

import pytest

from railfold._internal.errors import SupervisorFailedError
from railfold._internal.supervision.supervisor import (
    ChildSpec,
    RestartLimit,
    Strategy,
    Supervisor,
)

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


class ChildRecorder:
    """Makes children that record their starts (+) and stops (-) and fail on demand."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.failure_events: dict[str, asyncio.Event] = {}

    def make_child(self, name: str) -> ChildSpec:
        async def run(ready: asyncio.Event) -> None:
            self.events.append(f"+{name}")
            self.failure_events[name] = asyncio.Event()
            ready.set()
            try:
                await self.failure_events[name].wait()
                raise ValueError(name)
            finally:
                self.events.append(f"-{name}")

        return ChildSpec(name, run)

    def fail(self, name: str) -> None:
        self.failure_events[name].set()


async def start_supervisor(supervisor: Supervisor) -> asyncio.Task[None]:
    ready = asyncio.Event()
    task = asyncio.create_task(supervisor.run(ready))
    await asyncio.wait_for(ready.wait(), 1.0)
    return task


async def stop_supervisor(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_children_start_in_order_and_stop_in_reverse() -> None:
    recorder = ChildRecorder()
    task = await start_supervisor(
        Supervisor("s", [recorder.make_child(n) for n in "abc"])
    )
    await stop_supervisor(task)
    assert recorder.events == ["+a", "+b", "+c", "-c", "-b", "-a"]


async def test_one_for_one_restarts_only_the_failed_child() -> None:
    recorder = ChildRecorder()
    task = await start_supervisor(
        Supervisor("s", [recorder.make_child(n) for n in "abc"])
    )
    recorder.fail("b")
    await asyncio.sleep(1.0)
    assert recorder.events == ["+a", "+b", "+c", "-b", "+b"]
    await stop_supervisor(task)
    assert recorder.events[-3:] == ["-c", "-b", "-a"]


async def test_rest_for_one_restarts_children_that_started_later() -> None:
    recorder = ChildRecorder()
    children = [recorder.make_child(n) for n in "abc"]
    task = await start_supervisor(Supervisor("s", children, Strategy.REST_FOR_ONE))
    recorder.fail("b")
    await asyncio.sleep(1.0)
    assert recorder.events[3:] == ["-b", "-c", "+b", "+c"]
    await stop_supervisor(task)


async def test_failures_over_the_limit_escalate() -> None:
    recorder = ChildRecorder()
    limit = RestartLimit(max_restarts=2, window_s=10.0)
    task = await start_supervisor(
        Supervisor("s", [recorder.make_child("a")], limit=limit)
    )
    for _ in range(3):
        recorder.fail("a")
        await asyncio.sleep(1.0)
    with pytest.raises(SupervisorFailedError):
        await task


async def test_failures_outside_the_window_do_not_escalate() -> None:
    recorder = ChildRecorder()
    limit = RestartLimit(max_restarts=2, window_s=10.0)
    task = await start_supervisor(
        Supervisor("s", [recorder.make_child("a")], limit=limit)
    )
    for _ in range(6):
        recorder.fail("a")
        await asyncio.sleep(11.0)
    assert not task.done()
    await stop_supervisor(task)


async def test_failure_of_a_nested_supervisor_restarts_it() -> None:
    recorder = ChildRecorder()
    inner = Supervisor("inner", [recorder.make_child("a")], limit=RestartLimit(0, 10.0))
    task = await start_supervisor(Supervisor("outer", [ChildSpec("inner", inner.run)]))
    recorder.fail("a")
    await asyncio.sleep(1.0)
    assert recorder.events == ["+a", "-a", "+a"]
    await stop_supervisor(task)


async def test_child_that_never_becomes_ready_escalates() -> None:
    async def run(ready: asyncio.Event) -> None:
        raise ValueError

    with pytest.raises(SupervisorFailedError):
        await Supervisor("s", [ChildSpec("a", run)]).run(asyncio.Event())
