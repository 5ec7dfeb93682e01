"""Whether a backend server may be sent a request now, and if not, until when.

The same rules apply to plain services and to stages of chains. They are checked when a
server is chosen, and again right before a request is sent, since the request may have
waited for a connection in between.
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
    "EligibilityTerms",
    "Full",
    "IneligibleReason",
    "NotServing",
    "Paused",
    "RateLimited",
    "Role",
    "ServerEligibility",
    "SlowStart",
    "TemporaryReason",
]


class Role(Enum):
    """The role of a backend server in a request."""

    REPLICA = auto()  # Replica of a plain service.
    FIRST_STAGE = auto()
    LATER_STAGE = auto()  # Gets the request from the stage before it.

    @property
    def is_direct(self) -> bool:
        """Whether the entry itself sends the request to the server."""
        return self is not Role.LATER_STAGE


@dataclass(frozen=True, slots=True)
class RateLimited:
    """No permit under the server's rate limit is available before ``until_s``."""

    until_s: float


@dataclass(frozen=True, slots=True)
class NotServing:
    """The server is unregistered, draining, leaving or suspected."""


@dataclass(frozen=True, slots=True)
class Paused:
    """The server refused a request, and has as much load as it had then."""


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The server is in slow start, and this request isn't in its share."""


@dataclass(frozen=True, slots=True)
class Full:
    """The server rejected a request of some entry because it had no capacity."""


IneligibleReason = (
    BackingOff | HalfOpen | RateLimited | NotServing | Paused | SlowStart | Full
)
TemporaryReason = BackingOff | HalfOpen | RateLimited


@dataclass(slots=True)
class EligibilityTerms:
    """Terms of one request's search for a server, and the reasons that it met.

    :param max_wait_s: how long the request may wait for a permit.
    :param relaxed: whether full servers and servers in slow start are eligible, because
        no others can serve the request.
    :param ignores_temporary: whether to ignore reasons that end at a known time.
    :param reasons: why servers were ineligible, by server id.
    """

    max_wait_s: float = 0.0
    relaxed: bool = False
    ignores_temporary: bool = False
    reasons: dict[str, IneligibleReason] = field(default_factory=dict)


class ServerEligibility:
    """Decides whether servers may be sent a request now.

    Times are on the event loop's clock.

    :param permit_wait_s: returns the time until a server's next permit; 0 if the server
        has no rate limit.
    :param skips_slow_start: returns whether a request skips a server because of the
        server's slow start; the result is random.
    """

    def __init__(
        self,
        directory: EngineDirectory,
        avoidance: Avoidance,
        backoffs: RequestedBackoffs,
        fleet_load: FleetLoad,
        permit_wait_s: Callable[[str], float],
        skips_slow_start: Callable[[str, float], bool],
    ) -> None:
        self._directory = directory
        self._avoidance = avoidance
        self._backoffs = backoffs
        self._fleet_load = fleet_load
        self._permit_wait_s = permit_wait_s
        self._skips_slow_start = skips_slow_start

    def allows(
        self, server_id: str, role: Role, now_s: float, terms: EligibilityTerms
    ) -> bool:
        """Return whether a server is eligible; if not, add the reason to ``terms``."""
        reason = self._ineligible_reason(server_id, role, now_s, terms)
        if reason is None:
            return True
        terms.reasons[server_id] = reason
        return False

    def _ineligible_reason(
        self, server_id: str, role: Role, now_s: float, terms: EligibilityTerms
    ) -> IneligibleReason | None:
        if role.is_direct and not terms.ignores_temporary:
            backoff = self._backoffs.ineligible_reason(server_id, now_s)
            if backoff is not None:
                return backoff
        wait_s = self._permit_wait_s(server_id)
        if wait_s > terms.max_wait_s and not terms.ignores_temporary:
            return RateLimited(now_s + wait_s)
        if role is not Role.REPLICA and self._is_paused(server_id, now_s):
            return Paused()
        return None if terms.relaxed else self._relaxable_reason(server_id, role, now_s)

    def _relaxable_reason(
        self, server_id: str, role: Role, now_s: float
    ) -> IneligibleReason | None:
        """Return a reason that applies only while other servers can serve."""
        if role is not Role.REPLICA and self._fleet_load.is_full(server_id, now_s):
            return Full()
        if self._skips_slow_start(server_id, now_s):
            return SlowStart()
        return None

    def reason_against_send(
        self, server_id: str, now_s: float
    ) -> IneligibleReason | None:
        """Return why a server that was chosen may not be sent the request any more.

        Rate limit and load aren't checked: the permit is taken by then, and the
        server's load includes the request.
        """
        entry = self._directory.get(server_id)
        if entry is None or not entry.routable:
            return NotServing()
        return self._backoffs.ineligible_reason(server_id, now_s)

    def _is_paused(self, server_id: str, now_s: float) -> bool:
        load = self._fleet_load.own_load(server_id).tokens
        return self._avoidance.is_avoided(server_id, now_s, load)
