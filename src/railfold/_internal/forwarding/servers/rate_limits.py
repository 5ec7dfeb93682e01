"""Keeping the rates that backend servers take, together with the other entries.

What servers say is heard here, told to the others, and decides which servers requests
may go to now. Permits of other entries are asked for over the channel between them.
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

# Entries answer within milliseconds; who waits longer loses more than the permit gains.
_ANSWER_S = 0.06

# A limit that holds is told again so often, which keeps it from lapsing at entries that
# send nothing to the server.
_ANNOUNCE_INTERVAL_S = 1.0

# Of the servers that bound a refused request so many are named in logs.
_MAX_NAMED = 4

_OWN_WORD = "the server"
_PEERS_WORD = "another entry"


class RateLimits:
    """The limits of all servers, and this entry's permits."""

    def __init__(
        self,
        dialect: Dialect,
        metrics: Metrics,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._name = ""
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._limits = AdvertisedLimits()
        self._sharing = PermitSharing(rng)
        self._channel: PeerChannel | None = None
        self._announced_s: dict[str, float] = {}
        self._answers: dict[int, asyncio.Future[PermitOutcome]] = {}
        # How many entries there are by the store's count.
        self.members = 1

    def use(self, name: str, channel: PeerChannel) -> None:
        """Share limits with other entries over this channel from now on.

        :param name: this entry's.
        """
        self._name = name
        self._channel = channel

    @property
    def _fleet(self) -> KnownEntries:
        others = tuple(self._channel.peers) if self._channel is not None else ()
        return KnownEntries(self._name, others, self.members)

    # What servers say

    def record_response(
        self, server_id: str, kind: AnswerKind, head: ResponseHead, sent_s: float
    ) -> None:
        """Take the head of an answer to a request that was sent at ``sent_s``.

        A refusal for want of the layers, or of the incarnation, may be another
        server's: that it names no limit says nothing.
        """
        word = self._dialect.rate_limit(head)
        misplaced = isinstance(kind, NotExecuted) and kind.misplaced
        if isinstance(word, NoRateLimit) and (misplaced or not self._limits):
            return
        now_s = _now_s()
        change = self._limits.observe(server_id, word, sent_s, now_s)
        self._note(server_id, change, _OWN_WORD)
        due_s = self._announced_s.get(server_id, float("-inf")) + _ANNOUNCE_INTERVAL_S
        holds = self._limits.limit_per_s(server_id) is not None
        is_news = isinstance(change, RateLimitAdvertised | NoRateLimit)
        if is_news or (holds and now_s >= due_s):
            self._announce(server_id, now_s)

    def record_call_response(self, server_id: str, head: ResponseHead) -> None:
        """Take the head of an answer to a call of this entry's own.

        Servers needn't name a limit there: that one names none says nothing.
        """
        word = self._dialect.rate_limit(head)
        if not isinstance(word, NoRateLimit):
            change = self._limits.observe(server_id, word, _now_s(), _now_s())
            self._note(server_id, change, _OWN_WORD)

    def _announce(self, server_id: str, now_s: float) -> None:
        self._announced_s[server_id] = now_s
        if self._channel is not None:
            self._channel.broadcast(self._notice(server_id, now_s))

    def _notice(self, server_id: str, now_s: float) -> RateLimitNotice:
        per_s = self._limits.limit_per_s(server_id)
        age_ms = int(self._limits.report_age_s(server_id, now_s) * 1000)
        return RateLimitNotice(server_id, per_s, age_ms)

    def record_notice(self, message: RateLimitNotice) -> None:
        """Another entry tells what a server said."""
        now_s = _now_s()
        given_s = now_s - message.age_ms / 1000.0
        server_id = message.server_id
        change = self._limits.observe_peer(server_id, message.per_s, given_s)
        self._announced_s[server_id] = max(
            given_s, self._announced_s.get(server_id, given_s)
        )
        self._note(server_id, change, _PEERS_WORD)

    def _note(self, server_id: str, change: LimitChange | None, source: str) -> None:
        match change:
            case None:
                return
            case RateLimitAdvertised():
                state, cause = "named", "its answers name a limit"
            case NoRateLimit():
                state, cause = "ended", "its answers name no limit any more"
            case LimitLapsed(unconfirmed_s=unconfirmed_s):
                state, cause = (
                    "lapsed",
                    f"nobody confirmed it for {unconfirmed_s:.1f} s",
                )
            case UnreadableRateLimit(text=text):
                state, cause = "unreadable", f"its answers name {text!r}"
                logging.warning("%s names a limit that is no rate: %r", server_id, text)
        per_s = self._limits.limit_per_s(server_id)
        event = RateLimitChanged(
            server_id,
            state,
            cause,
            per_s,
            source,
            self.members,
            self._own_per_s(server_id),
        )
        self._log.write(event)
        self._metrics.count(f"rate_limits.{state}")
        self._metrics.gauge("rate_limits.in_force", len(self._limits.in_force))

    def _own_per_s(self, server_id: str) -> float:
        """Return how many permits a second this entry hands out for a server."""
        per_s = self._limits.limit_per_s(server_id)
        if per_s is None:
            return 0.0
        fleet = self._fleet
        holders = self._sharing.issuers(server_id, per_s, fleet, _now_s())
        return (
            round(holders.permits_per_s, 3) if fleet.own_name in holders.names else 0.0
        )

    def upkeep(self, known_ids: set[str], now_s: float) -> None:
        """Let go of what is over."""
        if not self._limits:
            return
        for server_id, change in self._limits.lapse_unconfirmed(
            now_s, self.members
        ).items():
            self._note(server_id, change, _OWN_WORD)
        self._limits.forget(known_ids, now_s)
        self._sharing.forget(set(self._limits.in_force))
        self._announced_s = {
            s: at_s for s, at_s in self._announced_s.items() if s in known_ids
        }
        self._metrics.gauge("rate_limits.in_force", len(self._limits.in_force))

    # Where requests may go

    def limited(self, server_ids: Iterable[str]) -> list[str]:
        """Return those servers whose limits are in force."""
        return [s for s in server_ids if self._limits.limit_per_s(s) is not None]

    def is_starting_slowly(self, server_id: str, now_s: float) -> bool:
        """Draw whether a server whose limit has just ended is left out once."""
        if not self._limits:
            return False
        share = self._limits.traffic_share(server_id, now_s)
        return share < 1.0 and self._rng.random() >= share

    def wait_s(self, server_id: str) -> float:
        """Return when a permit for a server may be had, in seconds from now."""
        per_s = self._limits.limit_per_s(server_id)
        if per_s is None:
            return 0.0
        return self._sharing.wait_s(server_id, per_s, self._fleet, _now_s())

    def refusal(self, server_ids: Iterable[str], left_s: float) -> RateLimitedError:
        """Return why a request is refused that could only go to these servers."""
        self._metrics.count("rate_limits.refused")
        named = sorted(
            f"{s} takes {self._limits.limit_per_s(s):g} a second, permits here {own:g}"
            for s, own in ((s, self._own_per_s(s)) for s in self.limited(server_ids))
        )
        return RateLimitedError(
            "backend servers that could serve it take no more requests now",
            left_s=left_s,
            why="; ".join(named[:_MAX_NAMED]),
            hint="come back after Retry-After",
        )

    # Permits

    async def acquire(
        self, server_ids: Iterable[str], max_wait_s: float
    ) -> PermitOutcome:
        """Get a permit of each server with a limit, and wait until they hold."""
        ready_s = _now_s()
        for server_id in self.limited(server_ids):
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
            fleet = self._fleet
            step = self._sharing.request_permit(
                server_id, per_s, fleet, _now_s(), max_wait_s
            )
            match step:
                case AskIssuer(name=name) if name not in asked:
                    asked.add(name)
                    outcome = await self._ask(server_id, name, max_wait_s)
                    if isinstance(outcome, PermitGranted):
                        return outcome
                case AskIssuer():
                    wait_s = self._sharing.wait_s(server_id, per_s, fleet, _now_s())
                    return PermitDenied(wait_s)
                case PermitGranted() | PermitDenied():
                    return step

    async def _ask(
        self, server_id: str, name: str, max_wait_s: float
    ) -> PermitOutcome | None:
        """Ask a holder; nothing comes if it doesn't answer."""
        assert self._channel is not None
        question = secrets.randbits(32)
        answer: asyncio.Future[PermitOutcome]
        answer = asyncio.get_running_loop().create_future()
        self._answers[question] = answer
        self._metrics.count("rate_limits.permits_asked")
        limit = self._notice(server_id, _now_s())
        message = PermitRequest(self._name, question, limit, int(max_wait_s * 1000))
        self._channel.send_to(name, message)
        try:
            outcome = await asyncio.wait_for(answer, _ANSWER_S)
        except TimeoutError:
            self._metrics.count("rate_limits.permits_unanswered")
            self._sharing.record_no_answer(server_id, name, _now_s())
            return None
        finally:
            del self._answers[question]
        if isinstance(outcome, PermitDenied):
            self._sharing.record_denial(server_id, name, outcome.wait_s, _now_s())
        return outcome

    def permit_asked(self, message: PermitRequest) -> None:
        """Another entry asks this one for a permit."""
        self.record_notice(message.limit)
        server_id = message.limit.server_id
        per_s = self._limits.limit_per_s(server_id)
        if self._channel is None:
            return
        outcome: PermitOutcome = PermitGranted()
        if per_s is not None:
            max_wait_s = message.max_wait_ms / 1000.0
            outcome = self._sharing.answer_peer(
                server_id, per_s, self._fleet, _now_s(), max_wait_s
            )
        granted = isinstance(outcome, PermitGranted)
        wait_ms = int(outcome.wait_s * 1000)
        reply = PermitReply(self._name, message.question, granted, wait_ms)
        self._channel.send_to(message.name, reply)

    def permit_replied(self, message: PermitReply) -> None:
        """A holder answers."""
        answer = self._answers.get(message.question)
        if answer is None or answer.done():
            return
        wait_s = message.wait_ms / 1000.0
        outcome = PermitGranted(wait_s) if message.granted else PermitDenied(wait_s)
        answer.set_result(outcome)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
