"""How often the backend servers of a silent chain are probed.

A probe is cheap if it finds a dead server, and wasted if the chain is only slow: all
streams of a slow chain fall silent again and again. So the interval between probes of a
chain doubles after each probe that found nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ProbeBackoff"]

# If two stages die one after the other, the second is found this much later.
_FIRST_INTERVAL_S = 0.2

# Long enough to make probes of a slow chain negligible. Streams whose engine was
# already probed for another stream are still rerouted before their clients give up,
# which they do after 2 s.
_MAX_INTERVAL_S = 1.6

# The backoff of a chain starts again if the chain wasn't probed for this long.
_RESET_S = 4.0


@dataclass(slots=True)
class _ProbeState:
    last_probe_s: float
    interval_s: float


class ProbeBackoff:
    """Backoff state of each chain, identified by its first host."""

    def __init__(self) -> None:
        self._states: dict[str, _ProbeState] = {}

    def allow_probe(self, first_host: str, now_s: float) -> bool:
        """Return whether to probe a chain now, and record the probe if so."""
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
        """Reset the backoff of a chain in which a probe found a dead backend server."""
        state = self._states.get(first_host)
        if state is not None:
            state.interval_s = _FIRST_INTERVAL_S

    def forget(self, known_hosts: set[str]) -> None:
        """Drop the state of all chains whose first host isn't in ``known_hosts``."""
        for host in set(self._states) - known_hosts:
            del self._states[host]
