"""How many requests a second arrive for each service."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["ArrivalRates"]

# Time over which arrivals are averaged: long enough for a steady figure at one of many
# entries, which sees one or two requests a second, short enough to follow a burst.
_WINDOW_S = 4.0


@dataclass(slots=True)
class _Rate:
    per_s: float = 0.0
    seen_s: float = 0.0


class ArrivalRates:
    """Arrivals of one entry, averaged with weights that fade with their age."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}

    def arrived(self, service: str, now_s: float) -> None:
        """A request for the service arrived."""
        rate = self._rates.setdefault(service, _Rate(seen_s=now_s))
        rate.per_s = self._faded(rate, now_s) + 1.0 / _WINDOW_S
        rate.seen_s = now_s

    def per_s(self, service: str, now_s: float) -> float:
        """Return how many requests a second have arrived lately."""
        rate = self._rates.get(service)
        return self._faded(rate, now_s) if rate is not None else 0.0

    def _faded(self, rate: _Rate, now_s: float) -> float:
        return rate.per_s * math.exp(-(now_s - rate.seen_s) / _WINDOW_S)
