"""Permits to send requests to a backend server, issued at a limited rate."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PermitDenied", "PermitGranted", "PermitOutcome", "PermitSchedule"]


@dataclass(frozen=True, slots=True)
class PermitGranted:
    """One request may be sent ``wait_s`` from now."""

    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PermitDenied:
    """No permit is available in time; the next one is available in ``wait_s``."""

    wait_s: float


PermitOutcome = PermitGranted | PermitDenied


class PermitSchedule:
    """Issues permits at an even rate (generic cell rate algorithm).

    At a constant rate any window of w seconds has at most ``burst`` + rate x w permits.
    """

    def __init__(self, now_s: float) -> None:
        self._next_s = now_s
        self._interval_s: float | None = None

    def take(
        self, now_s: float, rate_per_s: float, burst: float, max_wait_s: float
    ) -> PermitOutcome:
        """Take a permit that is available now or within ``max_wait_s``.

        :param burst: number of permits available at once after a pause; at least 1.
        """
        interval_s = 1.0 / rate_per_s
        self._set_interval(interval_s, now_s)
        earliest_s = self._next_s - (burst - 1.0) * interval_s
        wait_s = max(0.0, earliest_s - now_s)
        if wait_s > max_wait_s:
            return PermitDenied(wait_s)
        self._next_s = max(now_s, self._next_s) + interval_s
        return PermitGranted(wait_s)

    def _set_interval(self, interval_s: float, now_s: float) -> None:
        """Apply a new rate, also to permits that were taken ahead of time."""
        if self._interval_s is not None and self._next_s > now_s:
            taken_ahead = (self._next_s - now_s) / self._interval_s
            self._next_s = now_s + taken_ahead * interval_s
        self._interval_s = interval_s
