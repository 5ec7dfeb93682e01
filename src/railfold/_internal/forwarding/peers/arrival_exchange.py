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
    PlacementLed,
)
from railfold._internal.forwarding.router import Router

__all__ = ["ArrivalExchange"]

# Rates follow a burst within seconds; so should what is told of them.
_INTERVAL_S = 1.0

# What the entry that places layers takes in for this: 60 messages of 100 bytes a second
# are the 6 KB/s that a daemon has for control. 380 entries tell every 6.3 s.
_MESSAGES_PER_S = 60.0

# The one that places says so this often; after three times as long it is forgotten.
_LED_S = 5.0
_LED_FORGOTTEN_S = 3 * _LED_S

# A datagram holds the rates of so many services.
_SERVICES_TOLD = 16


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
        self._led_s = float("-inf")
        self._told_s = float("-inf")

    async def run(self, ready: asyncio.Event) -> None:
        """Tell until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(self._interval_s)
            self._tell()

    @property
    def _interval_s(self) -> float:
        return max(_INTERVAL_S, self._router.entries / _MESSAGES_PER_S)

    def _tell(self) -> None:
        now_s = self._loop.time()
        if self._leadership.current_token(now_s) is not None:
            if now_s - self._told_s >= _LED_S:
                self._told_s = now_s
                self._channel.tell(PlacementLed(self._name))
            return
        self._told_s = float("-inf")  # Once it leads, it says so at once.
        if now_s - self._led_s < _LED_FORGOTTEN_S:
            self._channel.tell_one(
                self._leader, ArrivalsNotice(self._name, self._rates)
            )

    @property
    def _rates(self) -> dict[str, float]:
        rates = self._router.arrivals.all_per_s(self._loop.time())
        busiest = sorted(rates, key=lambda service: -rates[service])
        return {s: round(rates[s], 3) for s in busiest[:_SERVICES_TOLD]}

    def led(self, message: PlacementLed) -> None:
        """Another entry places layers."""
        self._leader = message.name
        self._led_s = self._loop.time()

    def told(self, message: ArrivalsNotice) -> None:
        """Another entry tells what arrives there."""
        now_s = self._loop.time()
        self._router.fleet_arrivals.announced(message.name, message.per_s, now_s)
