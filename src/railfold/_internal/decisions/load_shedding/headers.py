"""What an answer's Retry-After header asks for."""

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
    """The server wants no request from this entry for ``delay_s``."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class NoRetryAfter:
    """The answer asks for nothing."""


@dataclass(frozen=True, slots=True)
class UnreadableRetryAfter:
    """The header's value is malformed.

    :param text: the value, shortened.
    """

    text: str


RetryAfterHeader = RetryAfter | NoRetryAfter | UnreadableRetryAfter
