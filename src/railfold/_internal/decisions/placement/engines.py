"""The layers and the memory of engines, and the layers that engines cover together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = [
    "Changes",
    "EnginePlacement",
    "count_holders",
    "count_layers_to_load",
    "covers",
    "max_layers",
    "redundant_engines",
    "request_capacity",
    "uncovered_ranges",
]

# The layers that engines should hold, by server id. Other engines keep their layers.
Changes = dict[str, LayerRange]

# Keeps rounding errors from making an engine that is exactly full count as overfull.
_ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class EnginePlacement:
    """An engine and the layers placed on it.

    :param held_layers: the layers that it holds or was ordered to hold; ``None`` if it
        is empty.
    :param order_pending: whether it still has to complete an order.
    :param busy: whether it is assumed to run requests. It drops layers only after these
        have ended.
    """

    server_id: str
    accelerator: Accelerator
    held_layers: LayerRange | None
    order_pending: bool = False
    busy: bool = False


def uncovered_ranges(
    ranges: Iterable[LayerRange | None], layer_count: int
) -> list[LayerRange]:
    """Return the gaps between the ranges, as ranges.

    The ranges come from engines' registrations, which aren't validated: they may extend
    beyond the model.
    """
    covered = [False] * layer_count
    for layers in ranges:
        if layers is not None:
            end = min(layers.last + 1, layer_count)
            for layer in range(max(0, layers.first), end):
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


def max_layers(accelerator: Accelerator, model: EngineModel, requests: float) -> int:
    """Return how many layers fit beside the state of ``requests`` typical requests."""
    state_mb = requests * model.mean_tokens * model.request_mb_per_token
    layer_limit = int(accelerator.memory_mb / (model.layer_mb + state_mb))
    return min(layer_limit, model.layer_count)


def request_capacity(
    accelerator: Accelerator, model: EngineModel, held_count: int, run_count: int
) -> float:
    """Return how many typical requests fit beside the layers that an engine holds.

    :param held_count: how many layers it holds.
    :param run_count: how many of them a request runs there, at least one.
    """
    free_mb = accelerator.memory_mb - held_count * model.layer_mb
    request_mb = run_count * model.mean_tokens * model.request_mb_per_token
    return min(
        float(model.max_sequences), max(0.0, free_mb / request_mb) + _ROUNDING_TOLERANCE
    )


def count_holders(ranges: Iterable[LayerRange | None]) -> Counter[int]:
    """Return the number of ranges that contain each layer."""
    counts: Counter[int] = Counter()
    for layers in ranges:
        if layers is not None:
            counts.update(range(layers.first, layers.last + 1))
    return counts


def redundant_engines(engines: Iterable[EnginePlacement]) -> list[EnginePlacement]:
    """Return the engines all of whose layers other engines hold as well.

    Each one is redundant on its own; if it drops its layers, others may no longer be.
    """
    members = list(engines)
    holder_counts = count_holders(e.held_layers for e in members)
    return [
        e
        for e in members
        if e.held_layers is None
        or all(
            holder_counts[n] > 1
            for n in range(e.held_layers.first, e.held_layers.last + 1)
        )
    ]


def covers(outer: LayerRange | None, inner: LayerRange) -> bool:
    """Return whether a range contains all of another."""
    if outer is None:
        return False
    return outer.first <= inner.first and inner.last <= outer.last


def count_layers_to_load(held_layers: LayerRange | None, target: LayerRange) -> int:
    """Return how many layers of ``target`` an engine doesn't hold yet."""
    if held_layers is None:
        return len(target)
    kept = min(held_layers.last, target.last) - max(held_layers.first, target.first) + 1
    return len(target) - max(0, kept)
