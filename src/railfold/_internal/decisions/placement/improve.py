"""Improving the placement of a failure domain that is whole, while it serves.

No engine that runs requests moves: giving layers up waits for the requests there,
which takes as long as the longest of them. Instead engines of the chain hand a few
layers to the ones beside them, and engines that aren't needed where they are take
layers of the chain over. What the chain then doesn't run is given up.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.chain import (
    PlacedChain,
    best_chain,
    chain_throughput_rps,
    least_room,
    served_now_rps,
)
from railfold._internal.decisions.placement.copies import copies
from railfold._internal.decisions.placement.fills import fills, spare_engines
from railfold._internal.decisions.placement.reliefs import Relief, reliefs
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    max_layers,
    needless_engines,
    new_layers,
)
from railfold._internal.decisions.placement.supply import reckon_supply
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["improve"]

# A change is worth its loads if the domain then serves this much more: above the
# reckoning's error at like loads (a tenth), so that plans don't change to and fro.
_LEAST_GAIN = 1.15

# Where engines with layers move for it: they may run others' requests, and serve
# nothing until those have ended, which takes as long as a repair is reckoned to stand.
_LEAST_GAIN_OF_MOVES = 1.3


def improve(
    engines: Sequence[EngineRoom],
    model: EngineModel,
    needed_rps: float,
    objective_s: float,
) -> Changes:
    """Return the next changes that let a domain serve more; it stays whole.

    :param needed_rps: how many requests a second are wanted of it; none of its
        chains' layers move while it serves so many.
    :param objective_s: the longest time to a first event that is of use to a client.
    """
    if any(engine.under_order for engine in engines):
        # Who holds layers moves one step after the other, but nobody waits for those
        # who hold none.
        return copies(engines, model, objective_s)
    chain = best_chain(engines, model)
    if chain is None:
        return {}
    served_rps = reckon_supply(engines, model, objective_s).throughput_rps
    taken = copies(engines, model, objective_s)
    if served_rps >= needed_rps:
        return taken
    if taken:
        # Engines in use leave to empty ones what those can take over as well.
        after = _carried_out(engines, taken)
        copied_rps = reckon_supply(after, model, objective_s).throughput_rps
        served_rps = max(served_rps, copied_rps)
    want = _Want(served_rps, objective_s)
    return (
        _give_up(engines, chain, model, want)
        or _fill(engines, model, want)
        or _relieve(engines, chain, model, want, needed_rps)
        or taken
    )


@dataclass(frozen=True, slots=True)
class _Want:
    """What a change is measured by.

    :param served_rps: what the domain serves once its empty engines hold copies.
    """

    served_rps: float
    objective_s: float

    def gains(self, served_rps: float, least_gain: float) -> bool:
        """Return whether to serve so much is worth loads."""
        return served_rps >= least_gain * self.served_rps


def _fill(engines: Sequence[EngineRoom], model: EngineModel, want: _Want) -> Changes:
    """Return what spare engines should hold beside the chains that there are."""
    spares = spare_engines(engines, model)

    def worth(changes: Changes) -> tuple[float, int]:
        after = _carried_out(engines, changes)
        served_rps = reckon_supply(after, model, want.objective_s).throughput_rps
        held = {e.server_id: e.held for e in engines}
        loads = sum(new_layers(held[s], layers) for s, layers in changes.items())
        return (served_rps, -loads)

    best = max(fills(engines, spares, model), key=worth, default=None)
    if best is None:
        return {}
    moves = any(e.held is not None for e in engines if e.server_id in best)
    least_gain = _LEAST_GAIN_OF_MOVES if moves else _LEAST_GAIN
    return best if want.gains(worth(best)[0], least_gain) else {}


def _carried_out(
    engines: Sequence[EngineRoom], changes: Changes
) -> Sequence[EngineRoom]:
    return [replace(e, held=changes.get(e.server_id, e.held)) for e in engines]


def _give_up(
    engines: Sequence[EngineRoom],
    chain: PlacedChain,
    model: EngineModel,
    want: _Want,
) -> Changes:
    """Let the chain's engines give up what keeps it from serving what it could.

    What they hold beside it may be part of other chains.
    """
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
    supply = reckon_supply(_carried_out(engines, changes), model, want.objective_s)
    return changes if want.gains(supply.throughput_rps, _LEAST_GAIN) else {}


def _trimmed(held: LayerRange, needed: LayerRange, size: int) -> LayerRange:
    """Return a range without layers at its ends that aren't needed, if over size."""
    last = max(needed.last, min(held.last, held.first + size - 1))
    first = min(needed.first, max(held.first, last - size + 1))
    return LayerRange(first, last)


def _relieve(
    engines: Sequence[EngineRoom],
    chain: PlacedChain,
    model: EngineModel,
    want: _Want,
    needed_rps: float,
) -> Changes:
    """Return the loads that let the domain serve the most more, if it is worth it."""

    def worth(relief: Relief) -> tuple[float, int]:
        served_rps = min(needed_rps, chain_throughput_rps(relief.chain, model))
        loaded = sum(len(layers) for layers in relief.loads.values())
        return (served_rps, -loaded)

    spares = _spares(engines, chain)
    chain_rps = chain_throughput_rps(chain, model)
    wanted_rps = min(needed_rps, _LEAST_GAIN * chain_rps)
    best = max(reliefs(chain, spares, model), key=worth, default=None)
    if best is None or worth(best)[0] < wanted_rps:
        return {}
    trimmed = {stage.engine.server_id: stage.layers for stage in best.chain}
    after = _carried_out(engines, trimmed)
    supply = reckon_supply(after, model, want.objective_s)
    return best.loads if want.gains(supply.throughput_rps, _LEAST_GAIN) else {}


def _spares(engines: Sequence[EngineRoom], chain: PlacedChain) -> list[EngineRoom]:
    """Return engines that may move, fast ones first."""
    used = {stage.engine.server_id for stage in chain}
    needless = needless_engines(engines)
    free = [e for e in needless if e.server_id not in used and not e.busy]
    return sorted(free, key=lambda e: e.accelerator.step_factor)
