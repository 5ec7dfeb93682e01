"""Waiting for a peer without taking this process's own lateness for its silence.

A time-out that follows the clock alone also counts time in which this process
neither sent nor read: while a callback held its event loop up, or while its
processor quota was used up. The peer is then given up although its answer lies
in the socket, or before the question has left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ["answer_within"]

_T = TypeVar("_T")

# A hold-up costs a wait one part of its time at most, and a hold-up is noticed if
# it is longer than a part: 50 ms of the 0.2 s of a probe.
_INTERVALS = 4

# Parts that were held up are waited for anew this often in all, so that a process
# that is always late gives a silent peer up too.
_MAX_REPEATED_INTERVALS = 4


async def answer_within(answer: Awaitable[_T], timeout_s: float) -> _T:
    """Return an answer that comes within ``timeout_s`` in which the loop turned.

    The time passes in parts. A part that ended late by more than its own length
    was held up and doesn't count, so that after a hold-up the loop writes and
    reads its sockets before the answer is given up. An answer that is there when
    the time is over counts.

    ``tests/unit/test_blocked_event_loop.py`` measures it: with a plain time-out of
    0.2 s an answer that takes 20 ms is lost in a hold-up of 0.3 s if the question
    hadn't left before; with this function it is taken.

    :raises TimeoutError: no answer came; it is cancelled.
    """
    future = asyncio.ensure_future(answer)
    try:
        if await _done_within(future, timeout_s):
            return future.result()
        future.cancel()
        await asyncio.wait({future})
        if future.cancelled():
            raise TimeoutError
        return future.result()
    finally:
        future.cancel()


async def _done_within(future: asyncio.Future[_T], timeout_s: float) -> bool:
    loop = asyncio.get_running_loop()
    interval_s = max(0.0, timeout_s) / _INTERVALS
    counted_intervals = 0
    for _ in range(_INTERVALS + _MAX_REPEATED_INTERVALS):
        interval_start_s = loop.time()
        await asyncio.wait({future}, timeout=interval_s)
        if future.done():
            return True
        if loop.time() - interval_start_s <= 2.0 * interval_s:
            counted_intervals += 1
        if counted_intervals == _INTERVALS:
            break
    return False
