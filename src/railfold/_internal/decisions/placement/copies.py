"""Copies of layers on engines that the chains of a failure domain don't need.

If an engine dies and other engines hold copies of its layers, its streams continue over
the copies without waiting for a load.
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

# A copy leaves its engine memory for at least this share of a full batch, so that the
# engine can replace one of a busy chain.
_MIN_CAPACITY_SHARE = 0.25

# Candidate ranges of each kind, bridging and adjacent, whose throughput is estimated.
_MAX_CANDIDATES = 8

# Engines that get copies in one plan; the following plans serve the others. The bound
# limits the duration of a plan on hosts that have only a fraction of a core.
_MAX_ENGINES_PER_PLAN = 16

# The best candidates of an engine that are tried for others with its accelerator.
_MAX_REUSED_CANDIDATES = 2

# Smaller gains are below the accuracy of the estimate.
_MIN_GAIN = 1.01


def place_copies(
    engines: Sequence[EnginePlacement], model: EngineModel, objective_s: float = inf
) -> Changes:
    """Return layers for empty engines, to form chains or to copy sole layers.

    A sole layer is one that a single engine holds. Empty engines drop nothing, so any
    gain is worth their loads.

    :param objective_s: the longest time to a first event that is of use to a client.
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
        # Engines with the same accelerator choose among the best of these.
        best_by_kind[engine.accelerator] = [
            copy for _, copy in rated[:_MAX_REUSED_CANDIDATES]
        ]
        current[engine.server_id] = replace(engine, held_layers=target)
        changes[engine.server_id] = target
    return changes


def place_safest_copies(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Changes:
    """Return layers for empty engines, to copy those that a single engine holds."""
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
    """Return ranges that an empty engine may copy, the safest one first.

    :param best_of_kind: the best ranges for another engine with its accelerator.
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
    """Return the range whose copy lets the domain survive the loss of most engines.

    The domain survives the loss of an engine if other engines hold all its layers. Of
    equal ranges, the one with the most layers that a single engine holds is returned.
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
    """Return the throughput of a domain with a copy, averaged over single losses.

    The loss of an engine that alone holds some layer reduces the throughput to zero;
    other losses are assumed not to change it.
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
    """Return ranges between the end of an engine's range and the start of another's.

    Ranges between engines of similar speed come first: they complete a chain that lacks
    an engine of this speed.
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
    """Return ranges that begin or end where the ranges of engines do.

    Ranges with little spare capacity come first, since they limit further chains.
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
    """Return the smallest range with all layers that no other engine holds.

    :returns: ``None`` if other engines hold all of ``held_layers``.
    """
    layers = [
        n
        for n in range(held_layers.first, held_layers.last + 1)
        if holder_counts[n] == 1
    ]
    return LayerRange(layers[0], layers[-1]) if layers else None


def _copy_size(empty: EnginePlacement, model: EngineModel) -> int:
    """Return the most layers an engine can copy with memory left for requests.

    :returns: 0 if it can't hold a layer beside ``_MIN_CAPACITY_SHARE`` of a full batch.
    """
    sizes = [
        max_layers(empty.accelerator, model, requests)
        for requests in concurrency_levels(model)
        if requests >= _MIN_CAPACITY_SHARE * model.max_sequences
    ]
    return max(sizes, default=0)
