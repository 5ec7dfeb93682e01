"""Backoffs that backend servers request by Retry-After when they shed load."""

from railfold._internal.decisions.load_shedding.blocked_entries import (
    NOTICE_INTERVAL_S,
    BlockedEntries,
)
from railfold._internal.decisions.load_shedding.headers import (
    NoRetryAfter,
    RetryAfter,
    RetryAfterHeader,
    UnreadableRetryAfter,
)
from railfold._internal.decisions.load_shedding.requested import (
    BackingOff,
    BackoffReason,
    HalfOpen,
    RequestedBackoffs,
    ServerBackoff,
)

__all__ = [
    "NOTICE_INTERVAL_S",
    "BackingOff",
    "BackoffReason",
    "BlockedEntries",
    "HalfOpen",
    "NoRetryAfter",
    "RequestedBackoffs",
    "RetryAfter",
    "RetryAfterHeader",
    "ServerBackoff",
    "UnreadableRetryAfter",
]
