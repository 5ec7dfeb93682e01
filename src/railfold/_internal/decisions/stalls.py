"""Telling a stalled backend server from a slow one."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StepTimes"]


@dataclass(slots=True)
class StepTimes:
    """Recent step times of one backend server.

    A step is stalled when it takes ``factor`` times the recent mean, and at
    least ``floor_s``: a prefill takes many times a decode step.
    """

    factor: float = 10.0
    floor_s: float = 0.6
    mean_s: float = 0.0
    _started_s: float | None = None

    def started(self, now_s: float) -> None:
        """A step begins."""
        self._started_s = now_s

    def ended(self, now_s: float) -> None:
        """The running step has ended."""
        if self._started_s is None:
            return
        self.record(now_s - self._started_s)
        self._started_s = None

    def record(self, step_s: float) -> None:
        """Count a step that took ``step_s``."""
        self.mean_s = step_s if self.mean_s == 0.0 else 0.8 * self.mean_s + 0.2 * step_s

    def stalled(self, now_s: float) -> bool:
        """Return whether the running step is stalled."""
        if self._started_s is None:
            return False
        limit_s = max(self.floor_s, self.factor * self.mean_s)
        return now_s - self._started_s > limit_s
