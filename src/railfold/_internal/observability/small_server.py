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

__all__ = ["SmallAnswer", "SmallAnswers"]

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


class SmallAnswers(HTTPServerConnectionDelegate):
    """Answers requests with what ``answer`` returns for their path."""

    def __init__(self, answer: Callable[[str], SmallAnswer]) -> None:
        self._answer = answer

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Answer a request."""
        return _SmallMessage(request_conn, self._answer)
