"""Arrival rates of requests per service, at one entry and over all entries."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["ArrivalRates", "FleetArrivals"]

# Time constant of the moving average: long enough for a steady value at one of many
# entries, which gets one or two requests per second, and short enough to follow a
# burst.
_AVERAGING_TIME_S = 4.0

# An announcement of another entry is used for this long: three times the longest pause
# between two of its messages.
_ANNOUNCEMENT_LIFETIME_S = 20.0

# Upper bound of a plausible rate: ten times what is planned for all entries together.
_MAX_PER_S = 18_000.0


@dataclass(slots=True)
class _Rate:
    per_s: float = 0.0
    updated_s: float = 0.0


class ArrivalRates:
    """Arrival rates at one entry, as moving averages with exponential decay."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def arrived(self, service: str, now_s: float) -> None:
        """Record a request for a service."""
        rate = self._rates.setdefault(service, _Rate(updated_s=now_s))
        rate.per_s = self._decayed_per_s(rate, now_s) + 1.0 / _AVERAGING_TIME_S
        rate.updated_s = now_s

    def per_s(self, service: str, now_s: float) -> float:
        """Return the recent arrival rate of a service, in requests per second."""
        rate = self._rates.get(service)
        return self._decayed_per_s(rate, now_s) if rate is not None else 0.0

    def all_per_s(self, now_s: float) -> dict[str, float]:
        """Return the rates of all services, in requests per second."""
        return {service: self.per_s(service, now_s) for service in self._rates}

    def _decayed_per_s(self, rate: _Rate, now_s: float) -> float:
        return rate.per_s * math.exp(-(now_s - rate.updated_s) / _AVERAGING_TIME_S)


@dataclass(frozen=True, slots=True)
class _Announcement:
    at_s: float
    per_s: Mapping[str, float]


class FleetArrivals:
    """Arrival rates over all entries, from their announcements.

    Entries don't get equal shares of the requests: clients use the entries of their own
    failure domain, and domains have different numbers of entries. One entry's own rate
    times the number of entries can therefore be far from the sum. With too large a
    rate, more engines of a failure domain change their layers at the same time than
    necessary, and can't serve meanwhile.
    """

    def __init__(self) -> None:
        self._announcements: dict[str, _Announcement] = {}

    @property
    def announcing_entries(self) -> int:
        """Number of other entries with a recent announcement."""
        return len(self._announcements)

    def announced(self, entry: str, per_s: Mapping[str, float], now_s: float) -> None:
        """Store the arrival rates that another entry announced."""
        bounded = {s: min(max(0.0, rate), _MAX_PER_S) for s, rate in per_s.items()}
        self._announcements[entry] = _Announcement(now_s, bounded)

    def total_per_s(
        self, service: str, own_per_s: float, entries: int, now_s: float
    ) -> float:
        """Return the requests per second that arrive for a service at all entries.

        Entries without a recent announcement are assumed to have the average rate of
        the others.
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
