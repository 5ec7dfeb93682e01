"""Improving the placement of a failure domain that is whole, while it serves.

No engine that runs requests moves: giving layers up waits for the requests there,
which takes as long as the longest of them. Instead engines of the chain hand a few
layers to the ones beside them, and engines that aren't needed where they are take
layers of the chain over. What the chain then doesn't run is given up.
"""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.chain import (
    PlacedChain,
    best_chain,
    chain_throughput_rps,
    least_room,
    served_now_rps,
)
from railfold._internal.decisions.placement.copies import copies
from railfold._internal.decisions.placement.reliefs import Relief, reliefs
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    is_needless,
    max_layers,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["improve"]

# A change is worth its loads if the domain then serves this much more: above the
# reckoning's error at like loads (a tenth), so that plans don't change to and fro.
_LEAST_GAIN = 1.15


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


def _give_up(chain: PlacedChain, model: EngineModel) -> Changes:
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


def _relieve(
    engines: Sequence[EngineRoom],
    chain: PlacedChain,
    model: EngineModel,
    needed_rps: float,
) -> Changes:
    """Return the loads that let the domain serve the most more, if it is worth it."""

    def worth(relief: Relief) -> tuple[float, int]:
        served_rps = min(needed_rps, chain_throughput_rps(relief.chain, model))
        loaded = sum(len(layers) for layers in relief.loads.values())
        return (served_rps, -loaded)

    spares = _spares(engines, chain)
    wanted_rps = min(needed_rps, _LEAST_GAIN * chain_throughput_rps(chain, model))
    best = max(reliefs(chain, spares, model), key=worth, default=None)
    if best is None or worth(best)[0] < wanted_rps:
        return {}
    return best.loads


def _spares(engines: Sequence[EngineRoom], chain: PlacedChain) -> list[EngineRoom]:
    """Return engines that may move, fast ones first."""
    used = {stage.engine.server_id for stage in chain}
    free = [
        e
        for e in engines
        if e.server_id not in used and not e.busy and is_needless(e, engines)
    ]
    return sorted(free, key=lambda e: e.accelerator.step_factor)
