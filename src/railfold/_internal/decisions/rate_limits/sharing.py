"""One entry's part in keeping the limits of backend servers with all others.

Whoever wants to send to a server with a limit needs a permit: of its own if it hands
out permits for that server, else of one that does. A holder that has none says when the
next one will be there, later the more entries ask, and isn't asked before.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from railfold._internal.decisions.rate_limits.issuers import (
    KnownEntries,
    PermitIssuers,
    permit_issuers,
)
from railfold._internal.decisions.rate_limits.permits import (
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSchedule,
)

__all__ = ["AskIssuer", "PermitDecision", "PermitSharing"]

# A holder that didn't answer isn't asked again for this time.
_NO_ANSWER_RETRY_S = 1.0

# What is told of the wait where nobody can be asked: as long as it takes to hear of
# others, or that the limit has lapsed.
_NO_ISSUER_WAIT_S = 1.0

# Of the entries that were told to wait, about so many ask for the next permit.
_REQUESTS_PER_PERMIT = 3.0

# Nobody is told to wait for longer, so that a limit that changes is heard. Where
# entries are many they wait for so long that a holder isn't asked more often than this.
_MAX_DENIAL_WAIT_S = 1.0
_MAX_REQUESTS_PER_S = 60.0


@dataclass(frozen=True, slots=True)
class AskIssuer:
    """Ask this entry for a permit."""

    name: str


PermitDecision = PermitOutcome | AskIssuer


@dataclass(slots=True)
class _ServerPermits:
    """What this entry hands out for one server, and what it knows of other holders.

    :param denied_count: how many were told to wait since the last permit.
    :param retry_at_s: when it is worth to ask each holder again, also this entry itself.
    :param entries: what ``holders`` was reckoned for, as was ``per_s``.
    """

    schedule: PermitSchedule
    denied_count: int = 0
    retry_at_s: dict[str, float] = field(default_factory=dict)
    entries: KnownEntries | None = None
    limit_per_s: float = 0.0
    issuers: PermitIssuers | None = None


class PermitSharing:
    """Permits for all servers with a limit.

    Times are on the monotonic clock.

    :param rng: for the choice of a holder, and the spread of waits.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._permits: dict[str, _ServerPermits] = {}

    def issuers(
        self, server_id: str, limit_per_s: float, entries: KnownEntries, now_s: float
    ) -> PermitIssuers:
        """Return who hands out permits for a server."""
        permits = self._permits_for(server_id, now_s)
        current = permits.issuers
        if (
            current is None
            or permits.limit_per_s != limit_per_s
            or permits.entries != entries
        ):
            current = permit_issuers(server_id, limit_per_s, entries)
            if permits.limit_per_s != limit_per_s:
                permits.retry_at_s.clear()
            if permits.issuers is None:
                # Not all holders' first permits at the same time.
                first_permit_s = now_s + self._rng.random() / current.permits_per_s
                permits.schedule = PermitSchedule(first_permit_s)
            permits.issuers, permits.limit_per_s, permits.entries = (
                current,
                limit_per_s,
                entries,
            )
        return current

    def _permits_for(self, server_id: str, now_s: float) -> _ServerPermits:
        permits = self._permits.get(server_id)
        if permits is None:
            permits = self._permits[server_id] = _ServerPermits(PermitSchedule(now_s))
        return permits

    def request_permit(
        self,
        server_id: str,
        limit_per_s: float,
        entries: KnownEntries,
        now_s: float,
        max_wait_s: float,
    ) -> PermitDecision:
        """Return what comes of this entry's wish to send, or whom to ask for it.

        :param limit_per_s: the server's limit.
        :param max_wait_s: how long the request may wait.
        """
        issuers = self.issuers(server_id, limit_per_s, entries, now_s)
        retry_at_s = self._permits_for(server_id, now_s).retry_at_s
        askable = [
            name
            for name in issuers.names
            if retry_at_s.get(name, now_s) - now_s <= max_wait_s
        ]
        if entries.own_name in askable:
            outcome = self._take_permit(server_id, issuers, now_s, max_wait_s)
            if isinstance(outcome, PermitGranted):
                return outcome
            retry_at_s[entries.own_name] = now_s + outcome.wait_s
            askable.remove(entries.own_name)
        if askable:
            return AskIssuer(self._rng.choice(askable))
        return PermitDenied(self.wait_s(server_id, limit_per_s, entries, now_s))

    def wait_s(
        self, server_id: str, limit_per_s: float, entries: KnownEntries, now_s: float
    ) -> float:
        """Return when it is worth to wish again, in seconds from now."""
        issuers = self.issuers(server_id, limit_per_s, entries, now_s)
        retry_at_s = self._permits_for(server_id, now_s).retry_at_s
        waits_s = [
            max(0.0, retry_at_s.get(name, now_s) - now_s) for name in issuers.names
        ]
        return min(waits_s, default=_NO_ISSUER_WAIT_S)

    def answer_peer(
        self,
        server_id: str,
        limit_per_s: float,
        entries: KnownEntries,
        now_s: float,
        max_wait_s: float,
    ) -> PermitOutcome:
        """Return what another entry gets that asks this one."""
        issuers = self.issuers(server_id, limit_per_s, entries, now_s)
        if entries.own_name not in issuers.names:
            return PermitDenied(_NO_ISSUER_WAIT_S)
        outcome = self._take_permit(server_id, issuers, now_s, max_wait_s)
        if isinstance(outcome, PermitGranted):
            return outcome
        permits = self._permits_for(server_id, now_s)
        permits.denied_count += 1
        spread_s = permits.denied_count / (_REQUESTS_PER_PERMIT * issuers.permits_per_s)
        wait_s = outcome.wait_s + spread_s * self._rng.random()
        longest_wait_s = max(
            _MAX_DENIAL_WAIT_S, entries.entry_count / _MAX_REQUESTS_PER_S
        )
        return PermitDenied(min(wait_s, longest_wait_s * (0.5 + self._rng.random())))

    def _take_permit(
        self, server_id: str, issuers: PermitIssuers, now_s: float, max_wait_s: float
    ) -> PermitOutcome:
        permits = self._permits_for(server_id, now_s)
        outcome = permits.schedule.take(
            now_s, issuers.permits_per_s, issuers.burst, max_wait_s
        )
        if isinstance(outcome, PermitGranted):
            permits.denied_count = 0
        return outcome

    def record_denial(
        self, server_id: str, issuer: str, wait_s: float, now_s: float
    ) -> None:
        """A holder has no permit before ``wait_s`` from now."""
        self._permits_for(server_id, now_s).retry_at_s[issuer] = now_s + wait_s

    def record_no_answer(self, server_id: str, issuer: str, now_s: float) -> None:
        """A holder didn't answer."""
        self._permits_for(server_id, now_s).retry_at_s[issuer] = (
            now_s + _NO_ANSWER_RETRY_S
        )

    def forget(self, known_ids: set[str]) -> None:
        """Forget all servers but these."""
        for server_id in set(self._permits) - known_ids:
            del self._permits[server_id]
