"""Spreads of a model's layers over the engines of a failure domain.

If engines keep memory for more requests, more of them run at a time, but the fast
engines hold fewer layers and each request takes longer. Spreads are therefore computed
for several numbers of requests and compared by their throughput.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement.engines import EnginePlacement, max_layers
from railfold._internal.decisions.placement.throughput import (
    concurrency_levels,
    stage_residence_s,
)
from railfold._internal.decisions.routing_table import EngineModel

__all__ = ["Spread", "best_spread", "spreads"]

# Of the spreads with at least this share of the best throughput, the one with the
# shortest residence is used: the estimate isn't more accurate, and an engine that is
# lost takes fewer requests along if they stay for less time.
_NEAR_BEST_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Spread:
    """A placement of each layer of a model on one engine.

    :param layers: the layers by server id, without engines that get none.
    :param requests: how many requests in flight each of the engines has memory for.
    :param residence_s: how long a typical request runs with so many in flight.
    """

    layers: Mapping[str, LayerRange]
    requests: float
    residence_s: float

    @property
    def throughput_rps(self) -> float:
        """Requests a second that the chain serves."""
        return self.requests / self.residence_s


def best_spread(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Spread | None:
    """Return the spread with the best throughput and a short residence.

    :param engines: the engines in the order of their layers.
    :returns: ``None`` if the layers don't fit.
    """
    candidates = list(spreads(engines, model))
    if not candidates:
        return None
    best_rps = max(spread.throughput_rps for spread in candidates)
    near_best = [
        s for s in candidates if s.throughput_rps >= _NEAR_BEST_SHARE * best_rps
    ]
    return min(near_best, key=lambda spread: spread.residence_s)


def spreads(engines: Sequence[EnginePlacement], model: EngineModel) -> Iterable[Spread]:
    """Yield a spread for each concurrency level that leaves memory for all layers."""
    for requests in concurrency_levels(model):
        layer_limits = [max_layers(e.accelerator, model, requests) for e in engines]
        if sum(layer_limits) >= model.layer_count:
            yield _spread(engines, layer_limits, model, requests)


def _spread(
    engines: Sequence[EnginePlacement],
    layer_limits: Sequence[int],
    model: EngineModel,
    requests: float,
) -> Spread:
    layers: dict[str, LayerRange] = {}
    residence_s = 0.0
    first = 0
    for engine, size in zip(
        engines, _sizes(engines, layer_limits, model.layer_count), strict=True
    ):
        if size == 0:
            continue
        layers[engine.server_id] = LayerRange(first, first + size - 1)
        first += size
        residence_s += stage_residence_s(engine.accelerator, model, size, requests)
    return Spread(layers, requests, residence_s)


def _sizes(
    engines: Sequence[EnginePlacement], layer_limits: Sequence[int], layer_count: int
) -> list[int]:
    """Return how many layers each engine runs, as many as possible on the fastest.

    A chain of few full engines has fewer stages than one of many engines with memory to
    spare. Of equally fast engines, those that hold layers come first.
    """
    sizes = [0] * len(engines)
    remaining = layer_count
    by_speed = sorted(
        range(len(engines)),
        key=lambda i: (
            engines[i].accelerator.step_factor,
            engines[i].held_layers is None,
        ),
    )
    for i in by_speed:
        sizes[i] = min(layer_limits[i], remaining)
        remaining -= sizes[i]
    return sizes
