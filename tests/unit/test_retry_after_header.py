"""Values of Retry-After that backend servers may send."""

from __future__ import annotations

from email.utils import formatdate

import pytest

from railfold._internal import clock
from railfold._internal.decisions.load_shedding import (
    NoRetryAfter,
    RetryAfter,
    UnreadableRetryAfter,
)
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.platform.dialect import PlatformDialect


def head(*values: str, date: str = "") -> ResponseHead:
    headers = [("retry-after", value) for value in values]
    if date:
        headers.append(("Date", date))
    return ResponseHead(503, "Service Unavailable", tuple(headers))


@pytest.mark.parametrize(
    ("values", "delay_s"),
    [
        (["3"], 3.0),
        ([" 1.5 "], 1.5),
        ([".25"], 0.25),
        (["0"], 0.0),
        (["999999999999"], 999999999999.0),
        (["2", "5"], 5.0),
        (["2", "soon"], 2.0),
    ],
)
def test_seconds_with_fractions_are_read(values: list[str], delay_s: float) -> None:
    assert PlatformDialect().retry_after(head(*values)) == RetryAfter(delay_s)


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "nan", "inf", "1e3", "1_0", "soon", "1" * 13, "\u0663"]
)
def test_malformed_values_are_no_delay(text: str) -> None:
    found = PlatformDialect().retry_after(head(text))
    assert isinstance(found, UnreadableRetryAfter)


def test_an_answer_without_the_header_asks_for_nothing() -> None:
    assert PlatformDialect().retry_after(head()) == NoRetryAfter()


def test_a_date_is_read_by_the_clock_of_the_server_that_sent_it() -> None:
    """Hosts' clocks differ, and jump."""
    answered = formatdate(1_000_000_000, usegmt=True)
    until = formatdate(1_000_000_004, usegmt=True)
    found = PlatformDialect().retry_after(head(until, date=answered))
    assert found == RetryAfter(4.0)


def test_a_date_in_the_past_asks_for_nothing() -> None:
    until = formatdate(1_000_000_000, usegmt=True)
    assert PlatformDialect().retry_after(head(until)) == RetryAfter(0.0)


def test_a_date_without_one_of_the_answer_is_read_by_the_own_clock() -> None:
    until = formatdate(clock.unix_time_s() + 10.0, usegmt=True)
    found = PlatformDialect().retry_after(head(until))
    assert isinstance(found, RetryAfter)
    assert 8.0 < found.delay_s <= 10.0
