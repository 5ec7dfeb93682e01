"""railfold routes model pipelines over mixed accelerators.

The public names are state machines and functions for coordination, without I/O or a
clock of their own, which other programs may embed. Everything else is private.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from railfold._internal.core import (
        Answered,
        AttemptId,
        Chain,
        Failed,
        GenerateRequest,
        LayerRange,
        NeverSent,
        NotRun,
        Outcome,
        RefusedBeforeStart,
        ServiceRequest,
        Stage,
        StageRun,
        Token,
        TombstoneConfirmed,
        Unknown,
    )
    from railfold._internal.decisions.admission import (
        AdmissionLimits,
        AdmissionQueue,
        Ticket,
        pipeline_capacity,
    )
    from railfold._internal.decisions.backoff import Backoff
    from railfold._internal.decisions.batching import RoundBatcher
    from railfold._internal.decisions.calls import CallLifecycle, CallRegister
    from railfold._internal.decisions.claims import ClaimKey, ClaimLedger, ClaimVerdict
    from railfold._internal.decisions.configuration import Configuration, ObjectId
    from railfold._internal.decisions.fair_queue import FairQueue
    from railfold._internal.decisions.heartbeats import HeartbeatPace, OverdueTimer
    from railfold._internal.decisions.lifecycle import (
        LifecycleLimits,
        RequestLifecycle,
    )
    from railfold._internal.decisions.lineage import check_lineage, expected_lineage
    from railfold._internal.decisions.membership import MembershipView
    from railfold._internal.decisions.planner import (
        LinkCosts,
        PlannerWeights,
        Replica,
        choose_host,
        plan_chain,
    )
    from railfold._internal.decisions.policy import Policy, PolicyDecision
    from railfold._internal.decisions.retry_budget import RetryBudget, RetryLimits
    from railfold._internal.decisions.sequence_events import (
        SequenceLimits,
    )
    from railfold._internal.decisions.sequences import (
        SequenceTable,
    )
    from railfold._internal.decisions.stalls import StepTimes
    from railfold._internal.errors import QueueFullError, RailfoldError
    from railfold._internal.supervision.supervisor import (
        ChildSpec,
        RestartLimit,
        Strategy,
        Supervisor,
    )

__version__ = "0.1.0"

__all__ = [
    "AdmissionLimits",
    "AdmissionQueue",
    "Answered",
    "AttemptId",
    "Backoff",
    "CallLifecycle",
    "CallRegister",
    "Chain",
    "ChildSpec",
    "ClaimKey",
    "ClaimLedger",
    "ClaimVerdict",
    "Configuration",
    "Failed",
    "FairQueue",
    "GenerateRequest",
    "HeartbeatPace",
    "LayerRange",
    "LifecycleLimits",
    "LinkCosts",
    "MembershipView",
    "NeverSent",
    "NotRun",
    "ObjectId",
    "Outcome",
    "OverdueTimer",
    "PlannerWeights",
    "Policy",
    "PolicyDecision",
    "QueueFullError",
    "RailfoldError",
    "RefusedBeforeStart",
    "Replica",
    "RequestLifecycle",
    "RestartLimit",
    "RetryBudget",
    "RetryLimits",
    "RoundBatcher",
    "SequenceLimits",
    "SequenceTable",
    "ServiceRequest",
    "Stage",
    "StageRun",
    "StepTimes",
    "Strategy",
    "Supervisor",
    "Ticket",
    "Token",
    "TombstoneConfirmed",
    "Unknown",
    "__version__",
    "check_lineage",
    "choose_host",
    "expected_lineage",
    "pipeline_capacity",
    "plan_chain",
]

# Modules under ``railfold._internal`` and the public names that they define. A module
# is imported when one of its names is first used, so that a process starts without the
# import time of modules that it doesn't use.
_NAMES_BY_MODULE = {
    "core": (
        "Answered",
        "AttemptId",
        "Chain",
        "Failed",
        "GenerateRequest",
        "LayerRange",
        "NeverSent",
        "NotRun",
        "Outcome",
        "RefusedBeforeStart",
        "ServiceRequest",
        "Stage",
        "StageRun",
        "Token",
        "TombstoneConfirmed",
        "Unknown",
    ),
    "decisions.admission": (
        "AdmissionLimits",
        "AdmissionQueue",
        "Ticket",
        "pipeline_capacity",
    ),
    "decisions.backoff": ("Backoff",),
    "decisions.batching": ("RoundBatcher",),
    "decisions.calls": (
        "CallLifecycle",
        "CallRegister",
    ),
    "decisions.claims": (
        "ClaimKey",
        "ClaimLedger",
        "ClaimVerdict",
    ),
    "decisions.configuration": (
        "Configuration",
        "ObjectId",
    ),
    "decisions.fair_queue": ("FairQueue",),
    "decisions.heartbeats": (
        "HeartbeatPace",
        "OverdueTimer",
    ),
    "decisions.lifecycle": (
        "LifecycleLimits",
        "RequestLifecycle",
    ),
    "decisions.lineage": (
        "check_lineage",
        "expected_lineage",
    ),
    "decisions.membership": ("MembershipView",),
    "decisions.planner": (
        "LinkCosts",
        "PlannerWeights",
        "Replica",
        "choose_host",
        "plan_chain",
    ),
    "decisions.policy": (
        "Policy",
        "PolicyDecision",
    ),
    "decisions.retry_budget": ("RetryBudget", "RetryLimits"),
    "decisions.sequence_events": ("SequenceLimits",),
    "decisions.sequences": ("SequenceTable",),
    "decisions.stalls": ("StepTimes",),
    "errors": (
        "QueueFullError",
        "RailfoldError",
    ),
    "supervision.supervisor": (
        "ChildSpec",
        "RestartLimit",
        "Strategy",
        "Supervisor",
    ),
}

_MODULE_BY_NAME = {
    name: module for module, names in _NAMES_BY_MODULE.items() for name in names
}


def __getattr__(name: str) -> Any:
    """Return a public name and import its module on first use.

    :raises AttributeError: the package has no such public name.
    """
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"railfold._internal.{module}"), name)
