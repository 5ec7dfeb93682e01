"""Rate limits that backend servers advertise, which all entries together keep."""

from railfold._internal.decisions.rate_limits.advertised import (
    AdvertisedLimits,
    LimitChange,
    LimitLapsed,
)
from railfold._internal.decisions.rate_limits.headers import (
    NoRateLimit,
    RateLimitAdvertised,
    RateLimitHeader,
    UnreadableRateLimit,
)
from railfold._internal.decisions.rate_limits.issuers import (
    KnownEntries,
    PermitIssuers,
    permit_issuers,
)
from railfold._internal.decisions.rate_limits.permits import (
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSchedule,
)
from railfold._internal.decisions.rate_limits.sharing import (
    AskIssuer,
    PermitDecision,
    PermitSharing,
)
from railfold._internal.decisions.rate_limits.wait_limit import permit_wait_limit_s

__all__ = [
    "AdvertisedLimits",
    "AskIssuer",
    "KnownEntries",
    "LimitChange",
    "LimitLapsed",
    "NoRateLimit",
    "PermitDecision",
    "PermitDenied",
    "PermitGranted",
    "PermitIssuers",
    "PermitOutcome",
    "PermitSchedule",
    "PermitSharing",
    "RateLimitAdvertised",
    "RateLimitHeader",
    "UnreadableRateLimit",
    "permit_issuers",
    "permit_wait_limit_s",
]
