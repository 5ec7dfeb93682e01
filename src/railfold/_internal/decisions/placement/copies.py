"""Copies of layers on engines that a domain's chain doesn't need.

A dead engine whose layers others hold costs its streams no load: they go on over the
copies.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from math import inf, log

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.fills import fills
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    coverage,
    covers,
    max_layers,
)
from railfold._internal.decisions.placement.supply import (
    reckon_supply,
    unused_layer_rooms,
)
from railfold._internal.decisions.placement.throughput import room_levels
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["copies", "safest_copies"]

# A copy leaves its engine room for this part of a full batch at least, so that it can
# stand in for an engine of a chain that is busy.
_LEAST_ROOM = 0.25

# Copies whose throughput is reckoned, of those that end or begin beside others' layers.
_COPIES_TRIED = 8

# Engines that get copies in one plan; the others do in the next ones. That bounds the
# time of a plan on hosts with a part of a core.
_COPIES_AT_ONCE = 16

# Of these the best are tried for other engines of the same kind.
_COPIES_KEPT = 2

# Gains below this are within what the reckoning leaves out.
_LEAST_GAIN = 1.01


def copies(
    engines: Sequence[EngineRoom], model: EngineModel, objective_s: float = inf
) -> Changes:
    """Let empty engines take part in chains, or copy layers that a single engine holds.

    They have nothing to give up, so that any gain is worth their loads.
    """
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    empty = [e for e in engines if e.held is None and not e.under_order]
    ranked: dict[Accelerator, list[LayerRange]] = {}
    by_speed = sorted(empty, key=lambda e: e.accelerator.step_factor)
    for engine in by_speed[:_COPIES_AT_ONCE]:
        others = [e for e in current.values() if e.held is not None]
        found = _candidates(engine, others, model, ranked.get(engine.accelerator))
        if not found:
            continue
        worth = [
            (_worth(others, engine, copy, model, objective_s), copy) for copy in found
        ]
        safest_worth = worth[0][0]
        worth.sort(key=lambda pair: -pair[0])
        best_worth, target = worth[0]
        if best_worth <= _LEAST_GAIN * safest_worth:
            target = found[0]
        # Others of its kind choose among the best of these.
        ranked[engine.accelerator] = [copy for _, copy in worth[:_COPIES_KEPT]]
        current[engine.server_id] = replace(engine, held=target)
        changes[engine.server_id] = target
    return changes


def safest_copies(engines: Sequence[EngineRoom], model: EngineModel) -> Changes:
    """Let empty engines copy layers that a single engine holds."""
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    for engine in (e for e in engines if e.held is None):
        size = _copy_size(engine, model)
        if size > 0:
            others = [e for e in current.values() if e is not engine]
            target = _safest_copy(others, size, model)
            current[engine.server_id] = replace(engine, held=target)
            changes[engine.server_id] = target
    return changes


def _candidates(
    empty: EngineRoom,
    engines: Sequence[EngineRoom],
    model: EngineModel,
    ranked: Sequence[LayerRange] | None,
) -> list[LayerRange]:
    """Return layers that an engine may copy, first what keeps a domain whole best.

    :param ranked: what was found best for another engine of its kind.
    """
    size = _copy_size(empty, model)
    if size <= 0:
        return []
    safest = _safest_copy(engines, size, model)
    if ranked is not None:
        return [safest, *(copy for copy in ranked if copy != safest)]
    rooms = unused_layer_rooms(engines, model)
    filled = [c[empty.server_id] for c in fills([*engines, empty], [empty], model)]
    between = _between_alike(empty, engines, size, model)
    beside = _beside_chains(engines, rooms, size, model)
    return list(dict.fromkeys([safest, *filled, *between, *beside]))


def _safest_copy(
    engines: Sequence[EngineRoom], size: int, model: EngineModel
) -> LayerRange:
    """Return the layers of which a copy lets the domain lose the most engines.

    An engine can be lost if copies hold all its layers; of equal copies the one of
    fewer engines' layers that are held once.
    """
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


def _worth(
    engines: Sequence[EngineRoom],
    empty: EngineRoom,
    copy: LayerRange,
    model: EngineModel,
    objective_s: float,
) -> float:
    """Return what a domain serves with a copy, on average over the loss of an engine.

    One that holds layers alone takes all of it along.
    """
    after = [*engines, replace(empty, held=copy)]
    held_by = coverage(e.held for e in after)
    alone = sum(
        any(held_by[n] == 1 for n in range(e.held.first, e.held.last + 1))
        for e in after
        if e.held is not None
    )
    served_rps = reckon_supply(after, model, objective_s).throughput_rps
    return served_rps * (1.0 - alone / len(after))


def _between_alike(
    empty: EngineRoom, engines: Sequence[EngineRoom], most: int, model: EngineModel
) -> list[LayerRange]:
    """Return ranges from where an engine ends to where another one begins.

    Those between engines of like speed come first: they belong to a chain that lacks
    such an engine.
    """
    own = empty.accelerator.step_factor
    before: dict[int, float] = {0: 0.0}
    after: dict[int, float] = {model.layer_count - 1: 0.0}
    for engine in engines:
        if engine.held is None:
            continue
        unlike = abs(log(engine.accelerator.step_factor / own))
        first, last = engine.held.last + 1, engine.held.first - 1
        before[first] = min(unlike, before.get(first, inf))
        after[last] = min(unlike, after.get(last, inf))
    found = [
        (before[first] + after[last], -(last - first), first)
        for first in before
        for last in after
        if most // 2 <= last - first + 1 <= most
    ]
    found.sort()
    return [LayerRange(n, n - size) for _, size, n in found[:_COPIES_TRIED]]


def _beside_chains(
    engines: Sequence[EngineRoom], rooms: Sequence[float], size: int, model: EngineModel
) -> list[LayerRange]:
    """Return copies that begin or end where engines' ranges do.

    Those of layers with little room left come first; chains need them most.
    """
    held = [e.held for e in engines if e.held is not None]
    firsts = {n for layers in held for n in (layers.first, layers.last + 1)}
    firsts |= {n - size for n in firsts}
    found = [
        LayerRange(n, n + size - 1)
        for n in sorted(firsts)
        if 0 <= n <= model.layer_count - size
    ]
    found.sort(key=lambda copy: sum(rooms[copy.first : copy.last + 1]))
    return found[:_COPIES_TRIED]


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
