"""The chain with the highest throughput over the layers that engines hold.

An engine may hold more layers than it runs in a chain. The other layers take memory
from requests, and the engine can drop them at any time. A chain therefore has two
throughputs: the current one, and the one that it reaches if each of its engines holds
only the layers that it runs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.engines import (
    EnginePlacement,
    max_layers,
    request_capacity,
)
from railfold._internal.decisions.placement.throughput import (
    concurrency_levels,
    stage_residence_s,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = [
    "PlacedChain",
    "PlacedStage",
    "best_chain",
    "chain_request_capacity",
    "chain_throughput_rps",
    "current_throughput_rps",
]

# The search keeps this many fastest paths to each layer. Two suffice if the range of an
# engine overlaps with that of one neighbour; the third allows for copies of layers.
_PATHS_KEPT = 3


@dataclass(frozen=True, slots=True)
class PlacedStage:
    """An engine and the layers that it runs in a chain."""

    engine: EnginePlacement
    layers: LayerRange

    def request_capacity(self, model: EngineModel) -> float:
        """Return how many typical requests fit if the engine holds only its stage."""
        run_count = len(self.layers)
        return request_capacity(self.engine.accelerator, model, run_count, run_count)

    def current_request_capacity(self, model: EngineModel) -> float:
        """Return how many typical requests fit beside all layers that it holds now."""
        held_count = len(self.engine.held_layers or self.layers)
        return request_capacity(
            self.engine.accelerator, model, held_count, len(self.layers)
        )


# The stages of a chain in the order in which a request passes them.
PlacedChain = list[PlacedStage]


def chain_request_capacity(stages: Iterable[PlacedStage], model: EngineModel) -> float:
    """Return how many requests fit on a chain whose engines hold only their stages."""
    return min(stage.request_capacity(model) for stage in stages)


def chain_throughput_rps(stages: Sequence[PlacedStage], model: EngineModel) -> float:
    """Return the throughput of a chain whose engines hold only their stages."""
    return _throughput_rps(stages, model, chain_request_capacity(stages, model))


def current_throughput_rps(stages: Sequence[PlacedStage], model: EngineModel) -> float:
    """Return the throughput of a chain with all layers that its engines hold now."""
    requests = min(stage.current_request_capacity(model) for stage in stages)
    return _throughput_rps(stages, model, requests)


def _throughput_rps(
    stages: Sequence[PlacedStage], model: EngineModel, requests: float
) -> float:
    residence_s = sum(
        stage_residence_s(s.engine.accelerator, model, len(s.layers), requests)
        for s in stages
    )
    return requests / residence_s


def best_chain(
    engines: Iterable[EnginePlacement], model: EngineModel
) -> PlacedChain | None:
    """Return the chain with the highest throughput, or ``None`` if layers are missing.

    The throughput is that of engines that hold only their stages.
    """
    placed = [e for e in engines if e.held_layers is not None]
    chains = [
        chain
        for requests in concurrency_levels(model)
        if (chain := _fastest_chain(placed, model, requests)) is not None
    ]
    return max(chains, key=lambda c: chain_throughput_rps(c, model), default=None)


@dataclass(frozen=True, slots=True)
class _Path:
    """The fastest chain over the first layers whose last stage is on a given engine.

    :param residence_s: how long a typical request spends at its stages.
    """

    residence_s: float
    stages: tuple[PlacedStage, ...]


def _fastest_chain(
    engines: Sequence[EnginePlacement], model: EngineModel, requests: float
) -> PlacedChain | None:
    """Return the fastest chain whose engines have capacity for ``requests`` requests.

    A stage ends where the range of its engine ends, or where another range begins.
    """
    stage_ends = {e.held_layers.last for e in engines if e.held_layers}
    stage_ends |= {e.held_layers.first - 1 for e in engines if e.held_layers}
    layer_limits = {
        e.accelerator: max_layers(e.accelerator, model, requests) for e in engines
    }
    paths_to: dict[int, dict[str, _Path]] = {0: {"": _Path(0.0, ())}}
    for layer in range(model.layer_count):
        paths = _fastest_paths(paths_to.pop(layer, {}))
        for engine in engines if paths else ():
            for stage in _possible_stages(
                engine, layer, stage_ends, layer_limits[engine.accelerator]
            ):
                previous = _fastest_path_without(engine.server_id, paths)
                if previous is None:
                    break
                added_s = stage_residence_s(
                    engine.accelerator, model, len(stage.layers), requests
                )
                path = _Path(previous.residence_s + added_s, (*previous.stages, stage))
                paths_to_end = paths_to.setdefault(stage.layers.last + 1, {})
                existing = paths_to_end.get(engine.server_id)
                if existing is None or path.residence_s < existing.residence_s:
                    paths_to_end[engine.server_id] = path
    complete = _fastest_paths(paths_to.get(model.layer_count, {}))
    return list(complete[0].stages) if complete else None


def _fastest_paths(paths: dict[str, _Path]) -> list[_Path]:
    """Return the fastest paths.

    Several are kept so that one is left that doesn't contain the next stage's engine.
    """
    return sorted(paths.values(), key=lambda path: path.residence_s)[:_PATHS_KEPT]


def _fastest_path_without(server_id: str, paths: Sequence[_Path]) -> _Path | None:
    """Return the fastest path without an engine, which may run only one stage."""
    for path in paths:
        if all(stage.engine.server_id != server_id for stage in path.stages):
            return path
    return None


def _possible_stages(
    engine: EnginePlacement, first: int, stage_ends: set[int], layer_limit: int
) -> Iterable[PlacedStage]:
    """Yield the stages of up to ``layer_limit`` layers that an engine can begin."""
    held_layers = engine.held_layers
    if held_layers is None or not held_layers.first <= first <= held_layers.last:
        return
    for last in range(first, min(held_layers.last, first + layer_limit - 1) + 1):
        if last in stage_ends:
            yield PlacedStage(engine, LayerRange(first, last))
