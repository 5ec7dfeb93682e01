"""What all requests of a forwarding entry share, and where each one goes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Protocol

from railfold._internal.core import Chain, LayerRange, Stage
from railfold._internal.decisions.arrival_rate import ArrivalRates, FleetArrivals
from railfold._internal.decisions.avoidance import Avoidance
from railfold._internal.decisions.chain_activity import ChainActivity
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
    ServerEligibility,
    SlowStart,
    Terms,
)
from railfold._internal.decisions.engine_directory import (
    DirectoryEntry,
    EngineDirectory,
)
from railfold._internal.decisions.freshness import FreshnessLease
from railfold._internal.decisions.load_shedding import BackingOff, HalfOpen
from railfold._internal.decisions.placement import stage_token_s, uncovered_layers
from railfold._internal.decisions.planner import (
    LinkCosts,
    PlannerWeights,
    Replica,
    choose_host,
    plan_chain,
    without_first_layer,
)
from railfold._internal.decisions.retry_budget import RetryBudgets
from railfold._internal.decisions.return_time import (
    AloneWithoutProof,
    NobodyHasProof,
    NoRoom,
    OnTrial,
    ReturnCause,
    ServersBackingOff,
    Starting,
    return_after_s,
)
from railfold._internal.decisions.return_time import RateLimited as ReturnAtPermit
from railfold._internal.decisions.routing_table import (
    EngineModel,
    Route,
    RoutingTable,
    ServiceSpec,
    require_table,
)
from railfold._internal.errors import (
    ConfigurationStaleError,
    NoCapacityError,
    NotReadyError,
    RailfoldError,
    RateLimitedError,
    RequestError,
    RequestOnTrialError,
    ServersBackingOffError,
    UnknownTargetError,
)
from railfold._internal.forwarding.dialect import Dialect
from railfold._internal.forwarding.servers.backoffs import ServerBackoffs
from railfold._internal.forwarding.servers.pool import ConnectionPool
from railfold._internal.forwarding.servers.rate_limits import RateLimits
from railfold._internal.forwarding.servers.statements import ServerStatements
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.metrics import Metrics

__all__ = ["ActiveRequest", "Destination", "Router"]

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

# How long a chain that stood still gets no new work: until probes have told
# which of its backend servers is dead.
_AVOID_S = 0.3


class ActiveRequest(Protocol):
    """A request under way that wants to hear of lost backend servers."""

    def servers_lost(self, server_ids: frozenset[str]) -> None:
        """These backend servers don't answer."""

    def servers_ended(self, server_ids: frozenset[str]) -> None:
        """These incarnations surely ended, and all that ran there with them."""

    def chain_stalled(self, chain: Chain) -> None:
        """All streams over this chain stand still."""


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


@dataclass(slots=True)
class Router:
    """Chooses destinations by what is known now."""

    dialect: Dialect
    directory: EngineDirectory
    pool: ConnectionPool
    lease: FreshnessLease
    budgets: RetryBudgets
    metrics: Metrics
    log: DecisionLog
    failure_domain: str
    region: str
    rng: random.Random
    table: RoutingTable | None = None
    entries: int = 1
    # Whether other entries can tell that credentials hold while this one can't.
    others_have_proof: Callable[[float], bool] = field(default=lambda now_s: False)
    active: set[ActiveRequest] = field(default_factory=set)
    activity: ChainActivity = field(default_factory=ChainActivity)
    avoidance: Avoidance = field(default_factory=Avoidance)
    arrivals: ArrivalRates = field(default_factory=ArrivalRates)
    fleet_arrivals: FleetArrivals = field(default_factory=FleetArrivals)
    costs: LinkCosts = field(default_factory=LinkCosts)
    weights: PlannerWeights = field(default_factory=PlannerWeights)
    limits: RateLimits = field(init=False)
    backoffs: ServerBackoffs = field(init=False)
    eligibility: ServerEligibility = field(init=False)
    statements: ServerStatements = field(init=False)

    def __post_init__(self) -> None:
        """Build what is made of the other parts."""
        self.limits = RateLimits(self.dialect, self.metrics, self.log, self.rng)
        self.backoffs = ServerBackoffs(self.dialect, self.metrics, self.log, self.rng)
        self.statements = ServerStatements(
            self.dialect,
            self.directory,
            self.limits,
            self.backoffs,
            self.metrics,
            self.log,
        )
        self.eligibility = ServerEligibility(
            self.directory,
            self.avoidance,
            self.backoffs.requested,
            self.limits.wait_s,
            self._is_starting_slowly,
        )

    def _is_starting_slowly(self, server_id: str, now_s: float) -> bool:
        return self.limits.is_starting_slowly(
            server_id, now_s
        ) or self.backoffs.is_starting_slowly(server_id)

    def check_permission(self, route: Route, path: str, credential: str) -> None:
        """Look at the newest configuration right before a request is sent.

        :raises RequestError: the newest version doesn't allow it any more.
        """
        table = require_table(self.table)
        newest = table.find(route.host, path)
        table.authorize(newest, credential)

    def return_after_s(self, error: RailfoldError) -> float:
        """Return after how many seconds the caller of a refused request comes back."""
        return return_after_s(self._return_cause(error), self.rng.random())

    def _return_cause(self, error: RailfoldError) -> ReturnCause:
        now_s = asyncio.get_running_loop().time()
        match error:
            case ConfigurationStaleError():
                if self.others_have_proof(now_s):
                    return AloneWithoutProof()
                lapsed_s = self.lease.age_s(now_s) - self.lease.duration_s
                return NobodyHasProof(lapsed_s)
            case NotReadyError():
                return Starting()
            case RequestOnTrialError(left_s=left_s):
                return OnTrial(left_s)
            case RateLimitedError(left_s=left_s):
                return ReturnAtPermit(left_s)
            case ServersBackingOffError(left_s=left_s, service=service):
                return ServersBackingOff(left_s, self.backoffs.others_serve(service))
            case _:
                return NoRoom()

    def require_fresh(self, route: Route) -> None:
        """Refuse if what is known of credentials is too old.

        :raises ConfigurationStaleError: it is, and the route needs one.
        """
        if route.public or (self.table and self.table.credentials is None):
            return
        now_s = asyncio.get_running_loop().time()
        if not self.lease.valid(now_s):
            raise ConfigurationStaleError(
                "whether the credential still holds isn't known",
                why=f"the store last answered {self.lease.age_s(now_s):.1f} s ago",
                hint="come back after Retry-After",
            )

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
            self.arrivals.arrived(spec.name, asyncio.get_running_loop().time())
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
        if not ending:
            return None
        met_s = [ending[s].until_s for s in place.server_ids if s in ending]
        left_s = max(met_s, default=now_s) - now_s
        backoffs = {s: b for s, b in ending.items() if not isinstance(b, RateLimited)}
        if not backoffs:
            return self.limits.refusal(ending, left_s)
        first_s = min(bar.until_s for bar in backoffs.values())
        left_s = min(first_s - now_s, left_s) if met_s else first_s - now_s
        return self.backoffs.refusal(spec.name, backoffs, left_s)

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
        doubtful = self.directory.doubtful(spec.name)
        registered = self.directory.replicas(spec.name, self.region)
        replicas = [
            r
            for r in _near_first(registered, self.failure_domain)
            if r.stage.host not in exclude
            and self.eligibility.allows(r.stage.host, Role.REPLICA, now_s, terms)
        ]
        if all(replica.stage.host in doubtful for replica in replicas):
            doubtful = frozenset()
        if sparing and len(registered) == 1:
            raise _last_one_error()
        chosen = choose_host(
            replicas, exclude=doubtful, weights=self.weights, rng=self.rng
        )
        return Destination(spec.name, chosen.stage, None)

    def _service(self, route: Route) -> ServiceSpec:
        if self.table is None:
            raise NoCapacityError("no configuration was read yet")
        weights = [choice.weight for choice in route.services]
        if not weights or sum(weights) <= 0:
            raise UnknownTargetError(f"route {route.name} leads to no service")
        choice = self.rng.choices(route.services, weights)[0]
        spec = self.table.services.get(choice.service)
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
        replicas = self.directory.layer_replicas(
            spec.name, model, self.region, self.entries
        )
        now_s = asyncio.get_running_loop().time()
        domains = group_by_domain(replicas, lambda r: r.failure_domain)
        rooms = [_typical_room(members, model) for members in domains]
        blind = blindness(rooms, self.entries)
        doubtful = self.directory.doubtful(spec.name)
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
                first = self.directory.get(chain.stages[0].host)
                replaceable = first is not None and self._has_stand_in(first)
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
            index = choose_option(options, self.entries, self.rng)
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
            allowed = self.eligibility.allows(server_id, Role.LATER_STAGE, now_s, terms)
            return replica if allowed else None
        if self.eligibility.allows(server_id, Role.FIRST_STAGE, now_s, terms):
            return replica if server_id not in exclude else None
        backs_off = isinstance(terms.bars[server_id], BackingOff | HalfOpen)
        if not backs_off or len(replica.stage.layers) < 2:
            return None
        # It wants no requests from this entry; those of other engines may pass it.
        allowed = self.eligibility.allows(server_id, Role.LATER_STAGE, now_s, terms)
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
        cost *= self.activity.slowness(first_host, now_s, bearable_s)
        if stages[0].failure_domain == self.failure_domain:
            cost *= _LOCAL_FACTOR
        room = min(stage.capacity for stage in stages) / model.mean_tokens
        connected = self.pool.has_idle(first_host, now_s)
        return ChainOption(cost, min(room, float(model.max_sequences)), connected)

    def _preferred_if_connected(
        self, replica: Replica, now_s: float, blind: float
    ) -> Replica:
        """Let an engine count as cheaper that a kept connection leads to."""
        first = replica.stage.layers.first == 0
        if not first or not self.pool.has_idle(replica.stage.host, now_s):
            return replica
        factor = _CONNECTED_FACTOR * (1.0 - blind / 2)
        return replace(replica, step_ms=factor * replica.step_ms)

    def arriving_rps(self, service: str) -> float:
        """Return how many requests a second arrive, reckoned over all entries."""
        now_s = asyncio.get_running_loop().time()
        own_per_s = self.arrivals.per_s(service, now_s)
        return self.fleet_arrivals.total_per_s(service, own_per_s, self.entries, now_s)

    def replaceable(self, server_ids: Iterable[str]) -> bool:
        """Return whether most of these have a stand-in for all their layers."""
        entries = [e for e in map(self.directory.get, server_ids) if e is not None]
        replaced = [e for e in entries if self._has_stand_in(e)]
        return 2 * len(replaced) >= len(entries)

    def _has_stand_in(self, entry: DirectoryEntry) -> bool:
        """Return whether others in its failure domain hold all its layers."""
        own = entry.registration
        if own.layers is None:
            return False
        held = [
            peer.registration.layers
            for peer in self.directory.of_service(own.service)
            if peer is not entry
            and peer.routable
            and peer.registration.failure_domain == own.failure_domain
            and peer.registration.layers is not None
        ]
        return all(
            any(other.first <= layer <= other.last for other in held)
            for layer in range(own.layers.first, own.layers.last + 1)
        )

    def report_stalled(self, chain: Chain) -> None:
        """Send nothing over this chain for a moment, and move its streams."""
        now_s = asyncio.get_running_loop().time()
        self.avoidance.avoid(chain.stages[0].host, now_s + _AVOID_S)
        self.metrics.count("chains.stalled")
        for request in list(self.active):
            request.chain_stalled(chain)

    def reroute(self, chain: Chain, lost: frozenset[str]) -> Chain | None:
        """Return another chain that begins at the same backend server."""
        first = chain.stages[0]
        model = self._model_of(chain)
        entry = self.directory.get(first.host)
        if model is None or entry is None or first.host in lost:
            return None
        domain = entry.registration.failure_domain
        replicas = self.directory.layer_replicas(
            entry.registration.service, model, self.region, self.entries
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
        jitter = max(self.weights.jitter, _BLIND_JITTER * blind)
        return plan_chain(
            replicas,
            model.layer_count,
            exclude=frozenset(),
            prefer=(),
            costs=self.costs,
            weights=replace(self.weights, jitter=jitter),
            rng=self.rng,
            partial=True,
        )

    def _model_of(self, chain: Chain) -> EngineModel | None:
        """Return the model that a chain runs, if it is still configured."""
        entry = self.directory.get(chain.stages[0].host)
        if entry is None or self.table is None:
            return None
        spec = self.table.services.get(entry.registration.service)
        return spec.model if spec else None

    def expected_pause_s(self, chain: Chain) -> float:
        """Return the pause between events that a chain's engines lead to.

        With the requests in flight there, as far as this entry can reckon.
        """
        model = self._model_of(chain)
        if model is None:
            return 0.0
        first = self.directory.get(chain.stages[0].host)
        own_load = first.own_load if first is not None else 0
        requests = min(own_load * self.entries / model.mean_tokens, model.max_sequences)
        token_s = 0.0
        for stage in chain.stages:
            entry = self.directory.get(stage.host)
            if entry is None:
                continue
            kind = model.accelerators.get(entry.registration.accelerator)
            if kind is not None:
                accelerator = kind.slowed(entry.slowness)
                layers = len(stage.layers)
                token_s += stage_token_s(accelerator, model, layers, requests)
        return model.tokens_per_event * token_s

    def _cost(self, chain: Chain, replicas: Iterable[Replica]) -> float:
        by_host = {r.stage.host: r for r in replicas}
        cost = 0.0
        for stage in chain.stages:
            replica = by_host[stage.host]
            load = replica.in_flight / replica.capacity
            per_layer_ms = replica.step_ms / len(replica.stage.layers)
            loaded = 1.0 + self.weights.load_weight * load
            cost += per_layer_ms * len(stage.layers) * loaded
        return cost

    def chain_missing(self) -> bool:
        """Return whether some failure domain with engines has no whole chain."""
        if self.table is None:
            return True
        for spec in self.table.model_services():
            held: dict[str, list[LayerRange | None]] = {}
            for entry in self.directory.of_service(spec.name):
                layers = entry.registration.layers if entry.routable else None
                domain = entry.registration.failure_domain
                held.setdefault(domain, []).append(layers)
            model = spec.model
            if model is None:
                continue
            if any(uncovered_layers(r, model.layer_count) for r in held.values()):
                return True
        return False

    def count(self, destination: Destination, load: int) -> None:
        """Add to the load of a destination's backend servers.

        :param load: tokens of a request to a model, else 1; negative at its end.
        """
        for server_id in destination.server_ids:
            entry = self.directory.get(server_id)
            if entry is not None:
                entry.own_load = max(0, entry.own_load + load)

    def registered_id(self, server_id: str) -> str:
        """Return the id that an incarnation is registered under."""
        entry = self.directory.get(server_id)
        return entry.registration.registered_id if entry is not None else server_id

    def report_lost(self, server_ids: frozenset[str]) -> None:
        """Tell all requests under way of lost backend servers."""
        for server_id in server_ids:
            self.pool.drop(server_id)
        for request in list(self.active):
            request.servers_lost(server_ids)

    def report_ended(self, server_ids: frozenset[str]) -> None:
        """Tell all requests under way of incarnations that surely ended."""
        self.metrics.count("servers.replaced", len(server_ids))
        for server_id in server_ids:
            self.pool.drop(server_id)
        for request in list(self.active):
            request.servers_ended(server_ids)


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
