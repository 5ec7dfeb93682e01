"""Headers that the platform's documentation names in answers of backend servers.

Guards against a header that is ignored without a warning: a server may state a rate
limit in a header that no code reads. Each documented header is either read, or listed
with a reason for not reading it.
"""

from __future__ import annotations

import pytest
from absl import logging

from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.servers.unknown_headers import UnknownHeaderReporter
from railfold._internal.observability.metrics import Metrics
from railfold._internal.platform.answer_headers import IGNORED_HEADERS, READ_HEADERS
from railfold._internal.platform.dialect import PlatformDialect

# The documented headers, with the use of each, or the reason for not reading it.
DOCUMENTED_HEADERS = {
    "At-Server": "read: who is at fault for a refusal",
    "Railfold-Attempt-Id": "read: which request is answered",
    "Railfold-Instance-Id": "not read: the registration names the server",
    "Railfold-Not-Executed": "read: the request wasn't run",
    "Railfold-Response-Seal": "read: the answer is a server's",
    "Railfold-Weight-Versions": "not read: passed on with the answer",
    "Server-Leaving": "read: the server leaves",
    "Server-Limit": "read: the rate that a server takes",
}


def test_each_documented_header_is_listed() -> None:
    read = {n.lower() for n, use in DOCUMENTED_HEADERS.items() if use[:4] == "read"}
    unread = {n.lower() for n, use in DOCUMENTED_HEADERS.items() if use[:3] == "not"}
    assert read == READ_HEADERS
    assert unread == IGNORED_HEADERS
    assert len(read) + len(unread) == len(DOCUMENTED_HEADERS)


def test_unknown_header_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    names = [*DOCUMENTED_HEADERS, "Content-Type", "Server", "Server-Pause"]
    head = ResponseHead(200, "OK", tuple((name, "1") for name in names))
    unknown_names = PlatformDialect().unknown_headers(head)
    assert unknown_names == ["server-pause"]
    metrics = Metrics()
    reporter = UnknownHeaderReporter(metrics)
    with caplog.at_level(logging.WARNING, logger="absl"):
        reporter.report("i-1", unknown_names)
        reporter.report("i-2", unknown_names)
    assert caplog.text.count("server-pause") == 1
    assert metrics.counters["answers.unknown_headers"] == 2


def test_arbitrary_header_names_dont_fill_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    reporter = UnknownHeaderReporter(Metrics())
    for number in range(1000):
        reporter.report("i-1", [f"server-{number}"])
    assert len(caplog.records) <= 32
