"""Which backend servers take only so many requests a second, by their newest word.

A server in need names the rate that it takes from all entries together, in each answer
for as long as it holds. An answer's word is of some moment between the request's send
and the answer's head, so that words of requests that were under way at the same time
can't be put in order: one that was sent before what is known was heard changes nothing.
Other entries' words count by their age.

A limit that nobody confirms for long lapses: an entry that is cut off from the others
and has no permit would never hear that it has ended. After its end a server gets its
usual share back step by step, since all entries come back at the same time.
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

# How long after the end of its limit a server's share of new work grows to the usual.
_SLOW_START_S = 4.0

# A limit that nobody confirms lapses after so long: with demand each permit confirms
# it, and what is confirmed is told each second.
_MIN_LAPSE_S = 4.0
_MAX_LAPSE_S = 30.0

# A limit of so many requests a second lapses no sooner than several permits may take.
_MIN_PERMITS_BEFORE_LAPSE = 3.0


@dataclass(frozen=True, slots=True)
class LimitLapsed:
    """Nobody has confirmed a server's limit for long."""

    unconfirmed_s: float


# What changed: the word that made it known, or that none came.
LimitChange = RateLimitHeader | LimitLapsed


@dataclass(slots=True)
class _ServerLimit:
    """What is known of one server.

    :param limit_per_s: the rate that it takes; ``None`` since it names none any more.
    :param changed_s: when that was first known.
    :param latest_report_s: when its newest word was given.
    """

    limit_per_s: float | None
    changed_s: float
    latest_report_s: float


class AdvertisedLimits:
    """The limits in force, by incarnation of a backend server.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _ServerLimit] = {}
        self._unreadable: set[str] = set()

    def __bool__(self) -> bool:
        """Whether anything is known of any server."""
        return bool(self._limits)

    @property
    def in_force(self) -> list[str]:
        """The servers whose limits hold."""
        return [s for s, limit in self._limits.items() if limit.limit_per_s is not None]

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the rate that a server takes, if it names one."""
        limit = self._limits.get(server_id)
        return limit.limit_per_s if limit is not None else None

    def observe(
        self, server_id: str, header: RateLimitHeader, sent_s: float, now_s: float
    ) -> LimitChange | None:
        """Take what the head of an answer said, to a request sent at ``sent_s``.

        :return: the word, if it changes what is known.
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
        """Take another entry's word, given to it by the server at ``given_s``.

        :param limit_per_s: the rate that the server takes; ``None`` if it names none.
        :return: the word, if it changes what is known.
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
        """Return how old a server's newest word is."""
        limit = self._limits.get(server_id)
        return now_s - limit.latest_report_s if limit is not None else float("inf")

    def traffic_share(self, server_id: str, now_s: float) -> float:
        """Return which share of its usual new work a server without a limit gets."""
        limit = self._limits.get(server_id)
        if limit is None or limit.limit_per_s is not None:
            return 1.0
        return slow_start_share(limit.changed_s, now_s, _SLOW_START_S)

    def lapse_unconfirmed(
        self, now_s: float, entry_count: int
    ) -> dict[str, LimitLapsed]:
        """Let limits lapse that nobody confirms; return which.

        One that all entries tried at once would get far too much: where nobody hears
        anybody, each tries as often as its part of the limit allows.
        """
        lapsed: dict[str, LimitLapsed] = {}
        for server_id, limit in self._limits.items():
            if limit.limit_per_s is None:
                continue
            unconfirmed_s = now_s - limit.latest_report_s
            if unconfirmed_s > _lapse_delay_s(limit.limit_per_s, entry_count):
                # The server gave no word: another entry's last one names it anew.
                limit.limit_per_s = None
                limit.changed_s = now_s
                lapsed[server_id] = LimitLapsed(unconfirmed_s)
        return lapsed

    def forget(self, known_ids: set[str], now_s: float) -> None:
        """Forget servers that are gone, and limits that ended long ago."""
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
