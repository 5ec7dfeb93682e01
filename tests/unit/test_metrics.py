"""Tests of metrics and of their sender to a statsd server.

Metrics that are collected after the last interval must not be lost when the process
stops. An increment that is reported twice would be counted twice.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from railfold._internal.core import Address
from railfold._internal.observability.metrics import Metrics
from railfold._internal.observability.statsd_sender import MetricsSender

pytestmark = pytest.mark.asyncio


def read_received_lines(server: socket.socket) -> set[str]:
    """Return the lines that the server has received."""
    lines: set[str] = set()
    while True:
        try:
            lines |= set(server.recv(65536).decode().splitlines())
        except BlockingIOError:
            return lines


async def test_counters_gauges_and_timers_are_sent_at_shutdown() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.setblocking(False)
        metrics = Metrics()
        address = Address("127.0.0.1", server.getsockname()[1])
        ready = asyncio.Event()
        sender = MetricsSender(metrics, address, interval_s=60.0)
        task = asyncio.create_task(sender.run(ready))
        await ready.wait()
        metrics.count("outcomes.answered", 3)
        metrics.gauge("in_flight", 7)
        metrics.timing("request", 0.25)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert read_received_lines(server) == {
            "railfold.outcomes.answered:3|c",
            "railfold.in_flight:7|g",
            "railfold.request:250.000000|ms",
        }


async def test_increment_is_reported_once() -> None:
    metrics = Metrics()
    metrics.count("tokens", 2)
    assert list(metrics.counter_increments()) == [("tokens", 2)]
    assert list(metrics.counter_increments()) == []
    metrics.count("tokens")
    assert list(metrics.counter_increments()) == [("tokens", 1)]
