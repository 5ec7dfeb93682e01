"""Slow start: a server that takes requests again gets its usual share step by step.

All entries come back to it at about the same time, each with what it kept away.
"""

from __future__ import annotations

__all__ = ["slow_start_share"]


def slow_start_share(started_s: float, now_s: float, duration_s: float) -> float:
    """Return which share of its usual requests a server gets now, from 0 to 1.

    :param started_s: when it was first known to take requests again.
    :param duration_s: how long its share grows.
    """
    return max(0.0, min(1.0, (now_s - started_s) / duration_s))
