"""Each header that the platform's pages name in answers is read, or its reason stands.

A server in need named a rate limit under a name that nothing read, and nothing said so.
"""

from __future__ import annotations

import pytest
from absl import logging

from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.servers.unknown_headers import UnknownHeaderReporter
from railfold._internal.observability.metrics import Metrics
from railfold._internal.platform.answer_headers import READ, UNREAD
from railfold._internal.platform.dialect import PlatformDialect

# The names on the platform's pages, by who sends them, and why those that aren't read
# are passed over.
IN_SERVERS_ANSWERS = {
    "At-Server": "read: who is at fault for a refusal",
    "Railfold-Attempt-Id": "read: which request is answered",
    "Railfold-Instance-Id": "not read: the registration names the server",
    "Railfold-Not-Executed": "read: the request wasn't run",
    "Railfold-Response-Seal": "read: the answer is a server's",
    "Railfold-Weight-Versions": "not read: passed on with the answer",
    "Server-Leaving": "read: the server leaves",
    "Server-Limit": "read: the rate that a server takes",
}


def test_every_name_on_the_pages_has_its_line() -> None:
    read = {n.lower() for n, why in IN_SERVERS_ANSWERS.items() if why[:4] == "read"}
    unread = {n.lower() for n, why in IN_SERVERS_ANSWERS.items() if why[:3] == "not"}
    assert read == READ
    assert unread == UNREAD
    assert len(read) + len(unread) == len(IN_SERVERS_ANSWERS)


def test_a_new_name_is_met_by_a_line_and_not_by_silence(
    caplog: pytest.LogCaptureFixture,
) -> None:
    names = [*IN_SERVERS_ANSWERS, "Content-Type", "Server", "Server-Pause"]
    head = ResponseHead(200, "OK", tuple((name, "1") for name in names))
    found = PlatformDialect().unknown_headers(head)
    assert found == ["server-pause"]
    metrics = Metrics()
    headers = UnknownHeaderReporter(metrics)
    with caplog.at_level(logging.WARNING, logger="absl"):
        headers.report("i-1", found)
        headers.report("i-2", found)
    assert caplog.text.count("server-pause") == 1
    assert metrics.counters["answers.unknown_headers"] == 2


def test_names_that_are_made_up_dont_fill_the_logs(
    caplog: pytest.LogCaptureFixture,
) -> None:
    headers = UnknownHeaderReporter(Metrics())
    for number in range(1000):
        headers.report("i-1", [f"server-{number}"])
    assert len(caplog.records) <= 32
