"""Runs a supervisor tree as a process until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from absl import logging

from railfold._internal.observability.process_log import set_up_process_log
from railfold._internal.supervision.supervisor import Supervisor

__all__ = ["run_process", "wait_until_idle"]

_IDLE_POLL_S = 0.05


async def wait_until_idle(is_busy: Callable[[], bool], timeout_s: float) -> None:
    """Wait until nothing is in flight, for ``timeout_s`` at most."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while is_busy() and loop.time() < deadline_s:  # noqa: ASYNC110 - several sources.
        await asyncio.sleep(_IDLE_POLL_S)


class _SignalTime:
    """The time of a signal's first arrival, also while the event loop is blocked.

    The handlers of the event loop run only in its next turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.first_s: float | None = None

    def watch(self, signal_number: int) -> None:
        """Record a signal whose handler was added to the event loop before."""
        signal.signal(signal_number, self._record)
        # As the event loop does: system calls aren't interrupted by the signal.
        signal.siginterrupt(signal_number, False)

    def _record(self, signal_number: int, frame: object) -> None:
        if self.first_s is None:
            self.first_s = self._loop.time()


async def run_process(
    root: Supervisor, drain: Callable[[float], Awaitable[None]]
) -> None:
    """Run a supervisor tree; on SIGTERM or SIGINT drain it, then stop it in order.

    Further SIGTERMs don't end the drain early, since a platform may send several. A
    second SIGINT, which a person sends from a terminal, does. SIGHUP is ignored unless
    a child handles it.

    :param drain: called with the time of the first signal, on the event loop's clock.
    :raises SupervisorFailedError: the restart limit of the root supervisor was
        exceeded.
    """
    set_up_process_log()
    loop = asyncio.get_running_loop()
    stop_requested, interrupted = asyncio.Event(), asyncio.Event()
    interrupted_again = asyncio.Event()

    def on_interrupt() -> None:
        (interrupted_again if interrupted.is_set() else interrupted).set()
        stop_requested.set()

    loop.add_signal_handler(signal.SIGHUP, logging.info, "SIGHUP ignored")
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, on_interrupt)
    signal_time = _SignalTime(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal_time.watch(signal_number)
    root_task = asyncio.create_task(root.run(asyncio.Event()))
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({root_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    if not root_task.done():
        logging.info("stopping: drain started")
        requested_s = signal_time.first_s or loop.time()
        drain_task = asyncio.ensure_future(drain(requested_s))
        interrupt_task = asyncio.create_task(interrupted_again.wait())
        await asyncio.wait(
            {root_task, drain_task, interrupt_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        logging.info(
            "stopping: drain completed"
            if drain_task.done()
            else "stopping: drain interrupted"
        )
        root_task.cancel()
    stop_task.cancel()
    try:
        await root_task
    except asyncio.CancelledError:
        logging.info("stopped")
