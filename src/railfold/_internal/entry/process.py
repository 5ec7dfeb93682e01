"""The entry process, which serves callers behind the platform's load balancer."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import msgspec
from absl import logging
from tornado.web import Application

from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.decisions.admission import AdmissionLimits
from railfold._internal.decisions.checkpoints import CheckpointSchedule
from railfold._internal.decisions.claims import ClaimLedger
from railfold._internal.decisions.client_retry_after import (
    EntryStopping,
    client_retry_after_s,
)
from railfold._internal.decisions.drain import DrainSchedule
from railfold._internal.decisions.heartbeats import HeartbeatPace
from railfold._internal.decisions.lifecycle import (
    LifecycleLimits,
)
from railfold._internal.decisions.planner import LinkCosts, PlannerWeights
from railfold._internal.decisions.retry_budget import RetryBudget, RetryLimits
from railfold._internal.entry.admission import Admission
from railfold._internal.entry.agents import AgentPool
from railfold._internal.entry.callers import (
    CallerServices,
    GenerateHandler,
    NotFoundHandler,
    ServiceHandler,
)
from railfold._internal.entry.claims import ClaimManager
from railfold._internal.entry.configuration import ConfigurationDistributor
from railfold._internal.entry.dispatch import Dispatcher
from railfold._internal.entry.explain import (
    ExplainHandler,
    Explanation,
    explain_pipeline,
)
from railfold._internal.entry.generate import RoutingContext
from railfold._internal.entry.parsing import RequestParser
from railfold._internal.errors import AdmissionRefusedError, EntryStoppingError
from railfold._internal.links.connection import LinkLimits
from railfold._internal.links.messages import PROTOCOL_VERSION, Hello
from railfold._internal.observability.http import (
    DrainHandler,
    HealthHandler,
    JsonHandler,
    ReadyHandler,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.observability.server import HttpServerChild
from railfold._internal.observability.statsd_sender import MetricsSender
from railfold._internal.settings.models import EntrySettings
from railfold._internal.store.follower import (
    FollowerPace,
    SettlingAppender,
    StreamFollower,
)
from railfold._internal.store.hosts import HostListPoller
from railfold._internal.store.http import new_http_client
from railfold._internal.store.log import LogClient
from railfold._internal.supervision.process import run_process, wait_until_idle
from railfold._internal.supervision.supervisor import ChildSpec, Supervisor

__all__ = ["Entry", "run_entry"]

_CAPACITY_REFRESH_S = 0.25
_CHECKPOINT_MAX_AGE_S = 6 * 3600.0
_HEADER_LIMIT_FACTOR = 16

# Part of a drain's time-out in which the final answers are written.
_EXIT_RESERVE_S = 0.5


class Entry:
    """Creates and connects the components of one entry."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.metrics = Metrics()
        self._incarnation = time.time_ns()
        self._rng = random.Random()
        self._draining = False
        self._drain_schedule: DrainSchedule | None = None
        self._http = new_http_client()
        self._log = LogClient(
            settings.platform.log_url,
            self._http,
            new_http_client(),
            settings.platform.request_timeout_s,
        )
        self._replica = ConfigurationReplica(
            self.metrics, self._on_configuration_change
        )
        self._agents = self._make_agents()
        self._admission = self._make_admission()
        self._configuration = self._make_configuration()
        self._appender = SettlingAppender(
            self._log,
            settings.platform.claims_stream,
            self.metrics,
            settings.platform.claim_linger_s,
        )
        ledger = ClaimLedger(settings.platform.claim_validity_s)
        self._claims = ClaimManager(settings.name, ledger, self._appender, self.metrics)
        self._claims_follower = StreamFollower(
            self._log,
            settings.platform.claims_stream,
            self._claims,
            self.metrics,
            FollowerPace(settings.platform.read_wait_s),
        )
        self._context = self._make_context()
        self._dispatcher = Dispatcher(
            settings.name,
            self._context,
            self._admission,
            self._claims,
            self._claims_readable,
        )
        self._caller_services = self._make_caller_services()
        self._callers = self._caller_server()

    def _make_agents(self) -> AgentPool:
        settings = self._settings
        hello = Hello(
            PROTOCOL_VERSION,
            "entry",
            settings.name,
            self._incarnation,
            settings.failure_domain,
            settings.region,
        )
        pace = HeartbeatPace(
            budget_bytes_per_s=settings.routing.heartbeat_budget_bytes_per_s
        )
        return AgentPool(
            hello,
            self._replica,
            LinkLimits(**settings.links.model_dump()),
            pace,
            settings.routing.probe_timeout_s,
            self.metrics,
            self._on_capacity_change,
        )

    def _make_admission(self) -> Admission:
        routing = self._settings.routing
        limits = AdmissionLimits(routing.max_waiting, routing.max_waiting_per_workspace)
        return Admission(limits, self._agents.view, self.metrics, self._rng)

    def _make_configuration(self) -> ConfigurationDistributor:
        platform = self._settings.platform
        return ConfigurationDistributor(
            self._settings.name,
            self._replica,
            self._log,
            platform.configuration_stream,
            CheckpointSchedule(
                platform.checkpoint_every_records, _CHECKPOINT_MAX_AGE_S
            ),
            platform.checkpoint_max_delay_s,
            self._agents.broadcast,
            self.metrics,
            self._rng,
        )

    def _make_context(self) -> RoutingContext:
        routing = self._settings.routing
        return RoutingContext(
            agents=self._agents,
            metrics=self.metrics,
            budget=RetryBudget(
                RetryLimits(
                    routing.retry_share, routing.retry_burst, routing.retry_window_s
                )
            ),
            costs=LinkCosts(
                routing.same_domain_ms, routing.same_region_ms, routing.other_region_ms
            ),
            weights=PlannerWeights(),
            lifecycle_limits=LifecycleLimits(routing.max_attempts),
            overdue_floor_s=routing.overdue_floor_s,
            overdue_factor=routing.overdue_factor,
            first_token_overdue_s=routing.first_token_overdue_s,
            rng=self._rng,
        )

    def tree(self) -> Supervisor:
        """Return the entry's supervisor tree."""
        platform = self._settings.platform
        configuration_follower = StreamFollower(
            self._log,
            platform.configuration_stream,
            self._configuration,
            self.metrics,
            FollowerPace(platform.read_wait_s),
        )
        host_list_poller = HostListPoller(
            platform.hosts_url,
            self._http,
            self._agents.host_list_received,
            self.metrics,
            platform.hosts_interval_s,
            platform.request_timeout_s,
        )
        platform_supervisor = Supervisor(
            "platform",
            [
                ChildSpec("configuration", configuration_follower.run),
                ChildSpec("checkpoints", self._configuration.run_checkpoints),
                ChildSpec("claims", self._claims_follower.run),
                ChildSpec("claim-appender", self._appender.run),
                ChildSpec("hosts", host_list_poller.run),
            ],
        )
        children = [
            ChildSpec("agents", self._agents.run),
            ChildSpec("platform", platform_supervisor.run),
            ChildSpec("admission", self._run_capacity_refresh),
            ChildSpec("operators", self._operator_server().run),
            ChildSpec("callers", self._callers.run),
        ]
        statsd = self._settings.statsd
        if statsd is not None:
            sender = MetricsSender(self.metrics, statsd.address, statsd.interval_s)
            children.insert(0, ChildSpec("metrics", sender.run))
        return Supervisor("entry", children)

    def begin_drain(self) -> None:
        """Report "not ready" to the load balancer from now on.

        Each answer closes its connection, so that clients open new ones, which the load
        balancer leads to other entries.
        """
        self._draining = True

    async def drain(self, requested_s: float | None = None) -> None:
        """Leave the load balancer, then wait until the requests in flight have ended.

        Requests that become complete after the notice time are refused. The whole drain
        is limited by its time-out; requests that are still open shortly before then get
        their final answers.

        :param requested_s: when the stop was requested, on the event loop's clock; now
            by default.
        """
        settings = self._settings.drain
        loop = asyncio.get_running_loop()
        started_s = loop.time() if requested_s is None else requested_s
        self._drain_schedule = schedule = DrainSchedule.plan(
            started_s, settings.notice_s, settings.timeout_s, _EXIT_RESERVE_S
        )
        self.begin_drain()
        await asyncio.sleep(schedule.accepts_until_s - loop.time())
        self._callers.stop_listening()
        logging.info("stopping: no more requests are accepted")
        await wait_until_idle(self._busy, schedule.ends_s - loop.time())
        if self._busy():
            self._give_up_requests()
            exit_s = started_s + settings.timeout_s
            await wait_until_idle(self._busy, exit_s - loop.time())

    def _give_up_requests(self) -> None:
        open_requests = list(self._caller_services.open_requests)
        logging.warning("stopping: %d requests are given up", len(open_requests))
        error = EntryStoppingError("the entry exits before the request has ended")
        delay_s = client_retry_after_s(EntryStopping(), self._rng.random())
        for request in open_requests:
            request.refuse_incomplete(error, delay_s)
        self._dispatcher.give_up(error, delay_s)

    def _require_accepting(self) -> None:
        """Check that a request that is complete now may be accepted.

        :raises AdmissionRefusedError: the entry is being stopped, and the load balancer
            has had time to notice.
        """
        if self._drain_schedule is None:
            return
        try:
            self._drain_schedule.require_accepting(asyncio.get_running_loop().time())
        except EntryStoppingError as error:
            delay_s = client_retry_after_s(EntryStopping(), self._rng.random())
            raise AdmissionRefusedError(error, delay_s) from error

    def _busy(self) -> bool:
        return bool(self._caller_services.open_requests) or not self._appender.idle

    def status(self) -> dict[str, Any]:
        """Return the status that ``railfold status`` shows."""
        versions = self._agents.peer_versions()
        sent, received = self._agents.link_bytes()
        return {
            "role": "entry",
            "name": self._settings.name,
            "incarnation": self._incarnation,
            "failure_domain": self._settings.failure_domain,
            "region": self._settings.region,
            "configuration_version": self._replica.version,
            "draining": self._draining,
            "missing": self._not_ready_reasons(),
            "in_flight": self._agents.in_flight,
            "link_bytes_sent": sent,
            "link_bytes_received": received,
            "admission": {
                name: {"running": queue.running, "waiting": queue.waiting}
                for name, queue in self._admission.queues()
            },
            "agents": [
                {
                    "host": member.host,
                    "configuration_version": versions.get(member.host, 0),
                    "state": member.displayed_state,
                    "failure_domain": member.failure_domain,
                    "load": member.load,
                    "capacity": member.max_sequences,
                    "step_ms": round(member.step_ms, 3),
                    "loaded": [str(loaded) for loaded in member.loaded],
                    "services": sorted(member.services),
                }
                for member in sorted(self._agents.view, key=lambda member: member.host)
            ],
            "counters": dict(self.metrics.counters),
        }

    def explain(self, name: str) -> Explanation | None:
        """Explain the routing of a pipeline; return None if it doesn't exist."""
        pipeline = self._replica.configuration.pipelines.get(name)
        if pipeline is None:
            return None
        return explain_pipeline(
            pipeline, self._agents.view, self._context.costs, self._context.weights
        )

    def audit(self) -> list[dict[str, Any]]:
        """Return the audit trail of configuration changes, oldest first."""
        entries = self._replica.configuration.audit
        return [msgspec.to_builtins(entry) for entry in entries]

    def _configuration_state(self) -> dict[str, Any]:
        return self._replica.configuration.to_state()

    def _claims_readable(self) -> bool:
        return self._claims.caught_up_once and self._claims_follower.reading

    def _on_configuration_change(self) -> None:
        # Changed pipelines and limits apply to requests that are admitted from now on.
        self._on_capacity_change()

    def _on_capacity_change(self) -> None:
        self._admission.refresh_capacity(self._agents.entry_count)

    async def _run_capacity_refresh(self, ready: asyncio.Event) -> None:
        ready.set()
        while True:
            await asyncio.sleep(_CAPACITY_REFRESH_S)
            self._on_capacity_change()
            self.metrics.gauge("in_flight", self._agents.in_flight)

    def _not_ready_reasons(self) -> list[str]:
        reasons = []
        if not self._configuration.ready:
            reasons.append("no configuration yet")
        if self._draining:
            reasons.append("draining")
        return reasons

    def _refusal_reasons(self) -> list[str]:
        # A draining entry still serves new requests for the notice time, because the
        # load balancer may not have noticed yet that the entry isn't ready.
        return [] if self._configuration.ready else ["no configuration yet"]

    def _operator_server(self) -> HttpServerChild:
        application = Application(
            [
                ("/healthz", HealthHandler),
                ("/readyz", ReadyHandler, {"missing": self._not_ready_reasons}),
                ("/v1/status", JsonHandler, {"source": self.status}),
                ("/v1/explain", ExplainHandler, {"explain": self.explain}),
                ("/v1/audit", JsonHandler, {"source": self.audit}),
                (
                    "/v1/configuration",
                    JsonHandler,
                    {"source": self._configuration_state},
                ),
                ("/v1/drain", DrainHandler, {"drain": self.begin_drain}),
            ],
            log_function=_ignore_log_call,
        )
        return HttpServerChild(application, self._settings.listen.operators)

    def _make_caller_services(self) -> CallerServices:
        limits = self._settings.callers
        return CallerServices(
            self._dispatcher,
            RequestParser(limits),
            limits,
            self.metrics,
            lambda: self._replica.configuration,
            self._refusal_reasons,
            self._require_accepting,
            lambda: self._draining,
        )

    def _caller_server(self) -> HttpServerChild:
        limits = self._settings.callers
        arguments = {"services": self._caller_services}
        application = Application(
            [
                ("/healthz", HealthHandler),
                ("/readyz", ReadyHandler, {"missing": self._not_ready_reasons}),
                (r"/v1/pipelines/([^/]+)/generate", GenerateHandler, arguments),
                (r"/v1/services/([^/]+)/(.*)", ServiceHandler, arguments),
            ],
            default_handler_class=NotFoundHandler,
            default_handler_args=arguments,
            log_function=_ignore_log_call,
        )
        return HttpServerChild(
            application,
            self._settings.listen.callers,
            # Higher than the limits that the handlers check, so that a request over
            # those limits gets a typed error instead of one from tornado.
            max_header_size=limits.max_header_bytes * _HEADER_LIMIT_FACTOR,
            max_body_size=limits.max_body_bytes * 2,
            idle_connection_timeout=limits.body_timeout_s,
        )


async def run_entry(settings: EntrySettings) -> None:
    """Run an entry until it receives a signal to stop."""
    entry = Entry(settings)
    await run_process(entry.tree(), entry.drain)


def _ignore_log_call(*_: object) -> None:
    """Ignore a finished HTTP request instead of logging it."""
