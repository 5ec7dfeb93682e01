"""Content of the header in which a backend server advertises its rate limit."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "NoRateLimit",
    "RateLimitAdvertised",
    "RateLimitHeader",
    "UnreadableRateLimit",
]


@dataclass(frozen=True, slots=True)
class RateLimitAdvertised:
    """The server advertises a limit for all entries together.

    :param limit_per_s: the limit, in requests a second.
    """

    limit_per_s: float


@dataclass(frozen=True, slots=True)
class NoRateLimit:
    """The answer has no rate limit header."""


@dataclass(frozen=True, slots=True)
class UnreadableRateLimit:
    """The header's value isn't a rate.

    :param text: the value, shortened.
    """

    text: str


RateLimitHeader = RateLimitAdvertised | NoRateLimit | UnreadableRateLimit
