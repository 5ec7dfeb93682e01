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
    MismatchedAnswer,
    SendPlan,
)
from railfold._internal.forwarding.messages import ClientRequest, ResponseHead
from railfold._internal.forwarding.servers.http_client import (
    AnswerPart,
    ExchangeFailure,
    HttpConnection,
    connect,
)
from railfold._internal.forwarding.servers.pool import ConnectionPool

__all__ = ["ExchangeListener", "ServerExchange"]

# A connection between two hosts of one region is established within a millisecond. The
# timeout leaves time for one retransmission of the first packet if it was lost.
CONNECT_TIMEOUT_S = 0.35

# If a pooled connection turns out to be closed, a request that isn't repeatable can't
# be sent again. Such a request only uses connections that were used very recently.
_UNREPEATABLE_MAX_IDLE_S = 1.5


# Where a closed connection has left the answer.
_POSITIONS = {
    AnswerPart.NOTHING: "",
    AnswerPart.HEAD: " within the head of the answer",
    AnswerPart.BODY: " within the body of the answer",
}


class ExchangeListener(Protocol):
    """Receives the events of an attempt."""

    def answer_head(self, kind: AnswerKind, head: ResponseHead) -> None:
        """Handle the head of the answer."""

    def answer_skipped(self, named_id: str, status: int) -> None:
        """Handle an answer that doesn't belong to the request.

        :param named_id: the request that it names; empty if it names none.
        """

    def answer_body(self, data: bytes) -> None:
        """Handle received bytes of the answer's body."""

    def answer_ended(self) -> None:
        """Handle the end of a complete answer."""

    def attempt_not_sent(self, reason: str, error: RequestError | None) -> None:
        """Handle an attempt that ended before the request was sent.

        :param error: why the request must not be sent; nothing if the connection
            failed.
        """

    def attempt_lost(self, reason: str, received: AnswerPart) -> None:
        """Handle the loss of an answer before its end; the request may have run."""


class ServerExchange:
    """Sends a request to one backend server once, and reports the answer.

    :param check_sendable: called right before the request is sent; raises
        ``RequestError`` if it must not be sent any more.
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
        self._was_sent = False

    @property
    def plan(self) -> SendPlan:
        """The backend server that the request is sent to, and how it is sent."""
        return self._plan

    @property
    def was_sent(self) -> bool:
        """Whether the request was sent; before that, a connection is opened."""
        return self._was_sent

    def start(self) -> None:
        """Send the request over a pooled connection, or open a new one."""
        max_idle_s = (
            {} if self._repeatable else {"max_idle_s": _UNREPEATABLE_MAX_IDLE_S}
        )
        now_s = self._loop.time()
        connection = self._pool.take(self._plan.server_id, now_s, **max_idle_s)
        if connection is not None:
            # The listener must not be called before this method has returned.
            self._loop.call_soon(self._send, connection)
            return
        self._open_task = self._loop.create_task(self._open())

    def cancel(self) -> None:
        """Stop the attempt and close its connection to the backend server."""
        self._cancelled = True
        if self._open_task is not None:
            self._open_task.cancel()
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def pause(self) -> None:
        """Stop reading the answer until :meth:`resume` is called."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Continue to read the answer."""
        if self._connection is not None:
            self._connection.resume_reading()

    async def _open(self) -> None:
        try:
            connection = await connect(
                parse_address(self._plan.address), CONNECT_TIMEOUT_S
            )
        except (EngineUnavailableError, ValueError) as error:
            if not self._cancelled:
                self._listener.attempt_not_sent(str(error), None)
            return
        self._send(connection)

    def _send(self, connection: HttpConnection) -> None:
        if self._cancelled:
            connection.idle_since_s = self._loop.time()
            self._pool.give_back(self._plan.server_id, connection, self._loop.time())
            return
        if connection.closed:
            self._listener.attempt_not_sent(
                "the connection was closed before use", None
            )
            return
        try:
            self._check_sendable()
        except RequestError as error:
            self._pool.give_back(self._plan.server_id, connection, self._loop.time())
            self._listener.attempt_not_sent(error.what, error)
            return
        # The headers contain the time left until the deadline, so they are made only
        # now: opening a connection takes time, and the host may have been suspended.
        headers = self._dialect.forward_headers(
            self._request, self._plan, self._loop.time()
        )
        self._connection = connection
        self._was_sent = True
        connection.send(
            self._request.method,
            self._request.target,
            headers,
            self._request.body,
            self,
            self._request.request_id,
        )

    # ExchangeSink

    def head(self, head: ResponseHead) -> bool:
        """Report the head of an answer; return False unless it is this request's."""
        kind = self._dialect.classify_answer(head, self._request.request_id)
        if isinstance(kind, MismatchedAnswer):
            self._listener.answer_skipped(kind.named_id, head.status)
            return False
        if not self._cancelled:
            self._listener.answer_head(kind, head)
        return True

    def body(self, data: bytes) -> None:
        """Report received bytes of the body."""
        if not self._cancelled:
            self._listener.answer_body(data)

    def end(self) -> None:
        """Report the end of the answer and return the connection to the pool."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.give_back(self._plan.server_id, connection, self._loop.time())
        if not self._cancelled:
            self._listener.answer_ended()

    def failed(self, reason: ExchangeFailure) -> None:
        """Report that the answer was lost before its end."""
        connection, self._connection = self._connection, None
        if self._cancelled:
            return
        received = (
            AnswerPart.NOTHING if connection is None else connection.received_part
        )
        self._listener.attempt_lost(_failure_text(reason, received), received)


def _failure_text(reason: ExchangeFailure, received: AnswerPart) -> str:
    match reason:
        case ExchangeFailure.CLOSED:
            return "the connection was closed" + _POSITIONS[received]
        case ExchangeFailure.MALFORMED:
            return "the answer isn't valid HTTP"
        case ExchangeFailure.TOO_LARGE:
            return "the answer's head or framing is too large"
