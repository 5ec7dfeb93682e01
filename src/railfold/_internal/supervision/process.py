"""Running a role's supervisor tree as a process until it is told to stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from absl import logging

from railfold._internal.observability.process_log import set_up_process_log
from railfold._internal.supervision.supervisor import Supervisor

__all__ = ["run_process", "wait_until_idle"]

_IDLE_POLL_S = 0.05


async def wait_until_idle(busy: Callable[[], bool], timeout_s: float) -> None:
    """Return once nothing is in flight, or after ``timeout_s``."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while busy() and loop.time() < deadline_s:  # noqa: ASYNC110 - many sources.
        await asyncio.sleep(_IDLE_POLL_S)


async def run_process(root: Supervisor, drain: Callable[[], Awaitable[None]]) -> None:
    """Run ``root``; on SIGTERM or SIGINT drain, then stop in order.

    A second signal ends the drain early.

    :raises SupervisorFailedError: the tree failed.
    """
    set_up_process_log()
    loop = asyncio.get_running_loop()
    first, second = asyncio.Event(), asyncio.Event()

    def on_signal() -> None:
        (second if first.is_set() else first).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    tree = asyncio.create_task(root.run(asyncio.Event()))
    stop = asyncio.create_task(first.wait())
    await asyncio.wait({tree, stop}, return_when=asyncio.FIRST_COMPLETED)
    if not tree.done():
        logging.info("stopping: draining")
        drained = asyncio.ensure_future(drain())
        hurried = asyncio.create_task(second.wait())
        await asyncio.wait(
            {tree, drained, hurried}, return_when=asyncio.FIRST_COMPLETED
        )
        logging.info("stopping: drained" if drained.done() else "stopping: hurried")
        tree.cancel()
    stop.cancel()
    try:
        await tree
    except asyncio.CancelledError:
        logging.info("stopped")
