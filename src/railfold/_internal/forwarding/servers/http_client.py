"""HTTP/1.1 client for backend servers and the store, based on httptools.

A connection carries one exchange of a request and its answer at a time. It never sends
a request twice, and reports whether an answer was complete. A connection that receives
bytes outside of an exchange is closed and not used again.

A server may send bytes without end. What is received beside the body of the answer is
limited here, the body by its :class:`ExchangeSink`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

import httptools
from absl import logging

from railfold._internal.core import Address
from railfold._internal.errors import EngineUnavailableError
from railfold._internal.forwarding.messages import Header, ResponseHead
from railfold._internal.waiting import answer_within

__all__ = [
    "AnswerPart",
    "ExchangeFailure",
    "ExchangeSink",
    "HttpConnection",
    "Response",
    "connect",
    "fetch",
]

# Answers with a lower status are interim: the final answer follows.
_FIRST_FINAL_STATUS = 200

# Limit on what is received without a byte of the body: interim answers, the head, the
# size and extensions of a chunk, or trailers.
_MAX_BYTES_BESIDE_BODY = 64 * 1024

# Limit on the bodies of answers that don't belong to the exchange.
_MAX_SKIPPED_BYTES = 4 * 1024 * 1024

# Default limit on the body that :func:`fetch` collects.
_MAX_FETCHED_BYTES = 1024 * 1024

# Bounds the time that an answer may take if it arrives a few bytes at a time.
_MAX_TRANSFER_S = 10.0


class ExchangeFailure(Enum):
    """Why an exchange ended without a complete answer."""

    CLOSED = auto()  # The server closed or reset the connection.
    MALFORMED = auto()  # The bytes received aren't a valid HTTP answer.
    TOO_LARGE = auto()  # More was received than an answer may contain.


class AnswerPart(Enum):
    """How much of the answer to an exchange was received."""

    NOTHING = auto()
    HEAD = auto()  # A part of the head, or answers that don't belong to the exchange.
    BODY = auto()  # The head and maybe a part of the body.


class ExchangeSink(Protocol):
    """Receives one answer while it arrives."""

    def head(self, head: ResponseHead) -> bool:
        """Receive the head; return whether the answer belongs to this exchange.

        If it doesn't, the answer is skipped and the connection isn't used again.
        """

    def body(self, data: bytes) -> None:
        """Receive the next bytes of the body."""

    def end(self) -> None:
        """Handle the end of a complete answer."""

    def failed(self, reason: ExchangeFailure) -> None:
        """Handle the end of an exchange whose answer will stay incomplete."""


class HttpConnection(asyncio.Protocol):
    """One connection to a server.

    It is the protocol of an asyncio transport, and the callback object of the httptools
    parser.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        # An answer to another request may announce the close before this one's.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._sink: ExchangeSink | None = None
        self._status = b""
        self._headers: list[Header] = []
        self._skipping_message = False
        self._message_incomplete = False
        self._ends_at_eof = False
        self._no_body = False
        self._answer_complete = False
        self._unusable = False
        self._keep_alive = True
        self._paused = False
        self._bytes_beside_body = 0
        self._skipped_bytes = 0
        self._received_part = AnswerPart.NOTHING
        # Whether bytes were received behind a complete answer.
        self.has_surplus = False
        # Called with the id of the last request when bytes are received although no
        # answer is expected.
        self.on_surplus: Callable[[str], None] = lambda request_id: None
        # Id of the last client's request; empty after a call of this process.
        self.last_request_id = ""
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection can't be used any more."""
        return self._unusable or self._transport is None

    @property
    def received_part(self) -> AnswerPart:
        """How much of the last exchange's answer was received."""
        return self._received_part

    @property
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._sink is not None

    def send(
        self,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        sink: ExchangeSink,
        request_id: str = "",
    ) -> None:
        """Send one request and pass its answer to ``sink``.

        :param request_id: the id of a client's request.
        :raises EngineUnavailableError: the connection is closed or busy.
        """
        if self._transport is None or self.busy:
            raise EngineUnavailableError("the connection can't take a request")
        self._sink = sink
        self.last_request_id = request_id
        self._received_part = AnswerPart.NOTHING
        self._no_body = method == "HEAD"
        self._answer_complete = False
        self._bytes_beside_body = self._skipped_bytes = 0
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._transport.write(head + body)

    def pause_reading(self) -> None:
        """Stop reading, so that flow control makes the server wait."""
        if self._transport is not None and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading after :meth:`pause_reading`."""
        if self._paused and self._transport is not None:
            self._transport.resume_reading()
        self._paused = False

    def abort(self) -> None:
        """Close at once, without reporting an incomplete answer to the sink."""
        self._sink = None
        self._unusable = True
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._sink is None:
            if not self._unusable:
                self.on_surplus(self.last_request_id)
            self.abort()  # No answer is expected.
            return
        if self._received_part is AnswerPart.NOTHING:
            self._received_part = AnswerPart.HEAD
        self._bytes_beside_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if isinstance(error, httptools.HttpParserCallbackError):
                # The sink failed, and not the server's answer.
                logging.exception("the handler of an HTTP answer failed")
            elif self._answer_complete:
                self._unusable = self.has_surplus = True
                self._finish()
                return
            self._fail(ExchangeFailure.MALFORMED)
            return
        if self._answer_complete:
            self._finish()
        elif (
            self._bytes_beside_body > _MAX_BYTES_BESIDE_BODY
            or self._skipped_bytes > _MAX_SKIPPED_BYTES
        ):
            self._fail(ExchangeFailure.TOO_LARGE)

    def eof_received(self) -> bool:
        """End an answer without a length; return False to close the connection."""
        if self._sink is not None and self._ends_at_eof:
            self._unusable = True
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an incomplete answer to the sink."""
        self._transport = None
        self._fail(ExchangeFailure.CLOSED)

    # httptools

    def on_message_begin(self) -> None:
        """Prepare for an answer.

        A second answer in one exchange makes the connection unusable.
        """
        if self._answer_complete:
            self._unusable = self.has_surplus = True
        self._message_incomplete = True
        self._headers = []
        self._status = b""

    def on_status(self, status: bytes) -> None:
        """Append a part of the reason phrase."""
        self._status += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head of a final answer to the sink."""
        if self._answer_complete or self._sink is None:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self._skipping_message = True
            return
        head = ResponseHead(
            status, self._status.decode("latin-1"), tuple(self._headers)
        )
        self._record_framing(head)
        self._skipping_message = not self._sink.head(head)
        if self._skipping_message:
            self._unusable = True
            return
        self._received_part = AnswerPart.BODY
        if self._no_body:
            self._answer_complete = True
            self._unusable = True

    def _record_framing(self, head: ResponseHead) -> None:
        has_framing = bool(head.get("Content-Length") or head.get("Transfer-Encoding"))
        self._ends_at_eof = not has_framing and not head.forbids_body
        self._keep_alive = self._parser.should_keep_alive()
        if "close" in head.get("Connection").lower():
            self._keep_alive = False
        self.keep_alive_s = _keep_alive_s(head.get("Keep-Alive"))

    def on_body(self, body: bytes) -> None:
        """Pass bytes of the body to the sink."""
        self._bytes_beside_body = 0
        if self._skipping_message:
            self._skipped_bytes += len(body)
        elif self._sink is not None and not self._answer_complete:
            self._sink.body(body)

    def on_message_complete(self) -> None:
        """Record the end of the answer, unless the answer is skipped."""
        self._message_incomplete = False
        if self._skipping_message:
            self._skipping_message = False
            return
        self._answer_complete = True

    def _finish(self) -> None:
        sink, self._sink = self._sink, None
        self.resume_reading()
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if self._message_incomplete or unsent or not self._keep_alive:
            # The server sent bytes beyond the answer, answered before it had read the
            # whole request, or asked to close the connection.
            self._unusable = True
        if self._unusable and transport is not None:
            transport.abort()
        if sink is not None:
            sink.end()

    def _fail(self, reason: ExchangeFailure) -> None:
        sink, self._sink = self._sink, None
        self._unusable = True
        if self._transport is not None:
            self._transport.abort()
        if sink is not None:
            sink.failed(reason)


def _keep_alive_s(value: str) -> float | None:
    """Return the timeout in a Keep-Alive header in seconds, if it names one."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.strip().isdigit():
            return float(number)
    return None


async def connect(address: Address, timeout_s: float) -> HttpConnection:
    """Open a connection.

    :raises EngineUnavailableError: the connection wasn't established within
        ``timeout_s``; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        _, connection = await answer_within(
            loop.create_connection(HttpConnection, address.ip, address.port), timeout_s
        )
    except (OSError, TimeoutError) as error:
        raise EngineUnavailableError(
            f"no connection to {address}", why=str(error) or "the attempt timed out"
        ) from error
    return connection


@dataclass(frozen=True, slots=True)
class Response:
    """A complete answer.

    :param transfer_s: time from the arrival of the head to that of the last byte.
    """

    head: ResponseHead
    body: bytes
    transfer_s: float = 0.0


class _ResponseCollector:
    """Sink that sets a future to the complete answer, or to an error."""

    def __init__(self, future: asyncio.Future[Response], max_body_bytes: int) -> None:
        self.received_bytes = 0
        self._future = future
        self._max_body_bytes = max_body_bytes
        self._head: ResponseHead | None = None
        self._head_received_s = 0.0
        self._chunks: list[bytes] = []

    def head(self, head: ResponseHead) -> bool:
        self._head = head
        self._head_received_s = asyncio.get_running_loop().time()
        return True

    def body(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.received_bytes <= self._max_body_bytes:
            self._chunks.append(data)
            return
        self._chunks.clear()
        if not self._future.done():
            self._future.set_exception(
                EngineUnavailableError(
                    "an answer is too large",
                    why=f"its body exceeds {self._max_body_bytes} bytes",
                )
            )

    def end(self) -> None:
        if self._head is not None and not self._future.done():
            transfer_s = asyncio.get_running_loop().time() - self._head_received_s
            body = b"".join(self._chunks)
            self._future.set_result(Response(self._head, body, transfer_s))

    def failed(self, reason: ExchangeFailure) -> None:
        if not self._future.done():
            self._future.set_exception(
                EngineUnavailableError(
                    "an answer was lost", why=reason.name.lower().replace("_", " ")
                )
            )


async def fetch(
    connection: HttpConnection,
    method: str,
    target: str,
    headers: Sequence[Header],
    body: bytes,
    timeout_s: float,
    stall_timeout_s: float | None = None,
    max_body_bytes: int = _MAX_FETCHED_BYTES,
) -> Response:
    """Send a request and return its complete answer.

    Closes the connection if no complete answer arrives or the call is cancelled.

    :param timeout_s: time within which the whole answer has to arrive; if
        ``stall_timeout_s`` is given, within which its first bytes have to arrive.
    :param stall_timeout_s: longest pause between later bytes of the answer. The total
        transfer time is bounded as well.
    :param max_body_bytes: limit on the body of the answer.
    :raises EngineUnavailableError: no complete answer arrived in time, or it is too
        large. The server may have executed the request nevertheless.
    """
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Response] = loop.create_future()
    collector = _ResponseCollector(future, max_body_bytes)
    started_s = loop.time()
    try:
        connection.send(method, target, headers, body, collector)
        if stall_timeout_s is None:
            return await answer_within(future, timeout_s)
        return await _wait_for_transfer(collector, future, timeout_s, stall_timeout_s)
    except TimeoutError as error:
        raise EngineUnavailableError(
            "no complete answer arrived in time",
            why=f"{collector.received_bytes} bytes of it came in "
            f"{loop.time() - started_s:.1f} s",
        ) from error
    finally:
        if connection.busy:
            connection.abort()


async def _wait_for_transfer(
    collector: _ResponseCollector,
    future: asyncio.Future[Response],
    timeout_s: float,
    stall_timeout_s: float,
) -> Response:
    """Return an answer for which the wait goes on while bytes arrive.

    :raises TimeoutError: the answer doesn't begin within ``timeout_s``, pauses for
        ``stall_timeout_s``, or takes too long in total.
    """
    loop = asyncio.get_running_loop()
    wait_s = timeout_s
    end_s = loop.time() + timeout_s + _MAX_TRANSFER_S
    while True:
        received_bytes = collector.received_bytes
        try:
            # The shield keeps a timeout from cancelling the transfer.
            return await answer_within(asyncio.shield(future), wait_s)
        except TimeoutError:
            if collector.received_bytes == received_bytes or loop.time() >= end_s:
                raise
        wait_s = stall_timeout_s
