"""Load shedding by priority and by fair share when engines lack memory for all.

Demand can exceed what the engines' memory holds during a burst, after the loss of
engines, or when one workspace sends very many requests. Each entry then decides by
itself which requests to refuse. It knows the arrival rates at other entries as far as
they are announced (:class:`~railfold._internal.decisions.fleet_demand.FleetDemand`),
and which share of its own requests was served.

Requests that are less urgent are shed to make capacity for more urgent ones: the least
urgent first, and only as many as the more urgent ones need. Within one priority,
requests within the max-min fair share of their workspace are more urgent than requests
beyond it. Nothing is shed while there is capacity for all.

The free capacity isn't estimated: it changes faster than entries hear of it, and a
request that is refused by mistake costs its caller more than an attempt that an engine
rejects.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from railfold._internal.decisions.fleet_demand import DemandKey

__all__ = ["PriorityShedder", "ServedShares", "SheddingDecision", "max_min_fair_share"]

# Averaging time of the served share: long enough to cover several requests of one
# entry, not longer than a typical burst.
_AVERAGING_TIME_S = 3.0

# A priority or workspace whose served share is below this part of the mean goes first
# until it no longer is, so that none starves.
_MIN_SERVED_SHARE = 0.25

# The served share is unreliable if the tokens of fewer than this many average requests
# were counted.
_MIN_SAMPLE_REQUESTS = 4.0


def max_min_fair_share(demands: Iterable[float], total: float) -> float:
    """Return the most that each demand gets if ``total`` is divided max-min fairly.

    The result is infinite if all demands can be met.
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
    """Tokens requested and tokens served, both with exponential decay."""

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
    """The share of an entry's own requests that was served recently."""

    _totals: dict[tuple[str, int | None, str | None], _DecayingTotals] = field(
        default_factory=dict
    )
    _mean_tokens: float = 0.0

    def record_request(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Record a new request."""
        self._mean_tokens = self._mean_tokens or tokens
        self._mean_tokens += 0.05 * (tokens - self._mean_tokens)
        for totals in self._totals_of(key, now_s):
            totals.requested += tokens

    def record_served(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Record a request that an engine had capacity for.

        :param tokens: negative to take back an earlier record.
        """
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
        """Return the recently served share, from 0 to 1, of a service's requests.

        :param priority: counts only requests of this priority.
        :param workspace: counts only requests of this workspace; needs ``priority``.
        :return: 1 if too few requests came recently to tell.
        """
        totals = self._totals.get((service, priority, workspace))
        if totals is None:
            return 1.0
        totals.decay(now_s)
        if totals.requested < _MIN_SAMPLE_REQUESTS * self._mean_tokens:
            return 1.0
        return totals.share

    def forget(self, now_s: float) -> None:
        """Drop the totals of requests that haven't come recently."""
        for totals_key, totals in list(self._totals.items()):
            if now_s - totals.updated_s > 8.0 * _AVERAGING_TIME_S:
                del self._totals[totals_key]


@dataclass(frozen=True, slots=True)
class SheddingDecision:
    """How urgent a request is among those that compete for the same capacity.

    :param level: requests with a lower level go first.
    :param shed_probability: share of such requests to refuse, so that more urgent ones
        find capacity.
    :param preceding_unserved: whether some of the more urgent requests weren't served.
    """

    level: int
    shed_probability: float = 0.0
    preceding_unserved: bool = False


_HIGHEST = SheddingDecision(-1)


@dataclass(slots=True)
class PriorityShedder:
    """Decides which requests of one entry are shed when capacity is scarce."""

    served: ServedShares = field(default_factory=ServedShares)
    # Tokens that each workspace may still use of its fair share.
    _credits: dict[DemandKey, float] = field(default_factory=dict)

    def arrived(
        self,
        key: DemandKey,
        tokens: float,
        demand_per_s: Mapping[DemandKey, float],
        now_s: float,
    ) -> SheddingDecision:
        """Record a new request; return how urgent it is and whether to shed it.

        A large request has the same chance as a small one to count as within its
        workspace's fair share, but uses up more of that share (deficit round robin).

        :param demand_per_s: arrival rates for the service at all entries, in tokens per
            second.
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
        # Tokens per second that more urgent requests lack, and that less urgent
        # requests can give up.
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

        :param demands: tokens per second of each workspace with this priority.
        :param fair_share_per_s: the most tokens per second that each of them gets.
        :param min_share: the share of its requests that a workspace gets at least.
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
        """Record that a request was sent to an engine with capacity."""
        self.served.record_served(key, tokens, now_s)
        if self._credits.get(key, 0.0) > 0.0:
            self._credits[key] -= tokens

    def rejected(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Record that an engine rejected a request that had been sent to it."""
        self.served.record_served(key, -tokens, now_s)
        if key in self._credits:
            self._credits[key] += tokens

    def forget(self, now_s: float) -> None:
        """Drop the state of workspaces that haven't sent requests recently."""
        self.served.forget(now_s)
        active_keys = {
            k for k in self._credits if self.served.share(k.service, now_s) < 1.0
        }
        self._credits = {k: v for k, v in self._credits.items() if k in active_keys}


def _demand_of_priority(
    demand_per_s: Mapping[DemandKey, float], priority: int
) -> dict[str, float]:
    """Return the demand of each workspace at one priority."""
    return {
        key.workspace: per_s
        for key, per_s in demand_per_s.items()
        if key.priority == priority
    }
