"""A supervisor tree on one event loop.

A child is a coroutine function ``run(ready)``. It sets ``ready`` once it serves, runs
until it is cancelled, and cleans up on cancellation. A supervisor starts its children
in order, each after the one before is ready, and stops them in reverse order. It
restarts children that fail, and fails itself if failures exceed a limit.
``Supervisor.run`` is such a function too, so that supervisors can be nested.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from absl import logging

from railfold._internal.errors import ChildEndedError, SupervisorFailedError

__all__ = [
    "ChildSpec",
    "RestartLimit",
    "Strategy",
    "Supervisor",
]


class Strategy(Enum):
    """Which children are restarted when one fails."""

    ONE_FOR_ONE = "one_for_one"
    REST_FOR_ONE = "rest_for_one"  # Also restarts children that started later.


@dataclass(frozen=True, slots=True)
class RestartLimit:
    """Limit of restarts in a time window; failures beyond it escalate."""

    max_restarts: int = 5
    window_s: float = 10.0


@dataclass(frozen=True, slots=True)
class ChildSpec:
    """Specification of a child.

    :param run: runs the child; see the module's documentation.
    :param stop_timeout_s: how long the supervisor waits for the child to stop.
    """

    name: str
    run: Callable[[asyncio.Event], Awaitable[None]]
    stop_timeout_s: float = 5.0


@dataclass(slots=True)
class _RunningChild:
    spec: ChildSpec
    task: asyncio.Task[None]


@dataclass(slots=True)
class Supervisor:
    """Runs children; see the module's documentation.

    :param limit: how often children may be restarted.
    :param restarts: the number of failures of children so far.
    """

    name: str
    children: list[ChildSpec]
    strategy: Strategy = Strategy.ONE_FOR_ONE
    limit: RestartLimit = field(default_factory=RestartLimit)
    restarts: int = 0
    _running_children: list[_RunningChild] = field(default_factory=list)
    _failure_times_s: deque[float] = field(default_factory=deque)

    async def run(self, ready: asyncio.Event) -> None:
        """Run all children until cancelled.

        :raises SupervisorFailedError: the restart limit was exceeded.
        """
        try:
            await self._start_children_from(0)
            ready.set()
            while True:
                await self._wait_for_failure()
        finally:
            await self._stop_children_from(0)

    async def _start_children_from(self, index: int) -> None:
        for spec in self.children[index:]:
            await self._start_child(spec)

    async def _start_child(self, spec: ChildSpec) -> None:
        while True:
            ready = asyncio.Event()
            task = asyncio.create_task(_run_child(spec, ready), name=spec.name)
            ready_task = asyncio.create_task(ready.wait())
            try:
                await asyncio.wait(
                    {task, ready_task}, return_when=asyncio.FIRST_COMPLETED
                )
            except asyncio.CancelledError:
                await _stop_child(_RunningChild(spec, task))
                raise
            finally:
                ready_task.cancel()
            if ready.is_set():
                self._running_children.append(_RunningChild(spec, task))
                return
            self._record_failure(spec, task)
            await asyncio.sleep(_RESTART_DELAY_S)

    async def _wait_for_failure(self) -> None:
        tasks = {child.task for child in self._running_children}
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for index, child in enumerate(list(self._running_children)):
            if child.task.done():
                self._record_failure(child.spec, child.task)
                await asyncio.sleep(_RESTART_DELAY_S)
                await self._restart_after_failure(index)
                return

    async def _restart_after_failure(self, index: int) -> None:
        match self.strategy:
            case Strategy.REST_FOR_ONE:
                await self._stop_children_from(index)
                await self._start_children_from(index)
            case Strategy.ONE_FOR_ONE:
                spec = self._running_children.pop(index).spec
                await self._start_child(spec)
                self._running_children.insert(index, self._running_children.pop())

    def _record_failure(self, spec: ChildSpec, task: asyncio.Task[None]) -> None:
        error = task.exception()
        now_s = asyncio.get_running_loop().time()
        self.restarts += 1
        self._failure_times_s.append(now_s)
        while (
            self._failure_times_s
            and self._failure_times_s[0] <= now_s - self.limit.window_s
        ):
            self._failure_times_s.popleft()
        logging.error(
            "%s: child %s failed and will be restarted: %r", self.name, spec.name, error
        )
        if len(self._failure_times_s) > self.limit.max_restarts:
            raise SupervisorFailedError(
                f"supervisor {self.name} exceeded its restart limit",
                why=f"{len(self._failure_times_s)} failures in"
                f" {self.limit.window_s:g} s, the last of {spec.name}: {error!r}",
                hint="see the log lines before this one; the process exits",
            ) from error

    async def _stop_children_from(self, index: int) -> None:
        while len(self._running_children) > index:
            await _stop_child(self._running_children.pop())


_RESTART_DELAY_S = 0.05


async def _run_child(spec: ChildSpec, ready: asyncio.Event) -> None:
    await spec.run(ready)
    raise ChildEndedError(f"child {spec.name} ended by itself")


async def _stop_child(child: _RunningChild) -> None:
    child.task.cancel()
    done, _ = await asyncio.wait({child.task}, timeout=child.spec.stop_timeout_s)
    if not done:
        logging.error("child %s did not stop in time", child.spec.name)
