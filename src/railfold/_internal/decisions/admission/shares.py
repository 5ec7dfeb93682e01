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

__all__ = ["PriorityShedder", "ServedShares", "SheddingDecision", "max_min_fair_share"]

# Time over which the served part of requests is averaged: some requests of an entry,
# and no longer than bursts last.
_AVERAGING_TIME_S = 3.0

# A rank or workspace that is served less often than this part of the mean goes first
# until it no longer is, so that none starves.
_MIN_SERVED_SHARE = 0.25

# Fewer tokens than this many usual requests say little of a served part.
_MIN_SAMPLE_REQUESTS = 4.0


def max_min_fair_share(demands: Iterable[float], total: float) -> float:
    """Return the most that each demand gets if ``total`` is divided max-min fairly.

    Infinite if all demands fit.
    """
    sorted_demands = sorted(demands)
    remaining = total
    for index, demand in enumerate(sorted_demands):
        equal_share = remaining / (len(sorted_demands) - index)
        if demand > equal_share:
            return max(0.0, equal_share)
        remaining -= demand
    return math.inf


@dataclass(slots=True)
class _DecayingTotals:
    """Tokens of requests that came, and of those that found room, fading."""

    requested: float = 0.0
    served: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float) -> None:
        remaining_share = math.exp(-(now_s - self.updated_s) / _AVERAGING_TIME_S)
        self.requested *= remaining_share
        self.served *= remaining_share
        self.updated_s = now_s

    @property
    def share(self) -> float:
        if self.requested <= 0.0:
            return 1.0
        return min(1.0, max(0.0, self.served / self.requested))


@dataclass(slots=True)
class ServedShares:
    """Which part of an entry's own requests found room of late."""

    _totals: dict[tuple[str, int | None, str | None], _DecayingTotals] = field(
        default_factory=dict
    )
    _mean_tokens: float = 0.0

    def record_request(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Count a request that came."""
        self._mean_tokens = self._mean_tokens or tokens
        self._mean_tokens += 0.05 * (tokens - self._mean_tokens)
        for totals in self._totals_of(key, now_s):
            totals.requested += tokens

    def record_served(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Count a request that found room."""
        for totals in self._totals_of(key, now_s):
            totals.served += tokens

    def _totals_of(self, key: DemandKey, now_s: float) -> list[_DecayingTotals]:
        keys = (
            (key.service, None, None),
            (key.service, key.priority, None),
            (key.service, key.priority, key.workspace),
        )
        all_totals = [
            self._totals.setdefault(totals_key, _DecayingTotals(updated_s=now_s))
            for totals_key in keys
        ]
        for totals in all_totals:
            totals.decay(now_s)
        return all_totals

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
        totals = self._totals.get((service, priority, workspace))
        if totals is None:
            return 1.0
        totals.decay(now_s)
        if totals.requested < _MIN_SAMPLE_REQUESTS * self._mean_tokens:
            return 1.0
        return totals.share

    def forget(self, now_s: float) -> None:
        """Forget what hardly comes any more."""
        for totals_key, totals in list(self._totals.items()):
            if now_s - totals.updated_s > 8.0 * _AVERAGING_TIME_S:
                del self._totals[totals_key]


@dataclass(frozen=True, slots=True)
class SheddingDecision:
    """Where a request stands among those that want the same room.

    :param level: what goes first has a lower one.
    :param shed_probability: which part of such requests is to be refused, so that
        those that go before find room.
    :param others_lack: whether some that go before find none.
    """

    level: int
    shed_probability: float = 0.0
    preceding_unserved: bool = False


_HIGHEST = SheddingDecision(-1)


@dataclass(slots=True)
class PriorityShedder:
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
    ) -> SheddingDecision:
        """Take a request that came; return where it stands.

        A large request has the same chance as a small one, whether its workspace has
        used up its share or not; it uses up more of it (deficit rule).

        :param demand_per_s: what arrives for the service at all entries.
        """
        service = key.service
        self.served.record_request(key, tokens, now_s)
        mean_share = self.served.share(service, now_s)
        priorities = {other.priority for other in demand_per_s} | {key.priority}
        demands_by_priority = {
            priority: _demand_of_priority(demand_per_s, priority)
            for priority in priorities
        }
        served_shares = {
            priority: self.served.share(service, now_s, priority)
            for priority in priorities
        }
        own_demands = demands_by_priority[key.priority]
        fair_share_per_s = max_min_fair_share(
            own_demands.values(),
            served_shares[key.priority] * sum(own_demands.values()),
        )
        within_fair_share = self._within_share(
            key, tokens, own_demands, fair_share_per_s, _MIN_SERVED_SHARE * mean_share
        )
        if (
            served_shares[key.priority] < _MIN_SERVED_SHARE * mean_share
            and within_fair_share
        ):
            return _HIGHEST
        level = 2 * key.priority + (not within_fair_share)
        # What goes before lacks so much a second; what comes after can give so much.
        unserved_per_s = sheddable_per_s = 0.0
        for priority, workspace_demands in demands_by_priority.items():
            total_per_s = sum(workspace_demands.values())
            within_share_per_s = sum(
                min(demand, fair_share_per_s) for demand in workspace_demands.values()
            )
            if priority < key.priority or (
                priority == key.priority and not within_fair_share
            ):
                unserved_per_s += total_per_s * (1.0 - served_shares[priority])
            elif priority > key.priority:
                sheddable_per_s += (1.0 - _MIN_SERVED_SHARE) * total_per_s
            elif within_fair_share:
                sheddable_per_s += (1.0 - _MIN_SERVED_SHARE) * (
                    total_per_s - within_share_per_s
                )
        own_total_per_s = sum(own_demands.values()) or 1e-9
        needed_share = (unserved_per_s - sheddable_per_s) / own_total_per_s
        shed_probability = min(1.0 - _MIN_SERVED_SHARE, max(0.0, needed_share))
        return SheddingDecision(
            level, shed_probability, preceding_unserved=unserved_per_s > 0.0
        )

    def _within_share(
        self,
        key: DemandKey,
        tokens: float,
        demands: Mapping[str, float],
        fair_share_per_s: float,
        min_share: float,
    ) -> bool:
        """Return whether a request is within the fair share of its workspace.

        :param demands: of the rank's workspaces.
        :param level: the most that each of them gets.
        :param floor: the least part of its requests that a workspace gets.
        """
        admitted_share = max(
            fair_share_per_s / max(demands.get(key.workspace, 0.0), 1e-9), min_share
        )
        if admitted_share >= 1.0:
            self._credits.pop(key, None)
            return True
        credit = min(self._credits.get(key, 0.0) + admitted_share * tokens, tokens)
        self._credits[key] = credit
        return credit > 0.0

    def dispatched(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Take a request that found room."""
        self.served.record_served(key, tokens, now_s)
        if self._credits.get(key, 0.0) > 0.0:
            self._credits[key] -= tokens

    def rejected(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Take that there was no room after all for a request that was sent."""
        self.served.record_served(key, -tokens, now_s)
        if key in self._credits:
            self._credits[key] += tokens

    def forget(self, now_s: float) -> None:
        """Forget workspaces that hardly send any more."""
        self.served.forget(now_s)
        active_keys = {
            k for k in self._credits if self.served.share(k.service, now_s) < 1.0
        }
        self._credits = {k: v for k, v in self._credits.items() if k in active_keys}


def _demand_of_priority(
    demand_per_s: Mapping[DemandKey, float], priority: int
) -> dict[str, float]:
    """Return the demand of each workspace of a rank."""
    return {
        key.workspace: per_s
        for key, per_s in demand_per_s.items()
        if key.priority == priority
    }
