"""Backoffs that backend servers request from this entry by Retry-After.

This module processes the answers of servers and the notices of other entries, writes
log events and metrics, and builds the errors of refused requests. The package
:mod:`railfold._internal.decisions.load_shedding` decides which servers may be sent to.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping

from absl import logging

from railfold._internal.decisions.load_shedding import (
    NOTICE_INTERVAL_S,
    BackingOff,
    BackoffReason,
    BlockedEntries,
    NoRetryAfter,
    RequestedBackoffs,
    RetryAfter,
    ServerBackoff,
    UnreadableRetryAfter,
)
from railfold._internal.errors import ServersBackingOffError
from railfold._internal.forwarding.dialect import Dialect
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import BackoffNotice
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import ServerBackoffChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["ServerBackoffs"]

# Statuses with which a server sheds load.
_LOAD_SHEDDING_STATUSES = (429, 503)

# Longest backoff that is stated in a notice to other entries.
_MAX_NOTIFIED_BACKOFF_S = 3600.0

# Number of servers that the error of a refused request names.
_MAX_LOGGED_SERVERS = 4


class ServerBackoffs:
    """The backoffs that all backend servers requested from this entry.

    ``requested`` is their state, which decides whether a server may be sent to.
    """

    def __init__(
        self,
        dialect: Dialect,
        metrics: Metrics,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.requested = RequestedBackoffs()
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._servers_with_unreadable_header: set[str] = set()
        self._own_name = ""
        self._channel: PeerChannel | None = None
        self._blocked_entries = BlockedEntries()
        self._notified_s: dict[str, float] = {}

    def set_channel(self, own_name: str, channel: PeerChannel) -> None:
        """Set the channel over which notices are exchanged with other entries.

        :param own_name: name of this entry.
        """
        self._own_name = own_name
        self._channel = channel

    # Answers of servers

    def record_answer(self, server_id: str, head: ResponseHead, source: str) -> bool:
        """Process the head of an answer; return whether it requests a backoff.

        The backoff applies to the server that answered, even if the answer names
        another server as the cause of the refusal.

        :param source: the kind of request that was answered, for the log.
        """
        if head.status not in _LOAD_SHEDDING_STATUSES:
            return False
        match self._dialect.retry_after(head):
            case NoRetryAfter():
                return False
            case UnreadableRetryAfter(text=text):
                self._warn_unreadable(server_id, text)
                return False
            case RetryAfter(delay_s=delay_s):
                return self._record_backoff(server_id, delay_s, head.status, source)

    def _record_backoff(
        self, server_id: str, delay_s: float, status: int, source: str
    ) -> bool:
        if delay_s <= 0.0:
            return False
        self._metrics.count("backoffs.requested")
        if self.requested.record_retry_after(server_id, delay_s, _now_s()):
            cause = f"it answered {status} with Retry-After"
            event = ServerBackoffChanged(
                server_id, "started", cause, source, round(delay_s, 3), 1, 0
            )
            self._log.write(event)
            self._set_gauge()
        return True

    def _warn_unreadable(self, server_id: str, text: str) -> None:
        self._metrics.count("backoffs.unreadable")
        if server_id not in self._servers_with_unreadable_header:
            self._servers_with_unreadable_header.add(server_id)
            logging.warning("%s sent a malformed Retry-After: %r", server_id, text)

    def record_served(self, server_id: str, request_id: str) -> None:
        """Record that a server served a request."""
        if not self.requested.record_served(server_id, request_id, _now_s()):
            return
        backoff = self.requested.get(server_id)
        if backoff is not None:
            cause = "it served a request after the backoff"
            self._log_end(server_id, backoff, "recovered", cause, "a request")

    # Requests in flight

    def record_send(self, server_id: str, request_id: str) -> None:
        """Record that a request is being sent to a server."""
        if not self.requested:
            return
        now_s = _now_s()
        backoff = self.requested.get(server_id)
        if backoff is not None and backoff.is_active(now_s):
            self._metrics.count("backoffs.sends_during")
        self.requested.record_send(server_id, request_id, now_s)

    def record_attempt_end(self, server_id: str, request_id: str) -> None:
        """Record the end of a request that was sent to a server."""
        self.requested.record_attempt_end(server_id, request_id)

    def is_starting_slowly(self, server_id: str, now_s: float) -> bool:
        """Return whether the slow start of a recovered server excludes it this time.

        The decision is random: the server's traffic share is the probability that it
        isn't excluded.
        """
        if not self.requested:
            return False
        share = self.requested.traffic_share(server_id, now_s)
        return share < 1.0 and self._rng.random() >= share

    def left_s(self, server_id: str) -> float:
        """Return the remaining time of a server's backoff, 0.0 without a backoff."""
        now_s = _now_s()
        backoff = self.requested.get(server_id)
        return max(0.0, backoff.until_s - now_s) if backoff is not None else 0.0

    # Refusals

    def refusal_error(
        self, service: str, reasons: Mapping[str, BackoffReason], left_s: float
    ) -> ServersBackingOffError:
        """Return the error of a request that can't be sent to any server.

        Notifies other entries that this one is blocked.

        :param reasons: why each server that could serve the request gets none now, by
            server id.
        :param left_s: time until the first of these reasons ends.
        """
        self._metrics.count("backoffs.refused")
        self._notify_peers(service, left_s)
        now_s = _now_s()
        descriptions = [
            f"{server_id} asked for {reason.until_s - now_s:.1f} s more"
            if isinstance(reason, BackingOff)
            else f"{server_id} is being tried with another request"
            for server_id, reason in sorted(reasons.items())
        ]
        return ServersBackingOffError(
            "all backend servers that could serve it asked for no requests",
            left_s=left_s,
            service=service,
            why="; ".join(descriptions[:_MAX_LOGGED_SERVERS]),
            hint="retry after the delay in Retry-After",
        )

    def _notify_peers(self, service: str, left_s: float) -> None:
        now_s = _now_s()
        due_s = self._notified_s.get(service, float("-inf")) + NOTICE_INTERVAL_S
        if self._channel is None or now_s < due_s:
            return
        self._notified_s[service] = now_s
        left_ms = int(1000 * min(_MAX_NOTIFIED_BACKOFF_S, left_s))
        self._channel.send_to_sample(BackoffNotice(self._own_name, service, left_ms))

    def record_notice(self, message: BackoffNotice) -> None:
        """Record another entry's notice that it can't send to a service."""
        now_s = _now_s()
        until_s = now_s + message.left_ms / 1000.0
        self._blocked_entries.record_notice(
            message.name, message.service, until_s, now_s
        )

    def others_can_serve(self, service: str) -> bool:
        """Return whether a refused client should retry at another entry at once."""
        other_count = len(self._channel.peers) if self._channel is not None else 0
        return self._blocked_entries.others_can_serve(service, other_count, _now_s())

    # Maintenance

    def upkeep(self, known_ids: set[str], now_s: float) -> None:
        """Log the ends of backoffs, and forget state that has no effect any more.

        :param known_ids: ids of the servers whose state is kept.
        """
        self._blocked_entries.forget(now_s)
        if not self.requested and not self._servers_with_unreadable_header:
            return
        for server_id, backoff in self.requested.take_ended(now_s).items():
            cause = "the backoff has expired"
            self._log_end(server_id, backoff, "ended", cause, "the clock")
        self.requested.forget(known_ids, now_s)
        self._servers_with_unreadable_header &= known_ids
        self._set_gauge()

    def _log_end(
        self,
        server_id: str,
        backoff: ServerBackoff,
        state: str,
        cause: str,
        source: str,
    ) -> None:
        duration_s = round(backoff.until_s - backoff.started_s, 3)
        event = ServerBackoffChanged(
            server_id,
            state,
            cause,
            source,
            duration_s,
            backoff.retry_after_count,
            backoff.sends_during,
        )
        self._log.write(event)

    def _set_gauge(self) -> None:
        self._metrics.gauge(
            "backoffs.active", len(self.requested.active_servers(_now_s()))
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
