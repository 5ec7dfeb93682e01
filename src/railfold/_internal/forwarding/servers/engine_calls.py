"""Calls that an entry makes for itself to backend servers.

These are requests for reports, health checks and orders. Their answers name no request,
so that a late second answer can't be told from the one that is due. Therefore their
connections never carry clients' requests, and each order has a connection of its own.
An answer is used only for the incarnation that sent it: a server that has restarted
knows nothing about the work of its previous incarnation.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from absl import logging

from railfold._internal.core import Chain, LayerRange, Stage, parse_address
from railfold._internal.decisions.engine_directory import (
    UNKNOWN_INCARNATION,
    DirectoryEntry,
)
from railfold._internal.errors import EngineError, EngineUnavailableError
from railfold._internal.forwarding.dialect import (
    EngineCall,
    EngineReport,
    OrderAccepted,
    OrderFenced,
    OrderOutcomeUnknown,
    OrderRefused,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.http_client import (
    HttpConnection,
    Response,
    connect,
    fetch,
)
from railfold._internal.observability.events import EngineChanged

__all__ = ["EngineCalls", "is_other_incarnation", "stages_of"]

# Time that an engine has to send its report. A silent stream asks its first engine
# which backend server it waits for, and after this time checks the first engine itself.
# On an idle network path a report takes a few milliseconds.
_REPORT_TIMEOUT_S = 0.05

# Layers of a server of a plain service, which runs no model.
_NO_LAYERS = LayerRange(0, 0)

_REROUTE_TIMEOUT_S = 0.3

_SERVICE_UNAVAILABLE = 503


class EngineCalls:
    """Makes calls to backend servers."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._loop = asyncio.get_running_loop()
        # Called with the id of each server whose address refuses a connection.
        self.on_connection_refused: Callable[[str], None] = lambda server_id: None

    async def report(self, stage: Stage) -> EngineReport:
        """Return an engine's report.

        :raises EngineError: the engine doesn't answer within ``_REPORT_TIMEOUT_S``, or
            its answer isn't a report.
        """
        dialect = self._router.dialect
        self._router.metrics.count("probes")
        response = await self._call_at(
            stage.host, stage.address, dialect.report_call(), _REPORT_TIMEOUT_S
        )
        return dialect.decode_report(response.body)

    async def is_alive(self, stage: Stage, timeout_s: float) -> bool:
        """Return whether the incarnation in a stage answers and is healthy.

        An engine that isn't registered any more may still serve.
        """
        entry = self._router.directory.get(stage.host)
        if entry is None:
            return await self.still_serves(stage, timeout_s)
        call = self._probe_call(entry)
        try:
            response = await self._probe(stage, call, timeout_s)
        except EngineError:
            return False
        return self._is_healthy(entry, response)

    async def _probe(
        self, stage: Stage, call: EngineCall, timeout_s: float
    ) -> Response:
        """Send a probe and return the answer.

        If the connection breaks, retries once over a new connection: the server may
        have closed an idle connection just as the probe was sent, which doesn't mean
        that it is unhealthy.

        :raises EngineUnavailableError: no answer arrived in time, or the new connection
            failed too.
        """
        self._router.metrics.count("probes")
        try:
            return await self._call_at(stage.host, stage.address, call, timeout_s)
        except EngineUnavailableError as error:
            if isinstance(error.__cause__, TimeoutError):
                raise
            connection = await self._connect(stage.host, stage.address, timeout_s)
            return await self._call_on(stage.host, connection, call, timeout_s)

    async def still_serves(self, stage: Stage, timeout_s: float) -> bool:
        """Return whether an engine that isn't registered any more still serves.

        An engine that leaves removes its registration and then completes its running
        requests, which takes seconds. If another incarnation answers at the address, it
        is registered, or it holds other layers or none yet.
        """
        if self._router.directory.get_by_address(stage.address) is not None:
            return False
        dialect = self._router.dialect
        try:
            response = await self._probe(stage, dialect.report_call(), timeout_s)
            report = dialect.decode_report(response.body)
        except EngineError:
            return False
        layers = report.layers
        if layers is None or is_other_incarnation(stage, report.started_at_ms):
            return False
        return layers.first <= stage.layers.first and stage.layers.last <= layers.last

    def _probe_call(self, entry: DirectoryEntry) -> EngineCall:
        if entry.registration.is_model_engine:
            return self._router.dialect.report_call()
        table = self._router.table
        spec = table.services.get(entry.registration.service) if table else None
        path = spec.health_path if spec else "/"
        headers = (("Host", entry.registration.address),)
        return EngineCall("GET", path, headers)

    def _is_healthy(self, entry: DirectoryEntry, response: Response) -> bool:
        started_at_ms = self._router.dialect.decode_started_at_ms(response.body)
        if entry.is_other_incarnation(started_at_ms):
            return False  # The new incarnation knows nothing of the old one's work.
        # A server of a plain service that is at capacity refuses its health check like
        # any other request, although it is alive.
        return (
            entry.registration.is_model_engine
            or response.head.status < 500
            or (response.head.status == _SERVICE_UNAVAILABLE and not entry.draining)
        )

    async def update_slowness(self, entry: DirectoryEntry) -> None:
        """Request an engine's report and record the slowness stated in it."""
        try:
            report = await self.report(*stages_of([entry]))
        except EngineError as error:
            # Requests that wait for the engine check whether it is alive.
            logging.debug(
                "%s sent no report on its slowness: %s", entry.server_id, error
            )
            return
        if entry.is_other_incarnation(report.started_at_ms):
            return
        slowness = report.slowness
        if slowness != entry.slowness:
            state = "slow" if slowness > 1.0 else "serving"
            cause = f"its steps take {slowness:.1f} times as long as usual"
            self._router.log.write(EngineChanged(entry.server_id, state, cause))
        entry.slowness = slowness

    async def call(
        self,
        entry: DirectoryEntry,
        call: EngineCall,
        timeout_s: float,
    ) -> Response:
        """Make a call that orders nothing to a backend server; return its answer.

        :raises EngineUnavailableError: no answer arrived in time.
        """
        address = entry.registration.address
        return await self._call_at(entry.server_id, address, call, timeout_s)

    async def order(
        self,
        entry: DirectoryEntry,
        call: EngineCall,
        timeout_s: float,
        check_before_send: Callable[[], None] = lambda: None,
    ) -> Response:
        """Send an order to a backend server and return its answer.

        The order has a connection of its own, on which no other answer can arrive.

        :param check_before_send: called once there is a connection, right before the
            order is sent. If it raises an error, the order isn't sent.
        :raises EngineUnavailableError: no answer arrived in time.
        """
        server_id = entry.server_id
        address = entry.registration.address
        connection = await self._connect(server_id, address, timeout_s)
        try:
            check_before_send()
            return await self._fetch(server_id, connection, call, timeout_s)
        finally:
            connection.abort()

    async def _call_at(
        self,
        server_id: str,
        address: str,
        call: EngineCall,
        timeout_s: float,
    ) -> Response:
        connection = self._take(server_id)
        if connection is None:
            connection = await self._connect(server_id, address, timeout_s)
        return await self._call_on(server_id, connection, call, timeout_s)

    def _take(self, server_id: str) -> HttpConnection | None:
        """Return an idle connection to a server, if there is one.

        A server at capacity resets new connections, so that an idle connection for
        clients' requests is used up if there is no other.
        """
        router, now_s = self._router, self._loop.time()
        return router.call_pool.take(server_id, now_s) or router.pool.take(
            server_id, now_s
        )

    async def _connect(
        self, server_id: str, address: str, timeout_s: float
    ) -> HttpConnection:
        try:
            return await connect(parse_address(address), timeout_s)
        except EngineUnavailableError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.on_connection_refused(server_id)
            raise

    async def _call_on(
        self,
        server_id: str,
        connection: HttpConnection,
        call: EngineCall,
        timeout_s: float,
    ) -> Response:
        response = await self._fetch(server_id, connection, call, timeout_s)
        self._router.call_pool.give_back(server_id, connection, self._loop.time())
        return response

    async def _fetch(
        self,
        server_id: str,
        connection: HttpConnection,
        call: EngineCall,
        timeout_s: float,
    ) -> Response:
        response = await fetch(
            connection, call.method, call.target, call.headers, call.body, timeout_s
        )
        self._router.answer_headers.record_call_answer(server_id, response.head)
        return response

    async def reroute(self, request_id: str, chain: Chain) -> str:
        """Order the first server of a chain to move a running request to this chain.

        :returns: why the order failed; empty if the server executes it.
        """
        entry = self._router.directory.get(chain.stages[0].host)
        if entry is None:
            return "its first backend server isn't registered any more"
        call = self._router.dialect.reroute_call(request_id, chain)
        try:
            response = await self.order(entry, call, _REROUTE_TIMEOUT_S)
        except EngineError as error:
            return error.what
        started_at_ms = self._router.dialect.decode_started_at_ms(response.body)
        if entry.is_other_incarnation(started_at_ms):
            return "its first backend server has restarted"
        match self._router.dialect.classify_order_answer(response.head):
            case OrderAccepted():
                return ""
            case OrderRefused(reason=reason) | OrderOutcomeUnknown(reason=reason):
                return reason
            case OrderFenced():
                return "fenced"


def stages_of(entries: Iterable[DirectoryEntry]) -> list[Stage]:
    """Return one chain stage for each backend server, with the layers it holds."""
    return [entry.stage(entry.registration.layers or _NO_LAYERS) for entry in entries]


def is_other_incarnation(stage: Stage, started_at_ms: int | None) -> bool:
    """Return whether a server that started then is surely not a stage's incarnation.

    Returns False if one of the start times isn't known.
    """
    has_known_incarnation = stage.incarnation != UNKNOWN_INCARNATION
    return has_known_incarnation and started_at_ms not in (None, stage.incarnation)
