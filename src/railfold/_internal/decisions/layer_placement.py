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
from dataclasses import dataclass, replace

from railfold._internal.core import LayerRange
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["EngineRoom", "plan_layers", "uncovered_layers"]

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

# An engine with less room gives up layers that others hold as well until it has
# the relieved room, if they are enough to be worth an order.
_CROWDED_ROOM = 0.5
_RELIEVED_ROOM = 0.65
_LEAST_RELIEF_LAYERS = 2

# An engine with less room than this bounds what its whole chain serves: a failure
# domain of the first sites holds requests of about 0.25 of a full batch at a time. It
# gives up a single layer too, and a neighbour loads a layer for that, if the less
# roomy of the two then has more room by the gain. The gain also keeps the two from
# handing a layer to and fro.
_NARROW_ROOM = 0.3
_LEAST_GAIN = 1.5
_MOST_LENT_LAYERS = 3


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """An engine that may be given layers.

    :param held: the layers it holds now.
    """

    server_id: str
    accelerator: Accelerator
    held: LayerRange | None


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


def uncovered_layers(
    ranges: Iterable[LayerRange | None], layer_count: int
) -> list[LayerRange]:
    """Return the runs of layers that are in none of the ranges."""
    covered = [False] * layer_count
    for layers in ranges:
        if layers is not None:
            for layer in range(layers.first, layers.last + 1):
                covered[layer] = True
    gaps: list[LayerRange] = []
    first: int | None = None
    for layer in range(layer_count + 1):
        missing = layer < layer_count and not covered[layer]
        if missing and first is None:
            first = layer
        elif not missing and first is not None:
            gaps.append(LayerRange(first, layer - 1))
            first = None
    return gaps


def _max_layers(engine: EngineRoom, model: EngineModel, room: float) -> int:
    """Return how many layers fit beside the memory for requests."""
    tokens = room * model.max_sequences * model.mean_tokens
    per_layer_mb = model.layer_mb + tokens * model.request_mb_per_token
    most = int(engine.accelerator.memory_mb / per_layer_mb)
    return min(most, model.layer_count)


def _first_plan(
    engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange]:
    for room in _WANTED_ROOM:
        most = [_max_layers(engine, model, room) for engine in engines]
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
            most = [_max_layers(engine, model, room) for engine in order]
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
    return changes or _relieve(engines, model) or _lend(engines, model)


def _close(
    gap: LayerRange, engines: Iterable[EngineRoom], model: EngineModel
) -> dict[str, LayerRange] | None:
    """Return who takes over the layers of a gap."""
    engines = list(engines)
    idle = [e for e in engines if e.held is None]
    fitting = [e for e in idle if _max_layers(e, model, _CROWDED_ROOM) >= len(gap)]
    if fitting:
        return {fitting[0].server_id: gap}
    widened = _widen_neighbours(gap, engines, model)
    if widened is not None:
        return widened
    spare = _spare_for(gap, engines, model)
    if spare is None:
        return None
    size = min(len(gap), _max_layers(spare, model, _TAKEOVER_ROOM))
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
        return _max_layers(engine, model, kept) - held

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
    coverage = _coverage(engines)
    spares = [e for e in engines if _needless(e, coverage)]

    def fits(engine: EngineRoom) -> tuple[bool, int, int]:
        most = _max_layers(engine, model, _TAKEOVER_ROOM)
        held = len(engine.held) if engine.held else 0
        return (most >= len(gap), -held, most)

    able = [e for e in spares if _max_layers(e, model, _TAKEOVER_ROOM) > 0]
    return max(able, key=fits, default=None)


def _coverage(engines: Iterable[EngineRoom]) -> Counter[int]:
    coverage: Counter[int] = Counter()
    for engine in engines:
        if engine.held:
            coverage.update(range(engine.held.first, engine.held.last + 1))
    return coverage


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
        _max_layers(idle, model, _WANTED_ROOM[0]) or _max_layers(idle, model, 0.0),
        model.layer_count,
    )
    if size <= 0:
        return None
    coverage = _coverage(engines)

    def worth(copy: LayerRange) -> tuple[list[int], int]:
        rooms = sorted(
            model.state_tokens(e.accelerator, len(_rest(e.held, copy)))
            for e in engines
            if e.held
        )
        copies = sum(coverage[n] for n in range(copy.first, copy.last + 1))
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


def _relieve(
    engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange]:
    """Let the most crowded engine give up layers that others hold."""
    crowded = [
        e
        for e in engines
        if e.held and len(e.held) > _max_layers(e, model, _CROWDED_ROOM)
    ]
    crowded.sort(key=lambda e: model.state_tokens(e.accelerator, len(e.held or ())))
    coverage = _coverage(engines)
    for engine in crowded:
        if engine.held is None:
            continue
        kept = _trimmed(
            engine.held, coverage, _max_layers(engine, model, _RELIEVED_ROOM)
        )
        given_up = len(engine.held) - len(kept)
        if given_up >= _LEAST_RELIEF_LAYERS or _worthwhile(engine, kept, model):
            return {engine.server_id: kept}
    return {}


def _tokens(engine: EngineRoom, layers: LayerRange, model: EngineModel) -> int:
    """Return how many tokens of requests an engine has room for beside layers."""
    return model.state_tokens(engine.accelerator, len(layers))


def _room(engine: EngineRoom, model: EngineModel) -> int:
    """Return the same beside what it holds; an empty engine takes no requests."""
    return _tokens(engine, engine.held, model) if engine.held else 0


def _narrow(engine: EngineRoom, model: EngineModel) -> bool:
    wanted = _NARROW_ROOM * model.max_sequences * model.mean_tokens
    return engine.held is not None and _room(engine, model) < wanted


def _worthwhile(engine: EngineRoom, kept: LayerRange, model: EngineModel) -> bool:
    """Return whether a narrow engine gains enough by holding only ``kept``."""
    gained = _tokens(engine, kept, model) > _LEAST_GAIN * _room(engine, model)
    return _narrow(engine, model) and gained


@dataclass(frozen=True, slots=True)
class _Handover:
    """An engine's layers that a helper next to it loads first.

    :param kept: what the engine then needs to hold.
    :param widened: what the helper then holds.
    """

    engine: EngineRoom
    kept: LayerRange
    helper: EngineRoom
    widened: LayerRange

    def least_room(self, model: EngineModel) -> int:
        """Return the room of the less roomy of the two afterwards."""
        return min(
            _tokens(self.engine, self.kept, model),
            _tokens(self.helper, self.widened, model),
        )


def _lend(engines: Sequence[EngineRoom], model: EngineModel) -> dict[str, LayerRange]:
    """Let a neighbour load layers that the narrowest engine then gives up."""
    narrow = [e for e in engines if _narrow(e, model)]
    for engine in sorted(narrow, key=lambda e: _room(e, model)):
        handovers = [
            handover
            for helper in engines
            for handover in _handovers(engine, helper)
            if _worthwhile(engine, handover.kept, model)
            and handover.least_room(model) > _LEAST_GAIN * _room(engine, model)
        ]
        if handovers:
            best = max(handovers, key=lambda handover: handover.least_room(model))
            return {best.helper.server_id: best.widened}
    return {}


def _handovers(engine: EngineRoom, helper: EngineRoom) -> Iterable[_Handover]:
    """Yield the ways in which a helper next to an engine can take its layers."""
    own, other = engine.held, helper.held
    if own is None or other is None or helper.server_id == engine.server_id:
        return
    for count in range(1, min(_MOST_LENT_LAYERS, len(own) - 1) + 1):
        if other.first < own.first <= other.last + 1 < own.first + count:
            widened = LayerRange(other.first, own.first + count - 1)
            kept = LayerRange(own.first + count, own.last)
            yield _Handover(engine, kept, helper, widened)
        if own.last - count < other.first - 1 <= own.last < other.last:
            widened = LayerRange(own.last - count + 1, other.last)
            kept = LayerRange(own.first, own.last - count)
            yield _Handover(engine, kept, helper, widened)


def _trimmed(held: LayerRange, coverage: Counter[int], size: int) -> LayerRange:
    """Return a range without layers at its ends that others hold, if over size."""
    first, last = held.first, held.last
    while last - first + 1 > size and coverage[last] > 1:
        last -= 1
    while last - first + 1 > size and coverage[first] > 1:
        first += 1
    return LayerRange(first, last)
