"""Improving the placement of a failure domain that is whole, while it serves.

No engine that runs requests moves: giving layers up waits for the requests there,
which takes as long as the longest of them. Instead engines of the chain hand a few
layers to the ones beside them, and engines that aren't needed where they are take
layers of the chain over. What the chain then doesn't run is given up.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.chain import (
    PlacedStage,
    best_chain,
    chain_throughput_rps,
    least_room,
    served_now_rps,
)
from railfold._internal.decisions.placement.copies import copies
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    covers,
    is_needless,
    max_layers,
    request_room,
)
from railfold._internal.decisions.placement.throughput import room_levels
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["improve"]

Chain = list[PlacedStage]

# A change is worth its loads if the domain then serves this much more: above the
# reckoning's error at like loads (a tenth), so that plans don't change to and fro.
_LEAST_GAIN = 1.15

# While it loads beside what it holds, an engine keeps this part of its room for
# requests: those that run there still have to grow to their end.
_ROOM_KEPT = 0.5


def improve(
    engines: Sequence[EngineRoom], model: EngineModel, needed_rps: float
) -> Changes:
    """Return the next changes that let a domain serve more; it stays whole.

    :param needed_rps: how many requests a second are wanted of it; none of its
        chain's layers move while it serves so many.
    """
    if any(engine.under_order for engine in engines):
        return {}  # One step after the other.
    chain = best_chain(engines, model)
    if chain is None:
        return {}
    if served_now_rps(chain, model) < needed_rps:
        changes = _give_up(chain, model) or _relieve(engines, chain, model, needed_rps)
        if changes:
            return changes
    return copies(engines, model)


def _give_up(chain: Chain, model: EngineModel) -> Changes:
    """Let the chain's engines give up what keeps it from serving what it could."""
    could_rps = chain_throughput_rps(chain, model)
    if served_now_rps(chain, model) * _LEAST_GAIN > could_rps:
        return {}
    requests = least_room(chain, model)
    changes: Changes = {}
    for stage in chain:
        engine = stage.engine
        assert engine.held is not None
        if stage.room_now(model) < requests:
            most = max_layers(engine.accelerator, model, requests)
            size = max(len(stage.layers), most)
            changes[engine.server_id] = _trimmed(engine.held, stage.layers, size)
    return changes


def _trimmed(held: LayerRange, needed: LayerRange, size: int) -> LayerRange:
    """Return a range without layers at its ends that aren't needed, if over size."""
    last = max(needed.last, min(held.last, held.first + size - 1))
    first = min(needed.first, max(held.first, last - size + 1))
    return LayerRange(first, last)


# Ways to relieve a chain


@dataclass(frozen=True, slots=True)
class _Relief:
    """A chain that could serve more, and the loads that lead to it."""

    chain: Chain
    loads: Changes


def _relieve(
    engines: Sequence[EngineRoom],
    chain: Chain,
    model: EngineModel,
    needed_rps: float,
) -> Changes:
    """Return the loads that let the domain serve the most more, if it is worth it."""

    def worth(relief: _Relief) -> tuple[float, int]:
        served_rps = min(needed_rps, chain_throughput_rps(relief.chain, model))
        loaded = sum(len(layers) for layers in relief.loads.values())
        return (served_rps, -loaded)

    spares = _spares(engines, chain)
    reliefs = itertools.chain(
        _handovers(chain, spares, model), _insertions(chain, spares, model)
    )
    wanted_rps = min(needed_rps, _LEAST_GAIN * chain_throughput_rps(chain, model))
    best = max(reliefs, key=worth, default=None)
    if best is None or worth(best)[0] < wanted_rps:
        return {}
    return best.loads


def _spares(engines: Sequence[EngineRoom], chain: Chain) -> list[EngineRoom]:
    """Return engines that may move, fast ones first."""
    used = {stage.engine.server_id for stage in chain}
    free = [
        e
        for e in engines
        if e.server_id not in used and not e.busy and is_needless(e, engines)
    ]
    return sorted(free, key=lambda e: e.accelerator.step_factor)


def _insertions(
    chain: Chain, spares: Sequence[EngineRoom], model: EngineModel
) -> Iterable[_Relief]:
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
                    yield _Relief(stages, {spare.server_id: taken})


def _worth_beginning_at(chain: Chain, model: EngineModel) -> set[int]:
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


def _overlaid(chain: Chain, spare: EngineRoom, taken: LayerRange) -> Chain:
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


def _handovers(
    chain: Chain, spares: Sequence[EngineRoom], model: EngineModel
) -> Iterable[_Relief]:
    """Yield chains whose engines all have room for more and more requests.

    Those without it hand layers to the engines beside them, or to spare ones.
    """
    for requests in room_levels(model):
        relief = _with_room(chain, spares, model, requests)
        if relief is not None:
            yield relief


def _with_room(
    chain: Chain, spares: Sequence[EngineRoom], model: EngineModel, requests: float
) -> _Relief | None:
    """Return a chain whose engines all have room for so many requests."""
    left = list(spares)
    stages: Chain = []
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
    return None if loads is None else _Relief(stages, loads)


def _to_neighbour(
    following: PlacedStage | None, excess: int, model: EngineModel, requests: float
) -> int:
    """Return how many layers the next stage takes over."""
    if following is None:
        return 0
    most = max_layers(following.engine.accelerator, model, requests)
    return max(0, min(excess, most - len(following.layers)))


def _loads(stages: Chain, spares: set[str], model: EngineModel) -> Changes | None:
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
