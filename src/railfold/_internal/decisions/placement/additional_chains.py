"""Additional chains over spare engines of a failure domain that covers all layers.

Every chain passes each layer. If the engines of some layers have almost no capacity
left beside the existing chains, no further chain is possible, however many engines are
idle at other layers. One spare engine rarely has memory for all such layers; several
together do.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.engines import (
    Changes,
    EnginePlacement,
    count_holders,
    max_layers,
)
from railfold._internal.decisions.placement.parallel_chains import (
    chain_utilization,
    spare_layer_capacity,
)
from railfold._internal.decisions.placement.throughput import concurrency_levels
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["additional_chain_changes", "spare_engines"]

# Numbers of requests that an additional chain is planned for, from a full batch down.
_CONCURRENCY_LEVELS_TRIED = 4

# An engine isn't spare if chains use more than this share of its request capacity.
_MAX_SPARE_UTILIZATION = 0.25


def spare_engines(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> list[EnginePlacement]:
    """Return engines that may all get other layers without uncovering a layer.

    Empty engines come first, then those with the lowest utilization.
    """
    utilization = chain_utilization(engines, model)
    idle = [
        e
        for e in engines
        if not e.busy and utilization[e.server_id] <= _MAX_SPARE_UTILIZATION
    ]
    idle.sort(
        key=lambda e: (
            e.held_layers is not None,
            utilization[e.server_id],
            e.accelerator.step_factor,
            e.server_id,
        )
    )
    holder_counts = count_holders(e.held_layers for e in engines)
    spares: list[EnginePlacement] = []
    for engine in idle:
        engine_layers = count_holders([engine.held_layers])
        if all(holder_counts[layer] > 1 for layer in engine_layers):
            holder_counts.subtract(engine_layers)
            spares.append(engine)
    return spares


def additional_chain_changes(
    engines: Sequence[EnginePlacement],
    spares: Sequence[EnginePlacement],
    model: EngineModel,
) -> Iterable[Changes]:
    """Yield layers for spare engines that make an additional chain possible.

    :param spares: engines that may move, in the order in which they are assigned.
    """
    moving_ids = {e.server_id for e in spares}
    spare_capacity = spare_layer_capacity(
        [e for e in engines if e.server_id not in moving_ids], model
    )
    yielded: list[Changes] = []
    for requests in concurrency_levels(model)[:_CONCURRENCY_LEVELS_TRIED]:
        changes = _changes_for_requests(spare_capacity, spares, model, requests)
        if changes and changes not in yielded:
            yielded.append(changes)
            yield changes


def _changes_for_requests(
    spare_capacity: Sequence[float],
    spares: Sequence[EnginePlacement],
    model: EngineModel,
    requests: float,
) -> Changes:
    """Return layers for spares that give every layer capacity for more requests.

    :param spare_capacity: how many requests each layer has capacity for without spares.
    :param requests: the capacity that each layer has to reach.
    :returns: an empty dictionary if the spares don't suffice.
    """
    remaining = list(spares)
    changes: Changes = {}
    layer = 0
    while layer < model.layer_count:
        if spare_capacity[layer] >= requests:
            layer += 1
            continue
        last = layer
        while last + 1 < model.layer_count and spare_capacity[last + 1] < requests:
            last += 1
        while layer <= last:
            if not remaining:
                return {}
            spare = remaining.pop(0)
            size = max_layers(spare.accelerator, model, requests)
            if size > 0:
                target = LayerRange(layer, min(last, layer + size - 1))
                layer = target.last + 1
                if target != spare.held_layers:
                    changes[spare.server_id] = target
    return changes
