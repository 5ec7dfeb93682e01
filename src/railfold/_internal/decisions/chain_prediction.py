"""What a request gets on a chain at the load that is known.

By the figures of the configuration: each stage reads the prompts that wait there and
then the request's own, and each token takes the stage's share of a step, which grows
with the sequences in flight.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.placement import stage_token_s
from railfold._internal.decisions.routing_table import Accelerator, EngineModel

__all__ = ["ChainPrediction", "StageState", "predict_chain", "read_s"]


@dataclass(frozen=True, slots=True)
class StageState:
    """A stage of a chain as it is known now.

    :param accelerator: with its slowness, if it is known to be slow.
    :param layers: how many layers the stage runs.
    :param capacity_tokens: the tokens of requests that its engine has memory for.
    """

    accelerator: Accelerator
    layers: int
    capacity_tokens: int
    load: ServerLoad


@dataclass(frozen=True, slots=True)
class ChainPrediction:
    """What a request gets on a chain.

    :param first_event_s: time until its first event.
    :param pause_s: between two of its events.
    :param finish_s: time until its last token.
    :param room_tokens: memory that is left at the fullest stage; below zero if more is
        under way than fits.
    """

    first_event_s: float
    pause_s: float
    finish_s: float
    room_tokens: float


def predict_chain(
    stages: Sequence[StageState],
    model: EngineModel,
    prompt_tokens: int,
    answer_tokens: int,
) -> ChainPrediction:
    """Return what a request of these sizes gets on a chain of at least one stage."""
    token_s = sum(
        stage_token_s(s.accelerator, model, s.layers, s.load.sequences) for s in stages
    )
    reading_s = sum(read_s(stage, model, prompt_tokens) for stage in stages)
    pause_s = model.tokens_per_event * token_s
    return ChainPrediction(
        first_event_s=reading_s + pause_s,
        pause_s=pause_s,
        finish_s=reading_s + answer_tokens * token_s,
        room_tokens=min(s.capacity_tokens - s.load.tokens for s in stages),
    )


def read_s(stage: StageState, model: EngineModel, prompt_tokens: int) -> float:
    """Return how long a stage takes to read what waits there and one prompt more."""
    usual_tokens = max(1, model.mean_tokens - model.answer_tokens)
    usual_s = stage.accelerator.prefill_factor * model.prompt_s
    share = stage.layers / model.layer_count
    waiting = stage.load.pending_prompt_tokens + prompt_tokens
    return share * usual_s * waiting / usual_tokens
