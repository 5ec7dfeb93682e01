"""Sender of a process's metrics to a statsd server."""

from __future__ import annotations

import asyncio

import statsd

from railfold._internal.core import Address
from railfold._internal.observability.metrics import Metrics

__all__ = ["MetricsSender"]


class MetricsSender:
    """Supervised child that sends metrics to a statsd server at intervals."""

    def __init__(self, metrics: Metrics, address: Address, interval_s: float) -> None:
        self._metrics = metrics
        self._address = address
        self._interval_s = interval_s

    async def run(self, ready: asyncio.Event) -> None:
        """Send metrics at intervals until cancelled, and once more then."""
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
