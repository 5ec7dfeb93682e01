"""Which requests go before others where engines haven't room for all.

Answers demand over what the engines' memory holds: bursts, lost engines, a workspace
that floods. Each entry decides alone, by the arrivals at all entries as far as they are
announced (:class:`~railfold._internal.decisions.fleet_demand.FleetDemand`) and by which
part of its own requests found room.

Requests give way to what goes before them: by as much as that lacks room, and those
that go last first. Within a rank the max-min fair share of each workspace goes before
what is beyond it. Nobody gives way while there is room for all.

How much room there is isn't reckoned: it changes faster than entries hear of it, and a
request that is refused wrongly costs its caller more than an attempt that an engine
rejects.
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

    def forget(self, now_s: float) -> None:
        """Forget what hardly comes any more."""
        for name, tally in list(self._tallies.items()):
            if now_s - tally.seen_s > 8.0 * _WINDOW_S:
                del self._tallies[name]


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a request stands among those that want the same room.

    :param level: what goes first has a lower one.
    :param shed_probability: which part of such requests is to be refused, so that
        those that go before find room.
    :param others_lack: whether some that go before find none.
    """

    level: int
    shed_probability: float = 0.0
    others_lack: bool = False


_FIRST = Standing(-1)


@dataclass(slots=True)
class RoomShares:
    """An entry's order among requests for room, and how far it is shed."""

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
        service = key.service
        self.served.asked(key, tokens, now_s)
        mean = self.served.share(service, now_s)
        ranks = {other.priority for other in demand_per_s} | {key.priority}
        demands = {rank: _of_rank(demand_per_s, rank) for rank in ranks}
        shares = {rank: self.served.share(service, now_s, rank) for rank in ranks}
        own = demands[key.priority]
        level = max_min_level(own.values(), shares[key.priority] * sum(own.values()))
        within = self._within_share(key, tokens, own, level, _FLOOR_SHARE * mean)
        if shares[key.priority] < _FLOOR_SHARE * mean and within:
            return _FIRST
        order = 2 * key.priority + (not within)
        # What goes before lacks so much a second; what comes after can give so much.
        lack = can_give = 0.0
        for rank, of_rank in demands.items():
            total = sum(of_rank.values())
            kept = sum(min(demand, level) for demand in of_rank.values())
            if rank < key.priority or (rank == key.priority and not within):
                lack += total * (1.0 - shares[rank])
            elif rank > key.priority:
                can_give += (1.0 - _FLOOR_SHARE) * total
            elif within:
                can_give += (1.0 - _FLOOR_SHARE) * (total - kept)
        of_level = sum(own.values()) or 1e-9
        giving = (lack - can_give) / of_level
        shed_probability = min(1.0 - _FLOOR_SHARE, max(0.0, giving))
        return Standing(order, shed_probability, others_lack=lack > 0.0)

    def _within_share(
        self,
        key: DemandKey,
        tokens: float,
        demands: Mapping[str, float],
        level: float,
        floor: float,
    ) -> bool:
        """Return whether a request is within the fair share of its workspace.

        :param demands: of the rank's workspaces.
        :param level: the most that each of them gets.
        :param floor: the least part of its requests that a workspace gets.
        """
        part = max(level / max(demands.get(key.workspace, 0.0), 1e-9), floor)
        if part >= 1.0:
            self._credits.pop(key, None)
            return True
        credit = min(self._credits.get(key, 0.0) + part * tokens, tokens)
        self._credits[key] = credit
        return credit > 0.0

    def dispatched(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Take a request that found room."""
        self.served.served(key, tokens, now_s)
        if self._credits.get(key, 0.0) > 0.0:
            self._credits[key] -= tokens

    def rejected(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Take that there was no room after all for a request that was sent."""
        self.served.served(key, -tokens, now_s)
        if key in self._credits:
            self._credits[key] += tokens

    def forget(self, now_s: float) -> None:
        """Forget workspaces that hardly send any more."""
        self.served.forget(now_s)
        known = {k for k in self._credits if self.served.share(k.service, now_s) < 1.0}
        self._credits = {k: v for k, v in self._credits.items() if k in known}


def _of_rank(
    demand_per_s: Mapping[DemandKey, float], priority: int
) -> dict[str, float]:
    """Return the demand of each workspace of a rank."""
    return {
        key.workspace: per_s
        for key, per_s in demand_per_s.items()
        if key.priority == priority
    }
