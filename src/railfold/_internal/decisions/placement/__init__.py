"""Which engine holds which layers, and what that lets a failure domain serve."""

from __future__ import annotations

from railfold._internal.decisions.placement.busyness import are_surely_busy
from railfold._internal.decisions.placement.needs import group_needs, planning_order
from railfold._internal.decisions.placement.plan import plan_layers
from railfold._internal.decisions.placement.rooms import (
    EngineRoom,
    new_layers,
    uncovered_layers,
)
from railfold._internal.decisions.placement.supply import (
    ParallelChain,
    Supply,
    reckon_supply,
)
from railfold._internal.decisions.placement.throughput import (
    domain_throughput_rps,
    stage_residence_s,
    stage_token_s,
)

__all__ = [
    "EngineRoom",
    "ParallelChain",
    "Supply",
    "are_surely_busy",
    "domain_throughput_rps",
    "group_needs",
    "new_layers",
    "plan_layers",
    "planning_order",
    "reckon_supply",
    "stage_residence_s",
    "stage_token_s",
    "uncovered_layers",
]
