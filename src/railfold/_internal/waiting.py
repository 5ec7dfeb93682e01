"""Timeouts for the answers of peers that allow for delays of this process.

A timeout that only compares clock times also counts time in which this process neither
sends nor reads, because a callback blocks its event loop or its CPU quota is used up.
The wait then times out although the answer is already in the socket's buffer, or even
before the request is sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

__all__ = ["answer_within"]

_T = TypeVar("_T")

# A wait is split into this many intervals. A blocked loop costs a wait at most one
# interval of its timeout, and is detected if it is blocked for longer than an interval:
# 50 ms for a probe, whose timeout is 0.2 s.
_INTERVALS = 4

# Limit on the delayed intervals of one wait that are repeated, so that a wait for a
# silent peer ends even in a process that is always delayed.
_MAX_REPEATED_INTERVALS = 4


async def answer_within(answer: Awaitable[_T], timeout_s: float) -> _T:
    """Return the answer if it arrives within ``timeout_s`` in which the loop ran.

    The timeout is split into intervals. An interval that ended late by more than its
    own length doesn't count, because the loop was blocked. After the loop was blocked
    it therefore writes and reads its sockets before the wait times out. An answer that
    is available when the time is over is returned.

    For example, if the loop is blocked for 0.3 s before it has sent the request, a
    plain timeout of 0.2 s discards an answer that takes 20 ms, and this function
    returns it (``tests/unit/test_blocked_event_loop.py``).

    :raises TimeoutError: no answer arrived; ``answer`` has been cancelled.
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
