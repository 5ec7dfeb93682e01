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
    RateLimitHeader,
    RateLimitNamed,
    UnreadableRateLimit,
)
from railfold._internal.decisions.slow_start import usual_share

__all__ = [
    "AdvertisedLimits",
    "LimitChange",
    "LimitLapsed",
]

# How long after the end of its limit a server's share of new work grows to the usual.
_RECOVERY_S = 4.0

# A limit that nobody confirms lapses after so long: with demand each permit confirms
# it, and what is confirmed is told each second.
_LEAST_LAPSE_S = 4.0
_MOST_LAPSE_S = 30.0

# A limit of so many requests a second lapses no sooner than several permits may take.
_PERMITS_UNCONFIRMED = 3.0


@dataclass(frozen=True, slots=True)
class LimitLapsed:
    """Nobody has confirmed a server's limit for long."""

    unconfirmed_s: float


# What changed: the word that made it known, or that none came.
LimitChange = RateLimitHeader | LimitLapsed


@dataclass(slots=True)
class _Advertised:
    """What is known of one server.

    :param per_s: the rate that it takes; ``None`` since it names none any more.
    :param changed_s: when that was first known.
    :param word_s: when its newest word was given.
    """

    per_s: float | None
    changed_s: float
    word_s: float


class AdvertisedLimits:
    """The limits in force, by incarnation of a backend server.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Advertised] = {}
        self._unreadable: set[str] = set()

    def __bool__(self) -> bool:
        """Whether anything is known of any server."""
        return bool(self._known)

    @property
    def in_force(self) -> list[str]:
        """The servers whose limits hold."""
        return [s for s, known in self._known.items() if known.per_s is not None]

    def per_s(self, server_id: str) -> float | None:
        """Return the rate that a server takes, if it names one."""
        known = self._known.get(server_id)
        return known.per_s if known is not None else None

    def observe(
        self, server_id: str, word: RateLimitHeader, sent_s: float, now_s: float
    ) -> LimitChange | None:
        """Take what the head of an answer said, to a request sent at ``sent_s``.

        :return: the word, if it changes what is known.
        """
        known = self._known.get(server_id)
        match word:
            case RateLimitNamed(per_s=per_s):
                return self._named(server_id, per_s, sent_s, now_s)
            case NoRateLimit():
                if known is None or known.per_s is None or sent_s <= known.word_s:
                    return None
                return self._ended(known, now_s)
            case UnreadableRateLimit():
                if server_id in self._unreadable:
                    return None
                self._unreadable.add(server_id)
                return word

    def _named(
        self, server_id: str, per_s: float, sent_s: float, given_s: float
    ) -> LimitChange | None:
        known = self._known.get(server_id)
        if known is None:
            self._known[server_id] = _Advertised(per_s, given_s, given_s)
            return RateLimitNamed(per_s)
        if known.per_s is None and sent_s < known.word_s:
            return None
        known.word_s = max(known.word_s, given_s)
        if known.per_s == per_s:
            return None
        known.per_s = per_s
        known.changed_s = given_s
        return RateLimitNamed(per_s)

    def _ended(self, known: _Advertised, given_s: float) -> LimitChange:
        known.per_s = None
        known.changed_s = known.word_s = given_s
        return NoRateLimit()

    def announced(
        self, server_id: str, per_s: float | None, given_s: float
    ) -> LimitChange | None:
        """Take another entry's word, given to it by the server at ``given_s``.

        :param per_s: the rate that the server takes; ``None`` if it names none.
        :return: the word, if it changes what is known.
        """
        known = self._known.get(server_id)
        if known is not None and given_s < known.word_s:
            return None
        if per_s is not None:
            return self._named(server_id, per_s, given_s, given_s)
        if known is None or known.per_s is None:
            return None
        return self._ended(known, given_s)

    def word_age_s(self, server_id: str, now_s: float) -> float:
        """Return how old a server's newest word is."""
        known = self._known.get(server_id)
        return now_s - known.word_s if known is not None else float("inf")

    def share(self, server_id: str, now_s: float) -> float:
        """Return which share of its usual new work a server without a limit gets."""
        known = self._known.get(server_id)
        if known is None or known.per_s is not None:
            return 1.0
        return usual_share(known.changed_s, now_s, _RECOVERY_S)

    def lapse(self, now_s: float, entries: int) -> dict[str, LimitLapsed]:
        """Let limits lapse that nobody confirms; return which.

        One that all entries tried at once would get far too much: where nobody hears
        anybody, each tries as often as its part of the limit allows.
        """
        lapsed: dict[str, LimitLapsed] = {}
        for server_id, known in self._known.items():
            if known.per_s is None:
                continue
            unconfirmed_s = now_s - known.word_s
            if unconfirmed_s > _lapse_s(known.per_s, entries):
                # The server gave no word: another entry's last one names it anew.
                known.per_s = None
                known.changed_s = now_s
                lapsed[server_id] = LimitLapsed(unconfirmed_s)
        return lapsed

    def forget(self, known_ids: set[str], now_s: float) -> None:
        """Forget servers that are gone, and limits that ended long ago."""
        self._unreadable &= known_ids
        for server_id, known in list(self._known.items()):
            over = known.per_s is None and now_s - known.changed_s > _MOST_LAPSE_S
            if server_id not in known_ids or over:
                del self._known[server_id]


def _lapse_s(per_s: float, entries: int) -> float:
    rate_per_s = max(1e-6, per_s)
    longest_s = max(_PERMITS_UNCONFIRMED, float(entries)) / rate_per_s
    return min(_MOST_LAPSE_S, max(_LEAST_LAPSE_S, longest_s))
