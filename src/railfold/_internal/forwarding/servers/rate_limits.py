"""Rate limits of backend servers, which all entries keep together.

An entry reads the limits that servers advertise in their answers, and notifies the
other entries of them. It needs a permit for each request to a server with a limit. The
permit comes from the entry itself, or from another entry over the peer channel.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Iterable

from absl import logging

from railfold._internal.decisions.rate_limits import (
    AdvertisedLimits,
    AskIssuer,
    KnownEntries,
    LimitChange,
    LimitLapsed,
    NoRateLimit,
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSharing,
    RateLimitAdvertised,
    RateLimitHeader,
    UnreadableRateLimit,
)
from railfold._internal.errors import RateLimitedError
from railfold._internal.forwarding.dialect import AnswerKind, Dialect, NotExecuted
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import (
    PermitReply,
    PermitRequest,
    RateLimitNotice,
)
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import RateLimitChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["RateLimits"]

# Time that an issuer has to answer. Entries answer within milliseconds; after a longer
# wait, the permit isn't worth the delay of the request.
_ISSUER_TIMEOUT_S = 0.06

# Interval at which other entries are notified of a limit that is still in force. It
# keeps the limit from lapsing at entries that send nothing to the server.
_NOTICE_INTERVAL_S = 1.0

# Number of servers that the error of a refused request names.
_MAX_LOGGED_SERVERS = 4

# Values of the log field ``source``: where this entry got the limit from.
_SERVER_SOURCE = "the server"
_PEER_SOURCE = "another entry"


class RateLimits:
    """The rate limits of all backend servers, and the permits of this entry."""

    def __init__(
        self,
        dialect: Dialect,
        metrics: Metrics,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._own_name = ""
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._limits = AdvertisedLimits()
        self._sharing = PermitSharing(rng)
        self._channel: PeerChannel | None = None
        self._notified_s: dict[str, float] = {}
        self._pending_replies: dict[int, asyncio.Future[PermitOutcome]] = {}
        # Number of all entries, as counted by the store.
        self.entry_count = 1

    def set_channel(self, own_name: str, channel: PeerChannel) -> None:
        """Set the channel for limits and permits that are shared with other entries.

        :param own_name: name of this entry.
        """
        self._own_name = own_name
        self._channel = channel

    @property
    def _known_entries(self) -> KnownEntries:
        others = tuple(self._channel.peers) if self._channel is not None else ()
        return KnownEntries(self._own_name, others, self.entry_count)

    # Limits that servers advertise

    def record_head(self, server_id: str, head: ResponseHead, sent_s: float) -> None:
        """Process the limit that an answer's head names, if it names one.

        :param sent_s: when the request was sent.
        """
        header = self._dialect.rate_limit(head)
        if not isinstance(header, NoRateLimit):
            self._observe(server_id, header, sent_s)

    def record_answer(
        self, server_id: str, kind: AnswerKind, head: ResponseHead, sent_s: float
    ) -> None:
        """End the limit of a server if a whole answer names none.

        A head alone proves nothing: what a server in trouble sends may be no answer. A
        refusal because the layers or the incarnation don't match may come from another
        server.

        :param sent_s: when the request was sent.
        """
        misplaced = isinstance(kind, NotExecuted) and kind.lacks_layers
        if misplaced or not self._limits:
            return
        header = self._dialect.rate_limit(head)
        if isinstance(header, NoRateLimit):
            self._observe(server_id, header, sent_s)

    def _observe(self, server_id: str, header: RateLimitHeader, sent_s: float) -> None:
        """Process what an answer to a request says about the limit, and report it."""
        now_s = _now_s()
        change = self._limits.observe(server_id, header, sent_s, now_s)
        self._log_change(server_id, change, _SERVER_SOURCE)
        due_s = self._notified_s.get(server_id, float("-inf")) + _NOTICE_INTERVAL_S
        is_limited = self._limits.limit_per_s(server_id) is not None
        is_new = isinstance(change, RateLimitAdvertised | NoRateLimit)
        if is_new or (is_limited and now_s >= due_s):
            self._send_notice(server_id, now_s)

    def record_call_answer(self, server_id: str, head: ResponseHead) -> None:
        """Process the head of an answer to a call that this entry made for itself.

        Servers needn't state their limit in such answers. An answer without a limit
        doesn't end the known limit.
        """
        header = self._dialect.rate_limit(head)
        if not isinstance(header, NoRateLimit):
            change = self._limits.observe(server_id, header, _now_s(), _now_s())
            self._log_change(server_id, change, _SERVER_SOURCE)

    def _send_notice(self, server_id: str, now_s: float) -> None:
        self._notified_s[server_id] = now_s
        if self._channel is not None:
            self._channel.broadcast(self._notice(server_id, now_s))

    def _notice(self, server_id: str, now_s: float) -> RateLimitNotice:
        per_s = self._limits.limit_per_s(server_id)
        age_ms = int(self._limits.report_age_s(server_id, now_s) * 1000)
        return RateLimitNotice(server_id, per_s, age_ms)

    def record_notice(self, message: RateLimitNotice) -> None:
        """Process another entry's notice of the limit that a server advertises."""
        now_s = _now_s()
        advertised_s = now_s - message.age_ms / 1000.0
        server_id = message.server_id
        change = self._limits.observe_peer(server_id, message.per_s, advertised_s)
        self._notified_s[server_id] = max(
            advertised_s, self._notified_s.get(server_id, advertised_s)
        )
        self._log_change(server_id, change, _PEER_SOURCE)

    def _log_change(
        self, server_id: str, change: LimitChange | None, source: str
    ) -> None:
        match change:
            case None:
                return
            case RateLimitAdvertised():
                state, cause = "named", "its answers advertise a limit"
            case NoRateLimit():
                state, cause = "ended", "its answers advertise no limit any more"
            case LimitLapsed(unconfirmed_s=unconfirmed_s):
                state, cause = (
                    "lapsed",
                    f"it wasn't confirmed for {unconfirmed_s:.1f} s",
                )
            case UnreadableRateLimit(text=text):
                state, cause = "unreadable", f"its answers advertise {text!r}"
                logging.warning("%s sent a malformed rate limit: %r", server_id, text)
        per_s = self._limits.limit_per_s(server_id)
        event = RateLimitChanged(
            server_id,
            state,
            cause,
            per_s,
            source,
            self.entry_count,
            self._issued_per_s(server_id),
        )
        self._log.write(event)
        self._metrics.count(f"rate_limits.{state}")
        self._metrics.gauge("rate_limits.in_force", len(self._limits.in_force))

    def _issued_per_s(self, server_id: str) -> float:
        """Return how many permits a second this entry issues for a server."""
        per_s = self._limits.limit_per_s(server_id)
        if per_s is None:
            return 0.0
        entries = self._known_entries
        issuers = self._sharing.issuers(server_id, per_s, entries, _now_s())
        return (
            round(issuers.permits_per_s, 3)
            if entries.own_name in issuers.names
            else 0.0
        )

    def upkeep(self, known_ids: set[str], now_s: float) -> None:
        """End limits that weren't confirmed for too long, and forget unneeded state.

        :param known_ids: ids of the servers whose state is kept.
        """
        if not self._limits:
            return
        for server_id, change in self._limits.lapse_unconfirmed(
            now_s, self.entry_count
        ).items():
            self._log_change(server_id, change, _SERVER_SOURCE)
        self._limits.forget(known_ids, now_s)
        self._sharing.forget(set(self._limits.in_force))
        self._notified_s = {
            s: at_s for s, at_s in self._notified_s.items() if s in known_ids
        }
        self._metrics.gauge("rate_limits.in_force", len(self._limits.in_force))

    # Choice of servers

    def limited_servers(self, server_ids: Iterable[str]) -> list[str]:
        """Return those of the servers that have a limit in force."""
        return [s for s in server_ids if self._limits.limit_per_s(s) is not None]

    def is_starting_slowly(self, server_id: str, now_s: float) -> bool:
        """Return whether a server's slow start after a limit excludes it this time.

        The decision is random: the server's traffic share is the probability that it
        isn't excluded.
        """
        if not self._limits:
            return False
        share = self._limits.traffic_share(server_id, now_s)
        return share < 1.0 and self._rng.random() >= share

    def wait_s(self, server_id: str) -> float:
        """Return in how many seconds a permit for a server may be available.

        The result is 0.0 for a server without a limit.
        """
        per_s = self._limits.limit_per_s(server_id)
        if per_s is None:
            return 0.0
        return self._sharing.wait_s(server_id, per_s, self._known_entries, _now_s())

    def refusal_error(
        self, server_ids: Iterable[str], left_s: float
    ) -> RateLimitedError:
        """Return the error of a request that gets no permit.

        :param server_ids: the servers that could serve the request.
        :param left_s: time until a permit may be available.
        """
        self._metrics.count("rate_limits.refused")
        descriptions = sorted(
            f"{s} takes {self._limits.limit_per_s(s):g} a second, permits here {rate:g}"
            for s, rate in (
                (s, self._issued_per_s(s)) for s in self.limited_servers(server_ids)
            )
        )
        return RateLimitedError(
            "backend servers that could serve it take no more requests now",
            left_s=left_s,
            why="; ".join(descriptions[:_MAX_LOGGED_SERVERS]),
            hint="retry after the delay in Retry-After",
        )

    # Permits

    async def acquire(
        self, server_ids: Iterable[str], max_wait_s: float
    ) -> PermitOutcome:
        """Get a permit for each server with a limit, and wait until all are valid.

        :param max_wait_s: how long to wait at most.
        :returns: the first denial, if any permit was denied.
        """
        ready_s = _now_s()
        for server_id in self.limited_servers(server_ids):
            outcome = await self._acquire_one(server_id, max_wait_s)
            if isinstance(outcome, PermitDenied):
                return outcome
            ready_s = max(ready_s, _now_s() + outcome.wait_s)
        wait_s = ready_s - _now_s()
        if wait_s > 0.0:
            self._metrics.timing("rate_limits.wait", wait_s)
            await asyncio.sleep(wait_s)
        self._metrics.count("rate_limits.sends")
        return PermitGranted()

    async def _acquire_one(self, server_id: str, max_wait_s: float) -> PermitOutcome:
        asked: set[str] = set()
        while True:
            per_s = self._limits.limit_per_s(server_id)
            if per_s is None:
                return PermitGranted()
            entries = self._known_entries
            decision = self._sharing.request_permit(
                server_id, per_s, entries, _now_s(), max_wait_s
            )
            match decision:
                case AskIssuer(name=name) if name not in asked:
                    asked.add(name)
                    outcome = await self._ask_issuer(server_id, name, max_wait_s)
                    if isinstance(outcome, PermitGranted):
                        return outcome
                case AskIssuer():
                    wait_s = self._sharing.wait_s(server_id, per_s, entries, _now_s())
                    return PermitDenied(wait_s)
                case PermitGranted() | PermitDenied():
                    return decision

    async def _ask_issuer(
        self, server_id: str, name: str, max_wait_s: float
    ) -> PermitOutcome | None:
        """Ask an issuer for a permit; return ``None`` if it doesn't answer.

        :param name: name of the issuer.
        """
        assert self._channel is not None
        question = secrets.randbits(32)
        reply_future: asyncio.Future[PermitOutcome]
        reply_future = asyncio.get_running_loop().create_future()
        self._pending_replies[question] = reply_future
        self._metrics.count("rate_limits.permits_asked")
        limit = self._notice(server_id, _now_s())
        message = PermitRequest(self._own_name, question, limit, int(max_wait_s * 1000))
        self._channel.send_to(name, message)
        try:
            outcome = await asyncio.wait_for(reply_future, _ISSUER_TIMEOUT_S)
        except TimeoutError:
            self._metrics.count("rate_limits.permits_unanswered")
            self._sharing.record_no_answer(server_id, name, _now_s())
            return None
        finally:
            del self._pending_replies[question]
        if isinstance(outcome, PermitDenied):
            self._sharing.record_denial(server_id, name, outcome.wait_s, _now_s())
        return outcome

    def answer_permit_request(self, message: PermitRequest) -> None:
        """Answer another entry that asks this one for a permit."""
        self.record_notice(message.limit)
        server_id = message.limit.server_id
        per_s = self._limits.limit_per_s(server_id)
        if self._channel is None:
            return
        outcome: PermitOutcome = PermitGranted()
        if per_s is not None:
            max_wait_s = message.max_wait_ms / 1000.0
            outcome = self._sharing.answer_peer(
                server_id, per_s, self._known_entries, _now_s(), max_wait_s
            )
        granted = isinstance(outcome, PermitGranted)
        wait_ms = int(outcome.wait_s * 1000)
        reply = PermitReply(self._own_name, message.question, granted, wait_ms)
        self._channel.send_to(message.name, reply)

    def record_permit_reply(self, message: PermitReply) -> None:
        """Pass an issuer's answer to the request that waits for it."""
        reply_future = self._pending_replies.get(message.question)
        if reply_future is None or reply_future.done():
            return
        wait_s = message.wait_ms / 1000.0
        outcome = PermitGranted(wait_s) if message.granted else PermitDenied(wait_s)
        reply_future.set_result(outcome)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
