"""State and rules that all requests of a forwarding entry share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from railfold._internal.core import Chain, LayerRange
from railfold._internal.decisions.arrival_rate import ArrivalRates, FleetArrivals
from railfold._internal.decisions.avoidance import Avoidance
from railfold._internal.decisions.chain_activity import ChainActivity
from railfold._internal.decisions.chain_search import crossings
from railfold._internal.decisions.client_retry_after import (
    ContentOnTrial,
    EntryStopping,
    NoCapacity,
    ProofMissingEverywhere,
    ProofMissingHere,
    RefusalCause,
    RoomShort,
    ServersBackingOff,
    Starting,
    client_retry_after_s,
)
from railfold._internal.decisions.client_retry_after import (
    RateLimited as PermitUnavailable,
)
from railfold._internal.decisions.connection_admission import ConnectionAdmission
from railfold._internal.decisions.domain_pipes import DomainPipes
from railfold._internal.decisions.drain import DrainSchedule
from railfold._internal.decisions.eligibility import ServerEligibility
from railfold._internal.decisions.engine_directory import (
    DirectoryEntry,
    EngineDirectory,
)
from railfold._internal.decisions.fleet_demand import DemandKey, FleetDemand
from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad, ServerLoad
from railfold._internal.decisions.freshness import FreshnessLease
from railfold._internal.decisions.placement import (
    stage_residence_s,
    stage_token_s,
    uncovered_ranges,
)
from railfold._internal.decisions.planner import LinkCosts, PlannerWeights
from railfold._internal.decisions.retry_budget import RetryBudgets
from railfold._internal.decisions.routing_table import (
    CredentialOwner,
    EngineModel,
    Route,
    RoutingTable,
    require_table,
)
from railfold._internal.errors import (
    ConfigurationStaleError,
    EntryStoppingError,
    NotReadyError,
    RailfoldError,
    RateLimitedError,
    RequestOnTrialError,
    RoomShortError,
    ServersBackingOffError,
    UnauthorizedError,
    UnknownTargetError,
)
from railfold._internal.forwarding.dialect import Dialect
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.servers.answer_header_reader import (
    AnswerHeaderReader,
)
from railfold._internal.forwarding.servers.backoffs import ServerBackoffs
from railfold._internal.forwarding.servers.pool import ConnectionPool
from railfold._internal.forwarding.servers.rate_limits import RateLimits
from railfold._internal.forwarding.servers.unmatched_answers import (
    UnmatchedAnswerReporter,
)
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import PipeShareReduced
from railfold._internal.observability.metrics import Metrics

__all__ = ["ActiveRequest", "Router"]

# How long a stalled chain gets no new requests. By then, probes have found out which of
# its backend servers is dead.
_AVOIDANCE_S = 0.3

# Lifetime of an announcement of load or demand, until the exchange between entries sets
# it according to its interval.
_INITIAL_ANNOUNCEMENT_LIFETIME_S = 2.0

# Longest time for which a server counts as full after one rejection. Engines that
# unload layers reject requests with the same answer, and have capacity afterwards.
_MAX_FULL_S = 0.25


class ActiveRequest(Protocol):
    """A request in flight that is notified of lost backend servers."""

    def servers_lost(self, server_ids: frozenset[str]) -> None:
        """Called when these backend servers don't answer."""

    def servers_ended(self, server_ids: frozenset[str]) -> None:
        """Called when these incarnations, with all requests there, have ended."""

    def chain_stalled(self, chain: Chain) -> None:
        """Called when all streams over this chain are stalled."""

    def process_exits(self) -> None:
        """Called when this process exits before the request has ended."""


@dataclass(slots=True)
class Router:
    """The current state by which requests are routed and refused.

    :param lease: lease on the configuration read from the store.
    :param table: current configuration, ``None`` until one was read.
    :param entries: estimated number of forwarding entries, including this one.
    :param predicts_chains: whether chains over engines of different speeds are chosen
        by their predicted latency.
    :param others_have_proof: returns whether another entry can prove that its
        configuration is current while this entry can't.
    :param peer_has_newer: returns whether another entry knows a newer configuration
        than ``table``.
    :param active: requests in flight.
    :param drain: set once a stop of the entry was requested.
    :param admission: decides about new connections.
    :param call_pool: connections for the entry's own calls. They never carry clients'
        requests: a late second answer to a call could pass for a request's answer.
    """

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
    predicts_chains: bool = False
    others_have_proof: Callable[[float], bool] = field(default=lambda now_s: False)
    peer_has_newer: Callable[[], bool] = field(default=lambda: False)
    active: set[ActiveRequest] = field(default_factory=set)
    drain: DrainSchedule | None = None
    admission: ConnectionAdmission = field(default_factory=ConnectionAdmission)
    call_pool: ConnectionPool = field(default_factory=ConnectionPool)
    activity: ChainActivity = field(default_factory=ChainActivity)
    avoidance: Avoidance = field(default_factory=Avoidance)
    arrivals: ArrivalRates = field(default_factory=ArrivalRates)
    fleet_arrivals: FleetArrivals = field(default_factory=FleetArrivals)
    fleet_load: FleetLoad = field(
        default_factory=lambda: FleetLoad(_INITIAL_ANNOUNCEMENT_LIFETIME_S)
    )
    fleet_demand: FleetDemand = field(
        default_factory=lambda: FleetDemand(_INITIAL_ANNOUNCEMENT_LIFETIME_S)
    )
    costs: LinkCosts = field(default_factory=LinkCosts)
    pipes: DomainPipes = field(default_factory=DomainPipes)
    weights: PlannerWeights = field(default_factory=PlannerWeights)
    limits: RateLimits = field(init=False)
    backoffs: ServerBackoffs = field(init=False)
    eligibility: ServerEligibility = field(init=False)
    answer_headers: AnswerHeaderReader = field(init=False)
    unmatched_answers: UnmatchedAnswerReporter = field(init=False)

    def __post_init__(self) -> None:
        """Create the members that depend on other members."""
        self.limits = RateLimits(self.dialect, self.metrics, self.log, self.rng)
        self.backoffs = ServerBackoffs(self.dialect, self.metrics, self.log, self.rng)
        self.answer_headers = AnswerHeaderReader(
            self.dialect,
            self.directory,
            self.limits,
            self.backoffs,
            self.metrics,
            self.log,
        )
        self.unmatched_answers = UnmatchedAnswerReporter(self.metrics, self.log)
        for pool in (self.pool, self.call_pool):
            pool.on_surplus = self.unmatched_answers.surplus
        self.eligibility = ServerEligibility(
            self.directory,
            self.avoidance,
            self.backoffs.requested,
            self.fleet_load,
            self.limits.wait_s,
            self._is_starting_slowly,
        )

    def _is_starting_slowly(self, server_id: str, now_s: float) -> bool:
        return self.limits.is_starting_slowly(
            server_id, now_s
        ) or self.backoffs.is_starting_slowly(server_id, now_s)

    def check_permission(self, route: Route, path: str, credential: str) -> None:
        """Check a request against the current configuration right before it is sent.

        :raises RequestError: the current version no longer allows the request.
        """
        self.find_route(route.host, path, credential)

    def find_route(
        self, host: str, path: str, credential: str
    ) -> tuple[Route, CredentialOwner | None]:
        """Return the route of a request and the owner of its credential.

        :raises UnknownTargetError: there is no such route.
        :raises UnauthorizedError: nobody owns the credential.
        :raises ConfigurationStaleError: route or credential is unknown here, but may
            have been added in a version that this process hasn't read.
        """
        table = require_table(self.table)
        try:
            route = table.find(host, path)
            return route, table.authorize(route, credential)
        except (UnauthorizedError, UnknownTargetError) as error:
            now_s = asyncio.get_running_loop().time()
            if self.lease.valid(now_s) and not self.peer_has_newer():
                raise
            self.metrics.count("refused.unproved_denials")
            raise ConfigurationStaleError(
                "whether the newest configuration allows it isn't known",
                why=f"{error.what}; {error.why}, "
                f"and was last proved {self.lease.age_s(now_s):.1f} s ago",
                hint="retry after the delay in Retry-After",
            ) from error

    def retry_after_s(self, error: RailfoldError) -> float:
        """Return after how many seconds the refused client should retry."""
        return client_retry_after_s(self._refusal_cause(error), self.rng.random())

    def _refusal_cause(self, error: RailfoldError) -> RefusalCause:
        now_s = asyncio.get_running_loop().time()
        match error:
            case ConfigurationStaleError():
                if self.others_have_proof(now_s):
                    return ProofMissingHere()
                lapsed_s = self.lease.age_s(now_s) - self.lease.duration_s
                return ProofMissingEverywhere(lapsed_s)
            case NotReadyError():
                return Starting()
            case EntryStoppingError():
                return EntryStopping()
            case RequestOnTrialError(left_s=left_s):
                return ContentOnTrial(left_s)
            case RateLimitedError(left_s=left_s):
                return PermitUnavailable(left_s)
            case ServersBackingOffError(left_s=left_s, service=service):
                return ServersBackingOff(
                    left_s, self.backoffs.others_can_serve(service)
                )
            case RoomShortError(served_share=served_share, left_s=left_s):
                return RoomShort(served_share, left_s)
            case _:
                return NoCapacity()

    def require_time_to_answer(self, answer_s: float) -> None:
        """Check that an answer can end before this entry exits.

        :param answer_s: expected time until the end of the answer.
        :raises EntryStoppingError: the entry is being stopped and exits before that.
        """
        now_s = asyncio.get_running_loop().time()
        if self.drain is None or self.drain.allows_send(now_s, answer_s):
            return
        left_s = self.drain.ends_s - now_s
        raise EntryStoppingError(
            "the entry is being stopped before the answer could end",
            why=f"{left_s:.1f} s are left, and the answer takes {answer_s:.1f} s",
            hint="send it over a new connection",
        )

    def require_fresh_credentials(self, route: Route) -> None:
        """Check that the known credentials are recent enough for a route.

        :raises ConfigurationStaleError: the lease on the configuration has expired, and
            the route requires a credential.
        """
        if route.public or (self.table and self.table.credentials is None):
            return
        now_s = asyncio.get_running_loop().time()
        if not self.lease.valid(now_s):
            raise ConfigurationStaleError(
                "whether the credential still holds isn't known",
                why=f"the store last answered {self.lease.age_s(now_s):.1f} s ago",
                hint="retry after the delay in Retry-After",
            )

    def arriving_rps(self, service: str) -> float:
        """Return the estimated requests per second that arrive at all entries."""
        now_s = asyncio.get_running_loop().time()
        own_per_s = self.arrivals.per_s(service, now_s)
        return self.fleet_arrivals.total_per_s(service, own_per_s, self.entries, now_s)

    def are_mostly_replaceable(self, server_ids: Iterable[str]) -> bool:
        """Return whether at least half of the servers can be replaced."""
        entries = [e for e in map(self.directory.get, server_ids) if e is not None]
        replaceable = [e for e in entries if self.is_replaceable(e)]
        return 2 * len(replaceable) >= len(entries)

    def is_replaceable(self, entry: DirectoryEntry) -> bool:
        """Return whether other servers of its failure domain hold all its layers."""
        own = entry.registration
        if own.layers is None:
            return False
        peer_ranges = [
            peer.registration.layers
            for peer in self.directory.servers_of(own.service)
            if peer is not entry
            and peer.routable
            and peer.registration.failure_domain == own.failure_domain
            and peer.registration.layers is not None
        ]
        return all(
            any(layers.first <= layer <= layers.last for layers in peer_ranges)
            for layer in range(own.layers.first, own.layers.last + 1)
        )

    def report_stalled(self, chain: Chain) -> None:
        """Avoid a stalled chain for a short time and notify its streams."""
        now_s = asyncio.get_running_loop().time()
        self.avoidance.avoid(chain.stages[0].host, now_s + _AVOIDANCE_S)
        self.metrics.count("chains.stalled")
        for request in list(self.active):
            request.chain_stalled(chain)

    def model_of(self, chain: Chain) -> EngineModel | None:
        """Return the model that a chain runs, ``None`` if it isn't configured."""
        entry = self.directory.get(chain.stages[0].host)
        if entry is None:
            return None
        return self.model_of_service(entry.registration.service)

    def model_of_service(self, service: str) -> EngineModel | None:
        """Return the model that a service runs, ``None`` if it is a plain service."""
        spec = self.table.services.get(service) if self.table else None
        return spec.model if spec else None

    def expected_pause_s(self, chain: Chain) -> float:
        """Return the expected pause between events of a stream over a chain.

        The number of requests in flight is extrapolated from this entry's own ones.
        """
        model = self.model_of(chain)
        if model is None:
            return 0.0
        own_tokens = self.fleet_load.own_load(chain.stages[0].host).tokens
        requests = min(
            own_tokens * self.entries / model.mean_tokens, model.max_sequences
        )
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

    def has_incomplete_domain(self) -> bool:
        """Return whether the engines of some failure domain don't cover all layers.

        Without a configuration this is assumed.
        """
        if self.table is None:
            return True
        for spec in self.table.model_services():
            ranges_by_domain: dict[str, list[LayerRange | None]] = {}
            for entry in self.directory.servers_of(spec.name):
                layers = entry.registration.layers if entry.routable else None
                domain = entry.registration.failure_domain
                ranges_by_domain.setdefault(domain, []).append(layers)
            model = spec.model
            if model is None:
                continue
            if any(
                uncovered_ranges(r, model.layer_count)
                for r in ranges_by_domain.values()
            ):
                return True
        return False

    def load_of(self, server_id: str) -> ServerLoad:
        """Return a backend server's estimated load from all entries."""
        now_s = asyncio.get_running_loop().time()
        return self.fleet_load.load(server_id, self.entries, now_s)

    def extrapolated_own_load(self, server_id: str) -> ServerLoad:
        """Return a server's load, assuming that each entry sent as much as this one.

        The announced load is the same for all entries. If they chose by it, all would
        choose the same servers until the next announcement.
        """
        own = self.fleet_load.own_load(server_id)
        return ServerLoad(
            float(own.tokens * self.entries),
            float(own.sequences * self.entries),
            float(own.pending_prompt_tokens * self.entries),
            known_share=1.0 / max(1, self.entries),
        )

    def add_load(self, destination: Destination, load: EntryLoad) -> None:
        """Add the load of a request to the servers of its destination."""
        for server_id in destination.server_ids:
            if self.directory.get(server_id) is not None:
                self.fleet_load.add(server_id, load)

    def subtract_load(
        self, destination: Destination, load: EntryLoad, *, ran: bool = False
    ) -> None:
        """Subtract load that was added by :meth:`add_load`.

        :param ran: whether the request ran there, so that its capacity is free now.
        """
        for server_id in destination.server_ids:
            self.fleet_load.subtract(server_id, load)
            if ran:
                self.fleet_load.capacity_freed(server_id)

    def record_arrival(
        self, route: Route, priority: int, workspace: str, tokens: int
    ) -> None:
        """Record the arrival of a client's request as demand for its services.

        :param tokens: size to which a request to a model may grow.
        """
        now_s = asyncio.get_running_loop().time()
        total = sum(choice.weight for choice in route.services)
        for choice in route.services if total > 0 else ():
            is_model = self.model_of_service(choice.service) is not None
            amount = float(max(1, tokens)) if is_model else 1.0
            key = DemandKey(choice.service, priority, workspace)
            self.fleet_demand.arrived(key, amount * choice.weight / total, now_s)

    def record_rejection(self, entry: DirectoryEntry) -> None:
        """Record that an engine rejected a request for lack of capacity.

        The engine counts as full for about the time until a typical request ends there.
        """
        model = self.model_of_service(entry.registration.service)
        layers = entry.registration.layers
        if model is None or layers is None:
            return
        accelerator = model.accelerators.get(entry.registration.accelerator)
        if accelerator is None:
            return
        tokens = model.capacity_tokens(accelerator, len(layers))
        capacity_requests = min(
            float(model.max_sequences), max(1.0, tokens / model.mean_tokens)
        )
        residence_s = stage_residence_s(
            accelerator.slowed(entry.slowness),
            model,
            model.layer_count,
            capacity_requests,
        )
        now_s = asyncio.get_running_loop().time()
        full_s = min(_MAX_FULL_S, residence_s / capacity_requests)
        if not self.fleet_load.is_full(entry.server_id, now_s):
            self.metrics.count("servers.full")
        self.fleet_load.rejected(entry.server_id, now_s + full_s)

    def record_first_event(
        self, destination: Destination, elapsed_s: float, objective_s: float
    ) -> None:
        """Compare the time to a first event with its prediction.

        :param elapsed_s: time from sending the attempt to its first event.
        :param objective_s: latency objective of the route.
        """
        chain, prediction = destination.chain, destination.prediction
        if chain is None or prediction is None:
            return
        entries = [self.directory.get(host) for host in chain.hosts]
        known = [entry.registration for entry in entries if entry is not None]
        if len(known) < len(entries):
            return
        late_s = elapsed_s - prediction.first_event_s
        deviation = "late" if late_s > 0.0 else "early"
        kind = known[0].accelerator
        self.metrics.timing(f"prediction.first_event_{deviation}.{kind}", abs(late_s))
        now_s = asyncio.get_running_loop().time()
        for domain, other_domain in crossings([r.failure_domain for r in known]):
            if self.pipes.record_first_event(
                domain, other_domain, late_s, objective_s, now_s
            ):
                self.metrics.count("pipes.cut")
                share = round(self.pipes.quota_share(domain, other_domain), 3)
                self.log.write(
                    PipeShareReduced(domain, other_domain, share, round(late_s * 1000))
                )

    def registered_id(self, server_id: str) -> str:
        """Return the id under which an incarnation is registered."""
        entry = self.directory.get(server_id)
        return entry.registration.registered_id if entry is not None else server_id

    def drop_connections(self, server_id: str) -> None:
        """Close all idle connections to a backend server."""
        self.pool.drop(server_id)
        self.call_pool.drop(server_id)

    def prune_connections(self, now_s: float) -> None:
        """Close the connections that have been idle for too long."""
        self.pool.prune(now_s)
        self.call_pool.prune(now_s)

    def report_lost(self, server_ids: frozenset[str]) -> None:
        """Notify all requests in flight that backend servers don't answer."""
        for server_id in server_ids:
            self.drop_connections(server_id)
        for request in list(self.active):
            request.servers_lost(server_ids)

    def report_ended(self, server_ids: frozenset[str]) -> None:
        """Notify all requests in flight that incarnations have ended."""
        self.metrics.count("servers.replaced", len(server_ids))
        for server_id in server_ids:
            self.drop_connections(server_id)
        for request in list(self.active):
            request.servers_ended(server_ids)
