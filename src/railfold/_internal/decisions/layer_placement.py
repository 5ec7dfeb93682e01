"""Which engine of a failure domain holds which layers of a model.

Every failure domain that can holds a whole chain of its own, since what stages
pass to each other is expensive between domains. The first plan spreads the
layers over all engines of a domain, fast ones first, and keeps a wanted amount
of memory for requests; what memory is left holds a second copy of neighbours'
layers. Later plans change as little as possible: layers that no engine holds
any more are taken over by the engines that hold the layers next to them, or by
an engine that isn't needed where it is; only where that fails does a domain
begin anew. An engine that comes empty copies layers of the engine with the
least memory left for requests, which then gives those up.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.layer_relief import relieve
from railfold._internal.decisions.layer_rooms import (
    CROWDED_ROOM,
    EngineRoom,
    coverage,
    max_layers,
    uncovered_layers,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["plan_layers"]

# Parts of the memory for a full batch of usual requests that a first plan tries
# to keep, most first. Half a batch is twice what an evenly loaded domain of the
# first sites holds at a time.
_WANTED_ROOM = (0.8, 0.65, 0.5, 0.35, 0.25, 0.15, 0.1, 0.05)

# The same when layers are taken over after a loss: serving fewer requests at a
# time is better than loading a whole domain anew.
_TAKEOVER_ROOM = 0.12

# The same when a domain's layers are spread anew after a loss. Less room lets
# more engines keep what they hold.
_MOVED_ROOM = (0.4, 0.2, 0.1, 0.05)


def plan_layers(
    engines: Iterable[EngineRoom], model: EngineModel
) -> dict[str, LayerRange]:
    """Return the layers that each engine of one failure domain should hold.

    Engines that are left out keep what they hold. Empty if the engines can't
    hold all layers together.
    """
    ordered = sorted(engines, key=lambda engine: engine.server_id)
    if not any(engine.held for engine in ordered):
        return _first_plan(ordered, model)
    patched = _patch(ordered, model)
    if patched is None:
        return _moved_plan(ordered, model)
    return patched


def _first_plan(
    engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange]:
    for room in _WANTED_ROOM:
        most = [max_layers(engine, model, room) for engine in engines]
        if sum(most) >= model.layer_count:
            own = _spread(engines, most, model.layer_count)
            limits = {e.server_id: n for e, n in zip(engines, most, strict=True)}
            return {
                server_id: _widened(layers, limits[server_id], model.layer_count)
                for server_id, layers in own.items()
            }
    return {}


def _spread(
    engines: Sequence[EngineRoom], most: Sequence[int], layer_count: int
) -> dict[str, LayerRange]:
    """Give each layer to one engine, in the engines' order."""
    plan: dict[str, LayerRange] = {}
    first = 0
    sizes = _own_sizes(engines, most, layer_count)
    for engine, size in zip(engines, sizes, strict=True):
        if size > 0:
            plan[engine.server_id] = LayerRange(first, first + size - 1)
        first += size
    return plan


def _moved_plan(
    engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange]:
    """Spread the layers anew, so that the chain is whole again soon.

    Engines keep their order, but for up to two that move into a gap; of these
    ways the one whose loads end first is taken.
    """
    in_order = sorted(engines, key=lambda e: e.held.first if e.held else 0)
    best: tuple[float, dict[str, LayerRange]] | None = None
    for room in _MOVED_ROOM:
        for order in _orders(in_order, model):
            most = [max_layers(engine, model, room) for engine in order]
            if sum(most) < model.layer_count:
                continue
            own = _spread(order, most, model.layer_count)
            plan = {
                engine.server_id: _keeping(own[engine.server_id], engine.held, limit)
                for engine, limit in zip(order, most, strict=True)
                if engine.server_id in own
            }
            cost = _load_time(order, plan, model)
            if best is None or cost < best[0]:
                best = (cost, plan)
        if best is not None:
            held = {e.server_id: e.held for e in engines}
            return {s: n for s, n in best[1].items() if held[s] != n}
    return _first_plan(engines, model)


def _orders(
    in_order: Sequence[EngineRoom], model: EngineModel
) -> Iterable[list[EngineRoom]]:
    """Yield orders along the chain that are worth a look."""
    yield list(in_order)
    gaps = uncovered_layers((e.held for e in in_order), model.layer_count)
    gap_first = gaps[0].first if gaps else 0
    count = len(in_order)
    for one in range(count):
        for other in range(one, count):
            moved = [in_order[i] for i in sorted({one, other})]
            rest = [e for e in in_order if e not in moved]
            before = [e for e in rest if e.held and e.held.first < gap_first]
            after = rest[len(before) :]
            yield [*before, *moved, *after]


def _load_time(
    order: Sequence[EngineRoom], plan: dict[str, LayerRange], model: EngineModel
) -> float:
    """Return about how long a plan's loads take, in loads of one layer."""
    loads = [
        _new_layers(engine.held, plan[engine.server_id])
        for engine in order
        if engine.server_id in plan
    ]
    return max(max(loads), sum(loads) / model.loads_at_once)


def _new_layers(held: LayerRange | None, target: LayerRange) -> int:
    if held is None:
        return len(target)
    first = max(held.first, target.first)
    kept = min(held.last, target.last) - first + 1
    return len(target) - max(0, kept)


def _own_sizes(
    engines: Sequence[EngineRoom], most: Sequence[int], layer_count: int
) -> list[int]:
    """Return how many layers each engine runs; the fastest run their most."""
    sizes = [0] * len(engines)
    by_speed = sorted(
        range(len(engines)), key=lambda i: engines[i].accelerator.step_factor
    )
    left = layer_count
    # One layer each at first, so that the slow share evenly what remains.
    while left > 0:
        open_ = [i for i in by_speed if sizes[i] < most[i]]
        fastest = engines[open_[0]].accelerator.step_factor
        group = [
            i for i in open_ if engines[i].accelerator.step_factor <= 1.2 * fastest
        ]
        for i in sorted(group, key=lambda i: sizes[i] / most[i]):
            if left > 0:
                sizes[i] += 1
                left -= 1
    return sizes


def _widened(layers: LayerRange, limit: int, layer_count: int) -> LayerRange:
    """Widen a range on both sides to ``limit`` layers."""
    extra = limit - len(layers)
    before = min(layers.first, extra // 2)
    after = min(layer_count - 1 - layers.last, extra - before)
    before = min(layers.first, extra - after)
    return LayerRange(layers.first - before, layers.last + after)


def _keeping(layers: LayerRange, held: LayerRange | None, limit: int) -> LayerRange:
    """Widen a range by what is held next to it, up to ``limit`` layers."""
    if held is None or held.last < layers.first - 1 or held.first > layers.last + 1:
        return layers
    extra = limit - len(layers)
    before = min(extra, max(0, layers.first - held.first))
    after = min(extra - before, max(0, held.last - layers.last))
    return LayerRange(layers.first - before, layers.last + after)


def _patch(
    engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange] | None:
    """Return the changes that cover all layers again; nothing if it can't be."""
    current = {e.server_id: e for e in engines}
    changes: dict[str, LayerRange] = {}
    # Each round closes or narrows one gap; the bound guards against a mistake.
    for _ in range(model.layer_count):
        gaps = uncovered_layers((e.held for e in current.values()), model.layer_count)
        if not gaps:
            break
        given = _close(gaps[0], current.values(), model)
        if given is None:
            return None
        for server_id, layers in given.items():
            current[server_id] = replace(current[server_id], held=layers)
            changes[server_id] = layers
    _employ_idle(current, changes, model)
    return changes or relieve(engines, model)


def _close(
    gap: LayerRange, engines: Iterable[EngineRoom], model: EngineModel
) -> dict[str, LayerRange] | None:
    """Return who takes over the layers of a gap."""
    engines = list(engines)
    idle = [e for e in engines if e.held is None]
    fitting = [e for e in idle if max_layers(e, model, CROWDED_ROOM) >= len(gap)]
    if fitting:
        return {fitting[0].server_id: gap}
    widened = _widen_neighbours(gap, engines, model)
    if widened is not None:
        return widened
    spare = _spare_for(gap, engines, model)
    if spare is None:
        return None
    size = min(len(gap), max_layers(spare, model, _TAKEOVER_ROOM))
    return {spare.server_id: LayerRange(gap.first, gap.first + size - 1)}


def _widen_neighbours(
    gap: LayerRange, engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange] | None:
    """Let the engines on both sides of a gap take its layers, if they can."""
    for room in (r for r in _WANTED_ROOM if r > _TAKEOVER_ROOM):
        widened = _widen_keeping(gap, engines, model, room)
        if widened is not None:
            return widened
    return _widen_keeping(gap, engines, model, _TAKEOVER_ROOM)


def _widen_keeping(
    gap: LayerRange, engines: Sequence[EngineRoom], model: EngineModel, kept: float
) -> dict[str, LayerRange] | None:
    """Do so if they keep that part of a full batch's memory."""

    def room(engine: EngineRoom) -> int:
        held = len(engine.held) if engine.held else 0
        return max_layers(engine, model, kept) - held

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
    changes: dict[str, LayerRange] = {}
    if left and left.held and from_left:
        held = left.held
        changes[left.server_id] = LayerRange(held.first, held.last + from_left)
    if right and right.held and from_right:
        held = right.held
        changes[right.server_id] = LayerRange(held.first - from_right, held.last)
    return changes


def _spare_for(
    gap: LayerRange, engines: Sequence[EngineRoom], model: EngineModel
) -> EngineRoom | None:
    """Return the engine that can best be moved to a gap."""
    held_by = coverage(engines)
    spares = [e for e in engines if _needless(e, held_by)]

    def fits(engine: EngineRoom) -> tuple[bool, int, int]:
        most = max_layers(engine, model, _TAKEOVER_ROOM)
        held = len(engine.held) if engine.held else 0
        return (most >= len(gap), -held, most)

    able = [e for e in spares if max_layers(e, model, _TAKEOVER_ROOM) > 0]
    return max(able, key=fits, default=None)


def _needless(engine: EngineRoom, coverage: Counter[int]) -> bool:
    """Return whether others hold all that this engine holds."""
    if engine.held is None:
        return True
    layers = range(engine.held.first, engine.held.last + 1)
    return all(coverage[layer] > 1 for layer in layers)


def _employ_idle(
    current: dict[str, EngineRoom], changes: dict[str, LayerRange], model: EngineModel
) -> None:
    """Let empty engines copy layers, where that leaves the most room."""
    for engine in [e for e in current.values() if e.held is None]:
        target = _best_copy(engine, list(current.values()), model)
        if target is None:
            continue
        current[engine.server_id] = replace(engine, held=target)
        changes[engine.server_id] = target


def _best_copy(
    idle: EngineRoom, engines: Sequence[EngineRoom], model: EngineModel
) -> LayerRange | None:
    """Return the layers of which a copy relieves the most crowded engines.

    An engine is relieved of what a copy holds of its range's beginning or end.
    """
    size = min(
        max_layers(idle, model, _WANTED_ROOM[0]) or max_layers(idle, model, 0.0),
        model.layer_count,
    )
    if size <= 0:
        return None
    held_by = coverage(engines)

    def worth(copy: LayerRange) -> tuple[list[int], int]:
        rooms = sorted(
            model.state_tokens(e.accelerator, len(_rest(e.held, copy)))
            for e in engines
            if e.held
        )
        copies = sum(held_by[n] for n in range(copy.first, copy.last + 1))
        return (rooms, -copies)

    starts = range(model.layer_count - size + 1)
    return max((LayerRange(n, n + size - 1) for n in starts), key=worth)


def _rest(held: LayerRange, copy: LayerRange) -> LayerRange:
    """Return what an engine needs to hold beside a copy of some of its layers."""
    if copy.first <= held.first and copy.last >= held.last:
        return LayerRange(held.first, held.first)  # All: it keeps next to nothing.
    if copy.first <= held.first <= copy.last:
        return LayerRange(copy.last + 1, held.last)
    if copy.first <= held.last <= copy.last:
        return LayerRange(held.first, copy.first - 1)
    return held
