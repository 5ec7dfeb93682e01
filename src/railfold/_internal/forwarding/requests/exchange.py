"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from railfold._internal.core import parse_address
from railfold._internal.errors import EngineUnavailableError, RequestError
from railfold._internal.forwarding.dialect import (
    AnswerKind,
    Dialect,
    ForeignAnswer,
    SendPlan,
)
from railfold._internal.forwarding.messages import ClientRequest, ResponseHead
from railfold._internal.forwarding.servers.http_client import (
    HttpConnection,
    LostExchange,
    connect,
)
from railfold._internal.forwarding.servers.pool import ConnectionPool

__all__ = ["ExchangeListener", "ServerExchange"]

# A connection between two hosts of one region comes up within a millisecond; a
# host whose packets are lost gets one retransmission of its first packet.
CONNECT_TIMEOUT_S = 0.35

# A request that must not run twice can't be sent again when a kept connection
# turns out closed, so that it only takes one that was used just now.
_UNREPEATABLE_MAX_IDLE_S = 1.5


class ExchangeListener(Protocol):
    """Takes what comes of an attempt."""

    def answer_head(self, kind: AnswerKind, head: ResponseHead) -> None:
        """The answer's head came."""

    def answer_body(self, data: bytes) -> None:
        """Bytes of its body came."""

    def answer_ended(self) -> None:
        """The answer is whole."""

    def attempt_unsent(self, reason: str, error: RequestError | None) -> None:
        """Nothing was sent; ``error`` if it must not be sent any more."""

    def attempt_lost(self, reason: str) -> None:
        """No whole answer comes; the request may have run."""


class ServerExchange:
    """Sends a request once and reports what comes of it.

    :param check: raises ``RequestError`` if the request must not be sent any
        more; called right before it is.
    """

    def __init__(
        self,
        request: ClientRequest,
        plan: SendPlan,
        dialect: Dialect,
        pool: ConnectionPool,
        listener: ExchangeListener,
        check_sendable: Callable[[], None],
        *,
        repeatable: bool,
    ) -> None:
        self._request = request
        self._plan = plan
        self._dialect = dialect
        self._pool = pool
        self._listener = listener
        self._check_sendable = check_sendable
        self._repeatable = repeatable
        self._loop = asyncio.get_running_loop()
        self._connection: HttpConnection | None = None
        self._open_task: asyncio.Task[None] | None = None
        self._cancelled = False

    @property
    def plan(self) -> SendPlan:
        """Where the request went."""
        return self._plan

    def start(self) -> None:
        """Send over a kept connection, or open one first."""
        max_idle_s = (
            {} if self._repeatable else {"max_idle_s": _UNREPEATABLE_MAX_IDLE_S}
        )
        now_s = self._loop.time()
        connection = self._pool.take(self._plan.server_id, now_s, **max_idle_s)
        if connection is not None:
            # Not from within the caller: what comes of it is reported later.
            self._loop.call_soon(self._send, connection)
            return
        self._open_task = self._loop.create_task(self._open())

    def cancel(self) -> None:
        """Stop; the backend server sees its connection closed."""
        self._cancelled = True
        if self._open_task is not None:
            self._open_task.cancel()
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def pause(self) -> None:
        """Read no more of the answer for now."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._connection is not None:
            self._connection.resume_reading()

    async def _open(self) -> None:
        try:
            connection = await connect(
                parse_address(self._plan.address), CONNECT_TIMEOUT_S
            )
        except (EngineUnavailableError, ValueError) as error:
            if not self._cancelled:
                self._listener.attempt_unsent(str(error), None)
            return
        self._send(connection)

    def _send(self, connection: HttpConnection) -> None:
        if self._cancelled:
            connection.idle_since_s = self._loop.time()
            self._pool.give_back(self._plan.server_id, connection, self._loop.time())
            return
        if connection.closed:
            self._listener.attempt_unsent("the connection closed before use", None)
            return
        try:
            self._check_sendable()
        except RequestError as error:
            self._pool.give_back(self._plan.server_id, connection, self._loop.time())
            self._listener.attempt_unsent(error.what, error)
            return
        # The time left is told as it is now: opening a connection takes time, and the
        # host may have been suspended meanwhile.
        headers = self._dialect.forward_headers(
            self._request, self._plan, self._loop.time()
        )
        self._connection = connection
        connection.send(
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
            self,
        )

    # ExchangeSink

    def head(self, head: ResponseHead) -> bool:
        """Take the head of an answer."""
        kind = self._dialect.classify(head, self._request.request_id)
        if isinstance(kind, ForeignAnswer):
            return False
        if not self._cancelled:
            self._listener.answer_head(kind, head)
        return True

    def body(self, data: bytes) -> None:
        """Take bytes of the body."""
        if not self._cancelled:
            self._listener.answer_body(data)

    def end(self) -> None:
        """The answer is whole: keep the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.give_back(self._plan.server_id, connection, self._loop.time())
        if not self._cancelled:
            self._listener.answer_ended()

    def lost(self, reason: LostExchange) -> None:
        """The answer was lost."""
        self._connection = None
        if self._cancelled:
            return
        match reason:
            case LostExchange.CLOSED:
                self._listener.attempt_lost("the connection closed")
            case LostExchange.MALFORMED:
                self._listener.attempt_lost("what came isn't HTTP")
