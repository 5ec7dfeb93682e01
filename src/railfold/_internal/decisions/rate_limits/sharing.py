"""Permits of one entry for backend servers whose limits all entries share.

An entry needs a permit for each request to a server with a limit. It takes the permit
from its own schedule if it is an issuer for that server, and asks an issuer otherwise.
An issuer without a permit answers how long to wait for the next one, longer the more
entries ask. The entry doesn't ask that issuer again until then.
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

# Time for which an issuer that didn't answer isn't asked again.
_NO_ANSWER_RETRY_S = 1.0

# Wait in a denial if there is no issuer to ask. It is about the time in which an entry
# learns of other entries, or a limit lapses.
_NO_ISSUER_WAIT_S = 1.0

# Waits are spread so that about this number of denied entries ask for each permit.
_REQUESTS_PER_PERMIT = 3.0

# Longest wait that an issuer asks for, so that entries notice changes of the limit
# soon. With many entries the wait is longer, so that an issuer doesn't get more
# requests a second than ``_MAX_REQUESTS_PER_S``.
_MAX_DENIAL_WAIT_S = 1.0
_MAX_REQUESTS_PER_S = 60.0


@dataclass(frozen=True, slots=True)
class AskIssuer:
    """The entry ``name`` has to be asked for a permit."""

    name: str


PermitDecision = PermitOutcome | AskIssuer


@dataclass(slots=True)
class _ServerPermits:
    """Permits that this entry issues for one server, and state of all issuers.

    :param denied_count: number of requests denied since the last permit was issued.
    :param retry_at_s: when each issuer, this entry included, may be asked again.
    :param entries: the entries among which ``issuers`` were selected.
    :param limit_per_s: the limit for which ``issuers`` were selected.
    """

    schedule: PermitSchedule
    denied_count: int = 0
    retry_at_s: dict[str, float] = field(default_factory=dict)
    entries: KnownEntries | None = None
    limit_per_s: float = 0.0
    issuers: PermitIssuers | None = None


class PermitSharing:
    """Permits of one entry for all servers with a limit.

    Times are on the monotonic clock.

    :param rng: chooses among issuers and spreads waits.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._permits: dict[str, _ServerPermits] = {}

    def issuers(
        self, server_id: str, limit_per_s: float, entries: KnownEntries, now_s: float
    ) -> PermitIssuers:
        """Return the issuers of permits for a server."""
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
                # Issuers start at random times, so that their first permits don't
                # become available together.
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
        """Take a permit for a request of this entry, or return which issuer to ask.

        :param limit_per_s: the server's limit.
        :param max_wait_s: how long the request may wait for the permit.
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
        """Return in how many seconds an issuer may be asked for a permit."""
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
        """Return the answer to another entry that asks this one for a permit."""
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
        """Record that an issuer has no permit for the next ``wait_s``."""
        self._permits_for(server_id, now_s).retry_at_s[issuer] = now_s + wait_s

    def record_no_answer(self, server_id: str, issuer: str, now_s: float) -> None:
        """Record that an issuer didn't answer."""
        self._permits_for(server_id, now_s).retry_at_s[issuer] = (
            now_s + _NO_ANSWER_RETRY_S
        )

    def forget(self, known_ids: set[str]) -> None:
        """Forget all servers but ``known_ids``."""
        for server_id in set(self._permits) - known_ids:
            del self._permits[server_id]
