"""Arrival rates by priority and workspace over all entries, as estimated by one entry.

As in :class:`railfold._internal.decisions.fleet_load.FleetLoad`, an entry knows its own
arrivals exactly, other entries announce theirs, and those of the remaining entries are
extrapolated.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from railfold._internal.decisions.announcements import Announcement, Announcements

__all__ = ["DemandKey", "FleetDemand"]

# Time constant of the moving average of arrivals.
_AVERAGING_TIME_S = 2.0


@dataclass(frozen=True, slots=True, order=True)
class DemandKey:
    """Identifies the requests of one workspace with one priority to one service.

    :param priority: requests with a lower value get scarce capacity first.
    """

    service: str
    priority: int
    workspace: str


@dataclass(slots=True)
class _DecayingRate:
    per_s: float
    updated_s: float

    def at_time(self, now_s: float) -> float:
        return self.per_s * math.exp(-(now_s - self.updated_s) / _AVERAGING_TIME_S)


class FleetDemand:
    """Work that arrives at all entries, in tokens per second.

    For services without a model it is in requests per second.

    :param lifetime_s: how long an announcement of another entry is used.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._own: dict[DemandKey, _DecayingRate] = {}
        self._announcements: Announcements[Mapping[DemandKey, float]] = Announcements()

    def arrived(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """Record a client's request that arrived at this entry."""
        rate = self._own.setdefault(key, _DecayingRate(0.0, now_s))
        rate.per_s = rate.at_time(now_s) + tokens / _AVERAGING_TIME_S
        rate.updated_s = now_s

    def own_per_s(self, now_s: float) -> dict[DemandKey, float]:
        """Return the arrival rates at this entry."""
        return {key: rate.at_time(now_s) for key, rate in self._own.items()}

    def announced(
        self,
        entry: str,
        per_s: Mapping[DemandKey, float],
        at_s: float,
        now_s: float,
        entries: int = 1,
    ) -> None:
        """Store the arrival rates of another entry, unless newer ones are known.

        :param at_s: when the rates were measured.
        :param entries: of how many entries these rates are the sum, if ``entry``
            announces those of others, too.
        """
        announcement: Announcement[Mapping[DemandKey, float]] = Announcement(
            at_s, dict(per_s), entries
        )
        self._announcements.add(entry, announcement, self.lifetime_s, now_s)

    def forget(self, now_s: float) -> None:
        """Drop expired announcements, and own rates without recent arrivals."""
        self._announcements.forget(self.lifetime_s, now_s)
        for key, rate in list(self._own.items()):
            if now_s - rate.updated_s >= 8.0 * _AVERAGING_TIME_S:
                del self._own[key]

    def per_s(self, service: str, entries: int, now_s: float) -> dict[DemandKey, float]:
        """Return the arrival rates for a service over all entries.

        :param entries: number of entries, including this one.
        """
        fresh = self._announcements.fresh(self.lifetime_s, now_s)
        demands = [
            self.own_per_s(now_s),
            *(announcement.content for announcement in fresh),
        ]
        known_entries = 1 + sum(announcement.entries for announcement in fresh)
        known_share = min(1.0, known_entries / max(1, entries))
        total: dict[DemandKey, float] = {}
        for demand in demands:
            for key, per_s in demand.items():
                if key.service == service:
                    total[key] = total.get(key, 0.0) + per_s / known_share
        return total
