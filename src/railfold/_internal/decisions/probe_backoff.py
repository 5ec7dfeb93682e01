"""How often backend servers of a silent chain are probed.

Probes cost little when one of them is dead, and are wasted when the chain is only
slow: then all its streams fall silent again and again. So each chain is probed
half as often after each probe that found nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ProbeBackoff"]

# Two stages may die one after the other: the second is found this much later.
_FIRST_INTERVAL_S = 0.2

# Long enough for a slow chain to cost next to nothing; streams that another engine
# was asked about are still moved before their clients leave (2 s).
_MAX_INTERVAL_S = 1.6

# A chain that wasn't probed for this long is probed as if for the first time.
_RESET_S = 4.0


@dataclass(slots=True)
class _ProbeState:
    last_probe_s: float
    interval_s: float


class ProbeBackoff:
    """When each chain was probed, by its first host."""

    def __init__(self) -> None:
        self._states: dict[str, _ProbeState] = {}

    def allow_probe(self, first_host: str, now_s: float) -> bool:
        """Return whether to probe now; if so, it counts as done."""
        state = self._states.get(first_host)
        if state is None or now_s - state.last_probe_s >= _RESET_S:
            self._states[first_host] = _ProbeState(now_s, _FIRST_INTERVAL_S)
            return True
        if now_s - state.last_probe_s < state.interval_s:
            return False
        state.last_probe_s = now_s
        state.interval_s = min(_MAX_INTERVAL_S, 2 * state.interval_s)
        return True

    def dead_server_found(self, first_host: str) -> None:
        """A probe found a dead backend server: the next one needn't wait long."""
        state = self._states.get(first_host)
        if state is not None:
            state.interval_s = _FIRST_INTERVAL_S

    def forget(self, known_hosts: set[str]) -> None:
        """Forget all hosts but these."""
        for host in set(self._states) - known_hosts:
            del self._states[host]
