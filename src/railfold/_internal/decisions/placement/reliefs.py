"""Chains that could serve more than the best one of a failure domain that is whole.

Engines of the chain hand layers to the ones beside them, or spare engines take some
over.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.chain import PlacedChain, PlacedStage
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    covers,
    max_layers,
    request_room,
)
from railfold._internal.decisions.placement.throughput import room_levels
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["Relief", "reliefs"]

# While it loads beside what it holds, an engine keeps this part of its room for
# requests: those that run there still have to grow to their end.
_ROOM_KEPT = 0.5


@dataclass(frozen=True, slots=True)
class Relief:
    """A chain that could serve more, and the loads that lead to it."""

    chain: PlacedChain
    loads: Changes


def reliefs(
    chain: PlacedChain, spares: Sequence[EngineRoom], model: EngineModel
) -> Iterable[Relief]:
    """Yield chains that could relieve this one, and their loads.

    :param spares: engines that may move, fast ones first.
    """
    yield from _handovers(chain, spares, model)
    yield from _insertions(chain, spares, model)


# Handing layers on


def _handovers(
    chain: PlacedChain, spares: Sequence[EngineRoom], model: EngineModel
) -> Iterable[Relief]:
    """Yield chains whose engines all have room for more and more requests.

    Those without it hand layers to the engines beside them, or to spare ones.
    """
    for requests in room_levels(model):
        relief = _with_room(chain, spares, model, requests)
        if relief is not None:
            yield relief


def _with_room(
    chain: PlacedChain,
    spares: Sequence[EngineRoom],
    model: EngineModel,
    requests: float,
) -> Relief | None:
    """Return a chain whose engines all have room for so many requests."""
    left = list(spares)
    stages: PlacedChain = []
    first = 0
    for index, stage in enumerate(chain):
        size = stage.layers.last - first + 1
        if size <= 0:
            continue  # The stages before took it all.
        most = max_layers(stage.engine.accelerator, model, requests)
        if size > most:
            following = chain[index + 1] if index + 1 < len(chain) else None
            give = _to_neighbour(following, size - most, model, requests)
            size -= give
        while size > most:
            spare = left.pop(0) if left else None
            if spare is None:
                return None
            part = min(size - most, max_layers(spare.accelerator, model, requests))
            if part <= 0:
                return None
            stages.append(PlacedStage(spare, LayerRange(first, first + part - 1)))
            first, size = first + part, size - part
        if size > 0:
            stages.append(
                PlacedStage(stage.engine, LayerRange(first, first + size - 1))
            )
            first += size
    if first != model.layer_count:
        return None
    loads = _loads(stages, {e.server_id for e in spares}, model)
    return None if loads is None else Relief(stages, loads)


def _to_neighbour(
    following: PlacedStage | None, excess: int, model: EngineModel, requests: float
) -> int:
    """Return how many layers the next stage takes over."""
    if following is None:
        return 0
    most = max_layers(following.engine.accelerator, model, requests)
    return max(0, min(excess, most - len(following.layers)))


def _loads(stages: PlacedChain, spares: set[str], model: EngineModel) -> Changes | None:
    """Return what engines have to load for a chain; nothing if they can't.

    Engines of the chain load beside what they hold, so that it stays whole.
    """
    loads: Changes = {}
    for stage in stages:
        engine = stage.engine
        if engine.held is not None and covers(engine.held, stage.layers):
            continue
        target: LayerRange | None = stage.layers
        if engine.server_id not in spares:
            target = _beside(engine, stage.layers, model)
        if target is None:
            return None
        loads[engine.server_id] = target
    return loads


def _beside(
    engine: EngineRoom, layers: LayerRange, model: EngineModel
) -> LayerRange | None:
    """Return what an engine holds while it loads beside what it runs."""
    held = engine.held
    assert held is not None
    both = LayerRange(min(held.first, layers.first), max(held.last, layers.last))
    room = request_room(engine.accelerator, model, len(held), len(held))
    most = max_layers(engine.accelerator, model, max(1.0, _ROOM_KEPT * room))
    return both if len(both) <= most else None


# Putting spare engines in


def _insertions(
    chain: PlacedChain, spares: Sequence[EngineRoom], model: EngineModel
) -> Iterable[Relief]:
    """Yield chains into which a spare engine was put, one of each kind."""
    firsts = _worth_beginning_at(chain, model)
    for spare in {e.accelerator: e for e in reversed(spares)}.values():
        sizes = {max_layers(spare.accelerator, model, r) for r in room_levels(model)}
        ends = {stage.layers.last + 1 for stage in chain}
        for size in sizes - {0}:
            for first in firsts | {end - size for end in ends}:
                if first >= 0 and first + size <= model.layer_count:
                    taken = LayerRange(first, first + size - 1)
                    stages = _overlaid(chain, spare, taken)
                    yield Relief(stages, {spare.server_id: taken})


def _worth_beginning_at(chain: PlacedChain, model: EngineModel) -> set[int]:
    """Return layers from which on another engine could relieve a chain.

    They are where its stages begin, and where one reaches what it holds well.
    """
    firsts = {stage.layers.first for stage in chain}
    for stage in chain:
        for requests in room_levels(model):
            most = max_layers(stage.engine.accelerator, model, requests)
            if most < len(stage.layers):
                firsts.add(stage.layers.first + most)
    return firsts


def _overlaid(chain: PlacedChain, spare: EngineRoom, taken: LayerRange) -> PlacedChain:
    """Return a chain in which another engine runs these layers."""
    before, after = [], []
    for stage in chain:
        layers = stage.layers
        if layers.first < taken.first:
            last = min(layers.last, taken.first - 1)
            before.append(PlacedStage(stage.engine, LayerRange(layers.first, last)))
        if layers.last > taken.last:
            first = max(layers.first, taken.last + 1)
            after.append(PlacedStage(stage.engine, LayerRange(first, layers.last)))
    return [*before, PlacedStage(spare, taken), *after]
