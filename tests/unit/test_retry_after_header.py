"""Values of Retry-After that backend servers may send.

A value that is misread ends a backoff too early, or excludes a server for too long.
"""

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


def response_head(*values: str, date: str = "") -> ResponseHead:
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
def test_fractional_seconds_are_read(values: list[str], delay_s: float) -> None:
    assert PlatformDialect().retry_after(response_head(*values)) == RetryAfter(delay_s)


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "nan", "inf", "1e3", "1_0", "soon", "1" * 13, "\u0663"]
)
def test_malformed_value_is_unreadable(text: str) -> None:
    header = PlatformDialect().retry_after(response_head(text))
    assert isinstance(header, UnreadableRetryAfter)


def test_missing_header_requests_no_backoff() -> None:
    assert PlatformDialect().retry_after(response_head()) == NoRetryAfter()


def test_date_is_relative_to_the_servers_clock() -> None:
    """The clocks of hosts differ and jump."""
    answered = formatdate(1_000_000_000, usegmt=True)
    until = formatdate(1_000_000_004, usegmt=True)
    header = PlatformDialect().retry_after(response_head(until, date=answered))
    assert header == RetryAfter(4.0)


def test_past_date_requests_no_delay() -> None:
    until = formatdate(1_000_000_000, usegmt=True)
    assert PlatformDialect().retry_after(response_head(until)) == RetryAfter(0.0)


def test_date_is_relative_to_the_local_clock_without_a_date_header() -> None:
    until = formatdate(clock.unix_time_s() + 10.0, usegmt=True)
    header = PlatformDialect().retry_after(response_head(until))
    assert isinstance(header, RetryAfter)
    assert 8.0 < header.delay_s <= 10.0
