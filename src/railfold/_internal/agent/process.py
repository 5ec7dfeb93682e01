"""The agent process, one of which runs beside each backend server."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tornado.web import Application

from railfold._internal.agent.backend import Backend
from railfold._internal.agent.engine_backend import EngineBackend
from railfold._internal.agent.links import AgentLinks
from railfold._internal.agent.orders import OrderSender
from railfold._internal.agent.peers import PeerLinks
from railfold._internal.agent.service_backend import ServiceBackend
from railfold._internal.configuration.replica import ConfigurationReplica
from railfold._internal.decisions.orders import OrderLimits, Reconciler
from railfold._internal.decisions.sequence_events import (
    SequenceLimits,
)
from railfold._internal.decisions.sequences import (
    SequenceTable,
)
from railfold._internal.engines.http_engine import HttpEngine
from railfold._internal.engines.http_service import HttpService
from railfold._internal.links.connection import LinkLimits
from railfold._internal.links.endpoint import LinkServer
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
from railfold._internal.settings.models import (
    AgentSettings,
    EngineBackendSettings,
    ServiceBackendSettings,
)
from railfold._internal.store.http import new_http_client
from railfold._internal.supervision.process import run_process, wait_until_idle
from railfold._internal.supervision.supervisor import ChildSpec, Supervisor

__all__ = ["Agent", "run_agent"]


class Agent:
    """The components of one agent and their connections."""

    def __init__(self, settings: AgentSettings) -> None:
        self._settings = settings
        self.metrics = Metrics()
        self._incarnation = time.time_ns()
        self._http = new_http_client()
        self._call_http = new_http_client()
        self._replica = ConfigurationReplica(self.metrics, on_change=_do_nothing)
        self._links = AgentLinks(self._replica, self.metrics)
        self._limits = LinkLimits(**settings.links.model_dump())
        self._hello = Hello(
            PROTOCOL_VERSION,
            "agent",
            settings.host,
            self._incarnation,
            settings.failure_domain,
            settings.region,
        )
        self._backend_children: list[ChildSpec] = []
        self._peers: PeerLinks | None = None
        self._backend = self._make_backend()
        self._links.set_backend(self._backend)

    def _make_backend(self) -> Backend:
        match self._settings.backend:
            case EngineBackendSettings() as engine:
                return self._make_engine_backend(engine)
            case ServiceBackendSettings() as service:
                return self._make_service_backend(service)

    def _make_engine_backend(self, settings: EngineBackendSettings) -> Backend:
        limits = SequenceLimits(max_sequences=settings.max_sequences)
        table = SequenceTable(self._settings.host, self._incarnation, limits)
        peers = PeerLinks(
            self._hello,
            self._configuration_version,
            self._limits,
            on_lost=lambda host: backend.peer_lost(host),
        )
        self._peers = peers
        engine = HttpEngine(
            settings.url, self._http, self._call_http, settings.step_timeout_s
        )
        backend = EngineBackend(
            engine,
            table,
            peers,
            self.metrics,
            capacity=settings.max_sequences,
            max_batch=settings.max_batch,
            status_interval_s=settings.status_interval_s,
            owner_link=self._links.entry_link,
            on_change=self._links.send_heartbeats_now,
        )
        orders = OrderSender(
            self._settings.host,
            engine,
            backend,
            self._replica,
            Reconciler(OrderLimits(**settings.orders.model_dump())),
            self._links.last_contact_s,
            self.metrics,
        )
        self._backend_children = [
            ChildSpec("engine-status", backend.run_status),
            ChildSpec("engine-steps", backend.run_steps),
            ChildSpec("engine-orders", orders.run),
        ]
        return backend

    def _make_service_backend(self, settings: ServiceBackendSettings) -> Backend:
        backend = ServiceBackend(
            settings.service,
            HttpService(
                settings.url, settings.health_path, self._http, self._call_http
            ),
            self.metrics,
            capacity=settings.max_calls,
            status_interval_s=settings.status_interval_s,
            on_change=self._links.send_heartbeats_now,
        )
        self._backend_children = [ChildSpec("service-status", backend.run_status)]
        return backend

    def tree(self) -> Supervisor:
        """Return the supervisor of all the agent's tasks."""
        children = [
            ChildSpec("backend", Supervisor("backend", self._backend_children).run),
            ChildSpec("heartbeats", self._links.run),
            ChildSpec("link-server", self._run_link_server),
            ChildSpec("operators", self._operators().run),
        ]
        statsd = self._settings.statsd
        if statsd is not None:
            sender = MetricsSender(self.metrics, statsd.address, statsd.interval_s)
            children.insert(0, ChildSpec("metrics", sender.run))
        return Supervisor("agent", children)

    async def drain(self, requested_s: float | None = None) -> None:
        """Refuse new work; return when all is done and sent or the drain times out.

        :param requested_s: when the stop was requested, on the event loop's clock; now
            by default.
        """
        now_s = asyncio.get_running_loop().time()
        late_s = 0.0 if requested_s is None else now_s - requested_s
        self._links.set_draining()
        await wait_until_idle(self._busy, self._settings.drain.timeout_s - late_s)

    def _busy(self) -> bool:
        return self._backend.report().running > 0 or self._links.has_unsent_data

    def status(self) -> dict[str, Any]:
        """Return the fields that ``railfold status`` shows for this agent."""
        report = self._backend.report()
        return {
            "role": "agent",
            "host": self._settings.host,
            "incarnation": self._incarnation,
            "failure_domain": self._settings.failure_domain,
            "region": self._settings.region,
            "configuration_version": self._replica.version,
            "draining": self._links.draining,
            "available": report.available,
            "running": report.running,
            "capacity": report.capacity,
            "step_ms": round(report.step_ms, 3),
            "loaded": [str(loaded) for loaded in report.loaded],
            "services": list(report.services),
            "entries": self._links.entries,
            "counters": dict(self.metrics.counters),
        }

    def _configuration_version(self) -> int:
        return self._replica.version

    def _missing(self) -> list[str]:
        missing = []
        if not self._backend.report().available:
            missing.append("the backend server isn't available")
        if self._links.draining:
            missing.append("draining")
        return missing

    def _operators(self) -> HttpServerChild:
        application = Application(
            [
                ("/healthz", HealthHandler),
                ("/readyz", ReadyHandler, {"missing": self._missing}),
                ("/v1/status", JsonHandler, {"source": self.status}),
                ("/v1/drain", DrainHandler, {"drain": self._links.set_draining}),
            ],
            log_function=_do_nothing,
        )
        return HttpServerChild(application, self._settings.listen.operators)

    async def _run_link_server(self, ready: asyncio.Event) -> None:
        server = LinkServer(
            self._hello, self._configuration_version, self._limits, self._links
        )
        address = self._settings.listen.links
        server.listen(address.port, address.ip)
        ready.set()
        try:
            await asyncio.Event().wait()
        finally:
            server.stop()
            server.close_links()
            if self._peers is not None:
                await self._peers.close()


async def run_agent(settings: AgentSettings) -> None:
    """Run an agent until a signal stops it."""
    agent = Agent(settings)
    await run_process(agent.tree(), agent.drain)


def _do_nothing(*_: object) -> None:
    """Ignore all arguments, for callbacks that aren't needed."""
