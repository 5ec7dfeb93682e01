"""How often backend servers of a silent chain are probed.

Probes cost little when one of them is dead, and are wasted when the chain is only
slow: then all its streams fall silent again and again. So each chain is probed
half as often after each probe that found nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ProbePace"]

# Two stages may die one after the other: the second is found this much later.
_FIRST_INTERVAL_S = 0.2

# Long enough for a slow chain to cost next to nothing; streams that another engine
# was asked about are still moved before their clients leave (2 s).
_MOST_INTERVAL_S = 1.6

# A chain that wasn't probed for this long is probed as if for the first time.
_FORGET_S = 4.0


@dataclass(slots=True)
class _Probed:
    at_s: float
    interval_s: float


class ProbePace:
    """When each chain was probed, by its first host."""

    def __init__(self) -> None:
        self._probed: dict[str, _Probed] = {}

    def take(self, first_host: str, now_s: float) -> bool:
        """Return whether to probe now; if so, it counts as done."""
        probed = self._probed.get(first_host)
        if probed is None or now_s - probed.at_s >= _FORGET_S:
            self._probed[first_host] = _Probed(now_s, _FIRST_INTERVAL_S)
            return True
        if now_s - probed.at_s < probed.interval_s:
            return False
        probed.at_s = now_s
        probed.interval_s = min(_MOST_INTERVAL_S, 2 * probed.interval_s)
        return True

    def found(self, first_host: str) -> None:
        """A probe found a dead backend server: the next one needn't wait long."""
        probed = self._probed.get(first_host)
        if probed is not None:
            probed.interval_s = _FIRST_INTERVAL_S

    def forget(self, known_hosts: set[str]) -> None:
        """Forget all hosts but these."""
        for host in set(self._probed) - known_hosts:
            del self._probed[host]
