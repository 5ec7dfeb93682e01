"""Retry-After in answers: seconds, with fractions, or an HTTP date."""

from __future__ import annotations

import re
from datetime import datetime
from email.utils import parsedate_to_datetime

from railfold._internal import clock
from railfold._internal.decisions.load_shedding import (
    NoRetryAfter,
    RetryAfter,
    RetryAfterHeader,
    UnreadableRetryAfter,
)
from railfold._internal.forwarding.messages import ResponseHead

__all__ = ["retry_after"]

_NAME = "Retry-After"

# Signs, exponents, words and longer numbers mean nothing.
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{0,9})?|\.[0-9]{1,9}")

_MAX_LOGGED_CHARACTERS = 40


def retry_after(head: ResponseHead) -> RetryAfterHeader:
    """Return what an answer's head asks for.

    Several fields contradict the standard; the longest delay satisfies them all.
    """
    name = _NAME.lower()
    values = [value.strip() for key, value in head.headers if key.lower() == name]
    if not values:
        return NoRetryAfter()
    delays_s = [_delay_s(value, head) for value in values]
    readable_s = [delay_s for delay_s in delays_s if delay_s is not None]
    if not readable_s:
        return UnreadableRetryAfter(", ".join(values)[:_MAX_LOGGED_CHARACTERS])
    return RetryAfter(max(readable_s))


def _delay_s(value: str, head: ResponseHead) -> float | None:
    if _SECONDS.fullmatch(value):
        return float(value)
    retry_at = _http_date(value)
    if retry_at is None:
        return None
    # By the server's own clock, if it tells its time: hosts' clocks differ.
    date = _http_date(head.get("Date"))
    answered_unix_s = date.timestamp() if date else clock.unix_time_s()
    return max(0.0, retry_at.timestamp() - answered_unix_s)


def _http_date(value: str) -> datetime | None:
    try:
        date = parsedate_to_datetime(value)
    except (TypeError, ValueError, OverflowError):
        return None
    # A date without a zone would be read in the host's own.
    return date if date.tzinfo is not None else None
