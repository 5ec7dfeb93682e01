"""Backoffs that backend servers ask this entry for, and their log lines."""

from __future__ import annotations

import asyncio

from absl import logging

from railfold._internal.decisions.load_shedding import (
    NoRetryAfter,
    RequestedBackoffs,
    RetryAfter,
    UnreadableRetryAfter,
)
from railfold._internal.forwarding.dialect import Dialect
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import ServerBackoffChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["ServerBackoffs"]

# The statuses with which a server refuses work for want of room.
_SHEDDING = (429, 503)


class ServerBackoffs:
    """What servers asked for."""

    def __init__(self, dialect: Dialect, metrics: Metrics, log: DecisionLog) -> None:
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._requested = RequestedBackoffs()
        self._unreadable: set[str] = set()

    def record_response(self, server_id: str, head: ResponseHead, source: str) -> bool:
        """Take the head of an answer; return whether it asks for a backoff.

        It is the server that answered which asks, also where it names another one as
        the cause of its refusal.

        :param source: what was answered, for the log.
        """
        if head.status not in _SHEDDING:
            return False
        match self._dialect.retry_after(head):
            case NoRetryAfter():
                return False
            case UnreadableRetryAfter(text=text):
                self._note_unreadable(server_id, text)
                return False
            case RetryAfter(delay_s=delay_s):
                return self._requested_by(server_id, delay_s, head.status, source)

    def _requested_by(
        self, server_id: str, delay_s: float, status: int, source: str
    ) -> bool:
        now_s = _now_s()
        if delay_s <= 0.0:
            return False
        self._metrics.count("backoffs.requested")
        if self._requested.requested(server_id, delay_s, now_s):
            cause = f"it answered {status} with Retry-After"
            event = ServerBackoffChanged(
                server_id, "started", cause, source, round(delay_s, 3), 1, 0
            )
            self._log.write(event)
            self._set_gauge(now_s)
        return True

    def _note_unreadable(self, server_id: str, text: str) -> None:
        self._metrics.count("backoffs.unreadable")
        if server_id not in self._unreadable:
            self._unreadable.add(server_id)
            logging.warning("%s sent a malformed Retry-After: %r", server_id, text)

    def record_send(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        now_s = _now_s()
        request = self._requested.get(server_id)
        if request is not None and request.active(now_s):
            self._metrics.count("backoffs.sends_during")
        self._requested.sent(server_id, now_s)

    def upkeep(self, known_ids: set[str], now_s: float) -> None:
        """Log backoffs that have ended."""
        if not self._requested and not self._unreadable:
            return
        for server_id, request in self._requested.take_ended(now_s).items():
            event = ServerBackoffChanged(
                server_id,
                "ended",
                "its time has passed",
                "clock",
                round(request.until_s - request.started_s, 3),
                request.requests,
                request.sends,
            )
            self._log.write(event)
        self._requested.forget(known_ids)
        self._unreadable &= known_ids
        self._set_gauge(now_s)

    def _set_gauge(self, now_s: float) -> None:
        self._metrics.gauge("backoffs.active", len(self._requested.active(now_s)))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
