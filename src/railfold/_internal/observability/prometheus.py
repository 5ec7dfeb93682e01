"""Metrics of a process in the Prometheus text format."""

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

__all__ = ["CONTENT_TYPE", "render"]

CONTENT_TYPE = CONTENT_TYPE_LATEST


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield counters, gauges and histograms."""
        for name, value in sorted(self._metrics.counters.items()):
            yield CounterMetricFamily(_metric_name(name), name, value=value)
        for name, gauge_value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_metric_name(name), name, value=gauge_value)
        for name, histogram in sorted(self._metrics.histograms.items()):
            buckets: list[tuple[str, float]] = []
            cumulative_count = 0
            for upper_bound_s, count in zip(
                (*BUCKETS_S, float("inf")), histogram.counts, strict=True
            ):
                cumulative_count += count
                buckets.append(
                    (
                        "+Inf" if upper_bound_s == float("inf") else str(upper_bound_s),
                        cumulative_count,
                    )
                )
            yield HistogramMetricFamily(
                _metric_name(name) + "_seconds",
                name,
                buckets=buckets,
                sum_value=histogram.sum_s,
            )


def _metric_name(name: str) -> str:
    return "railfold_" + name.replace(".", "_").replace("-", "_")


def render(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))
    return generate_latest(registry)
