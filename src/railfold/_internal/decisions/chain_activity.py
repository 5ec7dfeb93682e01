"""Telling a chain that stands still from streams that are slow.

One stream's pause may have many causes. Backend servers that other streams move
through are well, so that only the rest of its chain is worth a probe. When all
streams through those pause together while other chains go on, one of them has
stopped, and there is no need to wait for a probe's timeout. When several chains
pause together, the cause is more likely here or on the way, and nothing is concluded.

The same events tell how slow a chain is: the mean of their pauses over the pause
that its accelerators would lead one to expect, and how long requests wait there for
their first event. One of many entries has a request or two in flight on each chain,
so that its own load says little of how full a chain is; the wait tells it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["ChainActivity", "ChainKey"]

# Hosts of a chain, in order.
ChainKey = tuple[str, ...]

# Events of a stream come every 15 to 30 ms on the first sites; reading a long
# prompt holds all streams of a chain up by 30 ms more. A chain that was slow
# before must pause for several times its usual pause.
_STALL_S = 0.085
_STALL_FACTOR = 4.0

# A stream that got an event within this time, or two of its chain's usual pauses,
# shows that the hosts it runs through are well: two to three events.
_ACTIVE_S = 0.06
_ACTIVE_FACTOR = 2.0

# Fewer streams that pause together prove too little.
_MIN_STALLED_STREAMS = 2

# The event loop's own delay that makes a pause prove nothing.
_MAX_LOOP_DELAY_S = 0.03

# Weight of one pause in the mean, and how soon a chain that nobody uses any more
# is believed to be as fast as its accelerators again.
_PAUSE_WEIGHT = 0.05
_SLOWNESS_DECAY_S = 4.0

# Weight of one wait for a first event: an entry sees one every two seconds on a
# chain of the grown sites, and a chain fills up within a second.
_FIRST_EVENT_WAIT_WEIGHT = 0.4

# A slowness beyond this changes no choice.
_MAX_SLOWNESS = 20.0


@dataclass(slots=True)
class _ChainState:
    streams: int = 0
    last_event_s: float = 0.0


@dataclass(slots=True)
class _HostPace:
    """Mean pause, the same over the expected one, and when it was last seen.

    :param wait_s: mean wait for a first event, and when one was last seen.
    """

    slowness: float = 1.0
    pause_s: float = 0.0
    pause_seen_s: float = 0.0
    wait_s: float = 0.0
    wait_seen_s: float = 0.0


class ChainActivity:
    """When each chain's streams last moved, at one entry."""

    def __init__(self) -> None:
        self._chains: dict[ChainKey, _ChainState] = {}
        self._paces: dict[str, _HostPace] = {}

    def stream_started(self, key: ChainKey, now_s: float) -> None:
        """A stream over the chain got its first event."""
        chain = self._chains.setdefault(key, _ChainState())
        chain.streams += 1
        chain.last_event_s = now_s

    def event_received(
        self, key: ChainKey, now_s: float, pause_s: float, expected_pause_s: float
    ) -> None:
        """A stream over the chain got an event.

        :param pause_s: time since the stream's last event.
        :param expected_s: the pause that the chain's accelerators lead to.
        """
        chain = self._chains.get(key)
        if chain is not None:
            chain.last_event_s = now_s
        pace = self._paces.setdefault(key[0], _HostPace())
        slowness = min(pause_s / expected_pause_s, _MAX_SLOWNESS)
        pace.slowness += _PAUSE_WEIGHT * (slowness - pace.slowness)
        pace.pause_s += _PAUSE_WEIGHT * (pause_s - pace.pause_s)
        pace.pause_seen_s = now_s

    def first_event_received(
        self, first_host: str, now_s: float, wait_s: float
    ) -> None:
        """A request got its first event, ``wait_s`` after it was sent."""
        pace = self._paces.setdefault(first_host, _HostPace())
        pace.wait_s += _FIRST_EVENT_WAIT_WEIGHT * (wait_s - pace.wait_s)
        pace.wait_seen_s = now_s

    def first_event_pending(self, first_host: str, now_s: float, wait_s: float) -> None:
        """A request has waited for its first event for ``wait_s`` until now."""
        pace = self._paces.setdefault(first_host, _HostPace())
        if wait_s > pace.wait_s:
            pace.wait_s = wait_s
            pace.wait_seen_s = now_s

    def slowness(
        self, first_host: str, now_s: float, acceptable_wait_s: float
    ) -> float:
        """Return how slow chains that begin at a host are; 1 is as expected.

        :param bearable_s: the wait for a first event from which on a chain counts
            as slow.
        """
        pace = self._paces.get(first_host)
        if pace is None:
            return 1.0
        pause_slowness = _decayed_slowness(pace.slowness, now_s - pace.pause_seen_s)
        wait_slowness = min(pace.wait_s / acceptable_wait_s, _MAX_SLOWNESS)
        return max(
            pause_slowness, _decayed_slowness(wait_slowness, now_s - pace.wait_seen_s)
        )

    def active_hosts_since(self, at_s: float) -> set[str]:
        """Return the hosts that a stream which moved since then, or just before, uses.

        Those are well.
        """
        since_s = at_s - _ACTIVE_S
        active_keys = [
            key for key, c in self._chains.items() if c.last_event_s > since_s
        ]
        return {host for key in active_keys for host in key}

    def slow_chains(self, min_ratio: float, now_s: float) -> list[ChainKey]:
        """Return chains with streams whose pauses are longer than expected.

        :param ratio: by how many times.
        """
        return [
            key for key in self._chains if self._pause_ratio(key, now_s) >= min_ratio
        ]

    def _pause_ratio(self, key: ChainKey, now_s: float) -> float:
        pace = self._pace(key)
        return _decayed_slowness(pace.slowness, now_s - pace.pause_seen_s)

    def retain_hosts(self, known_hosts: set[str]) -> None:
        """Forget all hosts but these."""
        for host in set(self._paces) - known_hosts:
            del self._paces[host]

    def stream_ended(self, key: ChainKey) -> None:
        """A stream over the chain that had got events ended."""
        chain = self._chains.get(key)
        if chain is None:
            return
        chain.streams -= 1
        if chain.streams <= 0:
            del self._chains[key]

    def suspect_hosts(
        self, key: ChainKey, now_s: float, loop_delay_s: float
    ) -> tuple[str, ...]:
        """Return the hosts of a chain that no moving stream runs through.

        None if the event loop was late: then nothing is known of any stream.
        """
        if loop_delay_s > _MAX_LOOP_DELAY_S:
            return ()
        limit_s = max(_ACTIVE_S, _ACTIVE_FACTOR * self._pace(key).pause_s)
        active: set[str] = set()
        for other, chain in self._chains.items():
            if now_s - chain.last_event_s < limit_s:
                active.update(other)
        return tuple(host for host in key if host not in active)

    def is_stalled(self, key: ChainKey, now_s: float, loop_delay_s: float) -> bool:
        """Return whether the chain surely stands still, and others don't."""
        suspects = set(self.suspect_hosts(key, now_s, loop_delay_s))
        if not suspects:
            return False
        suspect_chains = [
            c for k, c in self._chains.items() if not suspects.isdisjoint(k)
        ]
        if sum(chain.streams for chain in suspect_chains) < _MIN_STALLED_STREAMS:
            return False
        stall_s = max(_STALL_S, _STALL_FACTOR * self._pace(key).pause_s)
        if any(now_s - chain.last_event_s < stall_s for chain in suspect_chains):
            return False
        other_chains = [c for k, c in self._chains.items() if suspects.isdisjoint(k)]
        active = [c for c in other_chains if now_s - c.last_event_s < _STALL_S]
        return bool(active) and 2 * len(active) >= len(other_chains)

    def _pace(self, key: ChainKey) -> _HostPace:
        return self._paces.get(key[0], _HostPace())


def _decayed_slowness(slowness: float, age_s: float) -> float:
    """Return what is left of a slowness that was seen some time ago."""
    return 1.0 + (max(1.0, slowness) - 1.0) * math.exp(-age_s / _SLOWNESS_DECAY_S)
