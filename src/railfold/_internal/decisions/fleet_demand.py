"""Arrivals by rank and workspace over all entries, as one entry reckons them.

As with :class:`railfold._internal.decisions.fleet_load.FleetLoad`, the own part is
exact, others' parts are announced, and unknown ones are reckoned from the known.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from railfold._internal.decisions.announcements import Announcement, Announcements

__all__ = ["DemandKey", "FleetDemand"]

# Time over which arrivals are averaged.
_AVERAGING_TIME_S = 2.0


@dataclass(frozen=True, slots=True, order=True)
class DemandKey:
    """Requests of one rank of a workspace to a service.

    :param priority: place in the order in which requests get scarce room.
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
    """Arriving work of all entries, in tokens a second (requests at plain services).

    :param lifetime_s: how long another entry's announcement counts.
    """

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._own: dict[DemandKey, _DecayingRate] = {}
        self._announcements: Announcements[Mapping[DemandKey, float]] = Announcements()

    def arrived(self, key: DemandKey, tokens: float, now_s: float) -> None:
        """A client's request arrived here."""
        rate = self._own.setdefault(key, _DecayingRate(0.0, now_s))
        rate.per_s = rate.at_time(now_s) + tokens / _AVERAGING_TIME_S
        rate.updated_s = now_s

    def own_per_s(self, now_s: float) -> dict[DemandKey, float]:
        """Return what arrives at this entry."""
        return {key: rate.at_time(now_s) for key, rate in self._own.items()}

    def announced(
        self,
        entry: str,
        per_s: Mapping[DemandKey, float],
        at_s: float,
        now_s: float,
        entries: int = 1,
    ) -> None:
        """Take what arrives at another entry; an older announcement is ignored.

        :param entries: how many entries' arrivals these are the sum of, if ``entry``
            announces those of others, too.
        """
        announcement: Announcement[Mapping[DemandKey, float]] = Announcement(
            at_s, dict(per_s), entries
        )
        self._announcements.add(entry, announcement, self.lifetime_s, now_s)

    def forget(self, now_s: float) -> None:
        """Forget old announcements, and what hardly arrives any more."""
        self._announcements.forget(self.lifetime_s, now_s)
        for key, rate in list(self._own.items()):
            if now_s - rate.updated_s >= 8.0 * _AVERAGING_TIME_S:
                del self._own[key]

    def per_s(self, service: str, entries: int, now_s: float) -> dict[DemandKey, float]:
        """Return what arrives for a service at all entries.

        :param entries: how many entries there are, with this one.
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
