"""HTTP server for clients, based on tornado."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from absl import logging
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
from railfold._internal.forwarding.loop_monitor import LoopMonitor
from railfold._internal.forwarding.messages import Header
from railfold._internal.observability.server import HttpServerChild

__all__ = ["ClientExchange", "ClientServer", "RequestHandler"]

# While a client leaves this much unread, no more of its answer is read from the server.
_CONGESTED_BYTES = 1024 * 1024

# The connection of a client that leaves more than this unread is closed.
_MAX_UNREAD_BYTES = 8 * 1024 * 1024

# A process that has just started reads the configuration and the registrations within
# 50 ms. If the store is unavailable, clients get an error after this time.
_MAX_STARTUP_WAIT_S = 0.3

# A new connection counts as idle if its request hasn't arrived within this many turns
# of the loop monitor, which take 0.5 s unless the event loop is late.
_MAX_AWAITED_TURNS = 10

_HTTP_1_0 = "HTTP/1.0"

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
    """Handles the requests of clients."""

    def handle_request(
        self,
        exchange: ClientExchange,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
    ) -> None:
        """Handle a complete request."""

    def client_disconnected(self, exchange: ClientExchange) -> None:
        """Handle a client that closed its connection before its answer was complete."""

    def workspace_of(self, headers: Sequence[Header]) -> str:
        """Return the workspace of a request's credential; empty if it is unknown."""

    def refuse_early(self, exchange: ClientExchange) -> None:
        """Refuse a request whose body doesn't fit into the memory quota."""


class ClientExchange:
    """One request of a client and the connection on which it is answered.

    :param reservation: the memory used by the request's body and unread answer.
    :param head_only: whether the client asked for the answer's head only.
    :param reads_chunks: whether the client understands an answer in chunks, which those
        of HTTP/1.0 don't. Without, the connection ends with the answer.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        server: ClientServer,
        reservation: MemoryReservation,
        *,
        head_only: bool = False,
        reads_chunks: bool = True,
    ) -> None:
        self.head_only = head_only
        self._reads_chunks = reads_chunks
        # Whether the client takes the end of the connection for that of the answer.
        self._ends_at_close = False
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
        """Send status and headers; abort the answer if a head was sent before.

        Without a Content-Length header the body is sent in chunks, so that the client
        can tell an aborted answer from a complete one.
        """
        if self._ended:
            return
        if self.head_sent:
            logging.error("a second head (%d) isn't sent within an answer", status)
            self.abort()
            return
        self.head_sent = True
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        self._ends_at_close = not self._reads_chunks and "Content-Length" not in fields
        if self._server.ends_connections() or not self._reads_chunks:
            self._closing = True
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason or _REASONS.get(status, ""))
        _consume_exception(self._connection.write_headers(line, fields))

    def send_body(self, data: bytes) -> None:
        """Send a part of the body, unless the client asked for the head only."""
        if self._ended or self.head_only:
            return
        stream = self._connection.stream
        if self._unread_bytes + len(data) > _MAX_UNREAD_BYTES:
            self.abort()
            # tornado doesn't report connections that are closed from this side.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._server.handler.client_disconnected, self)
            return
        _consume_exception(self._connection.write(data))
        if stream.closed() or not stream.writing():
            return
        self._unread_bytes += len(data)
        if not self.reservation.try_reserve(len(data)):
            self.reservation.reserve_unchecked(len(data))
            self.congested = True
        if self._unread_bytes >= _CONGESTED_BYTES:
            self.congested = True
        # This future is done once all data written before is sent, or the connection
        # is closed.
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
        """Call back once the client has read all sent data or has disconnected."""
        if self._unread_bytes > 0:
            self._on_read.append(callback)
        else:
            asyncio.get_running_loop().call_soon(callback)

    def finish(self) -> None:
        """End the answer, which is complete."""
        if self._ended:
            return
        self._ended = True
        self._release_body()
        stream = self._connection.stream
        self._connection.finish()
        if self._closing and stream is not None and not stream.closed():
            self._server.mark_closing(stream)
            _close_after_flush(stream)

    def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete answer."""
        if self._ended:
            return
        self._ended = True
        self._release_body()
        if self._ends_at_close:
            _reset_at_close(self._connection.stream)
        self._connection.close()

    def _release_body(self) -> None:
        """Release the memory of the request; unread data stays reserved."""
        self.reservation.release_bytes(self.reservation.size_bytes - self._unread_bytes)

    def connection_closed(self) -> None:
        """Release all memory, since the client closed the connection."""
        self.reservation.release()

    def reply(
        self, status: int, headers: Sequence[Header], body: bytes, reason: str = ""
    ) -> None:
        """Send a complete answer to a complete request."""
        self.reply_early(status, headers, body, reason)
        self.finish()

    def reply_early(
        self, status: int, headers: Sequence[Header], body: bytes, reason: str = ""
    ) -> None:
        """Send a complete answer to a request whose body may still arrive."""
        fields = [*headers, ("Content-Length", str(len(body)))]
        self.send_head(status, reason, fields)
        if body:
            self.send_body(body)


def _consume_exception(future: asyncio.Future[None]) -> None:
    """Retrieve the exception of a finished write, so that asyncio doesn't log it.

    Closed connections are reported by a callback of the connection.
    """
    if future.done() and not future.cancelled():
        future.exception()


def _reset_at_close(stream: IOStream | None) -> None:
    """Make the close of a connection a reset."""
    if stream is not None and not stream.closed():
        no_linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)


def _close_after_flush(stream: IOStream) -> None:
    """Close the connection once the kernel has accepted all written data."""
    if not stream.writing():
        stream.close()
        return
    loop = asyncio.get_running_loop()
    loop.call_later(0.01, _close_after_flush, stream)


class _RequestReader(HTTPMessageDelegate):
    """Reads one request from a client's connection."""

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
        """Store the request's head and begin to count its memory."""
        assert isinstance(start_line, RequestStartLine)
        self._server.mark_busy(self._connection.stream)
        self._start_line = start_line
        self._headers = list(headers.get_all())
        if start_line.version == _HTTP_1_0:
            # tornado would announce that it keeps the connection, if asked to.
            headers.pop("Connection", None)
        workspace = self._server.handler.workspace_of(self._headers)
        self._reservation = MemoryReservation(self._server.quota, workspace)

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body, or ignore it if the request was refused."""
        if self._refused_exchange is not None:
            return
        if self._reservation.try_reserve(len(chunk)):
            self._parts.append(chunk)
            return
        self._parts.clear()
        self._reservation.release()
        exchange = self._new_exchange()
        self._refused_exchange = exchange
        self._server.handler.refuse_early(exchange)

    def _new_exchange(self) -> ClientExchange:
        return ClientExchange(
            self._connection,
            self._server,
            self._reservation,
            head_only=self._start_line.method == "HEAD",
            reads_chunks=self._start_line.version != _HTTP_1_0,
        )

    def on_connection_close(self) -> None:
        """Release the memory of an incomplete request when its client disconnects."""
        self._reservation.release()

    def finish(self) -> None:
        """Pass the complete request to the handler.

        Bytes that had arrived when the connection was closed are still parsed. Their
        request must not be sent anywhere, since its client assumes that it wasn't read.
        The same holds for a request behind an answer that announced the close.
        """
        stream = self._connection.stream
        if stream is None or stream.closed() or self._server.is_closing(stream):
            self._reservation.release()
            return
        if self._refused_exchange is not None:
            self._refused_exchange.finish()
            return
        exchange = self._new_exchange()

        def closed() -> None:
            exchange.connection_closed()
            self._server.handler.client_disconnected(exchange)

        # After a request is complete, tornado reports a closed connection only to this
        # callback.
        self._connection.set_close_callback(closed)
        self._server.handler.handle_request(
            exchange,
            self._start_line.method,
            self._start_line.path,
            self._headers,
            b"".join(self._parts),
        )


class _AdmittingServer(HTTPServer):
    """Closes connections that aren't admitted, before anything is read from them."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, or close it."""
        delegate = self.request_callback
        assert isinstance(delegate, ClientServer)
        if delegate.admits_connection(stream):
            super().handle_stream(stream, address)
        else:
            stream.close()


class ClientServer(HTTPServerConnectionDelegate):
    """Supervised child that serves clients.

    :param quota: memory for request bodies and unread answers, by workspace.
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
        # Whether answers ask clients to open a new connection for their next request.
        self.closes_connections = False
        # Returns whether another entry would serve what this one refuses.
        self.others_would_serve: Callable[[], bool] = lambda: False
        self.stopped = False
        # tornado reports closed connections only to its own server class, so open
        # connections are tracked here.
        self._streams: set[IOStream] = set()
        self._busy: set[IOStream] = set()
        # Connections that are closed once their last answer is written.
        self._closing: set[IOStream] = set()
        # Accepted connections whose first request is awaited, by the turn of the loop
        # monitor in which they were accepted.
        self._awaited: dict[IOStream, int] = {}
        self.loop_monitor: LoopMonitor | None = None
        # Set once requests can be answered; connections wait until then.
        self.can_answer = asyncio.Event()
        self._child = HttpServerChild(
            self,
            address,
            listener=listener,
            start_event=self.can_answer,
            start_timeout_s=_MAX_STARTUP_WAIT_S,
            configure_server=self._apply_limits,
            server_class=_AdmittingServer,
        )
        self._limits = ClientLimits()

    def ends_connections(self) -> bool:
        """Return whether an answer that is sent now is its connection's last one."""
        return self.closes_connections or self.others_would_serve()

    @property
    def open_connections(self) -> int:
        """The number of open connections of clients."""
        self.forget_closed()
        return len(self._streams)

    def forget_closed(self) -> None:
        """Drop closed connections from the set of tracked connections."""
        closed = {stream for stream in self._streams if stream.closed()}
        self._streams -= closed
        self._busy -= closed
        self._closing -= closed

    def admits_connection(self, stream: IOStream) -> bool:
        """Return whether to serve a new connection, and count it if so."""
        monitor = self.loop_monitor
        if monitor is None:
            return True
        idle_since = monitor.turns - _MAX_AWAITED_TURNS
        for awaited, turn in list(self._awaited.items()):
            if turn > idle_since and not awaited.closed():
                break
            del self._awaited[awaited]
        admitted = monitor.admits(len(self._awaited))
        if admitted:
            self._awaited[stream] = monitor.turns
        return admitted

    def mark_busy(self, stream: IOStream) -> None:
        """Mark a connection as one on which a request has begun to arrive."""
        self._busy.add(stream)
        self._awaited.pop(stream, None)

    def mark_closing(self, stream: IOStream) -> None:
        """Mark a connection whose last answer is written, and that accepts no more."""
        self._closing.add(stream)

    def is_closing(self, stream: IOStream) -> bool:
        """Return whether a connection accepts no more requests."""
        return stream in self._closing

    def stop_accepting(self) -> None:
        """Accept no new connections, and close those without a request.

        A client that sends a request at the moment of the close knows that it wasn't
        read. A request that was read already goes to the handler.
        """
        self.stopped = True
        self._child.stop_listening()
        for stream in list(self._streams):
            self._close_if_idle(stream)

    def _close_if_idle(self, stream: IOStream) -> None:
        """Close a connection that waits for a request of which no head was read.

        A stream isn't reading between the arrival of a head and its parsing.
        """
        if stream not in self._busy and stream.reading():
            stream.close()

    def set_limits(self, limits: ClientLimits) -> None:
        """Apply limits to the requests that clients send from now on."""
        self._limits = limits
        if self._child.server is not None:
            self._apply_limits(self._child.server)

    def _apply_limits(self, server: HTTPServer) -> None:
        # tornado's header timeout starts at the end of the previous request, so it is
        # the time for which a connection may be idle.
        server.conn_params.header_timeout = self._limits.idle_timeout_s
        server.conn_params.max_body_size = self._limits.max_body_bytes
        server.conn_params.max_header_size = self._limits.max_header_bytes

    async def run(self, ready: asyncio.Event) -> None:
        """Listen and serve until cancelled; ``ready`` is set once it listens.

        A server that was stopped doesn't listen again.
        """
        if self.stopped:
            ready.set()
            await asyncio.Event().wait()
        await self._child.run(ready)

    # HTTPServerConnectionDelegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of a connection's next request."""
        assert isinstance(request_conn, HTTP1Connection)
        self._streams.add(request_conn.stream)
        self._busy.discard(request_conn.stream)
        if self.stopped:
            # Either the connection was accepted just before the server stopped, or its
            # answer began before that and announced that the connection stays open. It
            # begins to read in this turn.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._close_if_idle, request_conn.stream)
        return _RequestReader(self, request_conn)
