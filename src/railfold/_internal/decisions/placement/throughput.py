"""Throughput of a chain, computed from the model and accelerators in the configuration.

A token passes the stages of a chain one after the other. At each of them it takes the
stage's share of a decode step, which grows with the requests in flight, and a
transmission delay. The stage with the least memory for request state bounds the
requests in flight. Their number divided by the residence time of a request is the
throughput.

The predicted time of a token is accurate within 3% at light load, and within 20% with
30 to 60 requests in flight (docs/MEASURES.md).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from railfold._internal.decisions.placement.engines import (
    EnginePlacement,
    request_capacity,
)
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = [
    "STAGE_DELAY_S",
    "best_chain_throughput_rps",
    "concurrency_levels",
    "stage_residence_s",
    "stage_token_s",
]

# Transmission delay that each stage adds to the time of a token at light load.
STAGE_DELAY_S = 0.00015

# Ratio between consecutive concurrency levels. Half a level changes the number of
# layers that fit on an engine by only one or two, so finer levels gain little.
_LEVEL_RATIO = 0.6


def concurrency_levels(model: EngineModel) -> list[float]:
    """Return the numbers of requests in flight that plans consider, highest first."""
    levels = [float(model.max_sequences)]
    while levels[-1] > 1.0:
        levels.append(max(1.0, levels[-1] * _LEVEL_RATIO))
    return levels


def stage_residence_s(
    accelerator: Accelerator, model: EngineModel, layers: int, requests: float
) -> float:
    """Return how long a typical request spends at a stage.

    :param layers: how many layers the stage runs.
    :param requests: how many requests are in flight on its chain.
    """
    layer_share = layers / model.layer_count
    prompt_s = layer_share * accelerator.prefill_factor * model.prompt_s
    token_s = stage_token_s(accelerator, model, layers, requests)
    return prompt_s + model.answer_tokens * token_s


def stage_token_s(
    accelerator: Accelerator, model: EngineModel, layers: int, requests: float
) -> float:
    """Return how long each token spends at a stage, with the transmission delay.

    :param layers: how many layers the stage runs.
    :param requests: how many requests are in flight on its chain.
    """
    layer_share = layers / model.layer_count
    step_s = model.step_s + requests * model.sequence_step_s
    return layer_share * accelerator.step_factor * step_s + STAGE_DELAY_S


def best_chain_throughput_rps(
    engines: Iterable[EnginePlacement], model: EngineModel
) -> float:
    """Return how many typical requests a second the best chain of a domain serves.

    The result is 0 if the engines don't cover all layers. It is used to compare
    repairs; it isn't the throughput of the domain, since parallel chains aren't
    counted.
    """
    placed = [e for e in engines if e.held_layers is not None]
    best_rps = 0.0
    for requests in concurrency_levels(model):
        residence_s = _shortest_residence_s(placed, model, requests)
        if residence_s is not None:
            best_rps = max(best_rps, requests / residence_s)
    return best_rps


def _shortest_residence_s(
    engines: Sequence[EnginePlacement], model: EngineModel, requests: float
) -> float | None:
    """Return the residence time on the fastest chain with capacity for ``requests``.

    As in the planner's chains, a stage may begin after the first layer of an engine's
    range, and extends to the end of the range.

    :returns: ``None`` if there is no such chain.
    """
    shortest_s: dict[int, float] = {0: 0.0}
    for layer in range(model.layer_count):
        previous_s = shortest_s.get(layer)
        if previous_s is None:
            continue
        for engine in engines:
            held_layers = engine.held_layers
            if (
                held_layers is None
                or not held_layers.first <= layer <= held_layers.last
            ):
                continue
            run_count = held_layers.last - layer + 1
            if (
                request_capacity(engine.accelerator, model, len(held_layers), run_count)
                < requests
            ):
                continue
            total_s = previous_s + stage_residence_s(
                engine.accelerator, model, run_count, requests
            )
            if total_s < shortest_s.get(held_layers.last + 1, float("inf")):
                shortest_s[held_layers.last + 1] = total_s
    return shortest_s.get(model.layer_count)
