"""Chains that may serve more than the best one of a failure domain.

Engines of the best chain hand layers to their neighbours, or spare engines take some
layers over.
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

# An engine that loads layers in addition to those that it holds keeps this share of its
# request capacity, since the state of its requests in flight still grows.
_CAPACITY_SHARE_KEPT = 0.5


@dataclass(frozen=True, slots=True)
class RebalancedChain:
    """A chain and the layers that engines have to hold for it.

    :param loads: layers by engine, only for engines that have to load some.
    """

    chain: PlacedChain
    loads: Changes


def rebalanced_chains(
    chain: PlacedChain, spares: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[RebalancedChain]:
    """Yield variants of a chain that relieve its engines, with their loads.

    :param spares: engines that may move, fast ones first.
    """
    yield from _handovers(chain, spares, model)
    yield from _insertions(chain, spares, model)


# Handovers between engines of the chain


def _handovers(
    chain: PlacedChain, spares: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[RebalancedChain]:
    """Yield a chain for each concurrency level whose engines have capacity for it.

    Engines without the capacity hand layers to the next stage or to spare engines.
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
    """Return a chain whose engines have capacity for ``requests``, or ``None``."""
    remaining = list(spares)
    stages: PlacedChain = []
    first = 0
    for index, stage in enumerate(chain):
        size = stage.layers.last - first + 1
        if size <= 0:
            continue  # The previous stages took over all its layers.
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
    """Return how many of ``excess`` layers the next stage has memory for."""
    if next_stage is None:
        return 0
    layer_limit = max_layers(next_stage.engine.accelerator, model, requests)
    return max(0, min(excess, layer_limit - len(next_stage.layers)))


def _required_loads(
    stages: PlacedChain, spare_ids: set[str], model: EngineModel
) -> Changes | None:
    """Return the layers that engines have to hold for a chain.

    Engines of the present chain keep their layers while they load, so that all layers
    stay covered.

    :returns: ``None`` if one of them lacks memory for that.
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
    """Return the layers that an engine holds if it loads some and drops none.

    :returns: ``None`` if too little memory is left for its requests.
    """
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


# Insertions of spare engines


def _insertions(
    chain: PlacedChain, spares: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[RebalancedChain]:
    """Yield chains with a spare engine inserted, one for each kind of accelerator."""
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
    """Return the layers at which an inserted stage may begin.

    These are the first layers of stages, and the layers up to which the engine of a
    stage has memory for some concurrency level.
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
    """Return a chain in which a spare engine runs the layers ``inserted``."""
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
