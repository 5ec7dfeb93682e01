"""Calls to backend servers' own interfaces, and what their answers say of them.

Calls go over the connections that requests use too. An answer counts for the
incarnation that it is from: a server that was started again knows nothing of the one
before it.
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
    OrderBegun,
    OrderFenced,
    OrderRefused,
    OrderUnsettled,
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

# How long a stream waits for its first engine's word on whom it waits for; after that
# the first engine itself is looked at. On an idle way a report takes a few
# milliseconds.
_REPORT_TIMEOUT_S = 0.05

# Of a plain service.
_NO_LAYERS = LayerRange(0, 0)

_REROUTE_TIMEOUT_S = 0.3

_SERVICE_UNAVAILABLE = 503


class EngineCalls:
    """Asks backend servers, and gives orders to engines."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._loop = asyncio.get_running_loop()
        # Told of a backend server whose address refuses connections.
        self.on_connection_refused: Callable[[str], None] = lambda server_id: None

    async def report(self, stage: Stage) -> EngineReport:
        """Return an engine's report.

        :raises EngineError: it doesn't answer at once, or with no report.
        """
        dialect = self._router.dialect
        self._router.metrics.count("probes")
        response = await self._call_at(
            stage.host, stage.address, dialect.report_call(), _REPORT_TIMEOUT_S
        )
        return dialect.decode_report(response.body)

    async def is_alive(self, stage: Stage, timeout_s: float) -> bool:
        """Return whether the incarnation that a stage stands for answers and is well.

        One that isn't registered any more may serve on.
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
        """Ask once more over a new connection if the answer was cut off.

        A kept connection may close as the probe is sent, which says nothing of the
        backend server.

        :raises EngineUnavailableError: no answer came in time, or none over the new
            connection either.
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
        """Ask an engine that isn't registered any more.

        One that leaves takes itself off the list and finishes what runs there for
        seconds. Another incarnation at its address is registered, or holds other
        layers or none yet.
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
            return False  # Its successor answers, which knows nothing of its work.
        # A plain service that is full refuses its health check like any other
        # request, and yet lives.
        return (
            entry.registration.is_model_engine
            or response.head.status < 500
            or (response.head.status == _SERVICE_UNAVAILABLE and not entry.draining)
        )

    async def update_slowness(self, entry: DirectoryEntry) -> None:
        """Ask an engine how slow it is, and note it."""
        try:
            report = await self.report(*stages_of([entry]))
        except EngineError as error:
            # Whether it lives is found out by what waits for it.
            logging.debug("%s doesn't say how slow it is: %s", entry.server_id, error)
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
        check_before_send: Callable[[], None] | None = None,
    ) -> Response:
        """Make one call to a backend server.

        :param check: called right before it is sent, once there is a connection: what
            it raises leaves it unsent.
        :raises EngineUnavailableError: no answer came in time.
        """
        address = entry.registration.address
        return await self._call_at(
            entry.server_id, address, call, timeout_s, check_before_send
        )

    async def _call_at(
        self,
        server_id: str,
        address: str,
        call: EngineCall,
        timeout_s: float,
        check_before_send: Callable[[], None] | None = None,
    ) -> Response:
        pool = self._router.pool
        connection = pool.take(server_id, self._loop.time())
        if connection is None:
            connection = await self._connect(server_id, address, timeout_s)
        if check_before_send is not None:
            try:
                check_before_send()
            except EngineError:
                pool.give_back(server_id, connection, self._loop.time())
                raise
        return await self._call_on(server_id, connection, call, timeout_s)

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
        response = await fetch(
            connection, call.method, call.target, call.headers, call.body, timeout_s
        )
        self._router.pool.give_back(server_id, connection, self._loop.time())
        self._router.statements.record_call_answer(server_id, response.head)
        return response

    async def reroute(self, request_id: str, chain: Chain) -> str:
        """Order a running request onto another chain; return why not, if so."""
        entry = self._router.directory.get(chain.stages[0].host)
        if entry is None:
            return "its first backend server is gone"
        call = self._router.dialect.reroute_call(request_id, chain)
        try:
            response = await self.call(entry, call, _REROUTE_TIMEOUT_S)
        except EngineError as error:
            return error.what
        started_at_ms = self._router.dialect.decode_started_at_ms(response.body)
        if entry.is_other_incarnation(started_at_ms):
            return "its first backend server has started again"
        match self._router.dialect.order_outcome(response.head):
            case OrderBegun():
                return ""
            case OrderRefused(reason=reason) | OrderUnsettled(reason=reason):
                return reason
            case OrderFenced():
                return "fenced"


def stages_of(entries: Iterable[DirectoryEntry]) -> list[Stage]:
    """Return backend servers as stages of a chain."""
    return [entry.stage(entry.registration.layers or _NO_LAYERS) for entry in entries]


def is_other_incarnation(stage: Stage, started_at_ms: int | None) -> bool:
    """Return whether somebody who started then is surely not a chain's stage."""
    has_known_incarnation = stage.incarnation != UNKNOWN_INCARNATION
    return has_known_incarnation and started_at_ms not in (None, stage.incarnation)
