"""HTTP interface towards clients, on tornado's server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from railfold._internal.core import Address
from railfold._internal.decisions.memory_quota import MemoryQuota, MemoryReservation
from railfold._internal.decisions.routing_table import ClientLimits
from railfold._internal.forwarding.messages import Header
from railfold._internal.observability.server import HttpServerChild

__all__ = ["ClientExchange", "ClientServer", "RequestHandler"]

# What a client that doesn't read may hold up; more, and it is cut off.
_MAX_UNREAD_BYTES = 8 * 1024 * 1024

# A process that has just started reads the configuration and the registrations
# within 50 ms; if the store is away, clients are told so after this time.
_MAX_STARTUP_WAIT_S = 0.3

_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class RequestHandler(Protocol):
    """What is done with a client's requests."""

    def handle_request(
        self,
        exchange: ClientExchange,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Take a whole request."""

    def client_gone(self, exchange: ClientExchange) -> None:
        """The client closed its connection before it had its answer."""

    def workspace_of(self, headers: Sequence[Header]) -> str:
        """Return the workspace that a request's head names; empty if none is known."""

    def refuse_early(self, exchange: ClientExchange) -> None:
        """Answer a request whose body there is no memory for."""


class ClientExchange:
    """One request of a client and the answer to it."""

    def __init__(
        self,
        connection: HTTP1Connection,
        server: ClientServer,
        reservation: MemoryReservation,
    ) -> None:
        self._connection = connection
        self._server = server
        self.reservation = reservation
        self._closing = False
        self._unread_bytes = 0
        self.congested = False
        self._on_read: list[Callable[[], None]] = []
        self._ended = False
        self.head_sent = False

    def send_head(self, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Send status and headers.

        Without a Content-Length the body goes in chunks, so that an answer that
        is cut off can't look whole.
        """
        if self._ended:
            return
        self.head_sent = True
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._server.closes_connections:
            self._closing = True
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason or _REASONS.get(status, ""))
        _consume_exception(self._connection.write_headers(line, fields))

    def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._ended:
            return
        stream = self._connection.stream
        if self._unread_bytes + len(data) > _MAX_UNREAD_BYTES:
            self.abort()
            # A connection that is closed here tells nobody.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._server.handler.client_gone, self)
            return
        _consume_exception(self._connection.write(data))
        if stream.closed() or not stream.writing():
            return
        self._unread_bytes += len(data)
        if not self.reservation.try_reserve(len(data)):
            self.reservation.reserve_unchecked(len(data))
            self.congested = True
        # Done once all that was written before is read, or the client is gone.
        barrier = stream.write(b"")
        barrier.add_done_callback(lambda _: self._record_read(len(data)))

    def _record_read(self, size_bytes: int) -> None:
        self._unread_bytes -= size_bytes
        self.reservation.release_bytes(size_bytes)
        if self._unread_bytes > 0:
            return
        self.congested = False
        callbacks, self._on_read = self._on_read, []
        for callback in callbacks:
            callback()

    def call_when_read(self, callback: Callable[[], None]) -> None:
        """Call back once the client has read what was sent, or is gone."""
        if self._unread_bytes > 0:
            self._on_read.append(callback)
        else:
            asyncio.get_running_loop().call_soon(callback)

    def finish(self) -> None:
        """The answer is whole."""
        if self._ended:
            return
        self._ended = True
        self._release_body()
        stream = self._connection.stream
        self._connection.finish()
        # An answer that began before the drain promised to keep the connection;
        # once no new requests are taken it is closed all the same.
        closing = self._closing or self._server.stopped
        if closing and stream is not None and not stream.closed():
            _close_after_flush(stream)

    def abort(self) -> None:
        """Cut the answer off, visibly incomplete."""
        if self._ended:
            return
        self._ended = True
        self._release_body()
        self._connection.close()

    def _release_body(self) -> None:
        """Hold only what the client hasn't read yet."""
        self.reservation.release_bytes(self.reservation.size_bytes - self._unread_bytes)

    def connection_closed(self) -> None:
        """The client closed the connection: nothing is held for it any more."""
        self.reservation.release()

    def reply(
        self, status: int, headers: Sequence[Header], body: bytes, reason: str = ""
    ) -> None:
        """Send a whole answer."""
        self.reply_early(status, headers, body, reason)
        self.finish()

    def reply_early(
        self, status: int, headers: Sequence[Header], body: bytes, reason: str = ""
    ) -> None:
        """Send a whole answer to a request of which more may come."""
        fields = [*headers, ("Content-Length", str(len(body)))]
        self.send_head(status, reason, fields)
        if body:
            self.send_body(body)


def _consume_exception(future: asyncio.Future[None]) -> None:
    """Look at a write's outcome; a closed connection is reported elsewhere."""
    if future.done() and not future.cancelled():
        future.exception()


def _close_after_flush(stream: IOStream) -> None:
    """Close once the kernel has taken what was written."""
    if not stream.writing():
        stream.close()
        return
    loop = asyncio.get_running_loop()
    loop.call_later(0.01, _close_after_flush, stream)


class _RequestReader(HTTPMessageDelegate):
    """Gathers one request."""

    def __init__(self, server: ClientServer, connection: HTTP1Connection) -> None:
        self._server = server
        self._connection = connection
        self._parts: list[bytes] = []
        self._size = 0
        self._start_line = RequestStartLine("", "", "")
        self._headers: list[Header] = []
        self._reservation = MemoryReservation(server.quota, "")
        self._refused_exchange: ClientExchange | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the head."""
        assert isinstance(start_line, RequestStartLine)
        self._server.mark_busy(self._connection.stream)
        self._start_line = start_line
        self._headers = list(headers.get_all())
        workspace = self._server.handler.workspace_of(self._headers)
        self._reservation = MemoryReservation(self._server.quota, workspace)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body; pass over the rest of one that was refused."""
        if self._refused_exchange is not None:
            return
        if self._reservation.try_reserve(len(chunk)):
            self._parts.append(chunk)
            return
        self._parts.clear()
        self._reservation.release()
        exchange = ClientExchange(self._connection, self._server, self._reservation)
        self._refused_exchange = exchange
        self._server.handler.refuse_early(exchange)

    def on_connection_close(self) -> None:
        """The client left before its request was whole."""
        self._reservation.release()

    def finish(self) -> None:
        """Give the whole request to the handler.

        Bytes that had arrived when a planned stop closed the connection are
        still parsed. Their request must go nowhere: its client takes it for unread.
        """
        if self._connection.stream is None or self._connection.stream.closed():
            return
        if self._refused_exchange is not None:
            self._refused_exchange.finish()
            return
        exchange = ClientExchange(self._connection, self._server, self._reservation)

        def closed() -> None:
            exchange.connection_closed()
            self._server.handler.client_gone(exchange)

        # Once a request is whole, tornado tells of a closed connection here only.
        self._connection.set_close_callback(closed)
        self._server.handler.handle_request(
            exchange,
            self._start_line.method,
            self._start_line.path,
            self._headers,
            b"".join(self._parts),
        )


class ClientServer(HTTPServerConnectionDelegate):
    """Child that serves clients.

    :param held: what is held for clients, by workspace.
    :param listener: a socket that listens on the address already, if there is one.
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        quota: MemoryQuota,
        listener: socket.socket | None = None,
    ) -> None:
        self.handler = handler
        self.quota = quota
        # Whether answers ask clients to go on over a new connection.
        self.closes_connections = False
        self.stopped = False
        # tornado tells its own server of closed connections, nobody else.
        self._streams: set[IOStream] = set()
        self._busy: set[IOStream] = set()
        # Set once requests can be answered.
        self.can_answer = asyncio.Event()
        self._child = HttpServerChild(
            self,
            address,
            listener=listener,
            begin=self.can_answer,
            begin_by_s=_MAX_STARTUP_WAIT_S,
            prepare=self._apply_limits,
        )
        self._limits = ClientLimits()

    @property
    def open_connections(self) -> int:
        """How many connections clients have open."""
        self.forget_closed()
        return len(self._streams)

    def forget_closed(self) -> None:
        """Forget connections that were closed."""
        closed = {stream for stream in self._streams if stream.closed()}
        self._streams -= closed
        self._busy -= closed

    def mark_busy(self, stream: IOStream) -> None:
        """A request began to arrive on a connection."""
        self._busy.add(stream)

    def stop_accepting(self) -> None:
        """Take no new connections, and close those without a request.

        A client whose request crosses the close knows that it wasn't read.
        """
        self.stopped = True
        self._child.stop_listening()
        for stream in self._streams - self._busy:
            stream.close()

    def set_limits(self, limits: ClientLimits) -> None:
        """Bound what clients may send from now on."""
        self._limits = limits
        if self._child.server is not None:
            self._apply_limits(self._child.server)

    def _apply_limits(self, server: HTTPServer) -> None:
        # tornado counts the wait for a request's head from the end of the one before.
        server.conn_params.header_timeout = self._limits.idle_timeout_s
        server.conn_params.max_body_size = self._limits.max_body_bytes
        server.conn_params.max_header_size = self._limits.max_header_bytes

    async def run(self, ready: asyncio.Event) -> None:
        """Listen and serve until cancelled."""
        await self._child.run(ready)

    # HTTPServerConnectionDelegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Begin to read a request."""
        assert isinstance(request_conn, HTTP1Connection)
        self._streams.add(request_conn.stream)
        self._busy.discard(request_conn.stream)
        return _RequestReader(self, request_conn)
