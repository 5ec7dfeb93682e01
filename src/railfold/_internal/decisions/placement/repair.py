"""Making a failure domain whole again after it lost layers.

Several ways are weighed by what the domain serves over the next seconds: the engines
beside a gap load its layers, a copy or an empty engine moves there, the engines on one
side of it all move up by a few layers, or all layers are spread anew. Loads take time,
and until they end the domain serves nothing.
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

# For how long a repair is reckoned to stand: improvements follow within seconds,
# step by step, while the domain serves.
_REPAIR_LIFETIME_S = 5.0

# The share of that time that a repair may take before it serves hardly anything.
_MAX_DURATION_SHARE = 0.9

# What an order takes beside its loads: one look, and the registration that tells of
# its end, which comes with a lag of up to 0.8 s on the users' platform.
_ORDER_OVERHEAD_S = 0.8


# Engines of which a move into the gap is reckoned, those that aren't needed first.
_MAX_MOVES_TRIED = 20


@dataclass(frozen=True, slots=True)
class _Repair:
    """Changes, and how many requests a second the domain serves after them."""

    changes: Changes
    throughput_rps: float


def repair(
    engines: Sequence[EnginePlacement], model: EngineModel, needed_rps: float
) -> Changes | None:
    """Return the changes that make the domain whole and let it serve the most.

    Nothing if its engines can't hold all layers.

    :param needed_rps: how many requests a second are wanted of the domain; to serve
        more is worth nothing.
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
    """Return for how long a repair serves of the time that it is reckoned to stand.

    However long it takes, it is better than none, and a shorter one better still.
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
    """Return how long changes take: engines load side by side, but share a store.

    :param in_flight: requests in flight on the domain's engines, as far as is known.
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
    """Return how long an engine that gives layers up waits for the requests there.

    It takes up nothing new, and waits for the last of them. Answers' lengths vary
    widely, about as an exponential distribution's: the longest of n takes the n-th
    harmonic number times as long as a usual one. Reckoned with a usual one, repairs
    that move engines under load looked 2 s long and took 4 to 10 s.
    """
    request_count = max(1, round(in_flight))
    harmonic_number = sum(1.0 / n for n in range(1, request_count + 1))
    return harmonic_number * typical_residence_s(engines, model)


# Changing few engines


def _gap_repairs(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[_Repair]:
    """Yield patches that keep room for fewer and fewer requests."""
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
    """Close all gaps so that changed engines have room for so many requests."""
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    # Each round closes or narrows one gap; the bound guards against a mistake.
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
    """Return who takes over the layers of a gap."""
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
    """Let the engines on both sides of a gap take its layers, if they have room."""

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
    # As even as the two allow: their loads run side by side.
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
    """Return the engine without layers of its own that can best be moved to a gap."""

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


# Moving up


def _shift_repairs(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[_Repair]:
    """Yield repairs in which the engines behind a gap, or before it, move up.

    Each takes over a few layers of the one next to it, fewer and fewer.
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
    """Return where layers stand if they are counted from the last one."""
    if layers is None:
        return None
    end = model.layer_count - 1
    return LayerRange(end - layers.last, end - layers.first)


def _shift_layers(
    engines: Sequence[EnginePlacement], model: EngineModel, requests: float
) -> Changes | None:
    """Let each engine begin where the one before it ends; nothing if one can't."""
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
    """Return engines as they stand along the chain, empty ones first."""

    def position(engine: EnginePlacement) -> tuple[int, int]:
        held_layers = engine.held_layers
        return (held_layers.first, held_layers.last) if held_layers else (0, -1)

    return sorted(engines, key=position)


# Changing all


def _respread_repairs(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[_Repair]:
    """Yield spreads over all engines, each of which keeps what it can."""
    for order in _engine_orders(engines, model):
        for spread in spreads(order, model):
            yield _Repair(
                _changes_for_spread(order, spread, model), spread.throughput_rps
            )


def _engine_orders(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Iterable[list[EnginePlacement]]:
    """Yield orders along the chain: as they are, or with one moved into a gap."""
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
    """Widen a range by what is held next to it, up to ``limit`` layers."""
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
