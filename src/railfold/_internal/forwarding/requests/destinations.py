"""Choosing where a request goes, by what is known now."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from railfold._internal.core import Chain, Stage
from railfold._internal.decisions.chain_choice import (
    ChainOption,
    blindness,
    choose_option,
    choose_sparing,
)
from railfold._internal.decisions.domains import group_by_domain
from railfold._internal.decisions.eligibility import (
    Bar,
    EndingBar,
    RateLimited,
    Role,
    SlowStart,
    Terms,
)
from railfold._internal.decisions.load_shedding import BackingOff, HalfOpen
from railfold._internal.decisions.planner import (
    Replica,
    choose_host,
    plan_chain,
    without_first_layer,
)
from railfold._internal.decisions.routing_table import (
    EngineModel,
    Route,
    ServiceSpec,
)
from railfold._internal.errors import (
    NoCapacityError,
    RequestError,
    RequestOnTrialError,
    UnknownTargetError,
)

if TYPE_CHECKING:
    from railfold._internal.forwarding.router import Router

__all__ = ["Destination", "DestinationChooser"]

# How much cheaper a chain in the entry's own failure domain counts: enough to
# keep even load at home, little enough to leave a domain that is twice as busy.
_LOCAL_FACTOR = 0.75

# The same for an engine that a kept connection leads to: a new one costs the engine a
# millisecond, as much as several of its decode steps, and the request a round trip.
# More than the jitter between equal engines, far less than a difference in load.
_CONNECTED_FACTOR = 0.9

# Engines' costs are spread by up to this part where an entry sees nothing of their
# load: as much as a half full one costs more than an idle one of its kind would, so
# that entries don't all choose the same path through a failure domain.
_BLIND_JITTER = 0.5

# A chain whose first events take a larger share of the route's objective than this
# counts as slow: on an idle chain of the first sites they take a tenth of it, after
# the longest prompts a third.
_BEARABLE_SHARE = 0.33

# When others may be there again beside the only backend server that is left: layers are
# loaded in 0.6 s, a server starts again in a second or two.
_LAST_ONE_S = 0.6


@dataclass(frozen=True, slots=True)
class Destination:
    """Where a request may go; ``server`` is the one that it is sent to.

    :param max_wait_s: how long it may wait there for a permit of a rate limited server.
    """

    service: str
    server: Stage
    chain: Chain | None
    max_wait_s: float = 0.0

    @property
    def server_ids(self) -> tuple[str, ...]:
        """All backend servers that would work on it."""
        return self.chain.hosts if self.chain else (self.server.host,)


class DestinationChooser:
    """Chooses servers and chains among those that are eligible."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def choose(
        self,
        route: Route,
        exclude: frozenset[str],
        *,
        is_new: bool = False,
        sparing: bool = False,
        max_wait_s: float = 0.0,
    ) -> Destination:
        """Return where a request of a route goes now.

        A server with a limit is left out while no permit is to be had. If no other one
        can serve, the request goes there if it can wait for the next permit.

        :param exclude: backend servers that it must not be sent to.
        :param is_new: whether a place is looked for the first time.
        :param sparing: whether it may end its server, so that it doesn't get the last.
        :param max_wait_s: how long it may wait for a permit.
        :raises RequestError: there is no such place.
        """
        spec = self._service(route)
        if is_new:
            self._router.arrivals.arrived(spec.name, asyncio.get_running_loop().time())
        strict = Terms()
        try:
            return self._choose_at(spec, route, exclude, strict, sparing=sparing)
        except NoCapacityError:
            if not any(map(_may_relax, strict.bars.values())):
                raise
        relaxed = Terms(max_wait_s=max_wait_s, relaxed=True)
        try:
            found = self._choose_at(spec, route, exclude, relaxed, sparing=sparing)
        except NoCapacityError as error:
            refusal = self._refusal(spec, route, exclude, relaxed)
            if refusal is None:
                raise
            raise refusal from error
        return replace(found, max_wait_s=max_wait_s)

    def _refusal(
        self,
        spec: ServiceSpec,
        route: Route,
        exclude: frozenset[str],
        terms: Terms,
    ) -> RequestError | None:
        """Return why a request is refused that only lacks the end of some bars.

        :param terms: with the bars that it met.
        """
        unbarred = Terms(relaxed=True, ignores_ends=True)
        try:
            place = self._choose_at(spec, route, exclude, unbarred, sparing=False)
        except NoCapacityError:
            return None
        now_s = asyncio.get_running_loop().time()
        ending = {s: b for s, b in terms.bars.items() if isinstance(b, EndingBar)}
        met_s = [ending[s].until_s for s in place.server_ids if s in ending]
        if not met_s:
            return None
        backoffs = {s: b for s, b in ending.items() if not isinstance(b, RateLimited)}
        if not backoffs:
            return self._router.limits.refusal(ending, max(met_s) - now_s)
        first_s = min(max(met_s), *(bar.until_s for bar in backoffs.values()))
        return self._router.backoffs.refusal(spec.name, backoffs, first_s - now_s)

    def _choose_at(
        self,
        spec: ServiceSpec,
        route: Route,
        exclude: frozenset[str],
        terms: Terms,
        *,
        sparing: bool,
    ) -> Destination:
        """Return a place among the servers that are eligible.

        :param exclude: servers that the request must not be sent to.
        """
        if spec.model is not None:
            bearable_s = _BEARABLE_SHARE * route.objective_s
            return self._choose_chain(
                spec, spec.model, exclude, terms, bearable_s, sparing
            )
        now_s = asyncio.get_running_loop().time()
        doubtful = self._router.directory.doubtful(spec.name)
        registered = self._router.directory.replicas(spec.name, self._router.region)
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
        if sparing and len(registered) == 1:
            raise _last_one_error()
        chosen = choose_host(
            replicas,
            exclude=doubtful,
            weights=self._router.weights,
            rng=self._router.rng,
        )
        return Destination(spec.name, chosen.stage, None)

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

    def _choose_chain(
        self,
        spec: ServiceSpec,
        model: EngineModel,
        exclude: frozenset[str],
        terms: Terms,
        bearable_s: float,
        sparing: bool,
    ) -> Destination:
        replicas = self._router.directory.layer_replicas(
            spec.name, model, self._router.region, self._router.entries
        )
        now_s = asyncio.get_running_loop().time()
        domains = group_by_domain(replicas, lambda r: r.failure_domain)
        rooms = [_typical_room(members, model) for members in domains]
        blind = blindness(rooms, self._router.entries)
        doubtful = self._router.directory.doubtful(spec.name)
        chains: list[Chain] = []
        options: list[ChainOption] = []
        error: RequestError | None = None
        for members in domains:
            eligible = (self._eligible(r, exclude, now_s, terms) for r in members)
            usable = [
                self._preferred_if_connected(r, now_s, blind)
                for r in eligible
                if r is not None
            ]
            try:
                chain = self._plan_of_sure(usable, model, blind, doubtful)
            except NoCapacityError as found:
                error = found
                continue
            chains.append(chain)
            option = self._option(chain, usable, model, now_s, bearable_s)
            option = replace(option, sure=doubtful.isdisjoint(chain.hosts))
            if sparing:
                first = self._router.directory.get(chain.stages[0].host)
                replaceable = first is not None and self._router.has_stand_in(first)
                option = replace(option, first_replaceable=replaceable)
            options.append(option)
        if not chains:
            raise error or NoCapacityError(
                "no backend server holds layers of the model",
                hint="come back after Retry-After",
            )
        if sparing:
            index = choose_sparing(options)
        else:
            index = choose_option(options, self._router.entries, self._router.rng)
        if index is None:
            raise _last_one_error()
        chain = chains[index]
        return Destination(spec.name, chain.stages[0], chain)

    def _eligible(
        self, replica: Replica, exclude: frozenset[str], now_s: float, terms: Terms
    ) -> Replica | None:
        """Return what a chain may use of a replica, if anything.

        :param exclude: servers that the request was sent to, which only counts against
            first stages.
        """
        server_id = replica.stage.host
        if replica.stage.layers.first > 0:
            allowed = self._router.eligibility.allows(
                server_id, Role.LATER_STAGE, now_s, terms
            )
            return replica if allowed else None
        if self._router.eligibility.allows(server_id, Role.FIRST_STAGE, now_s, terms):
            return replica if server_id not in exclude else None
        backs_off = isinstance(terms.bars[server_id], BackingOff | HalfOpen)
        if not backs_off or len(replica.stage.layers) < 2:
            return None
        # It wants no requests from this entry; those of other engines may pass it.
        allowed = self._router.eligibility.allows(
            server_id, Role.LATER_STAGE, now_s, terms
        )
        return without_first_layer(replica) if allowed else None

    def _plan_of_sure(
        self,
        replicas: list[Replica],
        model: EngineModel,
        blind: float,
        doubtful: frozenset[str],
    ) -> Chain:
        """Return a chain without doubtful engines, or with them if there is none."""
        if doubtful:
            sure = [r for r in replicas if r.stage.host not in doubtful]
            with contextlib.suppress(NoCapacityError):
                return self._plan(sure, model, blind)
        return self._plan(replicas, model, blind)

    def _option(
        self,
        chain: Chain,
        replicas: list[Replica],
        model: EngineModel,
        now_s: float,
        bearable_s: float,
    ) -> ChainOption:
        """Return what speaks for and against a failure domain's best chain."""
        by_host = {r.stage.host: r for r in replicas}
        stages = [by_host[stage.host] for stage in chain.stages]
        first_host = chain.stages[0].host
        cost = self._cost(chain, stages)
        cost *= self._router.activity.slowness(first_host, now_s, bearable_s)
        if stages[0].failure_domain == self._router.failure_domain:
            cost *= _LOCAL_FACTOR
        room = min(stage.capacity for stage in stages) / model.mean_tokens
        connected = self._router.pool.has_idle(first_host, now_s)
        return ChainOption(cost, min(room, float(model.max_sequences)), connected)

    def _preferred_if_connected(
        self, replica: Replica, now_s: float, blind: float
    ) -> Replica:
        """Let an engine count as cheaper that a kept connection leads to."""
        first = replica.stage.layers.first == 0
        if not first or not self._router.pool.has_idle(replica.stage.host, now_s):
            return replica
        factor = _CONNECTED_FACTOR * (1.0 - blind / 2)
        return replace(replica, step_ms=factor * replica.step_ms)

    def reroute(self, chain: Chain, lost: frozenset[str]) -> Chain | None:
        """Return another chain that begins at the same backend server."""
        first = chain.stages[0]
        model = self._router.model_of(chain)
        entry = self._router.directory.get(first.host)
        if model is None or entry is None or first.host in lost:
            return None
        domain = entry.registration.failure_domain
        replicas = self._router.directory.layer_replicas(
            entry.registration.service, model, self._router.region, self._router.entries
        )
        usable = [
            r
            for r in replicas
            if r.failure_domain == domain
            and r.stage.host not in lost
            and (r.stage.layers.first > 0 or r.stage.host == first.host)
        ]
        try:
            found = self._plan(usable, model, blind=0.0)
        except NoCapacityError:
            return None
        return found if found.stages[0] == first else None

    def _plan(
        self, replicas: Iterable[Replica], model: EngineModel, blind: float
    ) -> Chain:
        jitter = max(self._router.weights.jitter, _BLIND_JITTER * blind)
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


def _last_one_error() -> RequestOnTrialError:
    return RequestOnTrialError(
        "backend servers ended under this request, and only one is left",
        left_s=_LAST_ONE_S,
        hint="come back after Retry-After",
    )


def _may_relax(bar: Bar) -> bool:
    """Return whether a request may go there after all, if no other server can."""
    return isinstance(bar, RateLimited | SlowStart | BackingOff | HalfOpen)


def _near_first(replicas: list[Replica], domain: str) -> list[Replica]:
    """Return replicas of which those in ``domain`` cost less."""
    return [
        Replica(
            r.stage,
            r.failure_domain,
            r.region,
            r.in_flight,
            r.capacity,
            r.step_ms * (_LOCAL_FACTOR if r.failure_domain == domain else 1.0),
        )
        for r in replicas
    ]


def _typical_room(replicas: list[Replica], model: EngineModel) -> float:
    """Return how many usual requests fit on an engine in the middle of a domain's."""
    capacities = sorted(replica.capacity for replica in replicas)
    return capacities[len(capacities) // 2] / model.mean_tokens
