"""Backoffs that backend servers ask this entry for."""

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

# The statuses with which a server refuses work for want of room.
_SHEDDING = (429, 503)

_MAX_NOTICE_S = 3600.0

# So many of the servers that kept a request from being served are named in logs.
_MAX_NAMED = 4


class ServerBackoffs:
    """What servers asked for.

    :param requested: the state, which decides whether a server may be sent to.
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
        self._unreadable: set[str] = set()
        self._name = ""
        self._channel: PeerChannel | None = None
        self._barred_entries = BlockedEntries()
        self._announced_s: dict[str, float] = {}

    def use(self, name: str, channel: PeerChannel) -> None:
        """Exchange notices with other entries over this channel from now on.

        :param name: this entry's.
        """
        self._name = name
        self._channel = channel

    # What servers answer

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
                return self._start(server_id, delay_s, head.status, source)

    def _start(self, server_id: str, delay_s: float, status: int, source: str) -> bool:
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

    def _note_unreadable(self, server_id: str, text: str) -> None:
        self._metrics.count("backoffs.unreadable")
        if server_id not in self._unreadable:
            self._unreadable.add(server_id)
            logging.warning("%s sent a malformed Retry-After: %r", server_id, text)

    def record_served(self, server_id: str, request_id: str) -> None:
        """Take that a server worked on a request."""
        if not self.requested.record_served(server_id, request_id, _now_s()):
            return
        backoff = self.requested.get(server_id)
        if backoff is not None:
            cause = "it served a request after its time"
            self._log_end(server_id, backoff, "recovered", cause, "a request")

    # Requests under way

    def record_send(self, server_id: str, request_id: str) -> None:
        """Take that a request is sent to a server now."""
        if not self.requested:
            return
        now_s = _now_s()
        backoff = self.requested.get(server_id)
        if backoff is not None and backoff.is_active(now_s):
            self._metrics.count("backoffs.sends_during")
        self.requested.record_send(server_id, request_id, now_s)

    def attempt_ended(self, server_id: str, request_id: str) -> None:
        """Take that a request at a server ended."""
        self.requested.record_attempt_end(server_id, request_id)

    def is_starting_slowly(self, server_id: str, now_s: float) -> bool:
        """Draw whether a server that has just recovered is left out once."""
        if not self.requested:
            return False
        share = self.requested.traffic_share(server_id, now_s)
        return share < 1.0 and self._rng.random() >= share

    def left_s(self, server_id: str) -> float:
        """Return for how long a server still wants nothing."""
        now_s = _now_s()
        backoff = self.requested.get(server_id)
        return max(0.0, backoff.until_s - now_s) if backoff is not None else 0.0

    # Refusals

    def refusal(
        self, service: str, bars: Mapping[str, BackoffReason], left_s: float
    ) -> ServersBackingOffError:
        """Return why a request is refused that these bars keep from all servers.

        :param left_s: until the first of them ends.
        """
        self._metrics.count("backoffs.refused")
        self._announce(service, left_s)
        now_s = _now_s()
        named = [
            f"{server_id} asked for {bar.until_s - now_s:.1f} s more"
            if isinstance(bar, BackingOff)
            else f"{server_id} is tried with another request"
            for server_id, bar in sorted(bars.items())
        ]
        return ServersBackingOffError(
            "all backend servers that could serve it asked for no requests",
            left_s=left_s,
            service=service,
            why="; ".join(named[:_MAX_NAMED]),
            hint="come back after Retry-After",
        )

    def _announce(self, service: str, left_s: float) -> None:
        now_s = _now_s()
        due_s = self._announced_s.get(service, float("-inf")) + NOTICE_INTERVAL_S
        if self._channel is None or now_s < due_s:
            return
        self._announced_s[service] = now_s
        left_ms = int(1000 * min(_MAX_NOTICE_S, left_s))
        self._channel.send_to_sample(BackoffNotice(self._name, service, left_ms))

    def record_notice(self, message: BackoffNotice) -> None:
        """Take another entry's notice."""
        now_s = _now_s()
        until_s = now_s + message.left_ms / 1000.0
        self._barred_entries.record_notice(
            message.name, message.service, until_s, now_s
        )

    def others_serve(self, service: str) -> bool:
        """Return whether most other entries can send to a server of a service."""
        others = len(self._channel.peers) if self._channel is not None else 0
        return self._barred_entries.others_can_serve(service, others, _now_s())

    # Upkeep

    def upkeep(self, known_ids: set[str], now_s: float) -> None:
        """Log backoffs that have ended, and forget what is over."""
        self._barred_entries.forget(now_s)
        if not self.requested and not self._unreadable:
            return
        for server_id, backoff in self.requested.take_ended(now_s).items():
            cause = "its time has passed"
            self._log_end(server_id, backoff, "ended", cause, "the clock")
        self.requested.forget(known_ids, now_s)
        self._unreadable &= known_ids
        self._set_gauge()

    def _log_end(
        self,
        server_id: str,
        backoff: ServerBackoff,
        state: str,
        cause: str,
        source: str,
    ) -> None:
        lasted_s = round(backoff.until_s - backoff.started_s, 3)
        event = ServerBackoffChanged(
            server_id,
            state,
            cause,
            source,
            lasted_s,
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
