"""Counters, gauges and timers of one process.

Values gather in memory and leave in one batch, so that counting costs no
system call on the request path. ``docs/operations/metrics.md`` lists them.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["Metrics"]

_TIMERS_KEPT = 10_000


@dataclass(slots=True)
class Metrics:
    """One process's metrics."""

    counters: Counter[str] = field(default_factory=Counter)
    gauges: dict[str, float] = field(default_factory=dict)
    timers_ms: deque[tuple[str, float]] = field(
        default_factory=lambda: deque(maxlen=_TIMERS_KEPT)
    )
    _sent: Counter[str] = field(default_factory=Counter)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration."""
        self.timers_ms.append((name, duration_s * 1000.0))

    def counter_increments(self) -> Iterator[tuple[str, int]]:
        """Yield what each counter grew by since the last call."""
        for name, value in self.counters.items():
            increment = value - self._sent[name]
            if increment:
                self._sent[name] = value
                yield name, increment
