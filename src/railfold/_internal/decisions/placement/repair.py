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
from railfold._internal.decisions.placement.busyness import (
    SURELY_BUSY,
    requests_in_flight,
    usual_residence_s,
)
from railfold._internal.decisions.placement.rooms import (
    Changes,
    EngineRoom,
    covers,
    max_layers,
    needless_engines,
    new_layers,
    uncovered_layers,
)
from railfold._internal.decisions.placement.spread import Spread, spreads
from railfold._internal.decisions.placement.throughput import (
    domain_throughput_rps,
    room_levels,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["repair"]

# For how long a repair is reckoned to stand: improvements follow within seconds,
# step by step, while the domain serves.
_STANDS_S = 5.0

# The share of that time that a repair may take before it serves hardly anything.
_LONGEST_SHARE = 0.9

# What an order takes beside its loads: one look, and the registration that tells of
# its end, which comes with a lag of up to 0.8 s on the users' platform.
_ORDER_S = 0.8


# Engines of which a move into the gap is reckoned, those that aren't needed first.
_MOVES_TRIED = 20


@dataclass(frozen=True, slots=True)
class _Repair:
    """Changes, and how many requests a second the domain serves after them."""

    changes: Changes
    throughput_rps: float


def repair(
    engines: Sequence[EngineRoom], model: EngineModel, needed_rps: float
) -> Changes | None:
    """Return the changes that make the domain whole and let it serve the most.

    Nothing if its engines can't hold all layers.

    :param needed_rps: how many requests a second are wanted of the domain; to serve
        more is worth nothing.
    """
    found = [
        *_patches(engines, model),
        *_cascades(engines, model),
        *_spreads_anew(engines, model),
    ]
    if not found:
        return None
    in_flight = requests_in_flight(engines, model, needed_rps)

    def served(candidate: _Repair) -> float:
        repair_s = _repair_s(engines, candidate.changes, model, in_flight)
        return min(candidate.throughput_rps, needed_rps) * _serving_s(repair_s)

    return max(found, key=served).changes


def _serving_s(repair_s: float) -> float:
    """Return for how long a repair serves of the time that it is reckoned to stand.

    However long it takes, it is better than none, and a shorter one better still.
    """
    longest_s = _LONGEST_SHARE * _STANDS_S
    if repair_s <= longest_s:
        return _STANDS_S - repair_s
    return (_STANDS_S - longest_s) * (longest_s / repair_s) ** 2


def _repair_s(
    engines: Sequence[EngineRoom],
    changes: Changes,
    model: EngineModel,
    in_flight: float,
) -> float:
    """Return how long changes take: engines load side by side, but share a store.

    :param in_flight: requests in flight on the domain's engines, as far as is known.
    """
    loads = [
        new_layers(e.held, changes[e.server_id])
        for e in engines
        if e.server_id in changes
    ]
    if not loads:
        return 0.0
    rounds = max(max(loads), sum(loads) / model.loads_at_once)
    loading_s = rounds * model.load_s / model.layer_count
    gives_up = any(
        (e.busy or in_flight >= SURELY_BUSY)
        and e.held
        and not covers(changes.get(e.server_id, e.held), e.held)
        for e in engines
    )
    drain_s = _drain_s(engines, model, in_flight) if gives_up else 0.0
    return _ORDER_S + loading_s + drain_s


def _drain_s(
    engines: Sequence[EngineRoom], model: EngineModel, in_flight: float
) -> float:
    """Return how long an engine that gives layers up waits for the requests there.

    It takes up nothing new, and waits for the last of them. Answers' lengths vary
    widely, about as an exponential distribution's: the longest of n takes the n-th
    harmonic number times as long as a usual one. Reckoned with a usual one, repairs
    that move engines under load looked 2 s long and took 4 to 10 s.
    """
    count = max(1, round(in_flight))
    harmonic = sum(1.0 / n for n in range(1, count + 1))
    return harmonic * usual_residence_s(engines, model)


# Changing few engines


def _patches(engines: Sequence[EngineRoom], model: EngineModel) -> Iterable[_Repair]:
    """Yield patches that keep room for fewer and fewer requests."""
    last: Changes | None = None
    for requests in room_levels(model):
        changes = _patch(engines, model, requests)
        if changes is None or changes == last:
            continue
        last = changes
        yield _reckoned(engines, changes, model)


def _reckoned(
    engines: Sequence[EngineRoom], changes: Changes, model: EngineModel
) -> _Repair:
    after = [replace(e, held=changes.get(e.server_id, e.held)) for e in engines]
    return _Repair(changes, domain_throughput_rps(after, model))


def _patch(
    engines: Sequence[EngineRoom], model: EngineModel, requests: float
) -> Changes | None:
    """Close all gaps so that changed engines have room for so many requests."""
    current = {e.server_id: e for e in engines}
    changes: Changes = {}
    # Each round closes or narrows one gap; the bound guards against a mistake.
    for _ in range(model.layer_count):
        gaps = uncovered_layers((e.held for e in current.values()), model.layer_count)
        if not gaps:
            return changes
        given = _close(gaps[0], list(current.values()), model, requests)
        if given is None:
            return None
        for server_id, layers in given.items():
            current[server_id] = replace(current[server_id], held=layers)
            changes[server_id] = layers
    return None


def _close(
    gap: LayerRange,
    engines: Sequence[EngineRoom],
    model: EngineModel,
    requests: float,
) -> Changes | None:
    """Return who takes over the layers of a gap."""
    widened = _widen_neighbours(gap, engines, model, requests)
    if widened is not None:
        return widened
    spare = _spare_for(gap, engines, model, requests)
    if spare is None:
        return None
    size = min(len(gap), max_layers(spare.accelerator, model, requests))
    return {spare.server_id: LayerRange(gap.first, gap.first + size - 1)}


def _widen_neighbours(
    gap: LayerRange,
    engines: Sequence[EngineRoom],
    model: EngineModel,
    requests: float,
) -> Changes | None:
    """Let the engines on both sides of a gap take its layers, if they have room."""

    def room(engine: EngineRoom) -> int:
        held = len(engine.held) if engine.held else 0
        return max_layers(engine.accelerator, model, requests) - held

    before = [e for e in engines if e.held and e.held.last == gap.first - 1]
    after = [e for e in engines if e.held and e.held.first == gap.last + 1]
    left = max(before, key=room, default=None)
    right = max(after, key=room, default=None)
    left_room = max(0, room(left)) if left else 0
    right_room = max(0, room(right)) if right else 0
    if left_room + right_room < len(gap):
        return None
    # As even as the two allow: their loads run side by side.
    from_left = min(left_room, max(len(gap) // 2, len(gap) - right_room))
    from_right = len(gap) - from_left
    changes: Changes = {}
    if left and left.held and from_left:
        held = left.held
        changes[left.server_id] = LayerRange(held.first, held.last + from_left)
    if right and right.held and from_right:
        held = right.held
        changes[right.server_id] = LayerRange(held.first - from_right, held.last)
    return changes


def _spare_for(
    gap: LayerRange,
    engines: Sequence[EngineRoom],
    model: EngineModel,
    requests: float,
) -> EngineRoom | None:
    """Return the engine without layers of its own that can best be moved to a gap."""

    def fits(engine: EngineRoom) -> tuple[bool, int, int]:
        most = max_layers(engine.accelerator, model, requests)
        held = len(engine.held) if engine.held else 0
        return (most >= len(gap), -held, most)

    able = [
        e
        for e in needless_engines(engines)
        if max_layers(e.accelerator, model, requests) > 0
    ]
    return max(able, key=fits, default=None)


# Moving up


def _cascades(engines: Sequence[EngineRoom], model: EngineModel) -> Iterable[_Repair]:
    """Yield repairs in which the engines behind a gap, or before it, move up.

    Each takes over a few layers of the one next to it, fewer and fewer.
    """
    mirrored = [replace(e, held=_mirrored(e.held, model)) for e in engines]
    for requests in room_levels(model):
        changes = _moved_up(engines, model, requests)
        if changes is not None:
            yield _reckoned(engines, changes, model)
        changes = _moved_up(mirrored, model, requests)
        if changes is not None:
            back = {s: _mirrored(layers, model) for s, layers in changes.items()}
            yield _reckoned(engines, {s: n for s, n in back.items() if n}, model)


def _mirrored(layers: LayerRange | None, model: EngineModel) -> LayerRange | None:
    """Return where layers stand if they are counted from the last one."""
    if layers is None:
        return None
    end = model.layer_count - 1
    return LayerRange(end - layers.last, end - layers.first)


def _moved_up(
    engines: Sequence[EngineRoom], model: EngineModel, requests: float
) -> Changes | None:
    """Let each engine begin where the one before it ends; nothing if one can't."""
    changes: Changes = {}
    first = 0
    for engine in _in_order(engines):
        held = engine.held
        most = max_layers(engine.accelerator, model, requests)
        if held is None or held.last < first or most == 0:
            continue
        last = min(held.last, first + most - 1)
        target = _keeping(LayerRange(first, last), held, most)
        if target != held:
            changes[engine.server_id] = target
        first = last + 1
    return changes if first == model.layer_count else None


def _in_order(engines: Iterable[EngineRoom]) -> list[EngineRoom]:
    """Return engines as they stand along the chain, empty ones first."""

    def place(engine: EngineRoom) -> tuple[int, int]:
        held = engine.held
        return (held.first, held.last) if held else (0, -1)

    return sorted(engines, key=place)


# Changing all


def _spreads_anew(
    engines: Sequence[EngineRoom], model: EngineModel
) -> Iterable[_Repair]:
    """Yield spreads over all engines, each of which keeps what it can."""
    for order in _orders(engines, model):
        for spread in spreads(order, model):
            yield _Repair(_changes(order, spread, model), spread.throughput_rps)


def _orders(
    engines: Sequence[EngineRoom], model: EngineModel
) -> Iterable[list[EngineRoom]]:
    """Yield orders along the chain: as they are, or with one moved into a gap."""
    in_order = _in_order(engines)
    yield in_order
    gaps = uncovered_layers((e.held for e in in_order), model.layer_count)
    if not gaps:
        return
    needless = {e.server_id for e in needless_engines(in_order)}
    movable = sorted(in_order, key=lambda e: e.server_id not in needless)
    for moved in movable[:_MOVES_TRIED]:
        rest = [e for e in in_order if e is not moved]
        place = sum(1 for e in rest if e.held and e.held.first < gaps[0].first)
        yield [*rest[:place], moved, *rest[place:]]


def _changes(
    order: Sequence[EngineRoom], spread: Spread, model: EngineModel
) -> Changes:
    changes: Changes = {}
    for engine in order:
        own = spread.layers.get(engine.server_id)
        if own is None:
            continue
        most = max_layers(engine.accelerator, model, spread.requests)
        target = _keeping(own, engine.held, most)
        if target != engine.held:
            changes[engine.server_id] = target
    return changes


def _keeping(layers: LayerRange, held: LayerRange | None, limit: int) -> LayerRange:
    """Widen a range by what is held next to it, up to ``limit`` layers."""
    if held is None or held.last < layers.first - 1 or held.first > layers.last + 1:
        return layers
    extra = limit - len(layers)
    before = min(extra, max(0, layers.first - held.first))
    after = min(extra - before, max(0, held.last - layers.last))
    return LayerRange(layers.first - before, layers.last + after)
