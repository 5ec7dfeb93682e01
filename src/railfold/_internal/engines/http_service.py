"""Client of plain services with an HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass

from absl import logging
from tornado.httpclient import HTTPClientError, HTTPError

from railfold._internal.errors import EngineError, EngineUnavailableError
from railfold._internal.store.http import (
    CONNECT_TIMEOUT_S,
    HttpClient,
    was_never_connected,
)

__all__ = ["HttpService", "ServiceAnswer"]

_HEALTH_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Answer of a plain service to one call.

    :param status: the HTTP status code.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpService:
    """Client of the plain service at ``url``.

    :param health_path: path of the health check.
    :param http: HTTP client for health checks.
    :param call_http: HTTP client for calls, which don't delay health checks.
    """

    url: str
    health_path: str
    http: HttpClient
    call_http: HttpClient

    async def healthy(self) -> bool:
        """Return whether the health check of the service succeeds."""
        try:
            await self.http.fetch(
                f"{self.url}{self.health_path}",
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=_HEALTH_TIMEOUT_S,
            )
        except (HTTPError, OSError) as error:
            logging.debug("the health check of %s failed: %s", self.url, error)
            return False
        return True

    async def call(
        self,
        request_id: str,
        method: str,
        path: str,
        content_type: str,
        body: bytes,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Send one call to the service and return its answer; never retry.

        :raises EngineError: no connection to the service was made.
        :raises EngineUnavailableError: there was no answer; the call may have run.
        """
        headers = {"Railfold-Request-Id": request_id}
        if content_type:
            headers["Content-Type"] = content_type
        has_body = method in ("POST", "PUT", "PATCH")
        try:
            response = await self.call_http.fetch(
                f"{self.url}/{path}",
                method=method,
                headers=headers,
                body=body if has_body else None,
                # The service runs on this host, so a dead one refuses the connection at
                # once. A shorter limit would only count pauses of this process.
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
                follow_redirects=False,
                raise_error=False,
            )
        except (HTTPClientError, OSError, ValueError) as error:
            raise _call_error(error) from error
        return ServiceAnswer(
            response.code, response.headers.get("Content-Type", ""), response.body
        )


def _call_error(error: Exception) -> EngineError:
    if was_never_connected(error):
        return EngineError("can't connect to the service", why=str(error))
    return EngineUnavailableError("the service didn't answer", why=str(error))
