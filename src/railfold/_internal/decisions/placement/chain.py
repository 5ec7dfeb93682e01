"""The chain that serves most over what engines hold, and what it could serve.

An engine may hold more layers than it runs. What it holds in vain leaves less memory
for requests, and can be given up at any time. So two figures tell of a chain: what it
serves now, and what it would serve if each of its engines held only what it runs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.rooms import (
    EngineRoom,
    max_layers,
    request_room,
)
from railfold._internal.decisions.placement.throughput import (
    room_levels,
    stage_residence_s,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = [
    "PlacedChain",
    "PlacedStage",
    "best_chain",
    "chain_throughput_rps",
    "least_room",
    "served_now_rps",
]

# How many ways to each layer are kept; two are enough where engines' ranges overlap
# by one neighbour's, the third is for copies.
_WAYS_KEPT = 3


@dataclass(frozen=True, slots=True)
class PlacedStage:
    """An engine, and the layers that it runs in a chain."""

    engine: EngineRoom
    layers: LayerRange

    def room(self, model: EngineModel) -> float:
        """Return how many usual requests fit if the engine holds only what it runs."""
        run = len(self.layers)
        return request_room(self.engine.accelerator, model, run, run)

    def room_now(self, model: EngineModel) -> float:
        """Return how many usual requests fit beside all that the engine holds."""
        held = len(self.engine.held or self.layers)
        return request_room(self.engine.accelerator, model, held, len(self.layers))


# The stages that a request passes, in order.
PlacedChain = list[PlacedStage]


def least_room(stages: Iterable[PlacedStage], model: EngineModel) -> float:
    """Return how many requests a chain takes if its engines hold only what they run."""
    return min(stage.room(model) for stage in stages)


def chain_throughput_rps(stages: Sequence[PlacedStage], model: EngineModel) -> float:
    """Return what a chain serves if its engines hold only what they run."""
    return _throughput_rps(stages, model, least_room(stages, model))


def served_now_rps(stages: Sequence[PlacedStage], model: EngineModel) -> float:
    """Return what a chain serves beside all that its engines hold."""
    requests = min(stage.room_now(model) for stage in stages)
    return _throughput_rps(stages, model, requests)


def _throughput_rps(
    stages: Sequence[PlacedStage], model: EngineModel, requests: float
) -> float:
    residence_s = sum(
        stage_residence_s(s.engine.accelerator, model, len(s.layers), requests)
        for s in stages
    )
    return requests / residence_s


def best_chain(engines: Iterable[EngineRoom], model: EngineModel) -> PlacedChain | None:
    """Return the chain that could serve most; nothing if layers are missing."""
    placed = [e for e in engines if e.held is not None]
    found = [
        chain
        for requests in room_levels(model)
        if (chain := _fastest_chain(placed, model, requests)) is not None
    ]
    return max(found, key=lambda c: chain_throughput_rps(c, model), default=None)


@dataclass(frozen=True, slots=True)
class _Reached:
    """The fastest way through the layers before one that ends at an engine."""

    residence_s: float
    stages: tuple[PlacedStage, ...]


def _fastest_chain(
    engines: Sequence[EngineRoom], model: EngineModel, requests: float
) -> PlacedChain | None:
    """Return the fastest chain whose engines have room for so many requests.

    A stage ends where its engine's range does, or where another one's begins.
    """
    ends = {e.held.last for e in engines if e.held}
    ends |= {e.held.first - 1 for e in engines if e.held}
    most = {e.accelerator: max_layers(e.accelerator, model, requests) for e in engines}
    reached: dict[int, dict[str, _Reached]] = {0: {"": _Reached(0.0, ())}}
    for layer in range(model.layer_count):
        ways = _fastest(reached.pop(layer, {}))
        for engine in engines if ways else ():
            for stage in _stages_from(engine, layer, ends, most[engine.accelerator]):
                so_far = _first_without(engine.server_id, ways)
                if so_far is None:
                    break
                added_s = stage_residence_s(
                    engine.accelerator, model, len(stage.layers), requests
                )
                way = _Reached(so_far.residence_s + added_s, (*so_far.stages, stage))
                at_end = reached.setdefault(stage.layers.last + 1, {})
                known = at_end.get(engine.server_id)
                if known is None or way.residence_s < known.residence_s:
                    at_end[engine.server_id] = way
    whole = _fastest(reached.get(model.layer_count, {}))
    return list(whole[0].stages) if whole else None


def _fastest(ways: dict[str, _Reached]) -> list[_Reached]:
    """Return the few fastest ways: one has to be left that an engine isn't in."""
    return sorted(ways.values(), key=lambda way: way.residence_s)[:_WAYS_KEPT]


def _first_without(server_id: str, ways: Sequence[_Reached]) -> _Reached | None:
    """Return the fastest way that an engine isn't part of: it runs one part."""
    for way in ways:
        if all(stage.engine.server_id != server_id for stage in way.stages):
            return way
    return None


def _stages_from(
    engine: EngineRoom, first: int, ends: set[int], most: int
) -> Iterable[PlacedStage]:
    """Yield what an engine may run from a layer on, ``most`` layers at most."""
    held = engine.held
    if held is None or not held.first <= first <= held.last:
        return
    for last in range(first, min(held.last, first + most - 1) + 1):
        if last in ends:
            yield PlacedStage(engine, LayerRange(first, last))
