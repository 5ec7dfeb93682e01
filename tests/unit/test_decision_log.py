"""Tests of the decision log.

The reader of standard output may stall. Writes to the log must then not block the
event loop, buffer without limit or split lines, and the log must report how many lines
it dropped.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator

import pytest

from railfold._internal.observability import decision_log
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import DependencyLost, RequestEnded


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """File descriptors of a pipe for reading and writing; only the test reads it."""
    read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


def request_ended(number: int) -> RequestEnded:
    """Return an event of a failed request, with a long cause."""
    return RequestEnded(
        request_id=f"r-{number}",
        outcome="not_run",
        status=503,
        cause="x" * 200,
        route="r",
        workspace="w",
        attempts=1,
        duration_ms=1.0,
        first_event_ms=0.0,
        longest_pause_ms=0.0,
        events=0,
        configuration_version=1,
        retry_after_ms=500.0,
    )


def read_events(fd: int) -> list[dict[str, object]]:
    """Return the events of the lines that the pipe holds."""
    os.set_blocking(fd, False)
    data = b""
    try:
        while chunk := os.read(fd, 1 << 16):
            data += chunk
    except BlockingIOError:
        pass
    return [json.loads(line)["event"] for line in data.splitlines() if line]


def test_reader_that_stalls_does_not_block_the_writer(pipe: tuple[int, int]) -> None:
    log = DecisionLog("entry-1", pipe[1])
    started_s = time.perf_counter()
    for number in range(20_000):
        log.write(request_ended(number))
        if number % 100 == 0:
            log.flush()
    assert time.perf_counter() - started_s < 5.0
    assert log._buffered_bytes <= decision_log._MAX_BUFFERED_BYTES


def test_lines_are_complete_and_in_order_after_the_reader_resumes(
    pipe: tuple[int, int],
) -> None:
    log = DecisionLog("entry-1", pipe[1])
    for number in range(5_000):
        log.write(request_ended(number))
    logged_events: list[dict[str, object]] = []
    data = b""
    os.set_blocking(pipe[0], False)
    for _ in range(200):
        log.flush()
        try:
            data += os.read(pipe[0], 1 << 16)
        except BlockingIOError:
            break
    logged_events = [json.loads(line)["event"] for line in data.splitlines()]
    ids = [
        logged_event["request_id"]
        for logged_event in logged_events
        if logged_event["type"] == "request_ended"
    ]
    assert ids == [f"r-{n}" for n in range(len(ids))]
    assert logged_events[-1]["type"] == "lines_dropped"
    assert logged_events[-1]["dropped"] == 5_000 - len(ids)


def test_routine_lines_are_limited_and_other_lines_are_never_skipped(
    pipe: tuple[int, int],
) -> None:
    log = DecisionLog("entry-1", pipe[1])
    for number in range(500):
        log.write_routine(request_ended(number))
    log.write(DependencyLost("store", "silent"))
    log.flush()
    log.flush()
    types = [event["type"] for event in read_events(pipe[0])]
    assert 30 <= types.count("request_ended") <= 60
    assert types.count("dependency_lost") == 1
    assert types.count("lines_dropped") == 1
