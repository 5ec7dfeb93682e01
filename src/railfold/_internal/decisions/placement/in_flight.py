"""Whether engines run requests, as far as arrivals tell.

An entry sees its own requests. Those of other entries run on engines as well, and an
engine that gives layers up while it runs requests serves nothing until the last of them
has ended.
"""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.decisions.placement.engines import EnginePlacement
from railfold._internal.decisions.placement.throughput import stage_residence_s
from railfold._internal.decisions.routing_table import EngineModel

__all__ = [
    "ALL_BUSY_REQUESTS",
    "all_engines_busy",
    "requests_in_flight",
    "typical_residence_s",
]

# With so many requests in flight on a domain each engine of its chain runs some, also
# where those of this entry run elsewhere.
ALL_BUSY_REQUESTS = 2.0


def all_engines_busy(
    engines: Sequence[EnginePlacement], model: EngineModel, arriving_rps: float
) -> bool:
    """Return whether a domain's engines with layers all count as running requests."""
    return requests_in_flight(engines, model, arriving_rps) >= ALL_BUSY_REQUESTS


def requests_in_flight(
    engines: Sequence[EnginePlacement], model: EngineModel, arriving_rps: float
) -> float:
    """Return how many requests are in flight on a domain at so many a second."""
    residence_s = typical_residence_s(engines, model)
    return min(arriving_rps * residence_s, float(model.max_sequences))


def typical_residence_s(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> float:
    """Return how long a usual request stays on the domain's engines at light load."""
    slowest = max(engines, key=lambda e: e.accelerator.step_factor)
    return stage_residence_s(slowest.accelerator, model, model.layer_count, 1.0) / 2
