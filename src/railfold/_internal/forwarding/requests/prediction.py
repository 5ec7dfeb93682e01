"""Predicts the latency of a request on a chain."""

from __future__ import annotations

from dataclasses import dataclass, replace

from railfold._internal.core import Chain
from railfold._internal.decisions.chain_prediction import (
    ChainPrediction,
    StageState,
    predict_chain,
)
from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.routing_table import Route
from railfold._internal.forwarding.messages import RequestSize
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.router import Router

__all__ = ["Prediction", "expected_answer_s", "predict"]


@dataclass(frozen=True, slots=True)
class Prediction:
    """The predicted latency on a chain, with the state on which it is based.

    :param room_share: share of the memory that is free at the fullest stage.
    :param known_share: share of the entries whose load is known, at the stage where it
        is smallest.
    :param load_age_s: age of the oldest load announcement that is included.
    """

    chain: ChainPrediction
    room_share: float
    known_share: float
    load_age_s: float


def expected_answer_s(
    router: Router, destination: Destination, route: Route, size: RequestSize
) -> float:
    """Return the expected time from now to the end of a request's answer.

    A stream has as many tokens as the model's mean answer, unless its client asked for
    fewer. A plain answer takes as long as its route's latency objective.
    """
    model = router.model_of_service(destination.service)
    if destination.chain is None or model is None:
        return route.objective_s
    tokens = min(size.answer_tokens or model.answer_tokens, model.answer_tokens)
    mean_size = replace(size, answer_tokens=tokens)
    prediction = predict(router, destination.chain, mean_size)
    if prediction is None:
        return route.objective_s
    return max(route.objective_s, prediction.chain.finish_s)


def predict(router: Router, chain: Chain, size: RequestSize) -> Prediction | None:
    """Return the prediction for a request on a chain.

    Returns ``None`` if the model isn't configured or an engine isn't registered.
    """
    model = router.model_of(chain)
    if model is None:
        return None
    stages = []
    loads: list[ServerLoad] = []
    for stage in chain.stages:
        entry = router.directory.get(stage.host)
        kind = model.accelerators.get(entry.registration.accelerator) if entry else None
        if entry is None or kind is None:
            return None
        held = entry.registration.layers or stage.layers
        capacity = max(1, model.capacity_tokens(kind, len(held)))
        load = router.load_of(stage.host)
        loads.append(load)
        stages.append(
            StageState(kind.slowed(entry.slowness), len(stage.layers), capacity, load)
        )
    prompt_tokens = size.prompt_tokens or model.mean_tokens - model.answer_tokens
    answer_tokens = size.answer_tokens or model.answer_tokens
    return Prediction(
        predict_chain(stages, model, prompt_tokens, answer_tokens),
        min(1.0 - s.load.tokens / s.capacity_tokens for s in stages),
        min(load.known_share for load in loads),
        max(load.age_s for load in loads),
    )
