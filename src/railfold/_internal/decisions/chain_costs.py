"""Cost of a stage for one request, at the known load of its server.

The costs spread requests over engines of different speeds and limited memory. A fast
engine is the best choice until it is full, so that choosing by time alone sends all
requests to a few engines, which reject them. The cost of a chain is therefore the
dimensionless sum of:

- the share of the route's objectives that it uses up;
- the memory that it occupies: the scarcity at each stage, times the duration of the
  whole chain, divided by the duration of a chain of the stage's kind of accelerator
  only. So a slow stage in a chain with a fast one pays for the requests that the fast
  one can't take meanwhile;
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

# Weight of time relative to scarcity. Using up a whole objective costs as much as going
# to a server that is one third full instead of an idle one. With a higher weight, slow
# engines stay idle while fast ones fill up.
_TIME_WEIGHT = 0.5

# Above this occupancy the next request may be rejected, since other entries send to
# the server at the same time.
_RISKY_OCCUPANCY = 0.85

# Above this occupancy scarcity grows linearly rather than to infinity, so that the
# costs of full servers still differ.
_LINEAR_FROM_OCCUPANCY = 0.95

# Share of all requests that may go to one server before its new load is announced. It
# is below 1 since entries sample among several chains.
_UNSEEN_REQUEST_SHARE = 0.3

# Weight of the cost that makes routes with long objectives leave the fastest
# accelerators to routes with short ones, unless the fast ones have far more capacity.
_SLACK_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """Size and objectives of a request.

    :param prompt_tokens: length of its prompt.
    :param answer_tokens: limit on the length of its answer, or the typical length if
        the request has no limit.
    :param objective_s: longest time to its first event.
    :param allowed_pause_s: longest pause between two of its events.
    :param objective_slack: how much shorter the shortest objective of the service's
        routes is, as a share of ``objective_s``; 0 for the route with that objective.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_s: float
    allowed_pause_s: float
    objective_slack: float = 0.0

    @property
    def total_tokens(self) -> int:
        """The size to which its state may grow, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class StageCandidate:
    """A replica that could be a stage of a chain, with its costs for one request.

    :param rejection_risk: cost of the risk that its server rejects the request, which
        doesn't depend on the number of layers it runs.
    :param objective_cost_per_layer: share of the objectives that a layer uses up,
        weighted, and the cost of taking a fast accelerator on a route with slack.
    :param overhead_s: time that the stage takes in addition to running its layers.
    :param layer_s: time that the stage takes for each layer.
    :param scarcity_per_layer: scarcity divided by the duration of a chain of this kind
        of accelerator only and by the model's layer count. Multiplied by the duration
        of a chain, it is the cost of occupying memory for one layer.
    :param has_capacity: whether the request is predicted to fit beside those in flight.
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
    """Return the share of a server's capacity in use once it has taken the request.

    :param max_sequences: how many requests it can run as a first stage; 0 for a later
        stage, which only memory limits.
    """
    tokens = (state.load.tokens + needs.total_tokens) / max(1, state.capacity_tokens)
    if not max_sequences:
        return tokens
    return max(tokens, (state.load.sequences + 1.0) / max_sequences)


def scarcity(occupancy: float) -> float:
    """Return the cost of capacity.

    It is the mean number of requests in an M/M/1 queue at this utilization.
    """
    if occupancy <= _LINEAR_FROM_OCCUPANCY:
        return occupancy / (1.0 - occupancy)
    slope = 1.0 / (1.0 - _LINEAR_FROM_OCCUPANCY) ** 2
    return scarcity(_LINEAR_FROM_OCCUPANCY) + slope * (
        occupancy - _LINEAR_FROM_OCCUPANCY
    )


def unseen_occupancy(
    state: StageState, model: EngineModel, entries: int, arriving_rps: float
) -> float:
    """Return the share of a server's capacity that requests unknown here may occupy.

    These are one request of each entry whose load isn't known, and the requests that
    arrived at all entries since the oldest load announcement, as far as they may have
    been sent to this server.

    :param entries: number of entries.
    :param arriving_rps: requests per second that arrive at all entries together.
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
    """Return a replica with its costs for a request.

    :param state: the replica's state as a stage that runs all its layers.
    :param unseen_share: the share of its capacity that unknown requests may occupy, see
        :func:`unseen_occupancy`. It is scaled by a random factor for each request, so
        that entries with the same knowledge don't all choose the same server.
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
