"""HTTP clients for calls to the platform's services and to backends."""

from __future__ import annotations

from typing import Any

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

__all__ = [
    "CONNECT_TIMEOUT_S",
    "HttpClient",
    "new_http_client",
    "was_never_connected",
]

CONNECT_TIMEOUT_S = 1.0

_MAX_CLIENTS = 64

# Limit on the body of an answer. curl itself limits the size of its head.
_MAX_ANSWER_BYTES = 32 * 1024 * 1024

# The line that ends a head, as curl reports it.
_ENDS_OF_HEAD = ("\r\n", "\n")


class _HeadWatch:
    """Watches whether the head of the final answer is received to its end."""

    def __init__(self) -> None:
        self.complete = False

    def line_received(self, line: str) -> None:
        """Process one line of an answer's head, interim answers included."""
        if line.startswith("HTTP/"):
            self.complete = False
        elif line in _ENDS_OF_HEAD:
            self.complete = True


class HttpClient:
    """Client that accepts complete answers only.

    curl itself takes an answer for complete if its connection is closed within its
    head, and then reports the status and the headers that it has read.

    :param curl_client: the client that makes the calls.
    """

    def __init__(self, curl_client: AsyncHTTPClient) -> None:
        self._curl_client = curl_client

    async def fetch(self, url: str, **options: Any) -> HTTPResponse:
        """Make a call and return its complete answer.

        :param options: as for ``tornado.httpclient.HTTPRequest``.
        :raises HTTPError: the call failed, or its answer has an error status. It is a
            ``CurlError`` if there was no complete answer.
        """
        head = _HeadWatch()
        try:
            response = await self._curl_client.fetch(
                url, header_callback=head.line_received, **options
            )
        except CurlError:
            raise
        except HTTPClientError as error:
            if head.complete:
                raise
            raise _cut_within_head() from error
        if not head.complete:
            raise _cut_within_head()
        return response

    def close(self) -> None:
        """Close all connections."""
        self._curl_client.close()


def _cut_within_head() -> CurlError:
    return CurlError(
        pycurl.E_PARTIAL_FILE, "the connection was closed within an answer's head"
    )


def new_http_client() -> HttpClient:
    """Return a new client, built on curl, that opens a connection for each call.

    Answers name no call, so that a late second answer on a kept connection would be
    taken for the answer to the next call. Besides, curl repeats a request by itself if
    a kept connection breaks before the answer.
    """
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    return HttpClient(
        AsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            defaults={"prepare_curl_callback": _prepare},
        )
    )


def _prepare(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.MAXFILESIZE, _MAX_ANSWER_BYTES)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def was_never_connected(error: Exception) -> bool:
    """Return whether a call failed before it could send anything."""
    return isinstance(error, CurlError) and error.errno == pycurl.E_COULDNT_CONNECT
