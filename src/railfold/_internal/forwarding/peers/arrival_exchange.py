"""Child that sends arrival rates to the entry that places layers.

Placement needs the arrival rates of all entries, but only one entry, the leader, places
layers. The leader announces itself every few seconds, and the other entries send it
their rates. An entry whose rates are missing is assumed to have the average rates.
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

# The shortest interval between two messages with rates. Rates rise within seconds of a
# burst, and the leader should know them as quickly.
_MIN_SEND_INTERVAL_S = 1.0

# The rate at which the leader can receive these messages: 60 messages of 100 bytes per
# second use the 6 KB/s that a daemon has for control traffic. With 380 entries, each
# therefore sends its rates every 6.3 s.
_MAX_LEADER_MESSAGES_PER_S = 60.0

# How often the leader announces itself, and how long after its last announcement the
# other entries stop sending to it.
_LEADER_ANNOUNCE_INTERVAL_S = 5.0
_LEADER_TIMEOUT_S = 3 * _LEADER_ANNOUNCE_INTERVAL_S

# The maximum number of services whose rates fit in a datagram.
_MAX_SERVICES_SENT = 16


class ArrivalExchange:
    """Sends arrival rates to the leader, or collects those of the others as leader.

    :param name: name of this entry.
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
        """Send announcements or rates until cancelled."""
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
        if self._leadership.current_token(now_s) is not None:
            if now_s - self._announced_s >= _LEADER_ANNOUNCE_INTERVAL_S:
                self._announced_s = now_s
                self._channel.broadcast(PlacementLeaderNotice(self._name))
            return
        self._announced_s = float("-inf")  # A new leader announces itself at once.
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
        """Process the announcement of the entry that places layers."""
        self._leader = message.name
        self._leader_announced_s = self._loop.time()

    def arrivals_received(self, message: ArrivalsNotice) -> None:
        """Process the arrival rates of another entry."""
        now_s = self._loop.time()
        self._router.fleet_arrivals.announced(message.name, message.per_s, now_s)
