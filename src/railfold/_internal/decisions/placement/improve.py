"""Improvements of the placement of a failure domain while it serves all layers.

An engine that runs requests isn't moved: to drop layers it has to drain, which takes as
long as its longest request. Instead, engines of the chain hand a few layers to their
neighbours, and redundant engines take over layers of the chain. A later plan drops the
layers that the chain no longer runs.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.additional_chains import (
    additional_chain_changes,
    spare_engines,
)
from railfold._internal.decisions.placement.chain import (
    PlacedChain,
    best_chain,
    chain_request_capacity,
    chain_throughput_rps,
    current_throughput_rps,
)
from railfold._internal.decisions.placement.copies import place_copies
from railfold._internal.decisions.placement.engines import (
    Changes,
    EnginePlacement,
    count_layers_to_load,
    max_layers,
    redundant_engines,
)
from railfold._internal.decisions.placement.parallel_chains import estimate_throughput
from railfold._internal.decisions.placement.rebalancing import (
    RebalancedChain,
    rebalanced_chains,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["improve"]

# A change is worth its loads if it multiplies the throughput by at least this factor.
# It exceeds the error of the estimate between similar loads (10%), so that plans don't
# oscillate.
_MIN_GAIN = 1.15

# The factor for changes that move engines with layers. Such an engine may run requests
# of other entries, and serves nothing until they have ended, which takes about as long
# as a repair is expected to last.
_MIN_GAIN_FOR_MOVES = 1.3


def improve(
    engines: Sequence[EnginePlacement],
    model: EngineModel,
    needed_rps: float,
    objective_s: float,
) -> Changes:
    """Return the next changes that raise the throughput and keep all layers covered.

    :param needed_rps: the demand on the domain in requests a second. While it is met,
        only empty engines get layers.
    :param objective_s: the longest time to a first event that is of use to a client.
    """
    if any(engine.order_pending for engine in engines):
        # Engines with layers change one step at a time, and a pending order is such a
        # step. Empty engines don't have to wait for it.
        return place_copies(engines, model, objective_s)
    chain = best_chain(engines, model)
    if chain is None:
        return {}
    served_rps = estimate_throughput(engines, model, objective_s).throughput_rps
    copied = place_copies(engines, model, objective_s)
    if served_rps >= needed_rps:
        return copied
    if copied:
        # Engines in use move only for a gain over what copies on empty ones achieve.
        after = _apply_changes(engines, copied)
        copied_rps = estimate_throughput(after, model, objective_s).throughput_rps
        served_rps = max(served_rps, copied_rps)
    baseline = _Baseline(served_rps, objective_s)
    return (
        _drop_unused_layers(engines, chain, model, baseline)
        or _add_chain(engines, model, baseline)
        or _rebalance(engines, chain, model, baseline, needed_rps)
        or copied
    )


@dataclass(frozen=True, slots=True)
class _Baseline:
    """The throughput that a change has to exceed.

    :param served_rps: throughput of the domain once its empty engines hold copies.
    :param objective_s: the longest time to a first event that is of use to a client.
    """

    served_rps: float
    objective_s: float

    def is_exceeded_by(self, served_rps: float, min_gain: float) -> bool:
        """Return whether a throughput is at least ``min_gain`` times the baseline."""
        return served_rps >= min_gain * self.served_rps


def _add_chain(
    engines: Sequence[EnginePlacement], model: EngineModel, baseline: _Baseline
) -> Changes:
    """Return layers for spare engines that add a chain, if it is worth the loads."""
    spares = spare_engines(engines, model)

    def rank(changes: Changes) -> tuple[float, int]:
        after = _apply_changes(engines, changes)
        served_rps = estimate_throughput(
            after, model, baseline.objective_s
        ).throughput_rps
        held_by_id = {e.server_id: e.held_layers for e in engines}
        loads = sum(
            count_layers_to_load(held_by_id[s], layers) for s, layers in changes.items()
        )
        return (served_rps, -loads)

    best = max(additional_chain_changes(engines, spares, model), key=rank, default=None)
    if best is None:
        return {}
    moves = any(e.held_layers is not None for e in engines if e.server_id in best)
    min_gain = _MIN_GAIN_FOR_MOVES if moves else _MIN_GAIN
    return best if baseline.is_exceeded_by(rank(best)[0], min_gain) else {}


def _apply_changes(
    engines: Sequence[EnginePlacement], changes: Changes
) -> Sequence[EnginePlacement]:
    return [
        replace(e, held_layers=changes.get(e.server_id, e.held_layers)) for e in engines
    ]


def _drop_unused_layers(
    engines: Sequence[EnginePlacement],
    chain: PlacedChain,
    model: EngineModel,
    baseline: _Baseline,
) -> Changes:
    """Return changes that drop layers which the chain doesn't run but which limit it.

    They are made only if the domain gains: other chains may run the dropped layers.
    """
    possible_rps = chain_throughput_rps(chain, model)
    if current_throughput_rps(chain, model) * _MIN_GAIN > possible_rps:
        return {}
    requests = chain_request_capacity(chain, model)
    changes: Changes = {}
    for stage in chain:
        engine = stage.engine
        assert engine.held_layers is not None
        if stage.current_request_capacity(model) < requests:
            layer_limit = max_layers(engine.accelerator, model, requests)
            size = max(len(stage.layers), layer_limit)
            changes[engine.server_id] = _trimmed(engine.held_layers, stage.layers, size)
    estimate = estimate_throughput(
        _apply_changes(engines, changes), model, baseline.objective_s
    )
    return (
        changes if baseline.is_exceeded_by(estimate.throughput_rps, _MIN_GAIN) else {}
    )


def _trimmed(held_layers: LayerRange, needed: LayerRange, size: int) -> LayerRange:
    """Return ``held_layers`` cut to ``size`` layers, without cutting ``needed``."""
    last = max(needed.last, min(held_layers.last, held_layers.first + size - 1))
    first = min(needed.first, max(held_layers.first, last - size + 1))
    return LayerRange(first, last)


def _rebalance(
    engines: Sequence[EnginePlacement],
    chain: PlacedChain,
    model: EngineModel,
    baseline: _Baseline,
    needed_rps: float,
) -> Changes:
    """Return the loads that raise the throughput most, if they are worth it."""

    def rank(candidate: RebalancedChain) -> tuple[float, int]:
        served_rps = min(needed_rps, chain_throughput_rps(candidate.chain, model))
        load_count = sum(len(layers) for layers in candidate.loads.values())
        return (served_rps, -load_count)

    spares = _movable_engines(engines, chain)
    chain_rps = chain_throughput_rps(chain, model)
    required_rps = min(needed_rps, _MIN_GAIN * chain_rps)
    best = max(rebalanced_chains(chain, spares, model), key=rank, default=None)
    if best is None or rank(best)[0] < required_rps:
        return {}
    trimmed = {stage.engine.server_id: stage.layers for stage in best.chain}
    after = _apply_changes(engines, trimmed)
    estimate = estimate_throughput(after, model, baseline.objective_s)
    return (
        best.loads
        if baseline.is_exceeded_by(estimate.throughput_rps, _MIN_GAIN)
        else {}
    )


def _movable_engines(
    engines: Sequence[EnginePlacement], chain: PlacedChain
) -> list[EnginePlacement]:
    """Return idle redundant engines outside of a chain, the fastest first."""
    used_ids = {stage.engine.server_id for stage in chain}
    redundant = redundant_engines(engines)
    movable = [e for e in redundant if e.server_id not in used_ids and not e.busy]
    return sorted(movable, key=lambda e: e.accelerator.step_factor)
