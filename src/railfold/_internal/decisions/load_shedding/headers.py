"""Content of the Retry-After header in an answer of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "NoRetryAfter",
    "RetryAfter",
    "RetryAfterHeader",
    "UnreadableRetryAfter",
]


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """The server asks this entry to send no request for ``delay_s``."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class NoRetryAfter:
    """The answer has no Retry-After header."""


@dataclass(frozen=True, slots=True)
class UnreadableRetryAfter:
    """The header's value is malformed.

    :param text: the value, shortened.
    """

    text: str


RetryAfterHeader = RetryAfter | NoRetryAfter | UnreadableRetryAfter
