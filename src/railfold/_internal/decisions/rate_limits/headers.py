"""What a backend server's answer says of the rate that the server takes."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["NoRateLimit", "RateLimitHeader", "RateLimitNamed", "UnreadableRateLimit"]


@dataclass(frozen=True, slots=True)
class RateLimitNamed:
    """The server takes so many requests a second from all entries together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class NoRateLimit:
    """The answer names no limit."""


@dataclass(frozen=True, slots=True)
class UnreadableRateLimit:
    """The answer names something that is no rate.

    :param text: what it names, shortened.
    """

    text: str


RateLimitHeader = RateLimitNamed | NoRateLimit | UnreadableRateLimit
