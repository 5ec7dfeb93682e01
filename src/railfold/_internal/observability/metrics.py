"""Counters, gauges and timers, sent to statsd at intervals.

Values gather in memory and leave in one batch, so that counting costs no
system call on the request path. ``docs/operations/metrics.md`` lists them.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import statsd

from railfold._internal.core import Address

__all__ = ["Metrics", "MetricsSender"]

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


class MetricsSender:
    """Child that sends the metrics to a statsd server at intervals."""

    def __init__(self, metrics: Metrics, address: Address, interval_s: float) -> None:
        self._metrics = metrics
        self._address = address
        self._interval_s = interval_s

    async def run(self, ready: asyncio.Event) -> None:
        """Send until cancelled, and once more then."""
        client = statsd.StatsClient(
            self._address.ip,
            self._address.port,
            prefix="railfold",
            ipv6=":" in self._address.ip,
        )
        ready.set()
        try:
            while True:
                await asyncio.sleep(self._interval_s)
                self._send(client)
        finally:
            self._send(client)
            client.close()

    def _send(self, client: statsd.StatsClient) -> None:
        metrics = self._metrics
        with client.pipeline() as pipeline:
            for name, increment in metrics.counter_increments():
                pipeline.incr(name, increment)
            for name, value in metrics.gauges.items():
                pipeline.gauge(name, value)
            while metrics.timers_ms:
                name, duration_ms = metrics.timers_ms.popleft()
                pipeline.timing(name, duration_ms)
