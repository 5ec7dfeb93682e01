"""Plans of the layers that the engines of one failure domain should hold next.

Every failure domain holds a complete chain if it can, since stages send activations to
each other and this traffic is expensive between domains. The first plan spreads the
layers for the highest throughput and fills the remaining memory with copies of the
neighbours' layers. Later plans restore lost layers, or improve the total throughput of
all chains.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from math import inf

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.copies import place_safest_copies
from railfold._internal.decisions.placement.engines import (
    Changes,
    EnginePlacement,
    max_layers,
    uncovered_ranges,
)
from railfold._internal.decisions.placement.improve import improve
from railfold._internal.decisions.placement.repair import repair
from railfold._internal.decisions.placement.spread import best_spread
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["plan_layers"]


def plan_layers(
    engines: Iterable[EnginePlacement],
    model: EngineModel,
    needed_rps: float = inf,
    objective_s: float = inf,
) -> Changes:
    """Return the layers that each engine of one failure domain should hold next.

    Engines that aren't in the result keep their layers. The result is empty if no
    change is an improvement, or if the engines together can't hold all layers.

    :param needed_rps: the demand on the domain in requests a second; infinite if it
        isn't known, which asks for the highest throughput.
    :param objective_s: the longest time to a first event that is of use to a client.
    """
    ordered = sorted(engines, key=lambda engine: engine.server_id)
    if not any(engine.held_layers for engine in ordered):
        return _initial_plan(ordered, model)
    if uncovered_ranges((e.held_layers for e in ordered), model.layer_count):
        return repair(ordered, model, needed_rps) or {}
    return improve(ordered, model, needed_rps, objective_s)


def _initial_plan(engines: Sequence[EnginePlacement], model: EngineModel) -> Changes:
    spread = best_spread(engines, model)
    if spread is None:
        return {}
    plan = {
        engine.server_id: _widened(
            spread.layers[engine.server_id],
            max_layers(engine.accelerator, model, spread.requests),
            model.layer_count,
        )
        for engine in engines
        if engine.server_id in spread.layers
    }
    placed = [replace(e, held_layers=plan.get(e.server_id)) for e in engines]
    return plan | place_safest_copies(placed, model)


def _widened(layers: LayerRange, max_size: int, layer_count: int) -> LayerRange:
    """Return a range extended on both sides to ``max_size`` layers."""
    extra = max_size - len(layers)
    before = min(layers.first, extra // 2)
    after = min(layer_count - 1 - layers.last, extra - before)
    before = min(layers.first, extra - after)
    return LayerRange(layers.first - before, layers.last + after)
