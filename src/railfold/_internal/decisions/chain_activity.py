"""Detects stalled and slow chains from the event times of their streams.

A pause in one stream may have many causes. Backend servers that carry another active
stream are healthy, so only the remaining hosts of the paused chain are suspect. If all
streams through the suspect hosts pause together while other chains keep sending, one
of the suspect hosts has stopped, and the entry need not wait for a probe to time out.
If several chains pause together, the cause is more likely this process or the network,
and no chain is reported as stalled.

The same events measure how slow a chain is: the mean pause between events, relative to
the pause expected from its accelerators, and the time that requests wait for their
first event. One of many entries has only one or two requests in flight on each chain,
so its own load says little about how full a chain is; the wait for first events does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["ChainActivity", "ChainKey"]

# The hosts of a chain, in the order of its stages.
ChainKey = tuple[str, ...]

# A chain counts as stalled after the larger of this time and this multiple of its mean
# pause. Events normally arrive every 15 to 30 ms, and the prefill of a long prompt
# delays all streams of a chain by another 30 ms. The factor keeps a chain that was
# already slow from being reported as stalled.
_STALL_S = 0.085
_STALL_FACTOR = 4.0

# A stream is active if it received an event within the larger of this time and this
# multiple of its chain's mean pause, which is two to three events. All hosts of an
# active stream are healthy.
_ACTIVE_S = 0.06
_ACTIVE_FACTOR = 2.0

# A single paused stream isn't enough evidence that a host has stopped.
_MIN_STALLED_STREAMS = 2

# If this process's event loop was delayed by more than this, events may be waiting
# unread, so a pause proves nothing about the chain.
_MAX_LOOP_DELAY_S = 0.03

# Weight of one pause in the moving mean, and the time constant with which the measured
# slowness of an unused chain decays to the expected value.
_PAUSE_WEIGHT = 0.05
_SLOWNESS_DECAY_S = 4.0

# Weight of one wait for a first event in the moving mean. It is high because an entry
# sees a first event on a chain only about every two seconds at large sites, while a
# chain can fill up within one second.
_FIRST_EVENT_WAIT_WEIGHT = 0.4

# Larger values wouldn't change which chain is chosen.
_MAX_SLOWNESS = 20.0


@dataclass(slots=True)
class _ChainState:
    """The number of streams on a chain, and the time of their latest event."""

    streams: int = 0
    last_event_s: float = 0.0


@dataclass(slots=True)
class _HostPace:
    """Moving means over all chains that begin at a host.

    :param slowness: mean pause between events, relative to the expected pause.
    :param pause_s: mean pause between events.
    :param pause_seen_s: time of the latest pause measured.
    :param wait_s: mean wait for a first event.
    :param wait_seen_s: time of the latest wait measured.
    """

    slowness: float = 1.0
    pause_s: float = 0.0
    pause_seen_s: float = 0.0
    wait_s: float = 0.0
    wait_seen_s: float = 0.0


class ChainActivity:
    """Event times of one entry's streams, by chain.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._chains: dict[ChainKey, _ChainState] = {}
        self._paces: dict[str, _HostPace] = {}

    def stream_started(self, key: ChainKey, now_s: float) -> None:
        """Record that a stream on the chain received its first event."""
        chain = self._chains.setdefault(key, _ChainState())
        chain.streams += 1
        chain.last_event_s = now_s

    def event_received(
        self, key: ChainKey, now_s: float, pause_s: float, expected_pause_s: float
    ) -> None:
        """Record that a stream on the chain received an event after its first one.

        :param pause_s: time since the stream's previous event.
        :param expected_pause_s: the pause expected from the chain's accelerators.
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
        """Record that a request received its first event ``wait_s`` after it was sent.

        :param first_host: the first host of the request's chain.
        """
        pace = self._paces.setdefault(first_host, _HostPace())
        pace.wait_s += _FIRST_EVENT_WAIT_WEIGHT * (wait_s - pace.wait_s)
        pace.wait_seen_s = now_s

    def first_event_pending(self, first_host: str, now_s: float, wait_s: float) -> None:
        """Record that a request has waited ``wait_s`` for its first event so far.

        Only a wait longer than the mean is taken into account.
        """
        pace = self._paces.setdefault(first_host, _HostPace())
        if wait_s > pace.wait_s:
            pace.wait_s = wait_s
            pace.wait_seen_s = now_s

    def slowness(
        self, first_host: str, now_s: float, acceptable_wait_s: float
    ) -> float:
        """Return how slow the chains that begin at a host are; 1.0 is as expected.

        :param acceptable_wait_s: chains whose mean wait for a first event is longer
            than this count as slow.
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
        """Return the hosts of streams with an event since ``at_s`` or just before it.

        These hosts are healthy.
        """
        since_s = at_s - _ACTIVE_S
        active_keys = [
            key for key, c in self._chains.items() if c.last_event_s > since_s
        ]
        return {host for key in active_keys for host in key}

    def slow_chains(self, min_ratio: float, now_s: float) -> list[ChainKey]:
        """Return chains with streams whose mean pause is longer than expected.

        :param min_ratio: smallest ratio of the mean pause to the expected pause.
        """
        return [
            key for key in self._chains if self._pause_ratio(key, now_s) >= min_ratio
        ]

    def _pause_ratio(self, key: ChainKey, now_s: float) -> float:
        """Return the mean pause of a chain relative to the expected pause."""
        pace = self._pace(key)
        return _decayed_slowness(pace.slowness, now_s - pace.pause_seen_s)

    def retain_hosts(self, known_hosts: set[str]) -> None:
        """Drop the measurements of all hosts except ``known_hosts``."""
        for host in set(self._paces) - known_hosts:
            del self._paces[host]

    def stream_ended(self, key: ChainKey) -> None:
        """Record the end of a stream that had received its first event."""
        chain = self._chains.get(key)
        if chain is None:
            return
        chain.streams -= 1
        if chain.streams <= 0:
            del self._chains[key]

    def suspect_hosts(
        self, key: ChainKey, now_s: float, loop_delay_s: float
    ) -> tuple[str, ...]:
        """Return the hosts of a chain that no active stream runs through.

        Returns an empty tuple if the event loop was delayed for too long, since no
        stream can be judged then.
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
        """Return whether a host of the chain has stopped.

        This holds if all streams through the chain's suspect hosts pause while at
        least half of the other chains, and at least one of them, are active.
        """
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
        """Return the means for the chain's first host; the defaults if it is new."""
        return self._paces.get(key[0], _HostPace())


def _decayed_slowness(slowness: float, age_s: float) -> float:
    """Return a slowness measured ``age_s`` ago, decayed towards 1.0."""
    return 1.0 + (max(1.0, slowness) - 1.0) * math.exp(-age_s / _SLOWNESS_DECAY_S)
