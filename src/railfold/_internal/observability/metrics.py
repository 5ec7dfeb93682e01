"""Counters, gauges and timers of one process.

Values are collected in memory and sent in batches, so that recording a value on the
request path needs no system call. ``docs/operations/metrics.md`` lists the metrics.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["BUCKETS_S", "Histogram", "Metrics"]

_MAX_BUFFERED_TIMERS = 10_000

# Upper bounds of the buckets. They are dense around the sites' objectives (first event
# within 0.125 to 0.6 s, pauses up to 0.2 s) and reach up to the longest time
# limit.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.0, 5.0, 20.0)


@dataclass(slots=True)
class Histogram:
    """Counts of durations by bucket; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, duration_s: float) -> None:
        """Count a duration."""
        self.counts[bisect_left(BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s


@dataclass(slots=True)
class Metrics:
    """Metrics of one process.

    ``timers_ms`` keeps the newest durations until they are sent to a statsd server.
    """

    counters: Counter[str] = field(default_factory=Counter)
    gauges: dict[str, float] = field(default_factory=dict)
    timers_ms: deque[tuple[str, float]] = field(
        default_factory=lambda: deque(maxlen=_MAX_BUFFERED_TIMERS)
    )
    histograms: dict[str, Histogram] = field(default_factory=dict)
    _reported_counters: Counter[str] = field(default_factory=Counter)

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        self.gauges[name] = value

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration in its histogram and for statsd."""
        self.histograms.setdefault(name, Histogram()).observe(duration_s)
        self.timers_ms.append((name, duration_s * 1000.0))

    def counter_increments(self) -> Iterator[tuple[str, int]]:
        """Yield the increment since the last call of each counter that changed."""
        for name, value in self.counters.items():
            increment = value - self._reported_counters[name]
            if increment:
                self._reported_counters[name] = value
                yield name, increment
