"""Repairs of a failure domain in which no engine holds some layers.

Candidates are compared by the requests that the domain serves over the next seconds:
the neighbours of a gap load its layers, a redundant or empty engine moves there, all
engines on one side of the gap shift by a few layers, or all layers are spread again.
Loads take time, and the domain serves nothing until they end.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.engines import (
    Changes,
    EnginePlacement,
    count_layers_to_load,
    covers,
    max_layers,
    redundant_engines,
    uncovered_ranges,
)
from railfold._internal.decisions.placement.in_flight import (
    ALL_BUSY_REQUESTS,
    requests_in_flight,
    typical_residence_s,
)
from railfold._internal.decisions.placement.spread import Spread, spreads
from railfold._internal.decisions.placement.throughput import (
    best_chain_throughput_rps,
    concurrency_levels,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["repair"]

# How long a repair is expected to last: improvements replace it step by step within
# seconds, while the domain serves.
_REPAIR_LIFETIME_S = 5.0

# Up to this share of the lifetime, a repair is rated by the time that is left to serve.
# Beyond it the rating decreases with the duration, but never reaches zero.
_MAX_DURATION_SHARE = 0.9

# Duration of an order in addition to its loads: one planning interval, and the lag of
# the registration that reports its completion, up to 0.8 s on the users' platform.
_ORDER_OVERHEAD_S = 0.8


# Engines that are tried in a gap when all layers are spread again, redundant ones
# first.
_MAX_MOVES_TRIED = 20


@dataclass(frozen=True, slots=True)
class _Repair:
    """Changes and the throughput of the domain after them."""

    changes: Changes
    throughput_rps: float


def repair(
    engines: Sequence[EnginePlacement], model: EngineModel, needed_rps: float
) -> Changes | None:
    """Return the changes that cover all layers and serve the most requests.

    :param needed_rps: the demand on the domain in requests a second; a higher
        throughput has no advantage.
    :returns: ``None`` if the engines can't hold all layers.
    """
    candidates = [
        *_gap_repairs(engines, model),
        *_shift_repairs(engines, model),
        *_respread_repairs(engines, model),
    ]
    if not candidates:
        return None
    in_flight = requests_in_flight(engines, model, needed_rps)

    def served_requests(candidate: _Repair) -> float:
        duration_s = _repair_duration_s(engines, candidate.changes, model, in_flight)
        return min(candidate.throughput_rps, needed_rps) * _serving_time_s(duration_s)

    return max(candidates, key=served_requests).changes


def _serving_time_s(duration_s: float) -> float:
    """Return how long a repair serves within its expected lifetime.

    The result is positive for any duration, since a slow repair is better than none,
    and decreases with the duration.
    """
    max_duration_s = _MAX_DURATION_SHARE * _REPAIR_LIFETIME_S
    if duration_s <= max_duration_s:
        return _REPAIR_LIFETIME_S - duration_s
    return (_REPAIR_LIFETIME_S - max_duration_s) * (max_duration_s / duration_s) ** 2


def _repair_duration_s(
    engines: Sequence[EnginePlacement],
    changes: Changes,
    model: EngineModel,
    in_flight: float,
) -> float:
    """Return how long changes take until the domain serves.

    Engines load in parallel, but share the rate of the weight store. If an engine that
    runs requests drops layers, the time to drain it is added.

    :param in_flight: estimated requests in flight on the domain's engines.
    """
    loads = [
        count_layers_to_load(e.held_layers, changes[e.server_id])
        for e in engines
        if e.server_id in changes
    ]
    if not loads:
        return 0.0
    rounds = max(max(loads), sum(loads) / model.loads_at_once)
    loading_s = rounds * model.load_s / model.layer_count
    drops_layers = any(
        (e.busy or in_flight >= ALL_BUSY_REQUESTS)
        and e.held_layers
        and not covers(changes.get(e.server_id, e.held_layers), e.held_layers)
        for e in engines
    )
    drain_duration_s = (
        _drain_duration_s(engines, model, in_flight) if drops_layers else 0.0
    )
    return _ORDER_OVERHEAD_S + loading_s + drain_duration_s


def _drain_duration_s(
    engines: Sequence[EnginePlacement], model: EngineModel, in_flight: float
) -> float:
    """Return how long an engine drains before it drops layers.

    It takes no new requests and waits for the last one in flight. The lengths of
    answers vary about as widely as an exponential distribution, for which the longest
    of n takes the n-th harmonic number times as long as a typical one. An estimate by a
    typical request gives 2 s for repairs that take 4 to 10 s under load.
    """
    request_count = max(1, round(in_flight))
    harmonic_number = sum(1.0 / n for n in range(1, request_count + 1))
    return harmonic_number * typical_residence_s(engines, model)


# Repairs that change few engines


def _gap_repairs(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[_Repair]:
    """Yield repairs that fill the gaps, for decreasing concurrency levels."""
    last: Changes | None = None
    for requests in concurrency_levels(model):
        changes = _fill_gaps(engines, model, requests)
        if changes is None or changes == last:
            continue
        last = changes
        yield _evaluate(engines, changes, model)


def _evaluate(
    engines: Sequence[EnginePlacement], changes: Changes, model: EngineModel
) -> _Repair:
    after = [
        replace(e, held_layers=changes.get(e.server_id, e.held_layers)) for e in engines
    ]
    return _Repair(changes, best_chain_throughput_rps(after, model))


def _fill_gaps(
    engines: Sequence[EnginePlacement], model: EngineModel, requests: float
) -> Changes | None:
    """Return changes that fill all gaps.

    :param requests: how many requests each changed engine keeps memory for.
    :returns: ``None`` if the engines lack memory for that.
    """
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    # Each iteration fills or narrows one gap; the bound guards against an endless loop.
    for _ in range(model.layer_count):
        gaps = uncovered_ranges(
            (e.held_layers for e in current.values()), model.layer_count
        )
        if not gaps:
            return changes
        gap_changes = _fill_gap(gaps[0], list(current.values()), model, requests)
        if gap_changes is None:
            return None
        for server_id, layers in gap_changes.items():
            current[server_id] = replace(current[server_id], held_layers=layers)
            changes[server_id] = layers
    return None


def _fill_gap(
    gap: LayerRange,
    engines: Sequence[EnginePlacement],
    model: EngineModel,
    requests: float,
) -> Changes | None:
    """Return changes that fill a gap, or its first layers."""
    widened = _widen_neighbours(gap, engines, model, requests)
    if widened is not None:
        return widened
    spare = _best_spare(gap, engines, model, requests)
    if spare is None:
        return None
    size = min(len(gap), max_layers(spare.accelerator, model, requests))
    return {spare.server_id: LayerRange(gap.first, gap.first + size - 1)}


def _widen_neighbours(
    gap: LayerRange,
    engines: Sequence[EnginePlacement],
    model: EngineModel,
    requests: float,
) -> Changes | None:
    """Return changes in which the neighbours on both sides of a gap load its layers.

    :returns: ``None`` if they lack memory for that.
    """

    def free_layers(engine: EnginePlacement) -> int:
        held_count = len(engine.held_layers) if engine.held_layers else 0
        return max_layers(engine.accelerator, model, requests) - held_count

    before = [
        e for e in engines if e.held_layers and e.held_layers.last == gap.first - 1
    ]
    after = [
        e for e in engines if e.held_layers and e.held_layers.first == gap.last + 1
    ]
    left = max(before, key=free_layers, default=None)
    right = max(after, key=free_layers, default=None)
    left_free = max(0, free_layers(left)) if left else 0
    right_free = max(0, free_layers(right)) if right else 0
    if left_free + right_free < len(gap):
        return None
    # The layers are split as evenly as possible, since both engines load in parallel.
    from_left = min(left_free, max(len(gap) // 2, len(gap) - right_free))
    from_right = len(gap) - from_left
    changes: Changes = {}
    if left and left.held_layers and from_left:
        held_layers = left.held_layers
        changes[left.server_id] = LayerRange(
            held_layers.first, held_layers.last + from_left
        )
    if right and right.held_layers and from_right:
        held_layers = right.held_layers
        changes[right.server_id] = LayerRange(
            held_layers.first - from_right, held_layers.last
        )
    return changes


def _best_spare(
    gap: LayerRange,
    engines: Sequence[EnginePlacement],
    model: EngineModel,
    requests: float,
) -> EnginePlacement | None:
    """Return the best redundant engine to move into a gap, or ``None``.

    Engines that can hold the whole gap come first, then those that hold few layers.
    """

    def suitability(engine: EnginePlacement) -> tuple[bool, int, int]:
        layer_limit = max_layers(engine.accelerator, model, requests)
        held_count = len(engine.held_layers) if engine.held_layers else 0
        return (layer_limit >= len(gap), -held_count, layer_limit)

    usable = [
        e
        for e in redundant_engines(engines)
        if max_layers(e.accelerator, model, requests) > 0
    ]
    return max(usable, key=suitability, default=None)


# Repairs that shift engines


def _shift_repairs(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[_Repair]:
    """Yield repairs in which the engines after a gap, or before it, shift towards it.

    Each engine takes over a few layers of its neighbour, so the gap is divided among
    many of them.
    """
    mirrored = [
        replace(e, held_layers=_mirrored(e.held_layers, model)) for e in engines
    ]
    for requests in concurrency_levels(model):
        changes = _shift_layers(engines, model, requests)
        if changes is not None:
            yield _evaluate(engines, changes, model)
        changes = _shift_layers(mirrored, model, requests)
        if changes is not None:
            unmirrored = {s: _mirrored(layers, model) for s, layers in changes.items()}
            yield _evaluate(engines, {s: n for s, n in unmirrored.items() if n}, model)


def _mirrored(layers: LayerRange | None, model: EngineModel) -> LayerRange | None:
    """Return a range with the layers counted from the last one."""
    if layers is None:
        return None
    end = model.layer_count - 1
    return LayerRange(end - layers.last, end - layers.first)


def _shift_layers(
    engines: Sequence[EnginePlacement], model: EngineModel, requests: float
) -> Changes | None:
    """Return changes by which each engine begins where the previous one ends.

    :param requests: how many requests each engine keeps memory for.
    :returns: ``None`` if the engines don't cover all layers this way.
    """
    changes: Changes = {}
    first = 0
    for engine in _sorted_by_layers(engines):
        held_layers = engine.held_layers
        layer_limit = max_layers(engine.accelerator, model, requests)
        if held_layers is None or held_layers.last < first or layer_limit == 0:
            continue
        last = min(held_layers.last, first + layer_limit - 1)
        target = _extended_by_held(LayerRange(first, last), held_layers, layer_limit)
        if target != held_layers:
            changes[engine.server_id] = target
        first = last + 1
    return changes if first == model.layer_count else None


def _sorted_by_layers(engines: Iterable[EnginePlacement]) -> list[EnginePlacement]:
    """Return engines in the order of their layers, empty ones first."""

    def position(engine: EnginePlacement) -> tuple[int, int]:
        held_layers = engine.held_layers
        return (held_layers.first, held_layers.last) if held_layers else (0, -1)

    return sorted(engines, key=position)


# Repairs that spread all layers again


def _respread_repairs(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[_Repair]:
    """Yield repairs that spread all layers again and keep what engines can hold."""
    for order in _engine_orders(engines, model):
        for spread in spreads(order, model):
            yield _Repair(
                _changes_for_spread(order, spread, model), spread.throughput_rps
            )


def _engine_orders(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[list[EnginePlacement]]:
    """Yield the present order of the engines, and orders with one moved into a gap."""
    sorted_engines = _sorted_by_layers(engines)
    yield sorted_engines
    gaps = uncovered_ranges((e.held_layers for e in sorted_engines), model.layer_count)
    if not gaps:
        return
    redundant_ids = {e.server_id for e in redundant_engines(sorted_engines)}
    movable = sorted(sorted_engines, key=lambda e: e.server_id not in redundant_ids)
    for moved in movable[:_MAX_MOVES_TRIED]:
        others = [e for e in sorted_engines if e is not moved]
        index = sum(
            1 for e in others if e.held_layers and e.held_layers.first < gaps[0].first
        )
        yield [*others[:index], moved, *others[index:]]


def _changes_for_spread(
    order: Sequence[EnginePlacement], spread: Spread, model: EngineModel
) -> Changes:
    changes: Changes = {}
    for engine in order:
        assigned = spread.layers.get(engine.server_id)
        if assigned is None:
            continue
        layer_limit = max_layers(engine.accelerator, model, spread.requests)
        target = _extended_by_held(assigned, engine.held_layers, layer_limit)
        if target != engine.held_layers:
            changes[engine.server_id] = target
    return changes


def _extended_by_held(
    layers: LayerRange, held_layers: LayerRange | None, max_size: int
) -> LayerRange:
    """Return a range extended by held layers next to it, to ``max_size`` at most."""
    if (
        held_layers is None
        or held_layers.last < layers.first - 1
        or held_layers.first > layers.last + 1
    ):
        return layers
    extra = max_size - len(layers)
    before = min(extra, max(0, layers.first - held_layers.first))
    after = min(extra - before, max(0, held_layers.last - layers.last))
    return LayerRange(layers.first - before, layers.last + after)
