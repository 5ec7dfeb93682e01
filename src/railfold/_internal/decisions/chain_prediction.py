"""Prediction of a request's latency on a chain at the known load.

The prediction uses the timings of the model's configuration. Each stage processes the
prompts that wait there and then the request's own (prefill), and each token takes the
stage's share of a decode step, which grows with the sequences in flight.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.placement import stage_token_s
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["ChainPrediction", "StageState", "predict_chain", "stage_prefill_s"]


@dataclass(frozen=True, slots=True)
class StageState:
    """Current state of a stage of a chain, as this entry knows it.

    :param accelerator: its kind of accelerator, slowed down if the engine reported that
        its steps are slow.
    :param layers: how many layers the stage runs.
    :param capacity_tokens: tokens of requests that fit in its engine's memory.
    :param load: the load of its server over all entries.
    """

    accelerator: Accelerator
    layers: int
    capacity_tokens: int
    load: ServerLoad


@dataclass(frozen=True, slots=True)
class ChainPrediction:
    """Predicted latency of a request on a chain.

    :param first_event_s: time until its first event.
    :param pause_s: time between two of its events.
    :param finish_s: time until its last token.
    :param free_tokens: tokens that still fit at the fullest stage before the request;
        negative if more are in flight than fit.
    """

    first_event_s: float
    pause_s: float
    finish_s: float
    free_tokens: float


def predict_chain(
    stages: Sequence[StageState],
    model: EngineModel,
    prompt_tokens: int,
    answer_tokens: int,
) -> ChainPrediction:
    """Return the predicted latency of a request on a chain of at least one stage."""
    token_s = sum(
        stage_token_s(s.accelerator, model, s.layers, s.load.sequences) for s in stages
    )
    prefill_s = sum(stage_prefill_s(stage, model, prompt_tokens) for stage in stages)
    pause_s = model.tokens_per_event * token_s
    return ChainPrediction(
        first_event_s=prefill_s + pause_s,
        pause_s=pause_s,
        finish_s=prefill_s + answer_tokens * token_s,
        free_tokens=min(s.capacity_tokens - s.load.tokens for s in stages),
    )


def stage_prefill_s(stage: StageState, model: EngineModel, prompt_tokens: int) -> float:
    """Return the time of a stage to process the waiting prompts and one more."""
    typical_prompt_tokens = max(1, model.mean_tokens - model.answer_tokens)
    typical_prefill_s = stage.accelerator.prefill_factor * model.prompt_s
    layer_share = stage.layers / model.layer_count
    pending_tokens = stage.load.pending_prompt_tokens + prompt_tokens
    return layer_share * typical_prefill_s * pending_tokens / typical_prompt_tokens
