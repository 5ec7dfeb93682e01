"""One entry's part in keeping the limits of backend servers with all others.

Whoever wants to send to a server with a limit needs a permit: of its own if it hands
out permits for that server, else of one that does. A holder that has none says when the
next one will be there, later the more entries ask, and isn't asked before.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from railfold._internal.decisions.rate_limits.holders import (
    Fleet,
    Holders,
    permit_holders,
)
from railfold._internal.decisions.rate_limits.permits import (
    PermitDenied,
    PermitGranted,
    PermitOutcome,
    PermitSchedule,
)

__all__ = ["AskHolder", "PermitSharing", "PermitStep"]

# A holder that didn't answer isn't asked again for this time.
_SILENT_S = 1.0

# What is told of the wait where nobody can be asked: as long as it takes to hear of
# others, or that the limit has lapsed.
_NOBODY_S = 1.0

# Of the entries that were told to wait, about so many ask for the next permit.
_ASK_FOR_EACH = 3.0

# Nobody is told to wait for longer, so that a limit that changes is heard. Where
# entries are many they wait for so long that a holder isn't asked more often than this.
_MOST_WAIT_S = 1.0
_MOST_ASKS_PER_S = 60.0


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Ask this entry for a permit."""

    name: str


PermitStep = PermitOutcome | AskHolder


@dataclass(slots=True)
class _Permits:
    """What this entry hands out for one server, and what it knows of other holders.

    :param denied: how many were told to wait since the last permit.
    :param due_s: when it is worth to ask each holder again, also this entry itself.
    :param fleet: what ``holders`` was reckoned for, as was ``per_s``.
    """

    schedule: PermitSchedule
    denied: int = 0
    due_s: dict[str, float] = field(default_factory=dict)
    fleet: Fleet | None = None
    per_s: float = 0.0
    holders: Holders | None = None


class PermitSharing:
    """Permits for all servers with a limit.

    Times are on the monotonic clock.

    :param rng: for the choice of a holder, and the spread of waits.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._permits: dict[str, _Permits] = {}

    def holders(
        self, server_id: str, per_s: float, fleet: Fleet, now_s: float
    ) -> Holders:
        """Return who hands out permits for a server."""
        permits = self._of(server_id, now_s)
        known = permits.holders
        if known is None or permits.per_s != per_s or permits.fleet != fleet:
            known = permit_holders(server_id, per_s, fleet)
            if permits.per_s != per_s:
                permits.due_s.clear()
            if permits.holders is None:
                # Not all holders' first permits at the same time.
                first_s = now_s + self._rng.random() / known.per_s
                permits.schedule = PermitSchedule(first_s)
            permits.holders, permits.per_s, permits.fleet = known, per_s, fleet
        return known

    def _of(self, server_id: str, now_s: float) -> _Permits:
        permits = self._permits.get(server_id)
        if permits is None:
            permits = self._permits[server_id] = _Permits(PermitSchedule(now_s))
        return permits

    def step(
        self,
        server_id: str,
        per_s: float,
        fleet: Fleet,
        now_s: float,
        max_wait_s: float,
    ) -> PermitStep:
        """Return what comes of this entry's wish to send, or whom to ask for it.

        :param per_s: the server's limit.
        :param max_wait_s: how long the request may wait.
        """
        holders = self.holders(server_id, per_s, fleet, now_s)
        due_s = self._of(server_id, now_s).due_s
        ready = [
            name
            for name in holders.names
            if due_s.get(name, now_s) - now_s <= max_wait_s
        ]
        if fleet.own_name in ready:
            outcome = self._take(server_id, holders, now_s, max_wait_s)
            if isinstance(outcome, PermitGranted):
                return outcome
            due_s[fleet.own_name] = now_s + outcome.wait_s
            ready.remove(fleet.own_name)
        if ready:
            return AskHolder(self._rng.choice(ready))
        return PermitDenied(self.wait_s(server_id, per_s, fleet, now_s))

    def wait_s(self, server_id: str, per_s: float, fleet: Fleet, now_s: float) -> float:
        """Return when it is worth to wish again, in seconds from now."""
        holders = self.holders(server_id, per_s, fleet, now_s)
        due_s = self._of(server_id, now_s).due_s
        waits_s = [max(0.0, due_s.get(name, now_s) - now_s) for name in holders.names]
        return min(waits_s, default=_NOBODY_S)

    def asked(
        self,
        server_id: str,
        per_s: float,
        fleet: Fleet,
        now_s: float,
        max_wait_s: float,
    ) -> PermitOutcome:
        """Return what another entry gets that asks this one."""
        holders = self.holders(server_id, per_s, fleet, now_s)
        if fleet.own_name not in holders.names:
            return PermitDenied(_NOBODY_S)
        outcome = self._take(server_id, holders, now_s, max_wait_s)
        if isinstance(outcome, PermitGranted):
            return outcome
        permits = self._of(server_id, now_s)
        permits.denied += 1
        spread_s = permits.denied / (_ASK_FOR_EACH * holders.per_s)
        wait_s = outcome.wait_s + spread_s * self._rng.random()
        most_s = max(_MOST_WAIT_S, fleet.members / _MOST_ASKS_PER_S)
        return PermitDenied(min(wait_s, most_s * (0.5 + self._rng.random())))

    def _take(
        self, server_id: str, holders: Holders, now_s: float, max_wait_s: float
    ) -> PermitOutcome:
        permits = self._of(server_id, now_s)
        outcome = permits.schedule.take(now_s, holders.per_s, holders.burst, max_wait_s)
        if isinstance(outcome, PermitGranted):
            permits.denied = 0
        return outcome

    def denied(self, server_id: str, holder: str, wait_s: float, now_s: float) -> None:
        """A holder has no permit before ``wait_s`` from now."""
        self._of(server_id, now_s).due_s[holder] = now_s + wait_s

    def unanswered(self, server_id: str, holder: str, now_s: float) -> None:
        """A holder didn't answer."""
        self._of(server_id, now_s).due_s[holder] = now_s + _SILENT_S

    def forget(self, known_ids: set[str]) -> None:
        """Forget all servers but these."""
        for server_id in set(self._permits) - known_ids:
            del self._permits[server_id]
