"""Which engine of a failure domain holds which layers of a model.

Every failure domain that can holds a whole chain of its own, since what stages
pass to each other is expensive between domains. The first plan spreads the
layers over all engines of a domain, fast ones first, and keeps a wanted amount
of memory for requests; what memory is left holds a second copy of neighbours'
layers. Later plans change as little as possible: layers that no engine holds
any more are taken over by the engines that hold the layers next to them, or by
an engine that isn't needed where it is; only where that fails does a domain
begin anew.
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
        return _first_plan(ordered, model)
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
            return _spread(engines, most, model.layer_count)
    return {}


def _spread(
    engines: Sequence[EngineRoom], most: Sequence[int], layer_count: int
) -> dict[str, LayerRange]:
    """Give each layer to one engine, then fill the engines with neighbours'."""
    own = _own_sizes(engines, most, layer_count)
    plan: dict[str, LayerRange] = {}
    first = 0
    for engine, size, limit in zip(engines, own, most, strict=True):
        last = first + size - 1
        if size > 0:
            plan[engine.server_id] = _widened(first, last, limit - size, layer_count)
        first += size
    return plan


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


def _widened(first: int, last: int, extra: int, layer_count: int) -> LayerRange:
    """Widen a range on both sides by ``extra`` layers together."""
    before = min(first, extra // 2)
    after = min(layer_count - 1 - last, extra - before)
    before = min(first, extra - after)
    return LayerRange(first - before, last + after)


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
    return changes


def _close(
    gap: LayerRange, engines: Iterable[EngineRoom], model: EngineModel
) -> dict[str, LayerRange] | None:
    """Return who takes over the layers of a gap."""
    engines = list(engines)
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

    def room(engine: EngineRoom) -> int:
        held = len(engine.held) if engine.held else 0
        return _max_layers(engine, model, _TAKEOVER_ROOM) - held

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
    """Let empty engines copy the layers that the fewest others hold."""
    for engine in [e for e in current.values() if e.held is None]:
        size = _max_layers(engine, model, _WANTED_ROOM[0])
        if size <= 0:
            continue
        coverage = _coverage(current.values())
        target = _least_covered(current.values(), coverage, size)
        if target is None:
            continue
        current[engine.server_id] = replace(engine, held=target)
        changes[engine.server_id] = target


def _least_covered(
    engines: Iterable[EngineRoom], coverage: Counter[int], size: int
) -> LayerRange | None:
    """Return the held range, cut to ``size``, that has the fewest copies.

    Copying another engine's range from its beginning lets a chain that loses
    that engine go on at the copy.
    """
    ranges = sorted({e.held for e in engines if e.held}, key=lambda r: r.first)

    def copies(layers: LayerRange) -> tuple[float, int]:
        numbers = [coverage[n] for n in range(layers.first, layers.last + 1)]
        return (sum(numbers) / len(numbers), -len(layers))

    best = min(ranges, key=copies, default=None)
    if best is None:
        return None
    return LayerRange(best.first, min(best.last, best.first + size - 1))
