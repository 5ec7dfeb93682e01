"""A server of small answers: readiness, metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from railfold._internal.core import Address

__all__ = ["SmallAnswer", "SmallServer"]

_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


@dataclass(frozen=True, slots=True)
class SmallAnswer:
    """A whole answer."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class _SmallMessage(HTTPMessageDelegate):
    """Answers one request, whatever its method."""

    def __init__(
        self, connection: HTTPConnection, answer: Callable[[str], SmallAnswer]
    ) -> None:
        self._connection = connection
        self._answer = answer
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the path."""
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path

    def finish(self) -> None:
        """Answer."""
        answer = self._answer(self._path)
        line = ResponseStartLine(
            "HTTP/1.1", answer.status, _REASONS.get(answer.status, "")
        )
        fields = HTTPHeaders(
            {
                "Content-Type": answer.content_type,
                "Content-Length": str(len(answer.body)),
            }
        )
        written = self._connection.write_headers(line, fields, answer.body)
        if written.done() and not written.cancelled():
            written.exception()  # The asker has gone: there is nobody to tell.
        self._connection.finish()


class SmallServer(HTTPServerConnectionDelegate):
    """Child that answers requests with what ``answer`` returns for their path."""

    def __init__(self, address: Address, answer: Callable[[str], SmallAnswer]) -> None:
        self._address = address
        self._answer = answer

    async def run(self, ready: asyncio.Event) -> None:
        """Listen and answer until cancelled."""
        server = HTTPServer(self)
        server.listen(self._address.port, self._address.ip)
        ready.set()
        try:
            await asyncio.Event().wait()
        finally:
            server.stop()
            await server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Answer a request."""
        return _SmallMessage(request_conn, self._answer)
