"""Slow start: a server that accepts requests again gets its usual share gradually.

All entries return to the server at about the same time, each with the requests that it
had sent elsewhere meanwhile.
"""

from __future__ import annotations

__all__ = ["slow_start_share"]


def slow_start_share(started_s: float, now_s: float, duration_s: float) -> float:
    """Return a server's share of its usual requests now, from 0 to 1.

    :param started_s: when the server was first known to accept requests again.
    :param duration_s: time over which the share grows from 0 to 1.
    """
    return max(0.0, min(1.0, (now_s - started_s) / duration_s))
