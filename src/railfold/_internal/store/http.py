"""HTTP clients for calls to the platform's services and to backends."""

from __future__ import annotations

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import AsyncHTTPClient

__all__ = [
    "CONNECT_TIMEOUT_S",
    "new_http_client",
    "new_single_use_client",
    "was_never_connected",
]

CONNECT_TIMEOUT_S = 1.0

_MAX_CLIENTS = 64

# Limit on the body of an answer. curl itself limits the size of its head.
_MAX_ANSWER_BYTES = 32 * 1024 * 1024


def new_http_client() -> AsyncHTTPClient:
    """Return a new client, built on curl, with connections kept alive.

    Only for idempotent calls: if a persistent connection breaks before the first byte
    of an answer, curl retries the request by itself, whatever the request's method.
    """
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=_MAX_CLIENTS,
        defaults={"prepare_curl_callback": _limit_answer},
    )


def new_single_use_client() -> AsyncHTTPClient:
    """Return a new client that opens a connection for each call.

    For calls that aren't idempotent: curl doesn't retry a request on a connection that
    was opened for it.
    """
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=_MAX_CLIENTS,
        defaults={"prepare_curl_callback": _open_own_connection},
    )


def _limit_answer(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.MAXFILESIZE, _MAX_ANSWER_BYTES)


def _open_own_connection(curl: pycurl.Curl) -> None:
    _limit_answer(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def was_never_connected(error: Exception) -> bool:
    """Return whether a call failed before it could send anything."""
    return isinstance(error, CurlError) and error.errno == pycurl.E_COULDNT_CONNECT
