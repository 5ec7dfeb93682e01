"""Backend servers that shed load and say for how long, by Retry-After."""

from railfold._internal.decisions.load_shedding.headers import (
    NoRetryAfter,
    RetryAfter,
    RetryAfterHeader,
    UnreadableRetryAfter,
)
from railfold._internal.decisions.load_shedding.requested import (
    BackoffRequest,
    RequestedBackoffs,
)

__all__ = [
    "BackoffRequest",
    "NoRetryAfter",
    "RequestedBackoffs",
    "RetryAfter",
    "RetryAfterHeader",
    "UnreadableRetryAfter",
]
