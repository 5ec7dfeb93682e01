"""Estimates of the requests in flight on a failure domain, from the arrival rate.

An entry knows which engines run its own requests, but not which run those of other
entries. An engine that drops layers while it runs requests serves no new ones until the
last of them has ended, so plans have to assume the requests of other entries too.
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

# From this many requests in flight on a domain, every engine of its chain is assumed to
# run some, even if it runs none of this entry.
ALL_BUSY_REQUESTS = 2.0


def all_engines_busy(
    engines: Sequence[EnginePlacement], model: EngineModel, arriving_rps: float
) -> bool:
    """Return whether all engines of a domain that hold layers count as busy.

    :param arriving_rps: requests a second that arrive for these engines.
    """
    return requests_in_flight(engines, model, arriving_rps) >= ALL_BUSY_REQUESTS


def requests_in_flight(
    engines: Sequence[EnginePlacement], model: EngineModel, arriving_rps: float
) -> float:
    """Return how many requests are in flight on a domain at an arrival rate.

    The result is at most ``model.max_sequences``.
    """
    residence_s = typical_residence_s(engines, model)
    return min(arriving_rps * residence_s, float(model.max_sequences))


def typical_residence_s(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> float:
    """Return how long a typical request runs on the domain's engines at light load.

    That is half of the time that it would take on the slowest engine alone.
    """
    slowest = max(engines, key=lambda e: e.accelerator.step_factor)
    return stage_residence_s(slowest.accelerator, model, model.layer_count, 1.0) / 2
