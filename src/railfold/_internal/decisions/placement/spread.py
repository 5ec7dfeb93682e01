"""Spreading a model's layers over the engines of a failure domain, in an order.

More memory for requests lets more of them run at a time, and leaves fewer layers to
the fast engines, so that each request stays longer. The throughput tells which room is
best: it is reckoned for each number of requests that is worth a look.
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

# Of spreads whose throughput is within this part of the best one's the fastest is
# taken: the reckoning is no finer, and requests that stay less long are lost less.
_NEAR_BEST_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Spread:
    """Each layer of a model on one engine.

    :param layers: by engine; engines that aren't needed are left out.
    :param requests: how many requests in flight each of the engines has room for.
    :param residence_s: how long a request then stays.
    """

    layers: Mapping[str, LayerRange]
    requests: float
    residence_s: float

    @property
    def throughput_rps(self) -> float:
        """How many requests a second the chain serves."""
        return self.requests / self.residence_s


def best_spread(
    engines: Sequence[EnginePlacement], model: EngineModel
) -> Spread | None:
    """Return the spread that serves the most; nothing if the layers don't fit.

    :param engines: in the order in which they take layers.
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
    """Yield a spread for each number of requests in flight that is worth a look."""
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
    """Return how many layers each engine runs; the fastest run their most.

    Few engines that are full make a shorter chain than many that aren't. Of equal
    ones those come first that hold layers already.
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
