"""Chooses chains over engines of different speeds by their known load."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace

from railfold._internal.core import Chain
from railfold._internal.decisions.chain_choice import RatedChain, choose_rated_chain
from railfold._internal.decisions.chain_costs import (
    RequestNeeds,
    StageCandidate,
    rate_candidate,
    unseen_occupancy,
)
from railfold._internal.decisions.chain_prediction import (
    ChainPrediction,
    StageState,
    predict_chain,
)
from railfold._internal.decisions.chain_search import (
    FoundChain,
    crossings,
    search_all_chains,
)
from railfold._internal.decisions.planner import Replica
from railfold._internal.decisions.routing_table import EngineModel
from railfold._internal.forwarding.router import Router

__all__ = ["ChainBalancer", "ChosenChain"]

# Additional cost of a chain that begins in another failure domain. At even load,
# requests stay in the entry's own domain; they leave it when it is a tenth fuller.
_OTHER_DOMAIN_COST = 0.1

# Additional cost of a chain whose first engine needs a new connection.
_NEW_CONNECTION_COST = 0.05

# Additional cost of a chain whose pauses or waits are twice as long as they should be.
_SLOWNESS_COST = 0.5


@dataclass(frozen=True, slots=True)
class ChosenChain:
    """A chain with the latency that is predicted for the request on it."""

    found: FoundChain
    prediction: ChainPrediction

    @property
    def crossings(self) -> int:
        """How often the chain crosses from one failure domain to another."""
        return len(crossings(self.found.domains))


class ChainBalancer:
    """Spreads requests over parallel chains of different speeds."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def applies(self, model: EngineModel, replicas: Iterable[Replica]) -> bool:
        """Return whether prediction is enabled and the engines differ in speed."""
        if not self._router.predicts_chains:
            return False
        layer_ms = {round(r.step_ms / len(r.stage.layers), 3) for r in replicas}
        return len(model.accelerators) > 1 and len(layer_ms) > 1

    def choose(
        self,
        service: str,
        model: EngineModel,
        replicas: Sequence[Replica],
        needs: RequestNeeds,
        acceptable_wait_s: float,
        possibly_departed: Collection[str],
    ) -> ChosenChain | None:
        """Return the chain that a request takes, ``None`` if there is none.

        :param replicas: the replicas that a chain may use now.
        :param acceptable_wait_s: chains whose wait for a first event is longer than
            this count as slow.
        :param possibly_departed: servers that are used only if there is no chain
            without them.
        """
        candidates = self._candidates(
            service, model, replicas, needs, acceptable_wait_s
        )
        confirmed = [
            c for c in candidates if c.replica.stage.host not in possibly_departed
        ]
        home = self._router.failure_domain
        chains = self._search(confirmed, model, needs, home)
        if not chains and len(confirmed) < len(candidates):
            chains = self._search(candidates, model, needs, home)
        if not chains:
            return None
        predictions = [_predict(found, model, needs) for found in chains]
        rated = [
            _rate(found, prediction, model, needs)
            for found, prediction in zip(chains, predictions, strict=True)
        ]
        index = choose_rated_chain(rated, self._router.entries, self._router.rng)
        return ChosenChain(chains[index], predictions[index])

    def reroute_across_domains(
        self,
        service: str,
        model: EngineModel,
        replicas: Sequence[Replica],
        needs: RequestNeeds,
        home: str,
        current_hosts: Collection[str],
    ) -> Chain | None:
        """Return a chain over several failure domains for a running stream.

        It is used when the stream's own failure domain no longer covers all layers.
        Returns ``None`` if there is no such chain.

        :param replicas: the replicas that a chain may use now.
        :param home: failure domain in which the stream runs.
        :param current_hosts: servers that run the stream now and therefore have
            capacity for it.
        """
        candidates = [
            replace(
                candidate, rejection_risk=0.0, scarcity_per_layer=0.0, has_capacity=True
            )
            if candidate.replica.stage.host in current_hosts
            else candidate
            for candidate in self._candidates(service, model, replicas, needs, math.inf)
        ]
        chains = self._search(candidates, model, needs, home)
        if not chains:
            return None
        chosen = ChosenChain(chains[0], _predict(chains[0], model, needs))
        self.count_crossings(chosen, model, needs)
        return chosen.found.chain

    def _search(
        self,
        candidates: Sequence[StageCandidate],
        model: EngineModel,
        needs: RequestNeeds,
        home: str,
    ) -> list[FoundChain]:
        """Return chains, the cheapest first.

        Chains over several failure domains are predicted to have capacity for the
        request.
        """
        now_s = asyncio.get_running_loop().time()

        def crossing_cost(domain: str, other_domain: str) -> float:
            return self._router.pipes.crossing_cost(
                domain, other_domain, model, needs, now_s
            )

        return search_all_chains(candidates, model.layer_count, home, crossing_cost)

    def count_crossings(
        self, chosen: ChosenChain, model: EngineModel, needs: RequestNeeds
    ) -> None:
        """Count the traffic between failure domains of a request that takes a chain."""
        now_s = asyncio.get_running_loop().time()
        pairs = crossings(chosen.found.domains)
        if pairs:
            self._router.metrics.count("chains.borrowed")
            self._router.metrics.count("chains.crossings", len(pairs))
        for pair in pairs:
            self._router.pipes.record_crossing(
                *pair, model, needs, self._router.entries, now_s
            )

    def _candidates(
        self,
        service: str,
        model: EngineModel,
        replicas: Iterable[Replica],
        needs: RequestNeeds,
        acceptable_wait_s: float,
    ) -> list[StageCandidate]:
        """Return the replicas of registered servers with their costs."""
        router = self._router
        now_s = asyncio.get_running_loop().time()
        arriving_rps = router.arriving_rps(service)
        candidates = []
        for replica in replicas:
            entry = router.directory.get(replica.stage.host)
            if entry is None:
                continue
            accelerator = model.accelerators[entry.registration.accelerator]
            state = StageState(
                accelerator.slowed(entry.slowness),
                len(replica.stage.layers),
                replica.capacity,
                router.extrapolated_own_load(replica.stage.host),
            )
            unseen_share = unseen_occupancy(state, model, router.entries, arriving_rps)
            candidate = rate_candidate(
                replica, state, model, needs, unseen_share, router.rng
            )
            if replica.stage.layers.first == 0:
                first_stage_cost = self._first_stage_cost(
                    replica, now_s, acceptable_wait_s
                )
                candidate = replace(
                    candidate,
                    rejection_risk=candidate.rejection_risk + first_stage_cost,
                )
            candidates.append(candidate)
        return candidates

    def _first_stage_cost(
        self, replica: Replica, now_s: float, acceptable_wait_s: float
    ) -> float:
        """Return the additional cost of a chain that begins at a replica."""
        router = self._router
        host = replica.stage.host
        slowness = router.activity.slowness(host, now_s, acceptable_wait_s)
        cost = _SLOWNESS_COST * (slowness - 1.0)
        if replica.failure_domain != router.failure_domain:
            cost += _OTHER_DOMAIN_COST
        if not router.pool.has_idle(host, now_s):
            cost += _NEW_CONNECTION_COST
        return cost


def _predict(
    found: FoundChain, model: EngineModel, needs: RequestNeeds
) -> ChainPrediction:
    return predict_chain(
        found.stage_states, model, needs.prompt_tokens, needs.answer_tokens
    )


def _rate(
    found: FoundChain,
    prediction: ChainPrediction,
    model: EngineModel,
    needs: RequestNeeds,
) -> RatedChain:
    capacity_requests = min(
        found.capacity_tokens / model.mean_tokens, model.max_sequences
    )
    return RatedChain(
        found.cost,
        capacity_requests / found.duration_s,
        found.has_capacity,
        meets_objectives=prediction.first_event_s <= needs.objective_s
        and prediction.pause_s <= needs.allowed_pause_s,
    )
