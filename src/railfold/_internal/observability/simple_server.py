"""Small answers over HTTP: readiness, metrics."""

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
    """A whole answer."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class _SimpleRequestDelegate(HTTPMessageDelegate):
    """Answers one request, whatever its method."""

    def __init__(
        self, connection: HTTPConnection, respond: Callable[[str], SimpleResponse]
    ) -> None:
        self._connection = connection
        self._respond = respond
        self._path = ""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the path."""
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path

    def finish(self) -> None:
        """Answer."""
        response = self._respond(self._path)
        status_line = ResponseStartLine(
            "HTTP/1.1", response.status, _REASONS.get(response.status, "")
        )
        headers = HTTPHeaders(
            {
                "Content-Type": response.content_type,
                "Content-Length": str(len(response.body)),
            }
        )
        write = self._connection.write_headers(status_line, headers, response.body)
        if write.done() and not write.cancelled():
            write.exception()  # The asker has gone: there is nobody to tell.
        self._connection.finish()


class SimpleServerDelegate(HTTPServerConnectionDelegate):
    """Answers requests with what ``answer`` returns for their path."""

    def __init__(self, respond: Callable[[str], SimpleResponse]) -> None:
        self._respond = respond

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Answer a request."""
        return _SimpleRequestDelegate(request_conn, self._respond)
