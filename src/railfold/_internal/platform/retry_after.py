"""The Retry-After header: seconds, also with a fraction, or an HTTP date."""

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

# Signs, exponents, words and longer numbers are invalid.
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{0,9})?|\.[0-9]{1,9}")

_MAX_LOGGED_CHARACTERS = 40


def retry_after(head: ResponseHead) -> RetryAfterHeader:
    """Return the delay that an answer's Retry-After header asks for.

    The standard allows only one such header. If there are several, the longest delay is
    used, since it satisfies all of them.
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
    # Relative to the server's own clock if the answer has a Date, since hosts' clocks
    # differ.
    date = _http_date(head.get("Date"))
    answered_unix_s = date.timestamp() if date else clock.unix_time_s()
    return max(0.0, retry_at.timestamp() - answered_unix_s)


def _http_date(value: str) -> datetime | None:
    try:
        date = parsedate_to_datetime(value)
    except (TypeError, ValueError, OverflowError):
        return None
    # A date without a time zone would be interpreted in this host's zone.
    return date if date.tzinfo is not None else None
