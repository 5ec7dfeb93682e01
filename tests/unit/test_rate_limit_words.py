"""What the head of an answer says of the rate that its server takes."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.rate_limits import (
    NoRateLimit,
    RateLimitNamed,
    UnreadableRateLimit,
)
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.platform.dialect import PlatformDialect


def word(*values: str) -> object:
    headers = tuple(("server-LIMIT", value) for value in values)
    return PlatformDialect().rate_limit(ResponseHead(200, "OK", headers))


@pytest.mark.parametrize(
    ("text", "per_s"), [("1.4", 1.4), ("0", 0.0), (" 12 ", 12.0), (".5", 0.5)]
)
def test_a_decimal_number_is_a_limit(text: str, per_s: float) -> None:
    assert word(text) == RateLimitNamed(per_s)


def test_an_answer_without_the_field_names_none() -> None:
    assert word() == NoRateLimit()


@pytest.mark.parametrize(
    "text", ["", "-1", "nan", "inf", "1e400", "1e3", "1,4", "²", "1" * 10_000, "0x1"]
)
def test_what_is_no_rate_is_neither_a_limit_nor_the_end_of_one(text: str) -> None:
    read = word(text)
    assert isinstance(read, UnreadableRateLimit)
    assert len(read.text) <= 40


def test_two_fields_are_none() -> None:
    assert isinstance(word("1.4", "1.4"), UnreadableRateLimit)
