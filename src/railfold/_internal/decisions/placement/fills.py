"""Putting spare engines beside the chains of a failure domain that is whole.

All chains pass each layer. Where engines have hardly any room left beside the chains
that there are, no further chain gets through, however many engines are idle at other
layers. One spare engine rarely holds all such layers; several side by side do.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    coverage,
    max_layers,
)
from railfold._internal.decisions.placement.supply import (
    chain_use,
    unused_layer_rooms,
)
from railfold._internal.decisions.placement.throughput import room_levels
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["fills", "spare_engines"]

# Rooms of a further chain that are looked at, the largest of them a full batch.
_ROOMS_TRIED = 4

# An engine whose chains use more of its room than this doesn't move.
_LITTLE_USED = 0.25


def spare_engines(
    engines: Sequence[EngineRoom], model: EngineModel
) -> list[EngineRoom]:
    """Return engines that may move together: empty ones first, then the least used."""
    use = chain_use(engines, model)
    idle = [e for e in engines if not e.busy and use[e.server_id] <= _LITTLE_USED]
    idle.sort(
        key=lambda e: (
            e.held is not None,
            use[e.server_id],
            e.accelerator.step_factor,
            e.server_id,
        )
    )
    held_by = coverage(e.held for e in engines)
    spares: list[EngineRoom] = []
    for engine in idle:
        held = coverage([engine.held])
        if all(held_by[layer] > 1 for layer in held):
            held_by.subtract(held)
            spares.append(engine)
    return spares


def fills(
    engines: Sequence[EngineRoom], spares: Sequence[EngineRoom], model: EngineModel
) -> Iterable[Changes]:
    """Yield what spare engines may hold for a further chain to get through.

    :param spares: some of the engines, in the order in which they are used.
    """
    moving = {e.server_id for e in spares}
    rooms = unused_layer_rooms([e for e in engines if e.server_id not in moving], model)
    yielded: list[Changes] = []
    for requests in room_levels(model)[:_ROOMS_TRIED]:
        changes = _fill(rooms, spares, model, requests)
        if changes and changes not in yielded:
            yielded.append(changes)
            yield changes


def _fill(
    rooms: Sequence[float],
    spares: Sequence[EngineRoom],
    model: EngineModel,
    requests: float,
) -> Changes:
    """Return loads that let so many requests more through all layers, or nothing."""
    left = list(spares)
    changes: Changes = {}
    layer = 0
    while layer < model.layer_count:
        if rooms[layer] >= requests:
            layer += 1
            continue
        last = layer
        while last + 1 < model.layer_count and rooms[last + 1] < requests:
            last += 1
        while layer <= last:
            if not left:
                return {}
            spare = left.pop(0)
            size = max_layers(spare.accelerator, model, requests)
            if size > 0:
                target = LayerRange(layer, min(last, layer + size - 1))
                layer = target.last + 1
                if target != spare.held:
                    changes[spare.server_id] = target
    return changes
