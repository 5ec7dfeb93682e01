"""Whether a backend server may be sent a request now, and if not, until when.

One decision for plain services and for stages of chains, asked when a server is chosen
and again right before a request is sent: it may have waited for a connection.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from railfold._internal.decisions.avoidance import Avoidance
from railfold._internal.decisions.engine_directory import EngineDirectory
from railfold._internal.decisions.fleet_load import FleetLoad
from railfold._internal.decisions.load_shedding import (
    BackingOff,
    HalfOpen,
    RequestedBackoffs,
)

__all__ = [
    "Bar",
    "EndingBar",
    "Full",
    "NotServing",
    "Paused",
    "RateLimited",
    "Role",
    "ServerEligibility",
    "SlowStart",
    "Terms",
]


class Role(Enum):
    """The part that a backend server takes in a request."""

    REPLICA = auto()  # Of a plain service.
    FIRST_STAGE = auto()
    LATER_STAGE = auto()  # Reached through the stage before it.

    @property
    def is_direct(self) -> bool:
        """Whether the entry itself sends the request to the server."""
        return self is not Role.LATER_STAGE


@dataclass(frozen=True, slots=True)
class RateLimited:
    """No permit of its rate limit is there before ``until_s``."""

    until_s: float


@dataclass(frozen=True, slots=True)
class NotServing:
    """It is gone, leaving or suspect."""


@dataclass(frozen=True, slots=True)
class Paused:
    """It refused work, and holds as much as it held then."""


@dataclass(frozen=True, slots=True)
class SlowStart:
    """It gets a part of its usual requests, and this isn't one of them."""


@dataclass(frozen=True, slots=True)
class Full:
    """It rejected a request, of this entry or another one, for want of room."""


Bar = BackingOff | HalfOpen | RateLimited | NotServing | Paused | SlowStart | Full
EndingBar = BackingOff | HalfOpen | RateLimited


@dataclass(slots=True)
class Terms:
    """What one request accepts, and what bars it met.

    :param max_wait_s: how long it may wait for a permit.
    :param relaxed: whether servers in slow start, or full ones, serve too, since no
        others can.
    :param ignores_ends: whether bars that end by themselves don't count.
    :param bars: the bars met, by server.
    """

    max_wait_s: float = 0.0
    relaxed: bool = False
    ignores_ends: bool = False
    bars: dict[str, Bar] = field(default_factory=dict)


class ServerEligibility:
    """The one decision.

    Times are on the loop's clock.

    :param permit_wait_s: time until a server's next permit; 0 without a limit.
    :param starts_slowly: draws whether a server's slow start leaves a request out.
    """

    def __init__(
        self,
        directory: EngineDirectory,
        avoidance: Avoidance,
        backoffs: RequestedBackoffs,
        fleet_load: FleetLoad,
        permit_wait_s: Callable[[str], float],
        starts_slowly: Callable[[str, float], bool],
    ) -> None:
        self._directory = directory
        self._avoidance = avoidance
        self._backoffs = backoffs
        self._fleet_load = fleet_load
        self._permit_wait_s = permit_wait_s
        self._starts_slowly = starts_slowly

    def allows(self, server_id: str, role: Role, now_s: float, terms: Terms) -> bool:
        """Return whether a server may serve; its bar is added to ``terms`` if not."""
        bar = self._bar(server_id, role, now_s, terms)
        if bar is None:
            return True
        terms.bars[server_id] = bar
        return False

    def _bar(
        self, server_id: str, role: Role, now_s: float, terms: Terms
    ) -> Bar | None:
        if role.is_direct and not terms.ignores_ends:
            backoff = self._backoffs.bar(server_id, now_s)
            if backoff is not None:
                return backoff
        wait_s = self._permit_wait_s(server_id)
        if wait_s > terms.max_wait_s and not terms.ignores_ends:
            return RateLimited(now_s + wait_s)
        if role is not Role.REPLICA and self._is_paused(server_id, now_s):
            return Paused()
        return None if terms.relaxed else self._soft_bar(server_id, role, now_s)

    def _soft_bar(self, server_id: str, role: Role, now_s: float) -> Bar | None:
        """Return what bars a server only while others can serve."""
        if role is not Role.REPLICA and self._fleet_load.is_full(server_id, now_s):
            return Full()
        if self._starts_slowly(server_id, now_s):
            return SlowStart()
        return None

    def bar_of_send(self, server_id: str, now_s: float) -> Bar | None:
        """Return what has come up since a server was chosen.

        Its permit is taken by then, and its load counts the request.
        """
        entry = self._directory.get(server_id)
        if entry is None or not entry.routable:
            return NotServing()
        return self._backoffs.bar(server_id, now_s)

    def _is_paused(self, server_id: str, now_s: float) -> bool:
        load = self._fleet_load.own_load(server_id).tokens
        return self._avoidance.avoided(server_id, now_s, load)
