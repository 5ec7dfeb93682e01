"""Chooses the server or chain for a request by the current state of the servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from railfold._internal.core import Chain
from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.eligibility import (
    EligibilityTerms,
    Full,
    IneligibleReason,
    Paused,
    RateLimited,
    Role,
    SlowStart,
    TemporaryReason,
)
from railfold._internal.decisions.load_shedding import BackingOff, HalfOpen
from railfold._internal.decisions.planner import Replica, choose_host
from railfold._internal.decisions.routing_table import (
    EngineModel,
    Route,
    ServiceSpec,
)
from railfold._internal.errors import (
    NoCapacityError,
    RequestError,
    RoomShortError,
    UnknownTargetError,
)
from railfold._internal.forwarding.messages import RequestSize
from railfold._internal.forwarding.requests.chain_planner import (
    LOCAL_DOMAIN_COST_FACTOR,
    ChainPlanner,
    last_server_error,
)
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.router import Router

__all__ = ["DestinationChooser"]

# A chain counts as slow if its first events take a larger share of the route's
# objective than this. On an idle chain they take a tenth of it, and a third after the
# longest prompts.
_ACCEPTABLE_WAIT_SHARE = 0.33

_UNKNOWN_SIZE = RequestSize()


class DestinationChooser:
    """Chooses a destination among the eligible servers and chains."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._planner = ChainPlanner(router)

    def choose(
        self,
        route: Route,
        exclude: frozenset[str],
        size: RequestSize = _UNKNOWN_SIZE,
        *,
        is_first_search: bool = False,
        is_risky: bool = False,
        max_wait_s: float = 0.0,
        may_wait_for_capacity: bool = False,
    ) -> Destination:
        """Return the destination of a request now.

        A server with a rate limit is skipped while it has no permit. If no other server
        can serve the request, it is chosen if the request can wait for the next permit.

        :param route: route of the request.
        :param exclude: backend servers that the request must not be sent to.
        :param size: size of a request to a model.
        :param is_first_search: whether this is the first search for this request, which
            counts as its arrival.
        :param is_risky: whether the request may crash its server, so that it must not
            be sent to the last one.
        :param max_wait_s: how long the request may wait for a permit.
        :param may_wait_for_capacity: whether the request may wait for capacity instead
            of being sent to a full server.
        :raises RoomShortError: only capacity is missing.
        :raises RequestError: there is no destination for another reason.
        """
        spec = self._service(route)
        if is_first_search:
            self._router.arrivals.arrived(spec.name, asyncio.get_running_loop().time())
        strict = EligibilityTerms()
        try:
            return self._choose_on_terms(
                spec, route, exclude, size, strict, is_risky=is_risky
            )
        except NoCapacityError as error:
            reasons = list(strict.reasons.values())
            if may_wait_for_capacity:
                reasons = [reason for reason in reasons if not isinstance(reason, Full)]
            if not any(map(_is_relaxable, reasons)):
                raise _capacity_error(error, strict) from error
        relaxed = EligibilityTerms(max_wait_s=max_wait_s, relaxed=True)
        try:
            destination = self._choose_on_terms(
                spec, route, exclude, size, relaxed, is_risky=is_risky
            )
        except NoCapacityError as error:
            refusal = self._refusal(spec, route, exclude, size, relaxed)
            if refusal is None:
                refusal = _capacity_error(error, relaxed)
            raise refusal from error
        return replace(destination, max_wait_s=max_wait_s)

    def _refusal(
        self,
        spec: ServiceSpec,
        route: Route,
        exclude: frozenset[str],
        size: RequestSize,
        terms: EligibilityTerms,
    ) -> RequestError | None:
        """Return the refusal of a request that must wait until temporary reasons end.

        Returns ``None`` if there is no destination even without these reasons.

        :param terms: holds the reasons why servers were ineligible.
        """
        ignoring_temporary = EligibilityTerms(relaxed=True, ignores_temporary=True)
        try:
            destination = self._choose_on_terms(
                spec, route, exclude, size, ignoring_temporary, is_risky=False
            )
        except NoCapacityError:
            return None
        now_s = asyncio.get_running_loop().time()
        temporary = {
            s: b for s, b in terms.reasons.items() if isinstance(b, TemporaryReason)
        }
        ends_s = [
            temporary[s].until_s for s in destination.server_ids if s in temporary
        ]
        if not ends_s:
            return None
        backoffs = {
            s: b for s, b in temporary.items() if not isinstance(b, RateLimited)
        }
        if not backoffs:
            return self._router.limits.refusal_error(temporary, max(ends_s) - now_s)
        first_end_s = min(
            max(ends_s), *(reason.until_s for reason in backoffs.values())
        )
        return self._router.backoffs.refusal_error(
            spec.name, backoffs, first_end_s - now_s
        )

    def _choose_on_terms(
        self,
        spec: ServiceSpec,
        route: Route,
        exclude: frozenset[str],
        size: RequestSize,
        terms: EligibilityTerms,
        *,
        is_risky: bool,
    ) -> Destination:
        """Return a destination among the servers that are eligible on some terms.

        :param exclude: servers that the request must not be sent to.
        :param terms: the reasons why servers are ineligible are added to it.
        :raises RequestError: there is no destination.
        """
        if spec.model is not None:
            acceptable_wait_s = _ACCEPTABLE_WAIT_SHARE * route.objective_s
            needs = self._needs(spec, spec.model, route, size)
            return self._planner.choose(
                spec, spec.model, needs, exclude, terms, acceptable_wait_s, is_risky
            )
        now_s = asyncio.get_running_loop().time()
        possibly_departed = self._router.directory.possibly_departed(spec.name)
        registered = self._router.directory.replicas(
            spec.name, self._router.region, self._router.load_of
        )
        replicas = [
            r
            for r in _prefer_domain(registered, self._router.failure_domain)
            if r.stage.host not in exclude
            and self._router.eligibility.allows(
                r.stage.host, Role.REPLICA, now_s, terms
            )
        ]
        if all(replica.stage.host in possibly_departed for replica in replicas):
            possibly_departed = frozenset()
        if is_risky and len(registered) == 1:
            raise last_server_error()
        chosen = choose_host(
            replicas,
            exclude=possibly_departed,
            weights=self._router.weights,
            rng=self._router.rng,
        )
        return Destination(spec.name, chosen.stage, None)

    def _needs(
        self, spec: ServiceSpec, model: EngineModel, route: Route, size: RequestSize
    ) -> RequestNeeds:
        """Return size and objectives of a request.

        A size that the request doesn't state is assumed to be the typical one.
        """
        prompt_tokens = size.prompt_tokens or model.mean_tokens - model.answer_tokens
        table = self._router.table
        return RequestNeeds(
            prompt_tokens,
            size.answer_tokens or model.answer_tokens,
            route.objective_s,
            route.allowed_pause_s or route.objective_s,
            table.objective_slack(route, spec.name) if table is not None else 0.0,
        )

    def reroute(
        self, chain: Chain, lost: frozenset[str], route: Route, size: RequestSize
    ) -> Chain | None:
        """Return another chain that begins at the same backend server, if there is one.

        :param lost: servers that must not be part of the chain.
        """
        model = self._router.model_of(chain)
        if model is None:
            return None
        service = self._service(route)
        needs = self._needs(service, model, route, size)
        return self._planner.reroute(chain, lost, model, needs)

    def _service(self, route: Route) -> ServiceSpec:
        """Return a service of a route, sampled by the weights of its services.

        :raises NoCapacityError: there is no configuration yet, or the route has moved
            since the request was accepted, and its service is gone.
        :raises UnknownTargetError: the route leads to no configured service.
        """
        table = self._router.table
        if table is None:
            raise NoCapacityError("no configuration was read yet")
        weights = [choice.weight for choice in route.services]
        if not weights or sum(weights) <= 0:
            raise UnknownTargetError(f"route {route.name} leads to no service")
        choice = self._router.rng.choices(route.services, weights)[0]
        spec = table.services.get(choice.service)
        if spec is not None:
            return spec
        if route in table.routes:
            raise UnknownTargetError(f"there is no service {choice.service}")
        raise NoCapacityError(
            f"there is no service {choice.service} any more",
            why=f"route {route.name} has changed since the request was accepted",
            hint="send it again",
        )


def _capacity_error(error: NoCapacityError, terms: EligibilityTerms) -> NoCapacityError:
    """Return the error as a :class:`RoomShortError` if only capacity is missing.

    That is assumed if a server was paused or full.
    """
    if not any(isinstance(reason, Paused | Full) for reason in terms.reasons.values()):
        return error
    return RoomShortError(error.what, why=error.why, hint=error.hint)


def _is_relaxable(reason: IneligibleReason) -> bool:
    """Return whether the reason can be ignored if no other server can serve."""
    return isinstance(reason, RateLimited | SlowStart | BackingOff | HalfOpen | Full)


def _prefer_domain(replicas: list[Replica], domain: str) -> list[Replica]:
    """Return the replicas, with a lower cost for those in ``domain``."""
    return [
        Replica(
            r.stage,
            r.failure_domain,
            r.region,
            r.in_flight,
            r.capacity,
            r.step_ms
            * (LOCAL_DOMAIN_COST_FACTOR if r.failure_domain == domain else 1.0),
        )
        for r in replicas
    ]
