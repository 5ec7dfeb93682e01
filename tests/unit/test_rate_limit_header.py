"""Values of the rate limit header that backend servers may send.

A malformed value that was read as a limit, or as the end of one, would change the
traffic to the server.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.rate_limits import (
    NoRateLimit,
    RateLimitAdvertised,
    UnreadableRateLimit,
)
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.platform.dialect import PlatformDialect


def rate_limit_of(*values: str) -> object:
    headers = tuple(("server-LIMIT", value) for value in values)
    return PlatformDialect().rate_limit(ResponseHead(200, "OK", headers))


@pytest.mark.parametrize(
    ("text", "limit_per_s"), [("1.4", 1.4), ("0", 0.0), (" 12 ", 12.0), (".5", 0.5)]
)
def test_decimal_number_is_read_as_a_limit(text: str, limit_per_s: float) -> None:
    assert rate_limit_of(text) == RateLimitAdvertised(limit_per_s)


def test_missing_header_means_no_limit() -> None:
    assert rate_limit_of() == NoRateLimit()


@pytest.mark.parametrize(
    "text", ["", "-1", "nan", "inf", "1e400", "1e3", "1,4", "²", "1" * 10_000, "0x1"]
)
def test_malformed_value_is_neither_a_limit_nor_its_end(text: str) -> None:
    header = rate_limit_of(text)
    assert isinstance(header, UnreadableRateLimit)
    assert len(header.text) <= 40


def test_repeated_header_is_unreadable() -> None:
    assert isinstance(rate_limit_of("1.4", "1.4"), UnreadableRateLimit)
