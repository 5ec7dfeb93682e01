"""Rates that backend servers name, kept by all entries together."""

from railfold._internal.decisions.rate_limits.advertised import (
    AdvertisedLimits,
    LimitChange,
    LimitEnded,
    LimitLapsed,
    LimitNamed,
    LimitUnreadable,
)
from railfold._internal.decisions.rate_limits.words import (
    NoRateLimit,
    RateLimitNamed,
    RateLimitWord,
    UnreadableRateLimit,
)

__all__ = [
    "AdvertisedLimits",
    "LimitChange",
    "LimitEnded",
    "LimitLapsed",
    "LimitNamed",
    "LimitUnreadable",
    "NoRateLimit",
    "RateLimitNamed",
    "RateLimitWord",
    "UnreadableRateLimit",
]
