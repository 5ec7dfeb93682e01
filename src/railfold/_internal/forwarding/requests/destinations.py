"""Choosing where a request goes, by what is known now."""

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
    LOCAL_FACTOR,
    ChainPlanner,
    last_one_error,
)
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.router import Router

__all__ = ["DestinationChooser"]

# A chain whose first events take a larger share of the route's objective than this
# counts as slow: on an idle chain of the first sites they take a tenth of it, after
# the longest prompts a third.
_BEARABLE_SHARE = 0.33

_NO_SIZE = RequestSize()


class DestinationChooser:
    """Chooses servers and chains among those that are eligible."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._planner = ChainPlanner(router)

    def choose(
        self,
        route: Route,
        exclude: frozenset[str],
        size: RequestSize = _NO_SIZE,
        *,
        is_new: bool = False,
        is_suspect: bool = False,
        max_wait_s: float = 0.0,
        waits_for_room: bool = False,
    ) -> Destination:
        """Return where a request of a route goes now.

        A server with a limit is left out while no permit is to be had. If no other one
        can serve, the request goes there if it can wait for the next permit.

        :param exclude: backend servers that it must not be sent to.
        :param size: of a request to a model.
        :param is_new: whether a place is looked for the first time.
        :param is_suspect: whether it may end its server: it doesn't get the last one.
        :param max_wait_s: how long it may wait for a permit.
        :raises RoomShortError: only room is missing.
        :raises RequestError: there is no such place.
        """
        spec = self._service(route)
        if is_new:
            self._router.arrivals.arrived(spec.name, asyncio.get_running_loop().time())
        strict = EligibilityTerms()
        try:
            return self._choose_at(
                spec, route, exclude, size, strict, is_suspect=is_suspect
            )
        except NoCapacityError as error:
            bars = list(strict.reasons.values())
            if waits_for_room:
                bars = [bar for bar in bars if not isinstance(bar, Full)]
            if not any(map(_may_relax, bars)):
                raise _room_short(error, strict) from error
        relaxed = EligibilityTerms(max_wait_s=max_wait_s, relaxed=True)
        try:
            found = self._choose_at(
                spec, route, exclude, size, relaxed, is_suspect=is_suspect
            )
        except NoCapacityError as error:
            refusal = self._refusal(spec, route, exclude, size, relaxed)
            if refusal is None:
                refusal = _room_short(error, relaxed)
            raise refusal from error
        return replace(found, max_wait_s=max_wait_s)

    def _refusal(
        self,
        spec: ServiceSpec,
        route: Route,
        exclude: frozenset[str],
        size: RequestSize,
        terms: EligibilityTerms,
    ) -> RequestError | None:
        """Return why a request is refused that only lacks the end of some bars.

        :param terms: with the bars that it met.
        """
        unbarred = EligibilityTerms(relaxed=True, ignores_temporary=True)
        try:
            place = self._choose_at(
                spec, route, exclude, size, unbarred, is_suspect=False
            )
        except NoCapacityError:
            return None
        now_s = asyncio.get_running_loop().time()
        ending = {
            s: b for s, b in terms.reasons.items() if isinstance(b, TemporaryReason)
        }
        met_s = [ending[s].until_s for s in place.server_ids if s in ending]
        if not met_s:
            return None
        backoffs = {s: b for s, b in ending.items() if not isinstance(b, RateLimited)}
        if not backoffs:
            return self._router.limits.refusal_error(ending, max(met_s) - now_s)
        first_s = min(max(met_s), *(bar.until_s for bar in backoffs.values()))
        return self._router.backoffs.refusal_error(spec.name, backoffs, first_s - now_s)

    def _choose_at(
        self,
        spec: ServiceSpec,
        route: Route,
        exclude: frozenset[str],
        size: RequestSize,
        terms: EligibilityTerms,
        *,
        is_suspect: bool,
    ) -> Destination:
        """Return a place among the servers that are eligible.

        :param exclude: servers that the request must not be sent to.
        """
        if spec.model is not None:
            bearable_s = _BEARABLE_SHARE * route.objective_s
            needs = self._needs(spec, spec.model, route, size)
            return self._planner.choose(
                spec, spec.model, needs, exclude, terms, bearable_s, is_suspect
            )
        now_s = asyncio.get_running_loop().time()
        doubtful = self._router.directory.possibly_departed(spec.name)
        registered = self._router.directory.replicas(
            spec.name, self._router.region, self._router.load_of
        )
        replicas = [
            r
            for r in _near_first(registered, self._router.failure_domain)
            if r.stage.host not in exclude
            and self._router.eligibility.allows(
                r.stage.host, Role.REPLICA, now_s, terms
            )
        ]
        if all(replica.stage.host in doubtful for replica in replicas):
            doubtful = frozenset()
        if is_suspect and len(registered) == 1:
            raise last_one_error()
        chosen = choose_host(
            replicas,
            exclude=doubtful,
            weights=self._router.weights,
            rng=self._router.rng,
        )
        return Destination(spec.name, chosen.stage, None)

    def _needs(
        self, spec: ServiceSpec, model: EngineModel, route: Route, size: RequestSize
    ) -> RequestNeeds:
        """Return what a request asks of a chain; a usual one if it doesn't tell."""
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
        """Return another chain that begins at the same backend server."""
        model = self._router.model_of(chain)
        if model is None:
            return None
        service = self._service(route)
        needs = self._needs(service, model, route, size)
        return self._planner.reroute(chain, lost, model, needs)

    def _service(self, route: Route) -> ServiceSpec:
        if self._router.table is None:
            raise NoCapacityError("no configuration was read yet")
        weights = [choice.weight for choice in route.services]
        if not weights or sum(weights) <= 0:
            raise UnknownTargetError(f"route {route.name} leads to no service")
        choice = self._router.rng.choices(route.services, weights)[0]
        spec = self._router.table.services.get(choice.service)
        if spec is None:
            raise UnknownTargetError(f"there is no service {choice.service}")
        return spec


def _room_short(error: NoCapacityError, terms: EligibilityTerms) -> NoCapacityError:
    """Return an error that says whether only room is missing, as far as is known."""
    if not any(isinstance(bar, Paused | Full) for bar in terms.reasons.values()):
        return error
    return RoomShortError(error.what, why=error.why, hint=error.hint)


def _may_relax(bar: IneligibleReason) -> bool:
    """Return whether a request may go there after all, if no other server can."""
    return isinstance(bar, RateLimited | SlowStart | BackingOff | HalfOpen | Full)


def _near_first(replicas: list[Replica], domain: str) -> list[Replica]:
    """Return replicas of which those in ``domain`` cost less."""
    return [
        Replica(
            r.stage,
            r.failure_domain,
            r.region,
            r.in_flight,
            r.capacity,
            r.step_ms * (LOCAL_FACTOR if r.failure_domain == domain else 1.0),
        )
        for r in replicas
    ]
