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
from railfold._internal.decisions.placement.additional_chains import (
    additional_chain_changes,
)
from railfold._internal.decisions.placement.engines import (
    Changes,
    EnginePlacement,
    count_holders,
    covers,
    max_layers,
)
from railfold._internal.decisions.placement.parallel_chains import (
    estimate_throughput,
    spare_layer_capacity,
)
from railfold._internal.decisions.placement.throughput import concurrency_levels
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["place_copies", "place_safest_copies"]

# A copy leaves its engine room for this part of a full batch at least, so that it can
# stand in for an engine of a chain that is busy.
_MIN_CAPACITY_SHARE = 0.25

# Copies whose throughput is reckoned, of those that end or begin beside others' layers.
_MAX_CANDIDATES = 8

# Engines that get copies in one plan; the others do in the next ones. That bounds the
# time of a plan on hosts with a part of a core.
_MAX_ENGINES_PER_PLAN = 16

# Of these the best are tried for other engines of the same kind.
_MAX_REUSED_CANDIDATES = 2

# Gains below this are within what the reckoning leaves out.
_MIN_GAIN = 1.01


def place_copies(
    engines: Sequence[EnginePlacement], model: EngineModel, objective_s: float = inf
) -> Changes:
    """Let empty engines take part in chains, or copy layers that a single engine holds.

    They have nothing to give up, so that any gain is worth their loads.
    """
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    empty = [e for e in engines if e.held_layers is None and not e.order_pending]
    best_by_kind: dict[Accelerator, list[LayerRange]] = {}
    by_speed = sorted(empty, key=lambda e: e.accelerator.step_factor)
    for engine in by_speed[:_MAX_ENGINES_PER_PLAN]:
        others = [e for e in current.values() if e.held_layers is not None]
        candidates = _candidate_copies(
            engine, others, model, best_by_kind.get(engine.accelerator)
        )
        if not candidates:
            continue
        rated = [
            (_expected_throughput_rps(others, engine, copy, model, objective_s), copy)
            for copy in candidates
        ]
        safest_rps = rated[0][0]
        rated.sort(key=lambda pair: -pair[0])
        best_rps, target = rated[0]
        if best_rps <= _MIN_GAIN * safest_rps:
            target = candidates[0]
        # Others of its kind choose among the best of these.
        best_by_kind[engine.accelerator] = [
            copy for _, copy in rated[:_MAX_REUSED_CANDIDATES]
        ]
        current[engine.server_id] = replace(engine, held_layers=target)
        changes[engine.server_id] = target
    return changes


def place_safest_copies(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Changes:
    """Let empty engines copy layers that a single engine holds."""
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    for engine in (e for e in engines if e.held_layers is None):
        size = _copy_size(engine, model)
        if size > 0:
            others = [e for e in current.values() if e is not engine]
            target = _safest_copy(others, size, model)
            current[engine.server_id] = replace(engine, held_layers=target)
            changes[engine.server_id] = target
    return changes


def _candidate_copies(
    empty: EnginePlacement,
    engines: Sequence[EnginePlacement],
    model: EngineModel,
    best_of_kind: Sequence[LayerRange] | None,
) -> list[LayerRange]:
    """Return layers that an engine may copy, first what keeps a domain whole best.

    :param ranked: what was found best for another engine of its kind.
    """
    size = _copy_size(empty, model)
    if size <= 0:
        return []
    safest = _safest_copy(engines, size, model)
    if best_of_kind is not None:
        return [safest, *(copy for copy in best_of_kind if copy != safest)]
    spare_capacity = spare_layer_capacity(engines, model)
    chain_forming = [
        c[empty.server_id]
        for c in additional_chain_changes([*engines, empty], [empty], model)
    ]
    bridging = _bridging_ranges(empty, engines, size, model)
    adjacent = _adjacent_ranges(engines, spare_capacity, size, model)
    return list(dict.fromkeys([safest, *chain_forming, *bridging, *adjacent]))


def _safest_copy(
    engines: Sequence[EnginePlacement], size: int, model: EngineModel
) -> LayerRange:
    """Return the layers of which a copy lets the domain lose the most engines.

    An engine can be lost if copies hold all its layers; of equal copies the one of
    fewer engines' layers that are held once.
    """
    holder_counts = count_holders(e.held_layers for e in engines)
    sole_ranges = [
        _sole_layers(e.held_layers, holder_counts) for e in engines if e.held_layers
    ]

    def rank(copy: LayerRange) -> tuple[int, int]:
        replaceable = sum(
            layers is not None and covers(copy, layers) for layers in sole_ranges
        )
        sole_count = sum(
            holder_counts[n] == 1 for n in range(copy.first, copy.last + 1)
        )
        return (replaceable, sole_count)

    starts = range(model.layer_count - size + 1)
    return max((LayerRange(n, n + size - 1) for n in starts), key=rank)


def _expected_throughput_rps(
    engines: Sequence[EnginePlacement],
    empty: EnginePlacement,
    copy: LayerRange,
    model: EngineModel,
    objective_s: float,
) -> float:
    """Return what a domain serves with a copy, on average over the loss of an engine.

    One that holds layers alone takes all of it along.
    """
    after = [*engines, replace(empty, held_layers=copy)]
    holder_counts = count_holders(e.held_layers for e in after)
    irreplaceable = sum(
        any(
            holder_counts[n] == 1
            for n in range(e.held_layers.first, e.held_layers.last + 1)
        )
        for e in after
        if e.held_layers is not None
    )
    served_rps = estimate_throughput(after, model, objective_s).throughput_rps
    return served_rps * (1.0 - irreplaceable / len(after))


def _bridging_ranges(
    empty: EnginePlacement,
    engines: Sequence[EnginePlacement],
    max_size: int,
    model: EngineModel,
) -> list[LayerRange]:
    """Return ranges from where an engine ends to where another one begins.

    Those between engines of like speed come first: they belong to a chain that lacks
    such an engine.
    """
    own_factor = empty.accelerator.step_factor
    difference_before: dict[int, float] = {0: 0.0}
    difference_after: dict[int, float] = {model.layer_count - 1: 0.0}
    for engine in engines:
        if engine.held_layers is None:
            continue
        speed_difference = abs(log(engine.accelerator.step_factor / own_factor))
        first, last = engine.held_layers.last + 1, engine.held_layers.first - 1
        difference_before[first] = min(
            speed_difference, difference_before.get(first, inf)
        )
        difference_after[last] = min(speed_difference, difference_after.get(last, inf))
    gaps = [
        (difference_before[first] + difference_after[last], -(last - first), first)
        for first in difference_before
        for last in difference_after
        if max_size // 2 <= last - first + 1 <= max_size
    ]
    gaps.sort()
    return [LayerRange(n, n - size) for _, size, n in gaps[:_MAX_CANDIDATES]]


def _adjacent_ranges(
    engines: Sequence[EnginePlacement],
    spare_capacity: Sequence[float],
    size: int,
    model: EngineModel,
) -> list[LayerRange]:
    """Return copies that begin or end where engines' ranges do.

    Those of layers with little room left come first; chains need them most.
    """
    held_ranges = [e.held_layers for e in engines if e.held_layers is not None]
    firsts = {n for layers in held_ranges for n in (layers.first, layers.last + 1)}
    firsts |= {n - size for n in firsts}
    ranges = [
        LayerRange(n, n + size - 1)
        for n in sorted(firsts)
        if 0 <= n <= model.layer_count - size
    ]
    ranges.sort(key=lambda copy: sum(spare_capacity[copy.first : copy.last + 1]))
    return ranges[:_MAX_CANDIDATES]


def _sole_layers(
    held_layers: LayerRange, holder_counts: Counter[int]
) -> LayerRange | None:
    """Return the part of a range that no other engine holds."""
    layers = [
        n
        for n in range(held_layers.first, held_layers.last + 1)
        if holder_counts[n] == 1
    ]
    return LayerRange(layers[0], layers[-1]) if layers else None


def _copy_size(empty: EnginePlacement, model: EngineModel) -> int:
    """Return how many layers an engine holds well: enough room, many layers."""
    sizes = [
        max_layers(empty.accelerator, model, requests)
        for requests in concurrency_levels(model)
        if requests >= _MIN_CAPACITY_SHARE * model.max_sequences
    ]
    return max(sizes, default=0)
