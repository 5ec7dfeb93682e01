"""Chains that could serve more than the best one of a failure domain that is whole.

Engines of the chain hand layers to the ones beside them, or spare engines take some
over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.chain import PlacedChain, PlacedStage
from railfold._internal.decisions.placement.engines import (
    Changes,
    EnginePlacement,
    covers,
    max_layers,
    request_capacity,
)
from railfold._internal.decisions.placement.throughput import concurrency_levels
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["RebalancedChain", "rebalanced_chains"]

# While it loads beside what it holds, an engine keeps this part of its room for
# requests: those that run there still have to grow to their end.
_CAPACITY_SHARE_KEPT = 0.5


@dataclass(frozen=True, slots=True)
class RebalancedChain:
    """A chain that could serve more, and the loads that lead to it."""

    chain: PlacedChain
    loads: Changes


def rebalanced_chains(
    chain: PlacedChain, spares: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[RebalancedChain]:
    """Yield chains that could relieve this one, and their loads.

    :param spares: engines that may move, fast ones first.
    """
    yield from _handovers(chain, spares, model)
    yield from _insertions(chain, spares, model)


# Handing layers on


def _handovers(
    chain: PlacedChain, spares: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[RebalancedChain]:
    """Yield chains whose engines all have room for more and more requests.

    Those without it hand layers to the engines beside them, or to spare ones.
    """
    for requests in concurrency_levels(model):
        rebalanced = _chain_with_capacity(chain, spares, model, requests)
        if rebalanced is not None:
            yield rebalanced


def _chain_with_capacity(
    chain: PlacedChain,
    spares: Sequence[EnginePlacement],
    model: EngineModel,
    requests: float,
) -> RebalancedChain | None:
    """Return a chain whose engines all have room for so many requests."""
    remaining = list(spares)
    stages: PlacedChain = []
    first = 0
    for index, stage in enumerate(chain):
        size = stage.layers.last - first + 1
        if size <= 0:
            continue  # The stages before took it all.
        layer_limit = max_layers(stage.engine.accelerator, model, requests)
        if size > layer_limit:
            next_stage = chain[index + 1] if index + 1 < len(chain) else None
            handed_over = _layers_taken_by_next(
                next_stage, size - layer_limit, model, requests
            )
            size -= handed_over
        while size > layer_limit:
            spare = remaining.pop(0) if remaining else None
            if spare is None:
                return None
            part_size = min(
                size - layer_limit, max_layers(spare.accelerator, model, requests)
            )
            if part_size <= 0:
                return None
            stages.append(PlacedStage(spare, LayerRange(first, first + part_size - 1)))
            first, size = first + part_size, size - part_size
        if size > 0:
            stages.append(
                PlacedStage(stage.engine, LayerRange(first, first + size - 1))
            )
            first += size
    if first != model.layer_count:
        return None
    loads = _required_loads(stages, {e.server_id for e in spares}, model)
    return None if loads is None else RebalancedChain(stages, loads)


def _layers_taken_by_next(
    next_stage: PlacedStage | None, excess: int, model: EngineModel, requests: float
) -> int:
    """Return how many layers the next stage takes over."""
    if next_stage is None:
        return 0
    layer_limit = max_layers(next_stage.engine.accelerator, model, requests)
    return max(0, min(excess, layer_limit - len(next_stage.layers)))


def _required_loads(
    stages: PlacedChain, spare_ids: set[str], model: EngineModel
) -> Changes | None:
    """Return what engines have to load for a chain; nothing if they can't.

    Engines of the chain load beside what they hold, so that it stays whole.
    """
    loads: Changes = {}
    for stage in stages:
        engine = stage.engine
        if engine.held_layers is not None and covers(engine.held_layers, stage.layers):
            continue
        target: LayerRange | None = stage.layers
        if engine.server_id not in spare_ids:
            target = _layers_while_loading(engine, stage.layers, model)
        if target is None:
            return None
        loads[engine.server_id] = target
    return loads


def _layers_while_loading(
    engine: EnginePlacement, layers: LayerRange, model: EngineModel
) -> LayerRange | None:
    """Return what an engine holds while it loads beside what it runs."""
    held_layers = engine.held_layers
    assert held_layers is not None
    combined = LayerRange(
        min(held_layers.first, layers.first), max(held_layers.last, layers.last)
    )
    capacity = request_capacity(
        engine.accelerator, model, len(held_layers), len(held_layers)
    )
    layer_limit = max_layers(
        engine.accelerator, model, max(1.0, _CAPACITY_SHARE_KEPT * capacity)
    )
    return combined if len(combined) <= layer_limit else None


# Putting spare engines in


def _insertions(
    chain: PlacedChain, spares: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[RebalancedChain]:
    """Yield chains into which a spare engine was put, one of each kind."""
    firsts = _insertion_points(chain, model)
    for spare in {e.accelerator: e for e in reversed(spares)}.values():
        sizes = {
            max_layers(spare.accelerator, model, r) for r in concurrency_levels(model)
        }
        ends = {stage.layers.last + 1 for stage in chain}
        for size in sizes - {0}:
            for first in firsts | {end - size for end in ends}:
                if first >= 0 and first + size <= model.layer_count:
                    inserted = LayerRange(first, first + size - 1)
                    stages = _with_inserted_stage(chain, spare, inserted)
                    yield RebalancedChain(stages, {spare.server_id: inserted})


def _insertion_points(chain: PlacedChain, model: EngineModel) -> set[int]:
    """Return layers from which on another engine could relieve a chain.

    They are where its stages begin, and where one reaches what it holds well.
    """
    firsts = {stage.layers.first for stage in chain}
    for stage in chain:
        for requests in concurrency_levels(model):
            layer_limit = max_layers(stage.engine.accelerator, model, requests)
            if layer_limit < len(stage.layers):
                firsts.add(stage.layers.first + layer_limit)
    return firsts


def _with_inserted_stage(
    chain: PlacedChain, spare: EnginePlacement, inserted: LayerRange
) -> PlacedChain:
    """Return a chain in which another engine runs these layers."""
    before, after = [], []
    for stage in chain:
        layers = stage.layers
        if layers.first < inserted.first:
            last = min(layers.last, inserted.first - 1)
            before.append(PlacedStage(stage.engine, LayerRange(layers.first, last)))
        if layers.last > inserted.last:
            first = max(layers.first, inserted.last + 1)
            after.append(PlacedStage(stage.engine, LayerRange(first, layers.last)))
    return [*before, PlacedStage(spare, inserted), *after]
