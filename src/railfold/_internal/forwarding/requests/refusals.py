"""Error answers to requests that aren't sent to any backend server."""

from __future__ import annotations

import asyncio

from railfold._internal.errors import RequestError
from railfold._internal.forwarding.messages import Header
from railfold._internal.forwarding.requests.front import ClientExchange
from railfold._internal.forwarding.requests.replies import error_reply, status_of
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import RequestEnded

__all__ = ["Refusals"]


class Refusals:
    """Refuses requests, with a Retry-After time, and counts and logs each refusal."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._loop = asyncio.get_running_loop()

    def refuse(
        self,
        exchange: ClientExchange,
        request_id: str,
        error: RequestError,
        received_s: float,
    ) -> None:
        """Refuse a request that was received completely.

        :param received_s: loop time at which the request was received.
        """
        headers, body = self._reply(request_id, error, received_s)
        exchange.reply(status_of(error, not_run=True), headers, body)

    def refuse_early(self, exchange: ClientExchange, error: RequestError) -> None:
        """Refuse a request whose body isn't received completely."""
        headers, body = self._reply("", error, self._loop.time())
        exchange.reply_early(status_of(error, not_run=True), headers, body)

    def _reply(
        self, request_id: str, error: RequestError, received_s: float
    ) -> tuple[list[Header], bytes]:
        router = self._router
        retry_after_s = router.retry_after_s(error)
        duration_s = self._loop.time() - received_s
        router.metrics.count(f"refused.{error.code}")
        router.log.write(
            RequestEnded(
                request_id=request_id,
                outcome="not_run",
                status=status_of(error, not_run=True),
                cause=str(error),
                route="",
                workspace="",
                attempts=0,
                duration_ms=round(duration_s * 1000, 1),
                first_event_ms=0.0,
                longest_pause_ms=0.0,
                events=0,
                configuration_version=router.table.version if router.table else 0,
                retry_after_ms=round(retry_after_s * 1000),
            )
        )
        return error_reply(error, retry_after_s)
