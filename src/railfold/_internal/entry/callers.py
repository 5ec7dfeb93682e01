"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
from asyncio import Future
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from railfold._internal.core import Token
from railfold._internal.decisions.configuration import Configuration
from railfold._internal.entry.answers import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    Reply,
    refused_reply,
)
from railfold._internal.entry.dispatch import Dispatcher
from railfold._internal.entry.generate import GenerateDriver
from railfold._internal.entry.parsing import ParsedGenerate, RequestParser
from railfold._internal.errors import (
    AdmissionRefusedError,
    BodyTooLargeError,
    HeadersTooLargeError,
    NotReadyError,
    RequestError,
    RequestTimeoutError,
    UnknownTargetError,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.settings.models import CallerLimits

__all__ = [
    "CallerHandler",
    "CallerServices",
    "GenerateHandler",
    "NotFoundHandler",
    "ServiceHandler",
]

_NOT_READY_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class CallerServices:
    """Dependencies of the request handlers.

    :param configuration: returns the configuration in force.
    :param refusal_reasons: returns why this entry takes no requests now; empty if it
        does.
    :param require_accepting: raises :class:`AdmissionRefusedError` if a request that is
        complete now comes too late in a planned stop.
    :param closes_connections: returns whether each answer closes its connection.
    :param open_requests: the requests whose answers aren't written completely.
    """

    dispatcher: Dispatcher
    parser: RequestParser
    limits: CallerLimits
    metrics: Metrics
    configuration: Callable[[], Configuration]
    refusal_reasons: Callable[[], list[str]]
    require_accepting: Callable[[], None]
    closes_connections: Callable[[], bool]
    open_requests: set[CallerHandler] = field(default_factory=set)


@stream_request_body
class CallerHandler(RequestHandler):
    """Reads the body within limits of size and time, and writes replies."""

    def initialize(self, services: CallerServices) -> None:
        self.services = services
        services.open_requests.add(self)
        self._body = bytearray()
        self._body_complete = False
        self._body_timer: asyncio.TimerHandle | None = None

    def prepare(self) -> None:
        """Check the headers and the entry's readiness before the body is read."""
        limits = self.services.limits
        size = sum(
            len(name) + len(value) + 4 for name, value in self.request.headers.get_all()
        )
        if size > limits.max_header_bytes:
            self.refuse(
                HeadersTooLargeError(
                    f"the request's headers are {size} bytes",
                    why=f"the limit is {limits.max_header_bytes}",
                )
            )
            return
        refusal_reasons = self.services.refusal_reasons()
        if refusal_reasons:
            error = NotReadyError(
                "this entry takes no requests now",
                why="; ".join(refusal_reasons),
                hint="send it again; the balancer will choose another entry",
            )
            self.refuse(error, _NOT_READY_RETRY_S)
            return
        content_length = self.request.headers.get("Content-Length", "0")
        if content_length.isdigit() and int(content_length) > limits.max_body_bytes:
            self.refuse(self._body_too_large(int(content_length)))
            return
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(limits.body_timeout_s, self._body_timed_out)

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body; refuse the request if it becomes too large."""
        if self._finished:
            return
        self._body += chunk
        if len(self._body) > self.services.limits.max_body_bytes:
            self.refuse(self._body_too_large(len(self._body)))

    def take_body(self) -> bytes:
        """Return the complete body and stop the timer that limits its duration.

        HTTP method handlers call this; tornado runs them after the last chunk.
        """
        self._body_complete = True
        if self._body_timer is not None:
            self._body_timer.cancel()
        return bytes(self._body)

    def refuse_if_late(self) -> bool:
        """Refuse a complete request that comes too late in a planned stop.

        Return whether the request was refused.
        """
        try:
            self.services.require_accepting()
        except AdmissionRefusedError as refusal:
            self.refuse(refusal.error, refusal.retry_after_s)
            return True
        return False

    def refuse_incomplete(self, error: RequestError, retry_after_s: float) -> None:
        """Refuse the request if its body isn't complete and it has no answer."""
        if not self._body_complete and not self._finished:
            self.refuse(error, retry_after_s)

    def on_finish(self) -> None:
        """Stop the timer that limits the duration of the body."""
        if self._body_timer is not None:
            self._body_timer.cancel()

    def refuse(self, error: RequestError, retry_after_s: float | None = None) -> None:
        """Count the refusal and reply with the error."""
        self.services.metrics.count(f"refused.{error.code}")
        self.reply(refused_reply("", error, retry_after_s))

    def reply(self, reply: Reply) -> None:
        """Write a complete reply, unless one was written before."""
        if self._finished:
            return
        self.set_connection_header()
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type or "application/json")
        self.set_header(OUTCOME_HEADER, reply.outcome)
        for name, value in reply.headers.items():
            self.set_header(name, value)
        self.finish(reply.body)

    def set_connection_header(self) -> None:
        """Announce that the connection is closed after this answer, if it is.

        HTTP/1.0 clients don't read chunks: a stream ends with their connection.
        """
        is_http_1_0 = self.request.version == "HTTP/1.0"
        if is_http_1_0:
            # tornado would announce that it keeps the connection, if asked to.
            self.request.headers.pop("Connection", None)
        if is_http_1_0 or self.services.closes_connections():
            self.set_header("Connection", "close")

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> Future[None]:
        """End the answer; close the connection after it if the answer says so."""
        closes_connection = self._headers.get("Connection") == "close"
        future = super().finish(chunk)
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)
        stream = connection.stream

        def answer_written(_: Future[None]) -> None:
            self.services.open_requests.discard(self)
            if closes_connection:
                stream.close()

        if stream.closed():
            self.services.open_requests.discard(self)
        else:
            # This future is done once all data written before is sent, or the
            # connection is closed.
            stream.write(b"").add_done_callback(answer_written)
        return future

    def on_connection_close(self) -> None:
        """Forget a request whose body won't be complete."""
        super().on_connection_close()
        if not self._body_complete:
            self.services.open_requests.discard(self)

    def _body_timed_out(self) -> None:
        self.refuse(
            RequestTimeoutError(
                "the request's body wasn't received in time",
                why=f"it was incomplete after {self.services.limits.body_timeout_s} s",
            )
        )

    def _body_too_large(self, size: int) -> BodyTooLargeError:
        return BodyTooLargeError(
            f"the request's body is {size} bytes or more",
            why=f"the limit is {self.services.limits.max_body_bytes}",
            hint="send less",
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Reply to a request that tornado itself refuses, in the form of our errors."""
        error = RequestError(
            f"the request was refused with status {status_code}", why=self._reason
        )
        self.set_header("Content-Type", "application/json")
        self.set_header(OUTCOME_HEADER, "not_run")
        self.finish(refused_reply("", error, None).body)


class GenerateHandler(CallerHandler):
    """Handles ``POST /v1/pipelines/<name>/generate``."""

    def initialize(self, services: CallerServices) -> None:
        super().initialize(services)
        self._driver: GenerateDriver | None = None
        self._unsent_tokens: list[Token] = []
        self._stream_changed = asyncio.Event()

    async def post(self, name: str) -> None:
        """Run a generate request; reply at once or as an event stream."""
        body = self.take_body()
        if self.refuse_if_late():
            return
        services = self.services
        try:
            parsed = services.parser.parse_generate(
                services.configuration(),
                name,
                self.request.headers,
                body,
                asyncio.get_running_loop().time(),
            )
        except RequestError as error:
            self.refuse(error)
            return
        self.set_header(REQUEST_ID_HEADER, parsed.request.request_id)
        if parsed.stream:
            await self._stream(parsed, body)
        else:
            self.reply(await self._dispatch(parsed, body, _ignore_token))

    def on_connection_close(self) -> None:
        """Cancel the request after the caller closed its connection."""
        super().on_connection_close()
        if self._driver is not None:
            self.services.metrics.count("callers.gone")
            self._driver.caller_disconnected()

    async def _dispatch(
        self, parsed: ParsedGenerate, body: bytes, on_token: Callable[[Token], None]
    ) -> Reply:
        return await self.services.dispatcher.generate(
            parsed, on_token, self._set_driver, body
        )

    def _set_driver(self, driver: GenerateDriver) -> None:
        self._driver = driver

    async def _stream(self, parsed: ParsedGenerate, body: bytes) -> None:
        task = asyncio.create_task(self._dispatch(parsed, body, self._buffer_token))
        task.add_done_callback(lambda _: self._stream_changed.set())
        while True:
            await self._stream_changed.wait()
            self._stream_changed.clear()
            if self._unsent_tokens:
                await self._write_tokens()
            if task.done() and not self._unsent_tokens:
                break
        self._end_stream(task.result())

    def _buffer_token(self, token: Token) -> None:
        self._unsent_tokens.append(token)
        self._stream_changed.set()

    async def _write_tokens(self) -> None:
        # All tokens that arrived during the previous flush are sent as one event.
        tokens, self._unsent_tokens = self._unsent_tokens, []
        self._set_stream_headers()
        first_step = tokens[0].step
        event = {
            "first_step": first_step,
            "token_ids": [token.token_id for token in tokens],
            "text": "".join(token.text for token in tokens),
        }
        self.write(b"event: tokens\ndata: " + msgspec.json.encode(event) + b"\n\n")
        try:
            await self.flush()
        except StreamClosedError:
            return

    def _set_stream_headers(self) -> None:
        # Headers aren't sent before the first token, so that a request that is refused
        # earlier gets a plain reply with an error status.
        if not self._headers_written:
            self.set_connection_header()
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")

    def _end_stream(self, reply: Reply) -> None:
        if not self._headers_written:
            self.reply(reply)
            return
        self.write(b"event: outcome\ndata: " + reply.body + b"\n\n")
        self.finish()


class ServiceHandler(CallerHandler):
    """Handles ``/v1/services/<name>/<path>`` for any method."""

    async def _forward_call(self, name: str, path: str) -> None:
        """Forward a call of any method to the service."""
        body = self.take_body()
        if self.refuse_if_late():
            return
        if self.request.query:
            path = f"{path}?{self.request.query}"
        services = self.services
        try:
            parsed = services.parser.parse_service(
                services.configuration(),
                name,
                self.request.method or "",
                path,
                self.request.headers,
                body,
                asyncio.get_running_loop().time(),
            )
        except RequestError as error:
            self.refuse(error)
            return
        self.set_header(REQUEST_ID_HEADER, parsed.request.request_id)
        self.reply(await services.dispatcher.call(parsed))

    get = head = post = put = patch = delete = _forward_call


class NotFoundHandler(CallerHandler):
    """Handles all other paths."""

    def prepare(self) -> None:
        """Refuse the request."""
        self.refuse(
            UnknownTargetError(
                f"there is nothing at {self.request.path}",
                hint="use /v1/pipelines/<name>/generate or /v1/services/<name>/<path>",
            )
        )


def _ignore_token(token: Token) -> None:
    """Do nothing: the dispatcher collects the tokens of a plain reply."""
