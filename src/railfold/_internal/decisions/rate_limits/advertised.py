"""Rate limits of backend servers, by the latest report about each server.

An overloaded server advertises in each answer the rate of requests that it accepts from
all entries together, for as long as the limit is in force. Each answer is a report
about the limit. The server may have decided on it at any time between the send of the
request and the arrival of the answer's head, so reports of requests that were in flight
at the same time have no order. The end of a limit, or a limit after an end, is
therefore ignored if its request was sent before the latest report arrived. Reports of
other entries are ordered by their age.

A limit lapses if no report confirms it for long: an entry that is cut off from the
others and gets no permit would never learn that the limit has ended. After the end of a
limit the server's traffic share grows gradually, since all entries return to the server
at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.decisions.rate_limits.headers import (
    NoRateLimit,
    RateLimitAdvertised,
    RateLimitHeader,
    UnreadableRateLimit,
)
from railfold._internal.decisions.slow_start import slow_start_share

__all__ = [
    "AdvertisedLimits",
    "LimitChange",
    "LimitLapsed",
]

# Time over which a server's share of new requests grows back after its limit ended.
_SLOW_START_S = 4.0

# Bounds of the time after which an unconfirmed limit lapses. While there is demand,
# each request that gets a permit confirms the limit, and entries report it to each
# other every second.
_MIN_LAPSE_S = 4.0
_MAX_LAPSE_S = 30.0

# A limit doesn't lapse before the time in which it allows this number of permits.
_MIN_PERMITS_BEFORE_LAPSE = 3.0


@dataclass(frozen=True, slots=True)
class LimitLapsed:
    """No report has confirmed a server's limit for ``unconfirmed_s``."""

    unconfirmed_s: float


# The header that changed what is known of a server, or the lapse of its limit.
LimitChange = RateLimitHeader | LimitLapsed


@dataclass(slots=True)
class _ServerLimit:
    """The limit of one server.

    :param limit_per_s: the limit, in requests a second; ``None`` after its end.
    :param changed_s: when the limit last changed or ended.
    :param latest_report_s: when the latest report about it was received.
    """

    limit_per_s: float | None
    changed_s: float
    latest_report_s: float


class AdvertisedLimits:
    """The limits of backend servers, by the ids of their incarnations.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _ServerLimit] = {}
        self._unreadable: set[str] = set()

    def __bool__(self) -> bool:
        """Whether any server has a limit, or had one recently."""
        return bool(self._limits)

    @property
    def in_force(self) -> list[str]:
        """Ids of the servers that have a limit now."""
        return [s for s, limit in self._limits.items() if limit.limit_per_s is not None]

    def limit_per_s(self, server_id: str) -> float | None:
        """Return a server's limit in requests a second; ``None`` if it has none."""
        limit = self._limits.get(server_id)
        return limit.limit_per_s if limit is not None else None

    def observe(
        self, server_id: str, header: RateLimitHeader, sent_s: float, now_s: float
    ) -> LimitChange | None:
        """Record the rate limit header of a server's answer.

        :param sent_s: when the request was sent.
        :return: the header if it changed the server's limit, or if it is the first
            unreadable one of the server; ``None`` otherwise.
        """
        limit = self._limits.get(server_id)
        match header:
            case RateLimitAdvertised(limit_per_s=limit_per_s):
                return self._record_limit(server_id, limit_per_s, sent_s, now_s)
            case NoRateLimit():
                if (
                    limit is None
                    or limit.limit_per_s is None
                    or sent_s <= limit.latest_report_s
                ):
                    return None
                return self._record_end(limit, now_s)
            case UnreadableRateLimit():
                if server_id in self._unreadable:
                    return None
                self._unreadable.add(server_id)
                return header

    def _record_limit(
        self, server_id: str, limit_per_s: float, sent_s: float, reported_s: float
    ) -> LimitChange | None:
        limit = self._limits.get(server_id)
        if limit is None:
            self._limits[server_id] = _ServerLimit(limit_per_s, reported_s, reported_s)
            return RateLimitAdvertised(limit_per_s)
        if limit.limit_per_s is None and sent_s < limit.latest_report_s:
            return None
        limit.latest_report_s = max(limit.latest_report_s, reported_s)
        if limit.limit_per_s == limit_per_s:
            return None
        limit.limit_per_s = limit_per_s
        limit.changed_s = reported_s
        return RateLimitAdvertised(limit_per_s)

    def _record_end(self, limit: _ServerLimit, reported_s: float) -> LimitChange:
        limit.limit_per_s = None
        limit.changed_s = limit.latest_report_s = reported_s
        return NoRateLimit()

    def observe_peer(
        self, server_id: str, limit_per_s: float | None, reported_s: float
    ) -> LimitChange | None:
        """Record what another entry reports about a server's limit.

        :param limit_per_s: the limit; ``None`` if the server has none any more.
        :param reported_s: when the other entry received the server's answer.
        :return: the change of the server's limit; ``None`` if it didn't change.
        """
        limit = self._limits.get(server_id)
        if limit is not None and reported_s < limit.latest_report_s:
            return None
        if limit_per_s is not None:
            return self._record_limit(server_id, limit_per_s, reported_s, reported_s)
        if limit is None or limit.limit_per_s is None:
            return None
        return self._record_end(limit, reported_s)

    def report_age_s(self, server_id: str, now_s: float) -> float:
        """Return the age of the latest report about a server; infinite without one."""
        limit = self._limits.get(server_id)
        return now_s - limit.latest_report_s if limit is not None else float("inf")

    def traffic_share(self, server_id: str, now_s: float) -> float:
        """Return a server's share of its usual new requests, from 0 to 1.

        It is below 1 for some time after the end of a limit. While a limit is in force
        it is 1, since permits restrict the traffic.
        """
        limit = self._limits.get(server_id)
        if limit is None or limit.limit_per_s is not None:
            return 1.0
        return slow_start_share(limit.changed_s, now_s, _SLOW_START_S)

    def lapse_unconfirmed(
        self, now_s: float, entry_count: int
    ) -> dict[str, LimitLapsed]:
        """End the limits that no report has confirmed for long, and return them.

        The more entries there are, the later a limit lapses. If no entry hears from
        another one, each ends the limit by itself and sends a request. Up to
        ``_MAX_LAPSE_S``, the delay keeps the requests of all of them within the limit.
        """
        lapsed: dict[str, LimitLapsed] = {}
        for server_id, limit in self._limits.items():
            if limit.limit_per_s is None:
                continue
            unconfirmed_s = now_s - limit.latest_report_s
            if unconfirmed_s > _lapse_delay_s(limit.limit_per_s, entry_count):
                # No report ended the limit, so ``latest_report_s`` stays: an equally
                # recent report of another entry can restore the limit.
                limit.limit_per_s = None
                limit.changed_s = now_s
                lapsed[server_id] = LimitLapsed(unconfirmed_s)
        return lapsed

    def forget(self, known_ids: set[str], now_s: float) -> None:
        """Forget limits that ended long ago, and all servers but ``known_ids``."""
        self._unreadable &= known_ids
        for server_id, limit in list(self._limits.items()):
            expired = (
                limit.limit_per_s is None and now_s - limit.changed_s > _MAX_LAPSE_S
            )
            if server_id not in known_ids or expired:
                del self._limits[server_id]


def _lapse_delay_s(limit_per_s: float, entry_count: int) -> float:
    rate_per_s = max(1e-6, limit_per_s)
    longest_s = max(_MIN_PERMITS_BEFORE_LAPSE, float(entry_count)) / rate_per_s
    return min(_MAX_LAPSE_S, max(_MIN_LAPSE_S, longest_s))
