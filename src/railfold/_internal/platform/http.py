"""The HTTP client that all outside interfaces share."""

from __future__ import annotations

from tornado.httpclient import AsyncHTTPClient

__all__ = [
    "CONNECTION_FAILED",
    "CONNECT_TIMEOUT_S",
    "new_http_client",
    "was_never_connected",
]

CONNECT_TIMEOUT_S = 1.0

# Tornado's status for a call that got no answer.
CONNECTION_FAILED = 599

_MAX_CLIENTS = 64
_NOT_CONNECTED = ("refused", "connect to server", "failed to connect")


def new_http_client() -> AsyncHTTPClient:
    """Return a new client, built on curl, with connections kept alive."""
    AsyncHTTPClient.configure("tornado.curl_httpclient.CurlAsyncHTTPClient")
    return AsyncHTTPClient(force_instance=True, max_clients=_MAX_CLIENTS)


def was_never_connected(reason: str) -> bool:
    """Return whether curl's ``reason`` proves that nothing was sent."""
    return any(phrase in reason.lower() for phrase in _NOT_CONNECTED)
