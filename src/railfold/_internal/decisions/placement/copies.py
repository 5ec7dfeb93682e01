"""Copies of layers on engines that a domain's chain doesn't need.

A dead engine whose layers others hold costs its streams no load: they go on over the
copies.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    coverage,
    covers,
    max_layers,
)
from railfold._internal.decisions.placement.throughput import room_levels
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["copies"]

# A copy leaves its engine room for this part of a full batch at least, so that it can
# stand in for an engine of a chain that is busy.
_LEAST_ROOM = 0.25


def copies(engines: Sequence[EngineRoom], model: EngineModel) -> Changes:
    """Let empty engines copy layers that a single engine holds."""
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    for engine in (e for e in engines if e.held is None):
        target = _best_copy(engine, list(current.values()), model)
        if target is not None:
            current[engine.server_id] = replace(engine, held=target)
            changes[engine.server_id] = target
    return changes


def _best_copy(
    empty: EngineRoom, engines: Sequence[EngineRoom], model: EngineModel
) -> LayerRange | None:
    """Return the layers of which a copy lets the domain lose the most engines.

    An engine can be lost if copies hold all its layers; of equal copies the one of
    fewer engines' layers that are held once.
    """
    size = _copy_size(empty, model)
    if size <= 0:
        return None
    held_by = coverage(e.held for e in engines)
    alone = [_held_alone(e.held, held_by) for e in engines if e.held]

    def worth(copy: LayerRange) -> tuple[int, int]:
        replaceable = sum(
            layers is not None and covers(copy, layers) for layers in alone
        )
        once = sum(held_by[n] == 1 for n in range(copy.first, copy.last + 1))
        return (replaceable, once)

    starts = range(model.layer_count - size + 1)
    return max((LayerRange(n, n + size - 1) for n in starts), key=worth)


def _held_alone(held: LayerRange, held_by: Counter[int]) -> LayerRange | None:
    """Return the part of a range that no other engine holds."""
    layers = [n for n in range(held.first, held.last + 1) if held_by[n] == 1]
    return LayerRange(layers[0], layers[-1]) if layers else None


def _copy_size(empty: EngineRoom, model: EngineModel) -> int:
    """Return how many layers an engine holds well: enough room, many layers."""
    sizes = [
        max_layers(empty.accelerator, model, requests)
        for requests in room_levels(model)
        if requests >= _LEAST_ROOM * model.max_sequences
    ]
    return max(sizes, default=0)
