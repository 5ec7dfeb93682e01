"""Tell a stalled backend server from a slow one by its step times."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StepTimes"]


@dataclass(slots=True)
class StepTimes:
    """Recent step times of one backend server.

    A step counts as stalled when it takes longer than ``factor`` times the recent mean
    and longer than ``floor_s``. The floor is needed because a prefill takes many times
    as long as the decode steps that dominate the mean.
    """

    factor: float = 10.0
    floor_s: float = 0.6
    mean_s: float = 0.0
    _started_s: float | None = None

    def started(self, now_s: float) -> None:
        """Record that a step begins."""
        self._started_s = now_s

    def ended(self, now_s: float) -> None:
        """Record that the running step has ended."""
        if self._started_s is None:
            return
        self.record(now_s - self._started_s)
        self._started_s = None

    def record(self, step_s: float) -> None:
        """Add the duration of one step to the moving mean."""
        self.mean_s = step_s if self.mean_s == 0.0 else 0.8 * self.mean_s + 0.2 * step_s

    def stalled(self, now_s: float) -> bool:
        """Return whether a step is running and counts as stalled."""
        if self._started_s is None:
            return False
        limit_s = max(self.floor_s, self.factor * self.mean_s)
        return now_s - self._started_s > limit_s
