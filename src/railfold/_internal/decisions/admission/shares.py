"""Which requests go before others where engines haven't room for all.

Answers demand over what the engines' memory holds: bursts, lost engines, a workspace
that floods. Each entry decides alone, by the arrivals at all entries as far as they are
announced (:class:`~railfold._internal.decisions.fleet_demand.FleetDemand`) and by which
part of its own requests found room.

A request may use room only beyond what is reserved for requests that go before it, so
that the less urgent give way first, and by as much as the more urgent need. Within a
rank the max-min fair share of its workspace goes before what is beyond it. Nobody waits
while there is room for all.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from railfold._internal.decisions.fleet_demand import DemandKey

__all__ = ["RoomShares", "ServedShares", "Standing", "max_min_level"]

# Time over which the served part of requests is averaged: some requests of an entry,
# and no longer than bursts last.
_WINDOW_S = 3.0

# A rank or workspace that is served less often than this part of the mean goes first
# until it no longer is, so that none starves.
_FLOOR_SHARE = 0.25

# What is reserved for requests that go before is reserved in full once so many of those
# lack room; this part of it in any case, since bursts come before anybody lacks it.
_FULL_LACK = 0.1
_LEAST_RESERVE = 0.2

# No more of an engine's memory is reserved for requests that may come: more would be
# left unused while others are refused.
_MOST_RESERVED = 0.25

# Fewer tokens than this many usual requests say little of a served part.
_FEW_REQUESTS = 4.0


def max_min_level(demands: Iterable[float], total: float) -> float:
    """Return the most that each demand gets if ``total`` is divided max-min fairly.

    Infinite if all demands fit.
    """
    ordered = sorted(demands)
    left = total
    for index, demand in enumerate(ordered):
        equal = left / (len(ordered) - index)
        if demand > equal:
            return max(0.0, equal)
        left -= demand
    return math.inf


@dataclass(slots=True)
class _Tally:
    """Tokens of requests that came, and of those that found room, fading."""

    asked: float = 0.0
    served: float = 0.0
    seen_s: float = 0.0

    def fade(self, now_s: float) -> None:
        kept = math.exp(-(now_s - self.seen_s) / _WINDOW_S)
        self.asked *= kept
        self.served *= kept
        self.seen_s = now_s

    @property
    def share(self) -> float:
        if self.asked <= 0.0:
            return 1.0
        return min(1.0, max(0.0, self.served / self.asked))


@dataclass(slots=True)
class ServedShares:
    """Which part of an entry's own requests found room of late."""

    _tallies: dict[tuple[str, int | None, str | None], _Tally] = field(
        default_factory=dict
    )
    _mean_tokens: float = 0.0

    def asked(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Count a request that came."""
        self._mean_tokens = self._mean_tokens or tokens
        self._mean_tokens += 0.05 * (tokens - self._mean_tokens)
        for tally in self._of(key, now_s):
            tally.asked += tokens

    def served(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Count a request that found room."""
        for tally in self._of(key, now_s):
            tally.served += tokens

    def _of(self, key: DemandKey, now_s: float) -> list[_Tally]:
        names = (
            (key.service, None, None),
            (key.service, key.priority, None),
            (key.service, key.priority, key.workspace),
        )
        tallies = [
            self._tallies.setdefault(name, _Tally(seen_s=now_s)) for name in names
        ]
        for tally in tallies:
            tally.fade(now_s)
        return tallies

    def share(
        self,
        service: str,
        now_s: float,
        priority: int | None = None,
        workspace: str | None = None,
    ) -> float:
        """Return the served part of a service's requests, of a rank or a workspace.

        1 where too few came of late to tell.
        """
        tally = self._tallies.get((service, priority, workspace))
        if tally is None:
            return 1.0
        tally.fade(now_s)
        if tally.asked < _FEW_REQUESTS * self._mean_tokens:
            return 1.0
        return tally.share

    def priorities(self, service: str) -> set[int]:
        """Return the ranks of a service's requests."""
        return {
            priority
            for name, priority, _ in self._tallies
            if name == service and priority is not None
        }

    def forget(self, now_s: float) -> None:
        """Forget what hardly comes any more."""
        for name, tally in list(self._tallies.items()):
            if now_s - tally.seen_s > 8.0 * _WINDOW_S:
                del self._tallies[name]


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a request stands among those that want the same room.

    :param level: what goes first has a lower one.
    :param ahead_per_s: tokens a second that arrive of requests that go before it.
    """

    level: int
    ahead_per_s: float

    def reserved_share(self, room_tokens: float, hold_s: float) -> float:
        """Return which part of an engine's memory the request must leave free.

        :param room_tokens: what all engines together hold.
        :param hold_s: for how long room must be there for what goes before it.
        """
        if self.ahead_per_s <= 0.0 or room_tokens <= 0.0:
            return 0.0
        return min(_MOST_RESERVED, self.ahead_per_s * hold_s / room_tokens)


_FIRST = Standing(-1, 0.0)


@dataclass(slots=True)
class RoomShares:
    """An entry's order among requests for room, and what it has let in by it."""

    served: ServedShares = field(default_factory=ServedShares)
    # What each workspace may still use of its share, in tokens.
    _credits: dict[DemandKey, float] = field(default_factory=dict)

    def arrived(
        self,
        key: DemandKey,
        tokens: float,
        demand_per_s: Mapping[DemandKey, float],
        now_s: float,
    ) -> Standing:
        """Take a request that came; return where it stands.

        A large request has the same chance as a small one, whether its workspace has
        used up its share or not; it uses up more of it (deficit rule).

        :param demand_per_s: what arrives for the service at all entries.
        """
        self.served.asked(key, tokens, now_s)
        mean = self.served.share(key.service, now_s)
        rank = self.served.share(key.service, now_s, key.priority)
        demands = {
            other.workspace: per_s
            for other, per_s in demand_per_s.items()
            if other.priority == key.priority
        }
        of_rank = sum(demands.values())
        level = max_min_level(demands.values(), rank * of_rank)
        own = max(demands.get(key.workspace, 0.0), 1e-9)
        part = min(1.0, max(level / own, _FLOOR_SHARE * mean))
        if part >= 1.0:
            self._credits.pop(key, None)
            within = True
        else:
            credit = min(self._credits.get(key, 0.0) + part * tokens, tokens)
            self._credits[key] = credit
            within = credit > 0.0
        if rank < _FLOOR_SHARE * mean and within:
            return _FIRST
        ahead = sum(
            per_s
            for other, per_s in demand_per_s.items()
            if other.priority < key.priority
        )
        if not within:
            ahead += sum(min(demand, level) for demand in demands.values())
        ahead *= self._scarcity(key, within=within, now_s=now_s)
        return Standing(2 * key.priority + (not within), ahead)

    def turned_back(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Take that there was no room after all for a request that was let in."""
        self.served.served(key, -tokens, now_s)
        if key in self._credits:
            self._credits[key] += tokens

    def _scarcity(self, key: DemandKey, *, within: bool, now_s: float) -> float:
        """Return to which part room is to be reserved for those that go before."""
        before = key.priority if within else key.priority + 1
        shares = [
            self.served.share(key.service, now_s, priority)
            for priority in self.served.priorities(key.service)
            if priority < before
        ]
        lack = 1.0 - min(shares, default=1.0)
        return min(1.0, max(_LEAST_RESERVE, lack / _FULL_LACK))

    def let_in(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Take a request that found room."""
        self.served.served(key, tokens, now_s)
        if self._credits.get(key, 0.0) > 0.0:
            self._credits[key] -= tokens

    def forget(self, now_s: float) -> None:
        """Forget workspaces that hardly send any more."""
        self.served.forget(now_s)
        known = {k for k in self._credits if self.served.share(k.service, now_s) < 1.0}
        self._credits = {k: v for k, v in self._credits.items() if k in known}
