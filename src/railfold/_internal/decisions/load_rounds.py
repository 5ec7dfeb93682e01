"""Adding up what entries have under way, in rounds.

In each round one entry of a failure domain collects the parts of the others, and sends
all of them the sum, together with the sums of other domains; that of its own domain
goes to one entry of each other domain, which passes it on to the next collector there,
and that one to the collector after it.
Who collects is drawn by the number of the round, so that the work and the bytes are
shared, and a collector that is lost costs one round. An entry that hears no sum goes on
to the next round, and passes over the collector that it missed.

A round's number is a logical clock of a domain: a part counts only in the round that it
was sent for, which begins with the sum of the one before. So no clocks are compared. A
sum counts for an entry only if its own part is in it: then it was made after that part
was sent. Another domain's sum names the newest round of this one that is known there,
and is reckoned to be as old as that. Each round begins from nothing; what was lost,
came twice or late changes no other.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

__all__ = [
    "AmountsByKey",
    "DomainSum",
    "LoadRounds",
    "OtherEntriesLoad",
    "PublishSum",
    "RoundAction",
    "SendContribution",
]

# How long a collector waits for parts that were sent at the same time, and how much
# longer the others wait for its sum, as shares of the interval.
_COLLECT_TIME_SHARE = 0.25
_SUM_TIMEOUT_SHARE = 0.25

# A collector that was missed so often in a row is passed over for so many intervals:
# entries that are gone for good stay in the list for minutes.
_MAX_MISSED = 2
_SKIP_INTERVALS = 20

# Sums of other domains count for so many intervals.
_DOMAIN_SUM_LIFETIME_INTERVALS = 5

# So many own parts are kept, by which the age of other domains' sums is reckoned.
_MAX_SENT_KEPT = 12

# Parts for later rounds than the next come from entries that are ahead.
_MAX_COLLECTED_ROUNDS = 4

AmountsByKey = Mapping[int, Sequence[int]]
"""Amounts by a key, all of the same length."""


@dataclass(frozen=True, slots=True)
class SendContribution:
    """Send the own part for a round to the one that collects it."""

    to: str
    round: int
    contribution: AmountsByKey


@dataclass(frozen=True, slots=True)
class DomainSum:
    """The sum of another domain.

    :param seen: the newest round of this domain that was known there, if any was.
    """

    domain: str
    round: int
    entries: int
    amounts_by_key: AmountsByKey
    seen: int | None


@dataclass(frozen=True, slots=True)
class PublishSum:
    """Send the sum of a round.

    :param to: entries of the own domain.
    :param foreign: one entry of each other domain, which get ``home``.
    :param next_collector: gets what is known of other domains, ``handed_over``.
    :param seen: the newest rounds of other domains that are known.
    :param included: entries of the own domain whose parts are in it.
    :param home: the sum of the own domain.
    :param total: the same with the sums of other domains.
    :param entries: how many entries' parts are in ``total``.
    :param age_s: how much older than the parts of the own domain the others are.
    """

    round: int
    to: tuple[str, ...]
    other_domain_receivers: tuple[str, ...]
    next_collector: str
    forwarded_sums: tuple[DomainSum, ...]
    seen: Mapping[str, int]
    included: tuple[str, ...]
    domain_total: AmountsByKey
    total: AmountsByKey
    entries: int
    age_s: float


@dataclass(frozen=True, slots=True)
class OtherEntriesLoad:
    """What the other entries have under way.

    :param at_s: from when the oldest part is, at the earliest.
    :param entries: how many other entries' parts are in it.
    """

    at_s: float
    others: AmountsByKey
    entries: int


RoundAction = SendContribution | PublishSum


@dataclass(slots=True)
class _OtherDomainSum:
    """A sum of another domain.

    :param at_s: from when it is at the earliest.
    """

    domain_sum: DomainSum
    at_s: float
    received_s: float


@dataclass(slots=True)
class _SentContribution:
    at_s: float
    amounts_by_key: AmountsByKey
    included: int = 0


@dataclass(slots=True)
class LoadRounds:
    """One entry's part in the rounds.

    Times are on the monotonic clock.

    :param name: this entry's.
    :param domain: its failure domain.
    :param random_unit: returns a random number from 0 to 1.
    :param round: the newest round of which a sum was heard, or given up.
    """

    name: str
    domain: str
    interval_s: float
    random_unit: Callable[[], float]
    round: int = 0
    _round_started_s: float | None = None
    _sent: dict[int, _SentContribution] = field(default_factory=dict)
    _collected: dict[int, dict[str, AmountsByKey]] = field(default_factory=dict)
    _other_domain_sums: dict[str, _OtherDomainSum] = field(default_factory=dict)
    _seen: dict[str, int] = field(default_factory=dict)
    _missed_rounds: dict[str, int] = field(default_factory=dict)
    _skipped_until_s: dict[str, float] = field(default_factory=dict)

    def step(
        self,
        now_s: float,
        members: Mapping[str, Sequence[str]],
        own: Callable[[], AmountsByKey],
    ) -> list[RoundAction]:
        """Return what to send now.

        :param members: names of all entries by failure domain, with this one.
        :param own: returns what this entry has under way.
        """
        if self._round_started_s is None:
            # Entries that start together don't all collect at once.
            self._round_started_s = now_s - self.random_unit() * self.interval_s
        domain_members = members.get(self.domain, ())
        number = self.round + 1
        collector = self._collector(domain_members, number, now_s)
        since_s = now_s - self._round_started_s
        actions: list[RoundAction] = []
        collect_s = _COLLECT_TIME_SHARE * self.interval_s
        if since_s >= self.interval_s - collect_s and number not in self._sent:
            contribution = own()
            self._record_sent(number, now_s, contribution)
            if collector != self.name:
                actions.append(SendContribution(collector, number, contribution))
        collects = collector == self.name or number in self._collected
        if collects and number in self._sent:
            contributions = self._collected.get(number, {})
            complete = (
                collector == self.name and len(contributions) >= len(domain_members) - 1
            )
            if complete or since_s >= self.interval_s:
                actions.append(self._publish(number, now_s, members, collector))
        elif since_s >= (1.0 + _SUM_TIMEOUT_SHARE) * self.interval_s:
            self._record_missed(collector, now_s)
            self._start_round(number, now_s - self.interval_s + collect_s)
        return actions

    def contribution_received(
        self, name: str, number: int, amounts_by_key: AmountsByKey
    ) -> bool:
        """Take another entry's part; return whether it comes in time."""
        self._mark_reachable(name)
        if number <= self.round:
            return False
        self._collected.setdefault(number, {})[name] = amounts_by_key
        while len(self._collected) > _MAX_COLLECTED_ROUNDS:
            del self._collected[min(self._collected)]
        return True

    def next_collector(self, domain_members: Sequence[str], now_s: float) -> str:
        """Return which of the own domain's entries collects the next round."""
        return self._collector(domain_members, self.round + 1, now_s)

    def domain_sum_received(self, received: DomainSum, now_s: float) -> None:
        """Take the sum of another domain."""
        known = self._other_domain_sums.get(received.domain)
        # Entries that were all started again count their rounds anew.
        lifetime_s = _DOMAIN_SUM_LIFETIME_INTERVALS * self.interval_s
        is_fresh = known is not None and now_s - known.received_s < lifetime_s
        is_outdated = (
            known is not None and known.domain_sum.round >= received.round and is_fresh
        )
        if is_outdated or received.domain == self.domain:
            return
        seen = received.seen
        known_rounds = [n for n in self._sent if seen is not None and n <= seen]
        at_s = self._sent[max(known_rounds)].at_s if known_rounds else float("-inf")
        self._other_domain_sums[received.domain] = _OtherDomainSum(
            received, at_s, now_s
        )
        self._seen[received.domain] = received.round

    def sum_received(
        self,
        sender: str,
        number: int,
        total: AmountsByKey,
        entries: int,
        now_s: float,
        *,
        includes_own: bool,
        age_s: float,
        seen: Mapping[str, int],
    ) -> OtherEntriesLoad | None:
        """Take a sum; return what counts of it for this entry.

        :param entries: how many entries' parts are in it.
        :param age_s, seen: see :class:`PublishSum`.
        :param includes_own: whether this entry's is one of them.
        """
        self._mark_reachable(sender)
        if number > self.round:
            self._start_round(number, now_s)
            self._seen = dict(seen)
        sent = self._sent.get(number)
        if sent is None or not includes_own or entries <= sent.included:
            return None
        sent.included = entries
        others = _subtract_amounts(total, sent.amounts_by_key)
        return OtherEntriesLoad(sent.at_s - age_s, others, entries - 1)

    def _publish(
        self,
        number: int,
        now_s: float,
        members: Mapping[str, Sequence[str]],
        collector: str,
    ) -> PublishSum:
        contributions = self._collected.pop(number, {})
        domain_total = _add_amounts(
            [self._sent[number].amounts_by_key, *contributions.values()]
        )
        lifetime_s = _DOMAIN_SUM_LIFETIME_INTERVALS * self.interval_s
        other_sums = [
            known
            for domain, known in self._other_domain_sums.items()
            if domain in members and now_s - known.at_s < lifetime_s
        ]
        sent_s = self._sent[number].at_s
        age_s = max((sent_s - known.at_s for known in other_sums), default=0.0)
        total = _add_amounts(
            [domain_total, *(known.domain_sum.amounts_by_key for known in other_sums)]
        )
        entries = (
            1
            + len(contributions)
            + sum(known.domain_sum.entries for known in other_sums)
        )
        others = [n for n in members.get(self.domain, ()) if n != self.name]
        # Parts that came although another one collects: only their senders wait.
        to = others if collector == self.name else list(contributions)
        receivers = [
            self._collector(names, number, now_s)
            for domain, names in members.items()
            if domain != self.domain and names
        ]
        self._start_round(number, now_s)
        return PublishSum(
            number,
            tuple(to),
            tuple(receivers),
            self.next_collector(members.get(self.domain, ()), now_s),
            tuple(known.domain_sum for known in other_sums),
            dict(self._seen),
            (self.name, *contributions),
            domain_total,
            total,
            entries,
            max(0.0, age_s),
        )

    def _start_round(self, number: int, now_s: float) -> None:
        self.round = number
        self._round_started_s = now_s
        for collected in [n for n in self._collected if n <= number]:
            del self._collected[collected]

    def _record_sent(self, number: int, now_s: float, own: AmountsByKey) -> None:
        self._sent[number] = _SentContribution(now_s, dict(own))
        while len(self._sent) > _MAX_SENT_KEPT:
            del self._sent[min(self._sent)]

    def _mark_reachable(self, name: str) -> None:
        self._missed_rounds.pop(name, None)
        self._skipped_until_s.pop(name, None)

    def _record_missed(self, name: str, now_s: float) -> None:
        self._missed_rounds[name] = self._missed_rounds.get(name, 0) + 1
        if name != self.name and self._missed_rounds[name] >= _MAX_MISSED:
            until_s = now_s + _SKIP_INTERVALS * self.interval_s
            self._skipped_until_s[name] = until_s

    def _collector(self, names: Sequence[str], number: int, now_s: float) -> str:
        """Return who collects a round among these entries."""
        skipped_until_s = self._skipped_until_s
        candidates = [n for n in names if skipped_until_s.get(n, now_s) <= now_s]
        return max(
            candidates or names or [self.name],
            key=lambda name: _collector_score(name, number),
        )


def _collector_score(name: str, number: int) -> bytes:
    text = f"{number}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def _add_amounts(contributions: Sequence[AmountsByKey]) -> dict[int, tuple[int, ...]]:
    total: dict[int, tuple[int, ...]] = {}
    for amounts_by_key in contributions:
        for key, amounts in amounts_by_key.items():
            known = total.get(key)
            if known is None:
                total[key] = tuple(amounts)
            else:
                total[key] = tuple(a + b for a, b in zip(known, amounts, strict=True))
    return total


def _subtract_amounts(
    total: AmountsByKey, own: AmountsByKey
) -> dict[int, tuple[int, ...]]:
    others: dict[int, tuple[int, ...]] = {}
    for key, amounts in total.items():
        own_amounts = own.get(key, (0,) * len(amounts))
        difference = tuple(
            max(0, a - b) for a, b in zip(amounts, own_amounts, strict=True)
        )
        if any(difference):
            others[key] = difference
    return others
