"""The process of a forwarding entry, with all its parts and their connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from railfold import __version__
from railfold._internal import clock
from railfold._internal.decisions.engine_directory import EngineDirectory
from railfold._internal.decisions.fleet_size import FleetSize
from railfold._internal.decisions.freshness import FreshnessLease
from railfold._internal.decisions.leadership import Candidacy, Leadership, LeaseGrant
from railfold._internal.decisions.log_epoch import LOG_RECOVERY_S, LogEpoch
from railfold._internal.decisions.memory_quota import MemoryQuota
from railfold._internal.decisions.retry_budget import (
    RetryBudgets,
    RetryLimits,
)
from railfold._internal.decisions.routing_table import RoutingTable, require_table
from railfold._internal.decisions.server_retention import ServerRetention
from railfold._internal.errors import (
    LogUnavailableError,
    MemoryQuotaExceededError,
    RequestError,
)
from railfold._internal.forwarding.adapter import PlatformAdapter
from railfold._internal.forwarding.fleet_limits import FleetLimits
from railfold._internal.forwarding.listeners import Listeners
from railfold._internal.forwarding.loop_monitor import LoopMonitor
from railfold._internal.forwarding.messages import Header
from railfold._internal.forwarding.peers.peering import Peering
from railfold._internal.forwarding.peers.proof_refresher import ProofRefresher
from railfold._internal.forwarding.planned_stop import PlannedStop
from railfold._internal.forwarding.reload import SettingsWatcher
from railfold._internal.forwarding.requests.capacity_queue import CapacityQueue
from railfold._internal.forwarding.requests.destinations import DestinationChooser
from railfold._internal.forwarding.requests.driver import RequestDriver
from railfold._internal.forwarding.requests.front import ClientExchange, ClientServer
from railfold._internal.forwarding.requests.refusals import Refusals
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.retry_reporter import RetryReporter
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import EngineCalls
from railfold._internal.forwarding.servers.placement import PlacementController
from railfold._internal.forwarding.servers.pool import ConnectionPool
from railfold._internal.forwarding.servers.probes import ServerProber
from railfold._internal.forwarding.servers.slow_engines import SlowEngineMonitor
from railfold._internal.forwarding.settings import ForwardingSettings
from railfold._internal.forwarding.settings_source import SettingsSource
from railfold._internal.forwarding.store.feeds import (
    ConfigurationFeed,
    RegistrationFeed,
)
from railfold._internal.forwarding.store.leadership import (
    LEASE_S,
    MEMBER_LEASE_S,
    LeadershipController,
    MembershipRenewer,
)
from railfold._internal.forwarding.store.registration_pace import (
    default_pace,
    leader_pace,
    missing_chain_pace,
)
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import (
    DependencyLost,
    DependencyRecovered,
    ProcessResumed,
    ProcessStarted,
    ReadinessChanged,
    StoreRolledBack,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.observability.server import HttpServerChild
from railfold._internal.observability.simple_server import (
    SimpleResponse,
    SimpleServerDelegate,
)
from railfold._internal.store.follower import FollowerPace, StreamFollower
from railfold._internal.supervision.process import run_process
from railfold._internal.supervision.supervisor import ChildSpec, Supervisor

__all__ = ["ForwardingEntry", "run_forwarding_entry"]

_OK = 200
_SERVICE_UNAVAILABLE = 503

_PLACEMENT_DUTY = "placement"

# How long one read waits for a newer configuration; it is answered as soon as there is
# one. Separate reads prove that the known configuration is in force (see
# :class:`ProofRefresher`). If these reads had to prove it too, they would have to end
# after 1.85 s, and would make up half of an entry's calls to the store.
_CONFIGURATION_READ_WAIT_S = 10.0

_MAX_BACKOFF_S = 0.6

# Versions in quick succession are read in batches: 25 versions within 2 s take about 8
# reads. A single new version is read at once. Both are well within the few seconds that
# operators allow until a change is in force.
_CONFIGURATION_MIN_INTERVAL_S = 0.25

# How long an installation that starts for the first time counts as starting; its
# clients connect after 12 s.
_FIRST_START_DURATION_S = 10.0

_UPKEEP_INTERVAL_S = 0.25

# The share of the process's memory that may be reserved for clients' requests and
# answers. A body may exist three times in memory while it is assembled and while it is
# written to a server.
_CLIENT_MEMORY_SHARE = 0.2

# How long the load balancer may still send new connections to an entry that is unready
# but not stopping.
_BALANCER_PROBE_S = 2.2


class ForwardingEntry:
    """The parts of one forwarding entry and their connections.

    :param source: the source of reloaded settings, if they can change.
    :param listeners: sockets that already listen, if there are any.
    :param log_fd: file descriptor that log lines are written to.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        adapter: PlatformAdapter,
        source: SettingsSource | None = None,
        listeners: Listeners | None = None,
        log_fd: int = 1,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._store_reachable = asyncio.Event()
        initial_members_until_s = float("-inf")
        retries_known_since_s = self._started_s
        if settings.first_start:
            initial_members_until_s = self._started_s + _FIRST_START_DURATION_S
            retries_known_since_s = float("-inf")
        self.metrics = Metrics()
        self.log = DecisionLog(settings.name, log_fd)
        rng = random.Random()
        self.router = Router(
            dialect=adapter.dialect,
            directory=EngineDirectory(),
            pool=ConnectionPool(),
            lease=FreshnessLease(settings.credential_lease_s),
            budgets=RetryBudgets(
                RetryLimits(slack=0.0), rng.random(), retries_known_since_s
            ),
            metrics=self.metrics,
            log=self.log,
            failure_domain=settings.failure_domain,
            region=settings.region,
            rng=rng,
            predicts_chains=settings.predicts_chains,
        )
        self.destinations = DestinationChooser(self.router)
        self._refusals = Refusals(self.router)
        self._capacity_queue = CapacityQueue(self.router)
        fleet = FleetSize(
            settings.retry_window_s, MEMBER_LEASE_S, initial_members_until_s
        )
        self._fleet_limits = FleetLimits(settings, fleet, self.router)
        calls = EngineCalls(self.router)
        self._prober = ServerProber(self.router, calls)
        self._leadership = Leadership(LEASE_S)
        self._candidacy = Candidacy(MEMBER_LEASE_S)
        self._leadership_controller = LeadershipController(
            settings.name,
            self._leadership,
            adapter.new_lease_client(_PLACEMENT_DUTY),
            self.log,
            self.metrics,
            self._on_epoch,
            self._candidacy,
            self._on_leadership_stopped,
        )
        self._membership = MembershipRenewer(
            settings.name,
            adapter.new_member_client(_PLACEMENT_DUTY),
            self.metrics,
            self._on_member_renewed,
            self._on_epoch,
        )
        self._placement = PlacementController(
            self.router,
            self._leadership,
            calls,
            first_start=settings.first_start,
        )
        self._slow_engines = SlowEngineMonitor(self.router, calls)
        self._epoch = LogEpoch()
        self._configuration_feed = ConfigurationFeed(
            self.router,
            adapter.configuration_key,
            adapter.decode_configuration,
            self._on_configuration,
        )
        self._proofs = ProofRefresher(
            settings.name,
            self.router,
            adapter.new_log(),
            adapter.configuration_stream,
            self._configuration_feed,
            self._epoch,
            self._on_epoch,
            self._on_proof_failure,
            lambda: self._configuration.reading,
            lambda: self._configuration.epoch,
        )
        self.router.others_have_proof = self._proofs.others_have_proof
        self.router.peer_has_newer = lambda: self._configuration_feed.peer_has_newer
        self._configuration = self._configuration_follower()
        self._peering = Peering(
            settings,
            adapter,
            self.router,
            self._leadership,
            self._store_reachable,
            on_quarantine_known=self._on_quarantine_read,
            fleet_limits=self._fleet_limits,
            on_epoch=self._on_epoch,
            proofs=self._proofs,
            on_leadership_released=self._leadership_controller.holder_stopped,
        )
        calls.on_connection_refused = self._peering.quarantine.server_refused_connection
        self._prober.on_healthy = self._peering.quarantine.server_answered
        self._memory_quota = MemoryQuota(
            int(settings.memory_bytes * _CLIENT_MEMORY_SHARE)
        )
        self._clients = ClientServer(
            settings.client_address,
            self,
            self._memory_quota,
            listeners.clients if listeners else None,
        )
        self._clients.others_would_serve = self._lacks_proof_alone
        self._readiness = HttpServerChild(
            SimpleServerDelegate(self._readiness_answer),
            settings.readiness_address,
            listener=listeners.readiness if listeners else None,
        )
        self._server_retention = ServerRetention()
        self._loop_monitor = LoopMonitor(self.router)
        self._retry_reporter = RetryReporter(self.router.budgets, self.log)
        self._clients.loop_monitor = self._loop_monitor
        self._planned_stop = PlannedStop(
            self.router,
            self._clients,
            (
                self._peering.leave,
                self._leadership_controller.release,
                self._membership.release,
            ),
        )
        self._drivers: dict[ClientExchange, RequestDriver] = {}
        # Since when this entry alone lacks a proof that its configuration is in force.
        self._unproven_since_s: float | None = None
        self._registrations_read = False
        self._quarantine_read = False
        self._registration_feed = RegistrationFeed(
            self.router, adapter.decode_registration, self._on_registrations_read
        )
        self._registrations = self._registration_follower()

    def tree(self) -> Supervisor:
        """Return the entry's supervisor tree."""
        settings = self._settings
        children = [
            ChildSpec("log", self.log.run),
            ChildSpec("configuration", self._configuration.run),
            ChildSpec("proofs", self._proofs.run),
            ChildSpec("registrations", self._registrations.run),
            ChildSpec("membership", self._membership.run),
            ChildSpec("leadership", self._leadership_controller.run),
            ChildSpec("placement", self._placement.run),
            ChildSpec("slow engines", self._slow_engines.run),
            *self._peering.children(),
            ChildSpec("upkeep", self._run_upkeep),
            ChildSpec("loop monitor", self._loop_monitor.run),
            ChildSpec("retries", self._retry_reporter.run),
            ChildSpec("clients", self._clients.run),
            ChildSpec("readiness", self._readiness.run),
        ]
        if self._source is not None:
            watcher = SettingsWatcher(self._source, self._on_settings, self.log)
            children.insert(0, ChildSpec("settings", watcher.run))
        if settings.metrics_address is not None:
            server = HttpServerChild(
                SimpleServerDelegate(self._metrics_page), settings.metrics_address
            )
            children.append(ChildSpec("metrics", server.run))
        return Supervisor("forwarding", children)

    def _configuration_follower(self) -> StreamFollower:
        return StreamFollower(
            self._adapter.new_log(),
            self._adapter.configuration_stream,
            self._configuration_feed,
            self.metrics,
            FollowerPace(
                wait_s=_CONFIGURATION_READ_WAIT_S,
                min_interval_s=_CONFIGURATION_MIN_INTERVAL_S,
                max_backoff_s=_MAX_BACKOFF_S,
            ),
            on_lost=self._on_store_lost,
            on_regained=self._on_store_regained,
            on_epoch=self._on_epoch,
            keeps_newest=True,
        )

    def _registration_follower(self) -> StreamFollower:
        return StreamFollower(
            self._adapter.new_log(),
            self._adapter.registrations_stream,
            self._registration_feed,
            self.metrics,
            missing_chain_pace(),
            on_regained=self._on_registrations_regained,
            reachable=self._store_reachable,
            on_epoch=self._on_epoch,
        )

    def _readiness_answer(self, path: str) -> SimpleResponse:
        return SimpleResponse(_OK if self.ready() else _SERVICE_UNAVAILABLE)

    def _metrics_page(self, path: str) -> SimpleResponse:
        # Imported at the first request for metrics, so that a process that restarts
        # after a crash only imports what it needs for serving clients.
        from railfold._internal.observability import prometheus

        return SimpleResponse(
            _OK, prometheus.render(self.metrics), prometheus.CONTENT_TYPE
        )

    def ready(self) -> bool:
        """Return whether the load balancer may send new clients."""
        now_s = self._loop.time()
        known = self.router.table is not None
        return (
            known
            and self.router.drain is None
            and self.router.lease.valid(now_s)
            and not self._proofs.is_expiring_alone(now_s)
        )

    def _update_readiness(self, now_s: float) -> None:
        """Send clients to other entries while only this one can't check credentials."""
        unproven = self._proofs.is_expiring_alone(now_s)
        if unproven != (self._unproven_since_s is not None):
            self._unproven_since_s = now_s if unproven else None
            self.metrics.count("readiness.lapses" if unproven else "readiness.regained")
            cause = "only this entry gets no proof of its configuration"
            age_s = min(self.router.lease.age_s(now_s), 1e6)
            self.log.write(
                ReadinessChanged(
                    not unproven, cause if unproven else "", round(age_s * 1000, 1)
                )
            )
        since_s = self._unproven_since_s
        balancer_noticed = since_s is not None and now_s - since_s >= _BALANCER_PROBE_S
        self._clients.closes_connections = (
            self.router.drain is not None
            or balancer_noticed
            or self.router.admission.sheds(now_s)
        )

    def _lacks_proof_alone(self) -> bool:
        """Return whether only other entries can check credentials."""
        now_s = self._loop.time()
        return not self.router.lease.valid(now_s) and self._proofs.is_expiring_alone(
            now_s
        )

    @property
    def recognizes_requests(self) -> bool:
        """Whether repeated requests are recognized by their content."""
        return self._peering.quarantine.has_key

    def _on_settings(self, settings: ForwardingSettings) -> None:
        """Apply new limits; addresses, failure domain and region need a restart."""
        self._settings = self._fleet_limits.settings = settings
        self.router.lease.duration_s = settings.credential_lease_s
        self.router.predicts_chains = settings.predicts_chains

    # Callbacks of the store's readers

    def _on_configuration(self, table: RoutingTable) -> None:
        self._clients.set_limits(table.limits)
        self._accept_clients_if_ready()

    def _on_registrations_read(self) -> None:
        self._registrations_read = True
        self._accept_clients_if_ready()

    def _on_quarantine_read(self) -> None:
        self._quarantine_read = True
        self._accept_clients_if_ready()

    def _accept_clients_if_ready(self) -> None:
        """Accept clients once all that is needed to route requests has been read."""
        known = self._registrations_read and self._quarantine_read
        if self.router.table is not None and known:
            self._clients.can_answer.set()

    def _on_proof_failure(self) -> None:
        """End the waiting read, so that an outage of the store is detected at once."""
        self._configuration.cancel_waiting_read()

    def _on_store_lost(self, error: LogUnavailableError) -> None:
        self._store_reachable.clear()
        self.log.write(DependencyLost("store", str(error)))

    def _on_store_regained(self) -> None:
        self._store_reachable.set()
        self.log.write(DependencyRecovered("store"))

    def _on_member_renewed(self, grant: LeaseGrant, sent_s: float) -> None:
        self._candidacy.record_renewal(grant, sent_s)
        if grant.assignment is not None:
            self._fleet_limits.assignment_received(grant.assignment, sent_s)

    def _on_leadership_stopped(self, member: str) -> None:
        self._peering.announce_leadership_released(member)

    def _on_registrations_regained(self) -> None:
        self.router.directory.store_recovered(self._loop.time())

    def _on_epoch(self, epoch: int) -> None:
        """Discard what is no longer valid if the epoch shows that the log was restored.

        A log that was restored from an older copy may lack a configuration that revoked
        credentials, registrations of running servers, and everything that entries wrote
        recently, until these records are written again.
        """
        if not self._epoch.observe(epoch):
            return
        now_s = self._loop.time()
        self.metrics.count("store.went_back")
        self.log.write(StoreRolledBack(epoch))
        self.router.lease.ignore_sent_before(now_s + LOG_RECOVERY_S)
        self.router.directory.store_recovered(now_s)
        self._leadership.revoke()
        self._registration_feed.log_restored()
        self._peering.log_went_back()

    # Callbacks of the client server

    def handle_request(
        self,
        exchange: ClientExchange,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Process a client's request."""
        now_s = self._loop.time()
        router = self.router
        router.admission.request_read()
        request_id = ""
        try:
            request = router.dialect.decode_request(
                method, target, headers, body, now_s
            )
            request_id = request.request_id
            table = require_table(router.table)
            route, owner = router.find_route(
                request.host, request.path, request.credential
            )
            self._planned_stop.require_accepting(now_s)
            on_trial = self._peering.quarantine.admit(request, route, owner)
        except RequestError as error:
            self._refusals.refuse(exchange, request_id, error, now_s)
            return
        driver = RequestDriver(
            RoutedRequest(request, route, owner, table.version, on_trial),
            exchange,
            router,
            self.destinations,
            self._prober,
            self._peering.quarantine,
            self._capacity_queue,
        )
        self._drivers[exchange] = driver
        driver.start()
        if len(self._drivers) > len(router.active):
            self._drop_finished_drivers()

    def _drop_finished_drivers(self) -> None:
        active = self.router.active
        self._drivers = {e: d for e, d in self._drivers.items() if d in active}

    def workspace_of(self, headers: Sequence[Header]) -> str:
        """Return the workspace of a request's credential; empty if it is unknown."""
        table = self.router.table
        if table is None or table.credentials is None:
            return ""
        owner = table.credentials.get(self.router.dialect.credential(headers))
        return owner.workspace if owner is not None else ""

    def refuse_early(self, exchange: ClientExchange) -> None:
        """Refuse a request because there isn't enough memory for its body."""
        reserved_mb = self._memory_quota.total_bytes / 1e6
        error = MemoryQuotaExceededError(
            "there isn't enough memory for the request's body",
            why=f"{reserved_mb:.1f} MB are reserved for clients",
            hint="retry after the delay in Retry-After",
        )
        self._refusals.refuse_early(exchange, error)

    def client_disconnected(self, exchange: ClientExchange) -> None:
        """Stop working on a request whose client closed its connection."""
        driver = self._drivers.pop(exchange, None)
        if driver is not None:
            self.metrics.count("clients.gone")
            driver.client_disconnected()

    # Upkeep and shutdown

    def _on_resumed(self, suspended_s: float) -> None:
        """Discard what is no longer valid after the host was suspended.

        Leases and ages need no correction: their clock includes suspended time. Idle
        connections that their servers have probably closed must not be used for
        requests.
        """
        now_s = self._loop.time()
        self.metrics.count("process.resumed")
        self.router.prune_connections(now_s)
        self._fleet_limits.update_limits()
        leading = self._leadership.current_token(now_s) is not None
        in_flight = len(self.router.active)
        event = ProcessResumed(round(suspended_s * 1000, 1), in_flight, leading)
        self.log.write(event)

    async def _run_upkeep(self, ready: asyncio.Event) -> None:
        if isinstance(self._loop, clock.EventLoop):
            self._loop.call_when_resumed(self._on_resumed)
        ready.set()
        while True:
            due_s = self._loop.time() + _UPKEEP_INTERVAL_S
            await asyncio.sleep(_UPKEEP_INTERVAL_S)
            now_s = self._loop.time()
            self.metrics.timing("loop.late", now_s - due_s)
            self.router.directory.expire(now_s)
            self.router.prune_connections(now_s)
            self._fleet_limits.update_limits()
            known = self._server_retention.update(self.router.directory, now_s)
            self.router.activity.retain_hosts(known)
            self.router.avoidance.forget(known)
            self.router.fleet_load.forget(known, now_s)
            self.router.fleet_demand.forget(now_s)
            self._prober.probe_backoff.forget(known)
            self.router.limits.upkeep(known, now_s)
            self.router.backoffs.upkeep(known, now_s)
            self._registrations.pace = self._registration_pace(now_s)
            self._drop_finished_drivers()
            self._update_readiness(now_s)
            self._capacity_queue.forget()
            self._clients.forget_closed()
            self.metrics.gauge("in_flight", len(self.router.active))
            cost_s = self.router.admission.request_cost_s
            self.metrics.gauge("loop.request_cost_s", cost_s)
            self.metrics.gauge("memory.held_bytes", self._memory_quota.total_bytes)
            self.metrics.gauge("configuration.age_s", self.router.lease.age_s(now_s))

    def _registration_pace(self, now_s: float) -> FollowerPace:
        leads = self._leadership.current_token(now_s) is not None
        if leads:
            return leader_pace()
        starting = now_s - self._started_s < _FIRST_START_DURATION_S
        if self._settings.first_start and starting:
            # There are no clients yet that wait for the first placement.
            return default_pace(self._settings.drain_notice_s)
        if self.router.has_incomplete_domain():
            return missing_chain_pace()
        return default_pace(self._settings.drain_notice_s)

    async def drain(self, requested_s: float | None = None) -> None:
        """Become unready, finish the requests in flight, then return.

        :param requested_s: when the stop was requested, on the event loop's clock; now
            by default.
        """
        started_s = self._loop.time() if requested_s is None else requested_s
        await self._planned_stop.run(started_s, self._settings.grace_s)


async def run_forwarding_entry(
    settings: ForwardingSettings,
    adapter: PlatformAdapter,
    source: SettingsSource,
    listeners: Listeners,
) -> None:
    """Run a forwarding entry until it receives a signal to stop."""
    entry = ForwardingEntry(settings, adapter, source, listeners)
    entry.log.write(
        ProcessStarted(
            "forwarding entry",
            __version__,
            settings.failure_domain,
        )
    )
    await run_process(entry.tree(), entry.drain)
