"""Placement of model layers on engines, and the throughput of a failure domain."""

from __future__ import annotations

from railfold._internal.decisions.placement.demand import (
    group_demands_rps,
    planning_order,
)
from railfold._internal.decisions.placement.engines import (
    EnginePlacement,
    count_layers_to_load,
    uncovered_ranges,
)
from railfold._internal.decisions.placement.in_flight import all_engines_busy
from railfold._internal.decisions.placement.parallel_chains import (
    ParallelChain,
    ThroughputEstimate,
    estimate_throughput,
)
from railfold._internal.decisions.placement.plan import plan_layers
from railfold._internal.decisions.placement.throughput import (
    best_chain_throughput_rps,
    stage_residence_s,
    stage_token_s,
)

__all__ = [
    "EnginePlacement",
    "ParallelChain",
    "ThroughputEstimate",
    "all_engines_busy",
    "best_chain_throughput_rps",
    "count_layers_to_load",
    "estimate_throughput",
    "group_demands_rps",
    "plan_layers",
    "planning_order",
    "stage_residence_s",
    "stage_token_s",
    "uncovered_ranges",
]
