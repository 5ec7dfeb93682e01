"""Chooses the chain of engines for a request to a model."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import replace

from railfold._internal.core import Chain
from railfold._internal.decisions.chain_choice import (
    ChainOption,
    choose_for_risky_request,
    choose_option,
    load_uncertainty,
)
from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.coverage import describe_shortages, domain_shortage
from railfold._internal.decisions.domains import group_by_domain
from railfold._internal.decisions.eligibility import (
    EligibilityTerms,
    Role,
    TemporaryReason,
)
from railfold._internal.decisions.load_shedding import BackingOff, HalfOpen
from railfold._internal.decisions.planner import (
    Replica,
    plan_chain,
    without_first_layer,
)
from railfold._internal.decisions.routing_table import EngineModel, ServiceSpec
from railfold._internal.errors import NoCapacityError, RequestOnTrialError
from railfold._internal.forwarding.requests.chain_balancer import ChainBalancer
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.router import Router

__all__ = ["LOCAL_DOMAIN_COST_FACTOR", "ChainPlanner", "last_server_error"]

# Factor on the cost of chains and servers in the entry's own failure domain. At even
# load, requests stay in this domain; they leave it when it is twice as busy.
LOCAL_DOMAIN_COST_FACTOR = 0.75

# Factor on the cost of an engine to which there is an idle connection. A new connection
# costs the engine a millisecond, as much as several of its decode steps, and the
# request a round trip. The reduction exceeds the jitter between equal engines, but is
# far smaller than the effect of a difference in load.
_CONNECTED_COST_FACTOR = 0.9

# Largest random increase of an engine's cost, as a share of it, if the entry knows
# nothing about the load. It equals the additional cost of a half full engine compared
# to an idle one of the same kind, so that entries don't all choose the same path
# through a failure domain.
_MAX_UNCERTAINTY_JITTER = 0.5

# Time until there may again be other servers besides the last one. An engine loads
# layers in 0.6 s; a server restarts in one or two seconds.
_LAST_SERVER_RETRY_S = 0.6


class ChainPlanner:
    """Plans chains over the eligible engines and chooses one of them."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._balancer = ChainBalancer(router)

    def choose(
        self,
        spec: ServiceSpec,
        model: EngineModel,
        needs: RequestNeeds,
        exclude: frozenset[str],
        terms: EligibilityTerms,
        acceptable_wait_s: float,
        is_risky: bool,
    ) -> Destination:
        """Return the chain that a request takes now, as its destination.

        :param exclude: servers that must not be its first stage.
        :param terms: terms on which servers are eligible; the reasons why servers are
            ineligible are added to it.
        :param acceptable_wait_s: chains whose wait for a first event is longer than
            this count as slow.
        :param is_risky: whether the request may crash its first server.
        :raises NoCapacityError: no chain is available.
        :raises RequestOnTrialError: the request is risky and only one chain is left.
        """
        replicas = self._router.directory.layer_replicas(
            spec.name,
            model,
            self._router.region,
            self._router.load_of,
            self._router.entries,
        )
        now_s = asyncio.get_running_loop().time()
        eligible = [self._eligible_part(r, exclude, now_s, terms) for r in replicas]
        usable = [replica for replica in eligible if replica is not None]
        if not is_risky and self._balancer.applies(model, usable):
            possibly_departed = self._router.directory.possibly_departed(spec.name)
            chosen = self._balancer.choose(
                spec.name, model, usable, needs, acceptable_wait_s, possibly_departed
            )
            if chosen is None:
                raise self._no_chain_error(spec, model, replicas, usable, terms, now_s)
            self._balancer.count_crossings(chosen, model, needs)
            chain = chosen.found.chain
            return Destination(
                spec.name,
                chain.stages[0],
                chain,
                prediction=chosen.prediction,
                crossings=chosen.crossings,
            )
        best = self._choose_domain(
            spec, model, replicas, usable, acceptable_wait_s, is_risky
        )
        if best is None:
            raise self._no_chain_error(spec, model, replicas, usable, terms, now_s)
        return Destination(spec.name, best.stages[0], best)

    def _choose_domain(
        self,
        spec: ServiceSpec,
        model: EngineModel,
        replicas: list[Replica],
        usable: list[Replica],
        acceptable_wait_s: float,
        is_risky: bool,
    ) -> Chain | None:
        """Return a chain within one failure domain, ``None`` if no domain has one.

        :param replicas: all replicas that hold layers.
        :param usable: the replicas that may be part of the chain.
        :raises RequestOnTrialError: the request is risky and only one chain is left.
        """
        now_s = asyncio.get_running_loop().time()
        by_domain = group_by_domain(replicas, lambda r: r.failure_domain)
        capacities = [_median_capacity(members, model) for members in by_domain]
        uncertainty = load_uncertainty(capacities, self._router.entries)
        possibly_departed = self._router.directory.possibly_departed(spec.name)
        chains: list[Chain] = []
        options: list[ChainOption] = []
        for members in group_by_domain(usable, lambda r: r.failure_domain):
            usable = [self._prefer_if_connected(r, now_s, uncertainty) for r in members]
            try:
                chain = self._plan_preferring_confirmed(
                    usable, model, uncertainty, possibly_departed
                )
            except NoCapacityError:
                continue
            chains.append(chain)
            option = self._chain_option(chain, usable, model, now_s, acceptable_wait_s)
            option = replace(
                option, confirmed=possibly_departed.isdisjoint(chain.hosts)
            )
            if is_risky:
                first = self._router.directory.get(chain.stages[0].host)
                replaceable = first is not None and self._router.is_replaceable(first)
                option = replace(option, first_engine_replaceable=replaceable)
            options.append(option)
        if not chains:
            return None
        if is_risky:
            index = choose_for_risky_request(options)
        else:
            index = choose_option(options, self._router.entries, self._router.rng)
        if index is None:
            raise last_server_error()
        return chains[index]

    def _no_chain_error(
        self,
        spec: ServiceSpec,
        model: EngineModel,
        replicas: list[Replica],
        usable: list[Replica],
        terms: EligibilityTerms,
        now_s: float,
    ) -> NoCapacityError:
        """Return an error that says for each failure domain why it has no chain.

        :param replicas: all replicas that hold layers and serve.
        :param usable: the replicas that a chain could use.
        :param terms: holds the reasons why the other replicas are ineligible.
        """
        registered = self._router.directory.servers_of(spec.name)
        domains = sorted({entry.registration.failure_domain for entry in registered})
        if not domains:
            return NoCapacityError(
                "no backend server holds layers of the model",
                hint="retry after the delay in Retry-After",
            )
        shortages = []
        for domain in domains:
            held_ranges = [
                (r.stage.layers, self._eligible_in_s(r.stage.host, terms, now_s))
                for r in replicas
                if r.failure_domain == domain
            ]
            usable_ranges = [
                r.stage.layers
                for r in usable
                if r.failure_domain == domain and not r.full
            ]
            shortages.append(
                domain_shortage(domain, held_ranges, usable_ranges, model.layer_count)
            )
        return NoCapacityError(
            "no live backend servers with room cover all layers",
            why=describe_shortages(shortages),
            hint="retry after the delay in Retry-After; "
            "operators: see 'railfold status'",
        )

    def _eligible_in_s(
        self, server_id: str, terms: EligibilityTerms, now_s: float
    ) -> float | None:
        """Return in how many seconds a server accepts requests again.

        Returns ``None`` if that isn't known.
        """
        reason = terms.reasons.get(server_id)
        if isinstance(reason, TemporaryReason):
            return max(0.0, reason.until_s - now_s)
        return self._router.fleet_load.full_for_s(server_id, now_s)

    def _eligible_part(
        self,
        replica: Replica,
        exclude: frozenset[str],
        now_s: float,
        terms: EligibilityTerms,
    ) -> Replica | None:
        """Return the part of a replica that a chain may use, ``None`` if it has none.

        :param exclude: servers that must not be the first stage. They may still be
            later stages.
        """
        server_id = replica.stage.host
        if replica.stage.layers.first > 0:
            allowed = self._router.eligibility.allows(
                server_id, Role.LATER_STAGE, now_s, terms
            )
            return replica if allowed else None
        if self._router.eligibility.allows(server_id, Role.FIRST_STAGE, now_s, terms):
            return replica if server_id not in exclude else None
        backs_off = isinstance(terms.reasons[server_id], BackingOff | HalfOpen)
        if not backs_off or len(replica.stage.layers) < 2:
            return None
        # The server asked this entry to back off. It may still get requests from other
        # engines, as a later stage.
        allowed = self._router.eligibility.allows(
            server_id, Role.LATER_STAGE, now_s, terms
        )
        return without_first_layer(replica) if allowed else None

    def _plan_preferring_confirmed(
        self,
        replicas: list[Replica],
        model: EngineModel,
        uncertainty: float,
        possibly_departed: frozenset[str],
    ) -> Chain:
        """Return a chain, if possible without servers that have possibly departed."""
        if possibly_departed:
            confirmed = [r for r in replicas if r.stage.host not in possibly_departed]
            with contextlib.suppress(NoCapacityError):
                return self._plan(confirmed, model, uncertainty)
        return self._plan(replicas, model, uncertainty)

    def _chain_option(
        self,
        chain: Chain,
        replicas: list[Replica],
        model: EngineModel,
        now_s: float,
        acceptable_wait_s: float,
    ) -> ChainOption:
        """Return the best chain of a failure domain as an option to choose from."""
        by_host = {r.stage.host: r for r in replicas}
        stages = [by_host[stage.host] for stage in chain.stages]
        first_host = chain.stages[0].host
        cost = self._cost(chain, stages)
        cost *= self._router.activity.slowness(first_host, now_s, acceptable_wait_s)
        if stages[0].failure_domain == self._router.failure_domain:
            cost *= LOCAL_DOMAIN_COST_FACTOR
        capacity_requests = min(stage.capacity for stage in stages) / model.mean_tokens
        connected = self._router.pool.has_idle(first_host, now_s)
        return ChainOption(
            cost, min(capacity_requests, float(model.max_sequences)), connected
        )

    def _prefer_if_connected(
        self, replica: Replica, now_s: float, uncertainty: float
    ) -> Replica:
        """Return a replica, cheaper if there is an idle connection to its engine.

        This applies only to replicas at which a chain can begin.
        """
        first = replica.stage.layers.first == 0
        if not first or not self._router.pool.has_idle(replica.stage.host, now_s):
            return replica
        factor = _CONNECTED_COST_FACTOR * (1.0 - uncertainty / 2)
        return replace(replica, step_ms=factor * replica.step_ms)

    def reroute(
        self,
        chain: Chain,
        lost: frozenset[str],
        model: EngineModel,
        needs: RequestNeeds,
    ) -> Chain | None:
        """Return another chain that begins at the same backend server.

        A chain within the failure domain of this server is preferred to one over
        several domains. Returns ``None`` if there is neither.

        :param lost: servers that must not be part of the chain.
        """
        first = chain.stages[0]
        entry = self._router.directory.get(first.host)
        if entry is None or first.host in lost:
            return None
        domain = entry.registration.failure_domain
        replicas = self._router.directory.layer_replicas(
            entry.registration.service,
            model,
            self._router.region,
            self._router.load_of,
            self._router.entries,
        )
        usable = [
            r
            for r in replicas
            if r.stage.host not in lost
            and (r.stage.layers.first > 0 or r.stage.host == first.host)
        ]
        same_domain = [r for r in usable if r.failure_domain == domain]
        try:
            found = self._plan(same_domain, model, uncertainty=0.0)
        except NoCapacityError:
            if not self._balancer.applies(model, usable):
                return None
            service = entry.registration.service
            crossing_chain = self._balancer.reroute_across_domains(
                service, model, usable, needs, domain, chain.hosts
            )
            if crossing_chain is None:
                return None
            found = crossing_chain
        return found if found.stages[0] == first else None

    def _plan(
        self, replicas: Iterable[Replica], model: EngineModel, uncertainty: float
    ) -> Chain:
        jitter = max(self._router.weights.jitter, _MAX_UNCERTAINTY_JITTER * uncertainty)
        return plan_chain(
            replicas,
            model.layer_count,
            exclude=frozenset(),
            prefer=(),
            costs=self._router.costs,
            weights=replace(self._router.weights, jitter=jitter),
            rng=self._router.rng,
            partial=True,
        )

    def _cost(self, chain: Chain, replicas: Iterable[Replica]) -> float:
        by_host = {r.stage.host: r for r in replicas}
        cost = 0.0
        for stage in chain.stages:
            replica = by_host[stage.host]
            load = replica.in_flight / replica.capacity
            per_layer_ms = replica.step_ms / len(replica.stage.layers)
            loaded = 1.0 + self._router.weights.load_weight * load
            cost += per_layer_ms * len(stage.layers) * loaded
        return cost


def last_server_error() -> RequestOnTrialError:
    """Return the error for a request that may crash the only server left."""
    return RequestOnTrialError(
        "backend servers ended under this request, and only one is left",
        left_s=_LAST_SERVER_RETRY_S,
        hint="retry after the delay in Retry-After",
    )


def _median_capacity(replicas: list[Replica], model: EngineModel) -> float:
    """Return how many typical requests fit on an engine of median capacity."""
    capacities = sorted(replica.capacity for replica in replicas)
    return capacities[len(capacities) // 2] / model.mean_tokens
