"""A step counts as stalled by the limit that follows from the steps before it.

A fixed limit would take each step of a slow engine for a stalled one, or detect a
stall of a fast engine too late.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.stalls import StepTimes

FLOOR_S = 0.6


def after_steps(step_s: float) -> StepTimes:
    times = StepTimes(factor=10.0, floor_s=FLOOR_S)
    for _ in range(20):
        times.record(step_s)
    times.started(100.0)
    return times


@pytest.mark.parametrize(("step_s", "limit_s"), [(0.01, FLOOR_S), (0.2, 2.0)])
def test_stall_limit_follows_recent_step_times(step_s: float, limit_s: float) -> None:
    times = after_steps(step_s)
    assert not times.stalled(100.0 + 0.9 * limit_s)
    assert times.stalled(100.0 + 1.1 * limit_s)


def test_ended_step_is_not_stalled() -> None:
    times = after_steps(0.01)
    times.ended(100.01)
    assert not times.stalled(200.0)
    assert times.mean_s == pytest.approx(0.01)
