"""Minimal HTTP server delegate, for readiness checks and metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

__all__ = ["SimpleResponse", "SimpleServerDelegate"]

_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


@dataclass(frozen=True, slots=True)
class SimpleResponse:
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class _SimpleRequestDelegate(HTTPMessageDelegate):
    """Answers one request with any method."""

    def __init__(
        self, connection: HTTPConnection, respond: Callable[[str], SimpleResponse]
    ) -> None:
        self._connection = connection
        self._respond = respond
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the path of the request."""
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path

    def finish(self) -> None:
        """Write the response."""
        response = self._respond(self._path)
        status_line = ResponseStartLine(
            "HTTP/1.1", response.status, _REASONS.get(response.status, "")
        )
        response_headers = HTTPHeaders(
            {
                "Content-Type": response.content_type,
                "Content-Length": str(len(response.body)),
            }
        )
        write = self._connection.write_headers(
            status_line, response_headers, response.body
        )
        if write.done() and not write.cancelled():
            write.exception()  # The client closed the connection; ignore it.
        self._connection.finish()


class SimpleServerDelegate(HTTPServerConnectionDelegate):
    """Answers each request with the response that ``respond`` returns for its path."""

    def __init__(self, respond: Callable[[str], SimpleResponse]) -> None:
        self._respond = respond

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that answers a request."""
        return _SimpleRequestDelegate(request_conn, self._respond)
