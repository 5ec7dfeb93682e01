"""Which engine holds which layers, and what that lets a failure domain serve."""

from __future__ import annotations

from railfold._internal.decisions.placement.plan import plan_layers
from railfold._internal.decisions.placement.rooms import (
    EngineRoom,
    new_layers,
    uncovered_layers,
)
from railfold._internal.decisions.placement.throughput import (
    domain_throughput_rps,
    stage_residence_s,
    stage_token_s,
)

__all__ = [
    "EngineRoom",
    "domain_throughput_rps",
    "new_layers",
    "plan_layers",
    "stage_residence_s",
    "stage_token_s",
    "uncovered_layers",
]
