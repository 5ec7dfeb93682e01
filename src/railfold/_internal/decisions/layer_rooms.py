"""Engines with memory for layers and requests, and what their layers cover."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["CROWDED_ROOM", "EngineRoom", "coverage", "max_layers", "uncovered_layers"]

# The part of a full batch of usual requests that an engine should have memory for;
# one with less is crowded.
CROWDED_ROOM = 0.5


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """An engine that may be given layers.

    :param held: the layers it holds now.
    """

    server_id: str
    accelerator: Accelerator
    held: LayerRange | None


def uncovered_layers(
    ranges: Iterable[LayerRange | None], layer_count: int
) -> list[LayerRange]:
    """Return the runs of layers that are in none of the ranges."""
    covered = [False] * layer_count
    for layers in ranges:
        if layers is not None:
            for layer in range(layers.first, layers.last + 1):
                covered[layer] = True
    gaps: list[LayerRange] = []
    first: int | None = None
    for layer in range(layer_count + 1):
        missing = layer < layer_count and not covered[layer]
        if missing and first is None:
            first = layer
        elif not missing and first is not None:
            gaps.append(LayerRange(first, layer - 1))
            first = None
    return gaps


def max_layers(engine: EngineRoom, model: EngineModel, room: float) -> int:
    """Return how many layers fit beside the memory for requests.

    :param room: that memory, as a part of what a full batch of usual requests needs.
    """
    tokens = room * model.max_sequences * model.mean_tokens
    per_layer_mb = model.layer_mb + tokens * model.request_mb_per_token
    most = int(engine.accelerator.memory_mb / per_layer_mb)
    return min(most, model.layer_count)


def coverage(engines: Iterable[EngineRoom]) -> Counter[int]:
    """Return by how many engines each layer is held."""
    counts: Counter[int] = Counter()
    for engine in engines:
        if engine.held:
            counts.update(range(engine.held.first, engine.held.last + 1))
    return counts
