"""Rates that backend servers name, kept by all entries together."""

from railfold._internal.decisions.rate_limits.advertised import (
    AdvertisedLimits,
    LimitChange,
    LimitLapsed,
)
from railfold._internal.decisions.rate_limits.holders import (
    Fleet,
    Holders,
    permit_holders,
)
from railfold._internal.decisions.rate_limits.patience import permit_patience_s
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
from railfold._internal.decisions.rate_limits.words import (
    NoRateLimit,
    RateLimitNamed,
    RateLimitWord,
    UnreadableRateLimit,
)

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
    "RateLimitNamed",
    "RateLimitWord",
    "UnreadableRateLimit",
    "permit_holders",
    "permit_patience_s",
]
