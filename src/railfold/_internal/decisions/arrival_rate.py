"""How many requests a second arrive for each service, at one entry and at all."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ArrivalRates", "FleetArrivals"]

# Time over which arrivals are averaged: long enough for a steady figure at one of many
# entries, which sees one or two requests a second, short enough to follow a burst.
_AVERAGING_TIME_S = 4.0

# What another entry told counts for this long: three times as long as the longest pause
# between two of its messages.
_ANNOUNCEMENT_LIFETIME_S = 20.0

# More than any entry sees: ten times what the users plan for all together.
_MAX_PER_S = 18_000.0


@dataclass(slots=True)
class _Rate:
    per_s: float = 0.0
    updated_s: float = 0.0


class ArrivalRates:
    """Arrivals of one entry, averaged with weights that fade with their age."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def arrived(self, service: str, now_s: float) -> None:
        """A request for the service arrived."""
        rate = self._rates.setdefault(service, _Rate(updated_s=now_s))
        rate.per_s = self._decayed_per_s(rate, now_s) + 1.0 / _AVERAGING_TIME_S
        rate.updated_s = now_s

    def per_s(self, service: str, now_s: float) -> float:
        """Return how many requests a second have arrived lately."""
        rate = self._rates.get(service)
        return self._decayed_per_s(rate, now_s) if rate is not None else 0.0

    def all_per_s(self, now_s: float) -> dict[str, float]:
        """Return the rates of all services."""
        return {service: self.per_s(service, now_s) for service in self._rates}

    def _decayed_per_s(self, rate: _Rate, now_s: float) -> float:
        return rate.per_s * math.exp(-(now_s - rate.updated_s) / _AVERAGING_TIME_S)


@dataclass(frozen=True, slots=True)
class _Announcement:
    at_s: float
    per_s: Mapping[str, float]


class FleetArrivals:
    """Arrivals at all entries, from what they tell.

    Entries don't get like shares: clients come to those of their own failure domain,
    and domains have different numbers of them. One entry's own arrivals times the
    number of entries may be far from the sum; a figure that is too large lets more
    engines of a failure domain move at a time than needed, all without their layers
    meanwhile.
    """

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}

    @property
    def announcing_entries(self) -> int:
        """How many other entries told their arrivals lately."""
        return len(self._announcements)

    def announced(self, entry: str, per_s: Mapping[str, float], now_s: float) -> None:
        """Take what another entry says of its own arrivals."""
        bounded = {s: min(max(0.0, rate), _MAX_PER_S) for s, rate in per_s.items()}
        self._announcements[entry] = _Announcement(now_s, bounded)

    def total_per_s(
        self, service: str, own_per_s: float, entries: int, now_s: float
    ) -> float:
        """Return how many requests a second arrive for a service at all entries.

        Those that don't tell are reckoned to get what the others get on average.
        """
        self._forget(now_s)
        announced = [
            announced.per_s.get(service, 0.0)
            for announced in self._announcements.values()
        ]
        known_rates = [own_per_s, *announced]
        unknown_entries = max(0, entries - len(known_rates))
        return sum(known_rates) + unknown_entries * sum(known_rates) / len(known_rates)

    def _forget(self, now_s: float) -> None:
        for entry, announced in list(self._announcements.items()):
            if now_s - announced.at_s > _ANNOUNCEMENT_LIFETIME_S:
                del self._announcements[entry]
