"""A forwarding entry: engines that it sends requests to pass work on by themselves."""

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
from railfold._internal.errors import (
    LogUnavailableError,
    MemoryQuotaExceededError,
    RequestError,
)
from railfold._internal.forwarding.adapter import PlatformAdapter
from railfold._internal.forwarding.fleet_limits import FleetLimits
from railfold._internal.forwarding.listeners import Listeners
from railfold._internal.forwarding.messages import Header
from railfold._internal.forwarding.peers.peering import Peering
from railfold._internal.forwarding.peers.proof_keeper import ProofKeeper
from railfold._internal.forwarding.reload import SettingsWatcher
from railfold._internal.forwarding.requests.destinations import DestinationChooser
from railfold._internal.forwarding.requests.driver import RequestDriver
from railfold._internal.forwarding.requests.front import ClientExchange, ClientServer
from railfold._internal.forwarding.requests.refusals import Refusals
from railfold._internal.forwarding.requests.room_queue import RoomQueue
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
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
    MEMBER_S,
    LeadershipKeeper,
    MembershipKeeper,
)
from railfold._internal.forwarding.store.registration_pace import (
    calm_pace,
    eager_pace,
    leading_pace,
)
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import (
    DependencyLost,
    DependencyRegained,
    ProcessResumed,
    ProcessStarted,
    ProcessStopping,
    ReadinessChanged,
    StoreWentBack,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.observability.server import HttpServerChild
from railfold._internal.observability.small_server import SmallAnswer, SmallAnswers
from railfold._internal.store.follower import FollowerPace, StreamFollower
from railfold._internal.supervision.process import run_process
from railfold._internal.supervision.supervisor import ChildSpec, Supervisor

__all__ = ["ForwardingEntry", "run_forwarding_entry"]

_OK = 200
_SERVICE_UNAVAILABLE = 503

_PLACEMENT_DUTY = "placement"

# A read of the configuration is answered as soon as there is a newer one. That the one
# that is known is in force is proved beside it (:class:`ProofKeeper`); with reads of
# 1.85 s that were to prove it too, half of an entry's calls to the store were these.
_CONFIGURATION_WAIT_S = 10.0

_MAX_BACKOFF_S = 0.6

# Versions that come in quick succession are read in batches: of 25 in 2 s some 8. One
# that comes alone is read at once, and all well within the seconds that operators give
# a change.
_CONFIGURATION_INTERVAL_S = 0.25

# Clients of an installation that starts for the first time come 12 s after it.
_FIRST_START_S = 10.0

_TICK_S = 0.25

# Of a host's memory this share may be held for clients. A body is there up to three
# times, while it is put together and while it is written to a server.
_HELD_SHARE = 0.2

# The balancer needs two probes, one a second, to send new connections elsewhere.
# After that connections without a request are closed: a stream that began later
# could not end within the grace time.
_LEAVE_BALANCER_S = 2.8

# The same while the entry is only unready: by then the balancer leads a client whose
# connection is closed elsewhere.
_BALANCER_ASKS_S = 2.2

# Kept from the grace time, to close what is left and end.
_EXIT_S = 0.4


class ForwardingEntry:
    """The parts of one forwarding entry, wired together.

    :param source: where settings are read again, if they can change.
    :param listeners: sockets that listen already, if there are any.
    :param log_fd: where log lines are written.
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
        self._draining = False
        self._started_s = self._loop.time()
        self._store_reachable = asyncio.Event()
        founded_by_s = float("-inf")
        if settings.first_start:
            founded_by_s = self._started_s + _FIRST_START_S
        self.metrics = Metrics()
        self.log = DecisionLog(settings.name, log_fd)
        rng = random.Random()
        self.router = Router(
            dialect=adapter.dialect,
            directory=EngineDirectory(),
            pool=ConnectionPool(),
            lease=FreshnessLease(settings.credential_lease_s),
            budgets=RetryBudgets(RetryLimits(slack=0.0), rng.random()),
            metrics=self.metrics,
            log=self.log,
            failure_domain=settings.failure_domain,
            region=settings.region,
            rng=rng,
            predicts_chains=settings.predicts_chains,
        )
        self.destinations = DestinationChooser(self.router)
        self._refusals = Refusals(self.router)
        self._room = RoomQueue(self.router)
        fleet = FleetSize(settings.retry_window_s, MEMBER_S, founded_by_s)
        self._fleet_limits = FleetLimits(settings, fleet, self.router)
        calls = EngineCalls(self.router)
        self._prober = ServerProber(self.router, calls)
        self._leadership = Leadership(LEASE_S)
        self._candidacy = Candidacy(MEMBER_S)
        self._leadership_keeper = LeadershipKeeper(
            settings.name,
            self._leadership,
            adapter.new_lease_client(_PLACEMENT_DUTY),
            self.log,
            self.metrics,
            self._on_epoch,
            self._candidacy,
            self._on_leadership_stopped,
        )
        self._membership = MembershipKeeper(
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
        self._proofs = ProofKeeper(
            settings.name,
            self.router,
            adapter.new_log(),
            adapter.configuration_stream,
            self._configuration_feed,
            self._epoch,
            self._on_epoch,
            self._on_proof_failure,
            lambda: self._configuration.reading,
        )
        self.router.others_have_proof = self._proofs.others_have_proof
        self.router.newer_elsewhere = lambda: self._configuration_feed.newer_elsewhere
        self._configuration = self._configuration_follower()
        self._peering = Peering(
            settings,
            adapter,
            self.router,
            self._leadership,
            self._store_reachable,
            on_known=self._on_quarantine,
            fleet_limits=self._fleet_limits,
            on_epoch=self._on_epoch,
            proofs=self._proofs,
            on_leadership_stopped=self._leadership_keeper.holder_stopped,
        )
        calls.on_connection_refused = self._peering.quarantine.server_refused
        self._prober.on_healthy = self._peering.quarantine.server_answered
        self._held = MemoryQuota(int(settings.memory_bytes * _HELD_SHARE))
        self._clients = ClientServer(
            settings.clients,
            self,
            self._held,
            listeners.clients if listeners else None,
        )
        self._readiness = HttpServerChild(
            SmallAnswers(self._readiness_answer),
            settings.readiness,
            listener=listeners.readiness if listeners else None,
        )
        self._drivers: dict[ClientExchange, RequestDriver] = {}
        # Since when only this entry gets no proof of its configuration.
        self._lapsing_since_s: float | None = None
        self._registrations_known = False
        self._quarantine_known = False
        self._registration_feed = RegistrationFeed(
            self.router, adapter.decode_registration, self._on_copy
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
            ChildSpec("leadership", self._leadership_keeper.run),
            ChildSpec("placement", self._placement.run),
            ChildSpec("slow engines", self._slow_engines.run),
            *self._peering.children(),
            ChildSpec("upkeep", self._run_upkeep),
            ChildSpec("clients", self._clients.run),
            ChildSpec("readiness", self._readiness.run),
        ]
        if self._source is not None:
            watcher = SettingsWatcher(self._source, self._on_settings, self.log)
            children.insert(0, ChildSpec("settings", watcher.run))
        if settings.metrics is not None:
            server = HttpServerChild(SmallAnswers(self._metrics_page), settings.metrics)
            children.append(ChildSpec("metrics", server.run))
        return Supervisor("forwarding", children)

    def _configuration_follower(self) -> StreamFollower:
        return StreamFollower(
            self._adapter.new_log(),
            self._adapter.configuration_stream,
            self._configuration_feed,
            self.metrics,
            FollowerPace(
                wait_s=_CONFIGURATION_WAIT_S,
                min_interval_s=_CONFIGURATION_INTERVAL_S,
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
            eager_pace(),
            on_regained=self._on_registrations_regained,
            reachable=self._store_reachable,
            on_epoch=self._on_epoch,
        )

    def _readiness_answer(self, path: str) -> SmallAnswer:
        return SmallAnswer(_OK if self.ready() else _SERVICE_UNAVAILABLE)

    def _metrics_page(self, path: str) -> SmallAnswer:
        # Imported when somebody looks: a daemon that starts after a kill pays
        # only for what serves.
        from railfold._internal.observability import prometheus

        return SmallAnswer(_OK, prometheus.render(self.metrics), prometheus.FORMAT)

    def ready(self) -> bool:
        """Return whether new clients may come."""
        now_s = self._loop.time()
        known = self.router.table is not None
        return (
            known
            and not self._draining
            and self.router.lease.valid(now_s)
            and not self._proofs.lapses_alone(now_s)
        )

    def _look_whether_useful(self, now_s: float) -> None:
        """Lead clients elsewhere while only this entry can't check credentials."""
        lapses = self._proofs.lapses_alone(now_s)
        if lapses != (self._lapsing_since_s is not None):
            self._lapsing_since_s = now_s if lapses else None
            self.metrics.count("readiness.lapses" if lapses else "readiness.regained")
            cause = "only this entry gets no proof of its configuration"
            age_s = min(self.router.lease.age_s(now_s), 1e6)
            self.log.write(
                ReadinessChanged(
                    not lapses, cause if lapses else "", round(age_s * 1000, 1)
                )
            )
        since_s = self._lapsing_since_s
        gone = since_s is not None and now_s - since_s >= _BALANCER_ASKS_S
        self._clients.closes_connections = self._draining or gone

    @property
    def recognizes_requests(self) -> bool:
        """Whether requests that come again are recognized by their content."""
        return self._peering.quarantine.ready

    def _on_settings(self, settings: ForwardingSettings) -> None:
        """Take new bounds; addresses and the place stay until a restart."""
        self._settings = self._fleet_limits.settings = settings
        self.router.lease.duration_s = settings.credential_lease_s
        self.router.predicts_chains = settings.predicts_chains

    # What the store says

    def _on_configuration(self, table: RoutingTable) -> None:
        self._clients.set_limits(table.limits)
        self._begin_if_known()

    def _on_copy(self) -> None:
        self._registrations_known = True
        self._begin_if_known()

    def _on_quarantine(self) -> None:
        self._quarantine_known = True
        self._begin_if_known()

    def _begin_if_known(self) -> None:
        """Accept clients once it is known where their requests may go."""
        known = self._registrations_known and self._quarantine_known
        if self.router.table is not None and known:
            self._clients.can_answer.set()

    def _on_proof_failure(self) -> None:
        """Find out at once whether the store is lost: another read may wait on it."""
        self._configuration.give_up_waiting()

    def _on_store_lost(self, error: LogUnavailableError) -> None:
        self._store_reachable.clear()
        self.log.write(DependencyLost("store", str(error)))

    def _on_store_regained(self) -> None:
        self._store_reachable.set()
        self.log.write(DependencyRegained("store"))

    def _on_member_renewed(self, grant: LeaseGrant, sent_s: float) -> None:
        self._candidacy.record_renewal(grant, sent_s)
        if grant.assignment is not None:
            self._fleet_limits.dealt(grant.assignment, sent_s)

    def _on_leadership_stopped(self, member: str) -> None:
        self._peering.tell_leadership_stopped(member)

    def _on_registrations_regained(self) -> None:
        self.router.directory.store_recovered(self._loop.time())

    def _on_epoch(self, epoch: int) -> None:
        """Take the store's epoch; let go of what doesn't hold after it went back.

        It may lack a configuration that took credentials away, servers that live, and
        all that entries wrote of late, until it is written again.
        """
        if not self._epoch.observe(epoch):
            return
        now_s = self._loop.time()
        self.metrics.count("store.went_back")
        self.log.write(StoreWentBack(epoch))
        self.router.lease.ignore_sent_before(now_s + LOG_RECOVERY_S)
        self.router.directory.store_recovered(now_s)
        self._leadership.revoke()
        self._registration_feed.log_went_back()
        self._peering.log_went_back()

    # Clients' requests

    def handle_request(
        self,
        exchange: ClientExchange,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Take a client's request."""
        now_s = self._loop.time()
        router = self.router
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
            self._room,
        )
        self._drivers[exchange] = driver
        driver.start()
        if len(self._drivers) > len(router.active):
            self._forget_finished()

    def _forget_finished(self) -> None:
        active = self.router.active
        self._drivers = {e: d for e, d in self._drivers.items() if d in active}

    def workspace_of(self, headers: Sequence[Header]) -> str:
        """Return the workspace that a request's head names; empty if none is known."""
        table = self.router.table
        if table is None or table.credentials is None:
            return ""
        owner = table.credentials.get(self.router.dialect.credential(headers))
        return owner.workspace if owner is not None else ""

    def refuse_early(self, exchange: ClientExchange) -> None:
        """Answer a request whose body there is no memory for."""
        held_mb = self._held.total_bytes / 1e6
        error = MemoryQuotaExceededError(
            "there is no memory for the request's body",
            why=f"{held_mb:.1f} MB are held for clients",
            hint="come back after Retry-After",
        )
        self._refusals.refuse_early(exchange, error)

    def client_disconnected(self, exchange: ClientExchange) -> None:
        """A client closed its connection."""
        driver = self._drivers.pop(exchange, None)
        if driver is not None:
            self.metrics.count("clients.gone")
            driver.client_disconnected()

    # Upkeep and the end

    def _on_resumed(self, suspended_s: float) -> None:
        """Let go of what can't be relied on after the host was suspended.

        Leases and ages are reckoned by a clock that went on meanwhile. Connections that
        rested for longer than their servers keep them must not be met by a request.
        """
        now_s = self._loop.time()
        self.metrics.count("process.resumed")
        self.router.pool.prune(now_s)
        self._fleet_limits.divide()
        leading = self._leadership.current_token(now_s) is not None
        in_flight = len(self.router.active)
        event = ProcessResumed(round(suspended_s * 1000, 1), in_flight, leading)
        self.log.write(event)

    async def _run_upkeep(self, ready: asyncio.Event) -> None:
        if isinstance(self._loop, clock.EventLoop):
            self._loop.call_when_resumed(self._on_resumed)
        ready.set()
        while True:
            due_s = self._loop.time() + _TICK_S
            await asyncio.sleep(_TICK_S)
            now_s = self._loop.time()
            self.metrics.timing("loop.late", now_s - due_s)
            self.router.directory.expire(now_s)
            self.router.pool.prune(now_s)
            self._fleet_limits.divide()
            known = {entry.server_id for entry in self.router.directory}
            self.router.activity.retain_hosts(known)
            self.router.avoidance.forget(known)
            self.router.fleet_load.forget(known, now_s)
            self.router.fleet_demand.forget(now_s)
            self._prober.probe_backoff.forget(known)
            self.router.limits.upkeep(known, now_s)
            self.router.backoffs.upkeep(known, now_s)
            self._registrations.pace = self._registration_pace(now_s)
            self._forget_finished()
            self._look_whether_useful(now_s)
            self._room.forget()
            self._clients.forget_closed()
            self.metrics.gauge("in_flight", len(self.router.active))
            self.metrics.gauge("memory.held_bytes", self._held.total_bytes)
            self.metrics.gauge("configuration.age_s", self.router.lease.age_s(now_s))

    def _registration_pace(self, now_s: float) -> FollowerPace:
        leads = self._leadership.current_token(now_s) is not None
        if leads:
            return leading_pace()
        starting = now_s - self._started_s < _FIRST_START_S
        if self._settings.first_start and starting:
            # No client waits for the first placement yet.
            return calm_pace(self._settings.drain_notice_s)
        if self.router.chain_missing():
            return eager_pace()
        return calm_pace(self._settings.drain_notice_s)

    async def drain(self) -> None:
        """Leave the balancer, finish what is in flight, then return."""
        started_s = self._loop.time()
        self._draining = True
        self._clients.closes_connections = True
        self.log.write(ProcessStopping("told to stop", len(self.router.active)))
        # The store may not answer; the rest of the stop doesn't wait for it.
        leaving = self._loop.create_task(self._peering.leave())
        await asyncio.gather(
            self._leadership_keeper.release(), self._membership.release()
        )
        end_s = started_s + self._settings.grace_s - _EXIT_S
        await asyncio.sleep(_LEAVE_BALANCER_S)
        self._clients.stop_accepting()
        # Connections end in tornado's callbacks, requests in drivers.
        while self._clients.open_connections and self._loop.time() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(_TICK_S / 5)
        self.log.write(ProcessStopping("the process ends", len(self.router.active)))
        # What still runs is cut visibly; waiting for it would outlast the grace.
        for exchange, driver in list(self._drivers.items()):
            exchange.abort()
            driver.client_disconnected()
        leaving.cancel()
        self.log.flush()


async def run_forwarding_entry(
    settings: ForwardingSettings,
    adapter: PlatformAdapter,
    source: SettingsSource,
    listeners: Listeners,
) -> None:
    """Run a forwarding entry until it is told to stop."""
    entry = ForwardingEntry(settings, adapter, source, listeners)
    entry.log.write(
        ProcessStarted(
            "forwarding entry",
            __version__,
            settings.failure_domain,
        )
    )
    await run_process(entry.tree(), entry.drain)
