"""Rates that backend servers name, kept by all entries together."""

from railfold._internal.decisions.rate_limits.advertised import (
    AdvertisedLimits,
    LimitChange,
    LimitLapsed,
)
from railfold._internal.decisions.rate_limits.headers import (
    NoRateLimit,
    RateLimitHeader,
    RateLimitNamed,
    UnreadableRateLimit,
)
from railfold._internal.decisions.rate_limits.holders import (
    Fleet,
    Holders,
    permit_holders,
)
from railfold._internal.decisions.rate_limits.permits import (
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSchedule,
)
from railfold._internal.decisions.rate_limits.sharing import (
    AskHolder,
    PermitSharing,
    PermitStep,
)
from railfold._internal.decisions.rate_limits.wait_limit import permit_wait_limit_s

__all__ = [
    "AdvertisedLimits",
    "AskHolder",
    "Fleet",
    "Holders",
    "LimitChange",
    "LimitLapsed",
    "NoRateLimit",
    "PermitDenied",
    "PermitGranted",
    "PermitOutcome",
    "PermitSchedule",
    "PermitSharing",
    "PermitStep",
    "RateLimitHeader",
    "RateLimitNamed",
    "UnreadableRateLimit",
    "permit_holders",
    "permit_wait_limit_s",
]
