"""What a stage costs a request, by the load that is known of its server.

Answers requests for engines of unlike speeds whose memory runs out. A fast engine is
the best choice until it is full, so that the least time alone sends everything to a few
engines and is refused there. The cost of a chain therefore adds up, without a unit:

- the share of the route's objectives that it uses up;
- the room that it takes: scarcity at each stage, times how long the chain holds it,
  over the time that a chain of the stage's own kind would. So a slow stage behind a
  fast one pays for the requests that the fast one can't take meanwhile;
- the risk of a rejection, which loses the whole objective.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from railfold._internal.decisions.chain_prediction import StageState, stage_prefill_s
from railfold._internal.decisions.placement import stage_token_s
from railfold._internal.decisions.planner import Replica
from railfold._internal.decisions.routing_table import EngineModel

__all__ = [
    "RequestNeeds",
    "StageCandidate",
    "rate_candidate",
    "scarcity",
    "unseen_occupancy",
]

# What time counts beside room: a chain that uses up a whole objective costs as much
# more than an immediate one as a server that is a third full costs more than an idle
# one. With more, idle slow engines stay idle while fast ones fill up.
_TIME_WEIGHT = 0.5

# Above this share of its room the next request may be rejected, since others send
# there at the same time.
_RISKY_OCCUPANCY = 0.85

# Scarcity grows linearly beyond this, so that full servers can be told apart.
_LINEAR_FROM_OCCUPANCY = 0.95

# The share of all requests that may go to one server before the news of it is there:
# entries draw among several chains.
_UNSEEN_REQUEST_SHARE = 0.3

# A route whose objective is loose leaves the fastest accelerators to tighter ones
# unless they have far more room.
_SLACK_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """What a request asks of a chain.

    :param objective_s: time to its first event.
    :param allowed_pause_s: between two of its events.
    :param looseness: the share of ``objective_s`` that the tightest route of the
        service does without; 0 for that route itself.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_s: float
    allowed_pause_s: float
    objective_slack: float = 0.0

    @property
    def total_tokens(self) -> int:
        """The memory that its state may grow to."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class StageCandidate:
    """A replica with what it costs to run some of its layers.

    :param risk: of a rejection, however few layers it runs.
    :param share_per_layer: of the objectives, and what else doesn't depend on the
        other stages.
    :param stage_s: time that a stage holds the request up beside running its layers.
    :param layer_s: the same for each layer.
    :param room_per_layer: scarcity over the time that a chain of this kind would take.
    :param has_room: whether the request is predicted to fit beside what is there.
    """

    replica: Replica
    state: StageState
    rejection_risk: float
    objective_cost_per_layer: float
    overhead_s: float
    layer_s: float
    scarcity_per_layer: float
    has_capacity: bool


def _occupancy(state: StageState, needs: RequestNeeds, max_sequences: int) -> float:
    """Return which share of a server would be taken with the request.

    :param max_sequences: how many requests it takes as a first stage; 0 if it is
        another stage, which memory alone bounds.
    """
    tokens = (state.load.tokens + needs.total_tokens) / max(1, state.capacity_tokens)
    if not max_sequences:
        return tokens
    return max(tokens, (state.load.sequences + 1.0) / max_sequences)


def scarcity(occupancy: float) -> float:
    """Return the cost of room: what an M/M/1 queue adds at this utilization."""
    if occupancy <= _LINEAR_FROM_OCCUPANCY:
        return occupancy / (1.0 - occupancy)
    slope = 1.0 / (1.0 - _LINEAR_FROM_OCCUPANCY) ** 2
    return scarcity(_LINEAR_FROM_OCCUPANCY) + slope * (
        occupancy - _LINEAR_FROM_OCCUPANCY
    )


def unseen_occupancy(
    state: StageState, model: EngineModel, entries: int, arriving_rps: float
) -> float:
    """Return which share of a server may have been taken unseen.

    By entries whose parts aren't known, one request each, and by what has arrived
    everywhere since the oldest part that counts, as far as it may have gone there.
    """
    unseen_requests = (entries - 1) * (1.0 - state.load.known_share)
    unseen_requests += arriving_rps * state.load.age_s
    capacity_requests = state.capacity_tokens / model.mean_tokens
    return min(
        1.0, _UNSEEN_REQUEST_SHARE * unseen_requests / max(1.0, capacity_requests)
    )


def rate_candidate(
    replica: Replica,
    state: StageState,
    model: EngineModel,
    needs: RequestNeeds,
    unseen_share: float,
    rng: random.Random,
) -> StageCandidate:
    """Return a replica with its costs.

    :param state: of all layers of the replica.
    :param spread: which share of it may have been taken unseen. Each request draws
        how much of that it reckons with, so that entries which know the same don't
        all choose the same server.
    """
    is_first = replica.stage.layers.first == 0
    occupancy = _occupancy(state, needs, model.max_sequences if is_first else 0)
    assumed_occupancy = occupancy + unseen_share * rng.expovariate(1.0)
    rejection_risk = max(
        0.0, (assumed_occupancy - _RISKY_OCCUPANCY) / (1.0 - _RISKY_OCCUPANCY)
    )
    accelerator = state.accelerator
    slowest_factor = max(kind.step_factor for kind in model.accelerators.values())
    relative_speed = max(0.0, 1.0 - accelerator.step_factor / slowest_factor)
    relative_prompt_length = needs.prompt_tokens / max(
        1, model.mean_tokens - model.answer_tokens
    )
    same_kind_chain_s = (
        accelerator.step_factor * model.step_s * max(1, needs.answer_tokens)
        + accelerator.prefill_factor * model.prompt_s * relative_prompt_length
    )
    token_s = stage_token_s(accelerator, model, state.layers, state.load.sequences)
    delay_s = stage_token_s(accelerator, model, 0, 0.0)
    prefill_s = stage_prefill_s(state, model, needs.prompt_tokens)
    pause_s = model.tokens_per_event * token_s
    objective_share = (
        prefill_s + pause_s
    ) / needs.objective_s + pause_s / needs.allowed_pause_s
    compute_s = prefill_s + needs.answer_tokens * (token_s - delay_s)
    return StageCandidate(
        replica,
        state,
        rejection_risk=rejection_risk,
        objective_cost_per_layer=_TIME_WEIGHT * objective_share / state.layers
        + _SLACK_WEIGHT * needs.objective_slack * relative_speed / model.layer_count,
        overhead_s=needs.answer_tokens * delay_s,
        layer_s=compute_s / state.layers,
        scarcity_per_layer=scarcity(assumed_occupancy)
        / same_kind_chain_s
        / model.layer_count,
        has_capacity=occupancy <= 1.0,
    )
