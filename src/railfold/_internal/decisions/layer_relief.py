"""Making room for requests on engines that hold many layers.

The engine with the least room bounds how many requests its whole chain serves. After
losses others stand in and hold more layers than is good; this undoes it step by step.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.layer_rooms import (
    CROWDED_ROOM,
    EngineRoom,
    coverage,
    max_layers,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["relieve"]

# A crowded engine gives up layers that others hold as well until it has this room
# (as a part of a full batch), if they are enough to be worth an order.
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


def relieve(engines: Sequence[EngineRoom], model: EngineModel) -> dict[str, LayerRange]:
    """Return a change that leaves the narrowest engines more room.

    Every layer stays covered: an engine gives up what others hold already, or a
    neighbour loads layers first, and a later call lets the engine give them up.
    """
    return _give_up(engines, model) or _lend(engines, model)


def _give_up(
    engines: Sequence[EngineRoom], model: EngineModel
) -> dict[str, LayerRange]:
    """Let the most crowded engine give up layers that others hold."""
    crowded = [
        e
        for e in engines
        if e.held and len(e.held) > max_layers(e, model, CROWDED_ROOM)
    ]
    crowded.sort(key=lambda e: model.state_tokens(e.accelerator, len(e.held or ())))
    held_by = coverage(engines)
    for engine in crowded:
        if engine.held is None:
            continue
        kept = _trimmed(engine.held, held_by, max_layers(engine, model, _RELIEVED_ROOM))
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
