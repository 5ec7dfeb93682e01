"""A process's metrics in the text form that Prometheus reads."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from railfold._internal.observability.metrics import BUCKETS_S, Metrics

__all__ = ["FORMAT", "render"]

FORMAT = CONTENT_TYPE_LATEST


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield counters, gauges and histograms."""
        for name, value in sorted(self._metrics.counters.items()):
            yield CounterMetricFamily(_name(name), name, value=value)
        for name, level in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_name(name), name, value=level)
        for name, histogram in sorted(self._metrics.histograms.items()):
            buckets: list[tuple[str, float]] = []
            total = 0
            for bound, count in zip(
                (*BUCKETS_S, float("inf")), histogram.counts, strict=True
            ):
                total += count
                buckets.append(("+Inf" if bound == float("inf") else str(bound), total))
            yield HistogramMetricFamily(
                _name(name) + "_seconds",
                name,
                buckets=buckets,
                sum_value=histogram.sum_s,
            )


def _name(name: str) -> str:
    return "railfold_" + name.replace(".", "_").replace("-", "_")


def render(metrics: Metrics) -> bytes:
    """Return all metrics."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)
