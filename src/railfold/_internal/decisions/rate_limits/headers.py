"""What a backend server's answer says of the rate that the server takes."""

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
    """The server takes so many requests a second from all entries together."""

    limit_per_s: float


@dataclass(frozen=True, slots=True)
class NoRateLimit:
    """The answer names no limit."""


@dataclass(frozen=True, slots=True)
class UnreadableRateLimit:
    """The answer names something that is no rate.

    :param text: what it names, shortened.
    """

    text: str


RateLimitHeader = RateLimitAdvertised | NoRateLimit | UnreadableRateLimit
