"""Child that tells the entry which places layers what arrives here.

Placing needs the load of all entries, and only one of them places. It says so every few
seconds; the others send it their figures. Who isn't heard is reckoned with the mean.
"""

from __future__ import annotations

import asyncio

from railfold._internal.decisions.leadership import Leadership
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import (
    ArrivalsNotice,
    PlacementLeaderNotice,
)
from railfold._internal.forwarding.router import Router

__all__ = ["ArrivalExchange"]

# Rates follow a burst within seconds; so should what is told of them.
_MIN_SEND_INTERVAL_S = 1.0

# What the entry that places layers takes in for this: 60 messages of 100 bytes a second
# are the 6 KB/s that a daemon has for control. 380 entries tell every 6.3 s.
_MAX_LEADER_MESSAGES_PER_S = 60.0

# The one that places says so this often; after three times as long it is forgotten.
_LEADER_ANNOUNCE_INTERVAL_S = 5.0
_LEADER_TIMEOUT_S = 3 * _LEADER_ANNOUNCE_INTERVAL_S

# A datagram holds the rates of so many services.
_MAX_SERVICES_SENT = 16


class ArrivalExchange:
    """Tells arrivals to the one that places layers, or gathers them.

    :param name: this entry's.
    """

    def __init__(
        self, name: str, router: Router, leadership: Leadership, channel: PeerChannel
    ) -> None:
        self._name = name
        self._router = router
        self._leadership = leadership
        self._channel = channel
        self._loop = asyncio.get_running_loop()
        self._leader = ""
        self._leader_announced_s = float("-inf")
        self._announced_s = float("-inf")

    async def run(self, ready: asyncio.Event) -> None:
        """Tell until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(self._send_interval_s)
            self._send_update()

    @property
    def _send_interval_s(self) -> float:
        return max(
            _MIN_SEND_INTERVAL_S, self._router.entries / _MAX_LEADER_MESSAGES_PER_S
        )

    def _send_update(self) -> None:
        now_s = self._loop.time()
        if self._leadership.fencing(now_s) is not None:
            if now_s - self._announced_s >= _LEADER_ANNOUNCE_INTERVAL_S:
                self._announced_s = now_s
                self._channel.broadcast(PlacementLeaderNotice(self._name))
            return
        self._announced_s = float("-inf")  # Once it leads, it says so at once.
        if now_s - self._leader_announced_s < _LEADER_TIMEOUT_S:
            self._channel.send_to(
                self._leader, ArrivalsNotice(self._name, self._busiest_rates_per_s)
            )

    @property
    def _busiest_rates_per_s(self) -> dict[str, float]:
        rates = self._router.arrivals.all_per_s(self._loop.time())
        busiest = sorted(rates, key=lambda service: -rates[service])
        return {s: round(rates[s], 3) for s in busiest[:_MAX_SERVICES_SENT]}

    def leader_announced(self, message: PlacementLeaderNotice) -> None:
        """Another entry places layers."""
        self._leader = message.name
        self._leader_announced_s = self._loop.time()

    def arrivals_received(self, message: ArrivalsNotice) -> None:
        """Another entry tells what arrives there."""
        now_s = self._loop.time()
        self._router.fleet_arrivals.announced(message.name, message.per_s, now_s)
