"""What a request is predicted to get on a chain, and how well that is met."""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.core import Chain
from railfold._internal.decisions.chain_prediction import (
    ChainPrediction,
    StageState,
    predict_chain,
)
from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.forwarding.messages import RequestSize
from railfold._internal.forwarding.router import Router

__all__ = ["Prediction", "predict"]


@dataclass(frozen=True, slots=True)
class Prediction:
    """A prediction and what it rests on.

    :param room_share: memory that is left at the fullest stage, as a share.
    :param known_share: the share of the entries whose load is known.
    :param load_age_s: how old what is known of the others' load is.
    """

    chain: ChainPrediction
    room_share: float
    known_share: float
    load_age_s: float


def predict(router: Router, chain: Chain, size: RequestSize) -> Prediction | None:
    """Return what a request gets on a chain; nothing if its engines aren't known."""
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
