"""Value types that all other packages share."""

from railfold._internal.core.addresses import Address, parse_address
from railfold._internal.core.layers import (
    AttemptId,
    Chain,
    LayerRange,
    Loaded,
    Stage,
    StageRun,
)
from railfold._internal.core.outcomes import (
    Answered,
    Failed,
    NeverSent,
    NotRun,
    NotRunProof,
    Outcome,
    RefusedBeforeStart,
    TombstoneConfirmed,
    Unknown,
    outcome_name,
)
from railfold._internal.core.requests import GenerateRequest, ServiceRequest, Token

__all__ = [
    "Address",
    "Answered",
    "AttemptId",
    "Chain",
    "Failed",
    "GenerateRequest",
    "LayerRange",
    "Loaded",
    "NeverSent",
    "NotRun",
    "NotRunProof",
    "Outcome",
    "RefusedBeforeStart",
    "ServiceRequest",
    "Stage",
    "StageRun",
    "Token",
    "TombstoneConfirmed",
    "Unknown",
    "outcome_name",
    "parse_address",
]
