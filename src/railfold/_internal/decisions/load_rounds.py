"""Aggregation of the load of all entries, in rounds.

In each round one entry of a failure domain, the collector, adds up the load of the
domain's entries. It sends them the sum, together with the sums of other domains. It
sends the sum of its own domain to one entry of each other domain, which forwards it to
the next collector there; that collector hands it over to the one after it.

The collector is chosen by a hash of the round number, so that work and traffic are
spread, and a lost collector costs one round. An entry that receives no sum continues
with the next round, and skips a collector that it missed repeatedly.

The round number is a logical clock of a domain: a contribution counts only in the round
that it was sent for, which starts with the sum of the previous round. So no clocks are
compared. An entry uses a sum only if its own contribution is included, since the sum
was then made after that contribution was sent. The sum of another domain names the
newest round of this domain that was known there, and is assumed to be as old as that
round. Each round starts from zero; lost, duplicate or late messages affect no other
round.
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

# How long a collector waits for contributions that were sent at the same time, and how
# much longer the other entries wait for its sum, as parts of the interval.
_COLLECT_TIME_SHARE = 0.25
_SUM_TIMEOUT_SHARE = 0.25

# After this many missed rounds in a row a collector is skipped for this many intervals:
# entries that have left for good stay in the list for minutes.
_MAX_MISSED = 2
_SKIP_INTERVALS = 20

# Sums of other domains are used for this many intervals.
_DOMAIN_SUM_LIFETIME_INTERVALS = 5

# The newest own contributions are kept to tell the age of other domains' sums.
_MAX_SENT_KEPT = 12

# Contributions to rounds after the next one come from entries that are ahead.
_MAX_COLLECTED_ROUNDS = 4

AmountsByKey = Mapping[int, Sequence[int]]
"""Amounts by key; all sequences have the same length."""


@dataclass(frozen=True, slots=True)
class SendContribution:
    """Send this entry's contribution for a round to the collector."""

    to: str
    round: int
    contribution: AmountsByKey


@dataclass(frozen=True, slots=True)
class DomainSum:
    """The sum over one failure domain, as other domains receive it.

    :param entries: number of entries that are included.
    :param known_round: the newest round of the receiving domain that the sender knew,
        if any.
    """

    domain: str
    round: int
    entries: int
    amounts_by_key: AmountsByKey
    known_round: int | None


@dataclass(frozen=True, slots=True)
class PublishSum:
    """Send the sum of a round.

    :param to: entries of the own domain that get ``total``.
    :param other_domain_receivers: one entry of each other domain, which get
        ``domain_total``.
    :param next_collector: gets the known sums of other domains, ``forwarded_sums``.
    :param known_rounds: the newest known round of each other domain.
    :param included: entries of the own domain whose contributions are included.
    :param domain_total: the sum of the own domain.
    :param total: the sum of the own domain and of other domains.
    :param entries: number of entries included in ``total``.
    :param age_s: how much older the sums of other domains are than the contributions of
        the own domain, at most.
    """

    round: int
    to: tuple[str, ...]
    other_domain_receivers: tuple[str, ...]
    next_collector: str
    forwarded_sums: tuple[DomainSum, ...]
    known_rounds: Mapping[str, int]
    included: tuple[str, ...]
    domain_total: AmountsByKey
    total: AmountsByKey
    entries: int
    age_s: float


@dataclass(frozen=True, slots=True)
class OtherEntriesLoad:
    """The load of the other entries.

    :param at_s: no contribution is older than this.
    :param entries: number of other entries that are included.
    """

    at_s: float
    amounts_by_key: AmountsByKey
    entries: int


RoundAction = SendContribution | PublishSum


@dataclass(slots=True)
class _OtherDomainSum:
    """A received sum of another domain.

    :param at_s: the sum is no older than this.
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
    """One entry's state in the aggregation rounds.

    Times are on the monotonic clock.

    :param name: name of this entry.
    :param domain: failure domain of this entry.
    :param random_unit: returns a random number from 0 to 1.
    :param round: the newest round whose sum was received or given up.
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
    _known_rounds: dict[str, int] = field(default_factory=dict)
    _missed_rounds: dict[str, int] = field(default_factory=dict)
    _skipped_until_s: dict[str, float] = field(default_factory=dict)

    def step(
        self,
        now_s: float,
        members: Mapping[str, Sequence[str]],
        own: Callable[[], AmountsByKey],
    ) -> list[RoundAction]:
        """Return the messages to send now.

        :param members: names of all entries by failure domain, including this one.
        :param own: returns the load of this entry.
        """
        if self._round_started_s is None:
            # A random start keeps entries that start together from all collecting at
            # once.
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
        """Store another entry's contribution; return whether its round is open."""
        self._mark_reachable(name)
        if number <= self.round:
            return False
        self._collected.setdefault(number, {})[name] = amounts_by_key
        while len(self._collected) > _MAX_COLLECTED_ROUNDS:
            del self._collected[min(self._collected)]
        return True

    def next_collector(self, domain_members: Sequence[str], now_s: float) -> str:
        """Return which entry of the own domain collects the next round."""
        return self._collector(domain_members, self.round + 1, now_s)

    def domain_sum_received(self, received: DomainSum, now_s: float) -> None:
        """Store the sum of another domain."""
        known = self._other_domain_sums.get(received.domain)
        # Round numbers start again after a restart of all entries of a domain, so that
        # an older number is accepted once the known sum has expired.
        lifetime_s = _DOMAIN_SUM_LIFETIME_INTERVALS * self.interval_s
        is_fresh = known is not None and now_s - known.received_s < lifetime_s
        is_outdated = (
            known is not None and known.domain_sum.round >= received.round and is_fresh
        )
        if is_outdated or received.domain == self.domain:
            return
        known_round = received.known_round
        sent_rounds = [
            n for n in self._sent if known_round is not None and n <= known_round
        ]
        at_s = self._sent[max(sent_rounds)].at_s if sent_rounds else float("-inf")
        self._other_domain_sums[received.domain] = _OtherDomainSum(
            received, at_s, now_s
        )
        self._known_rounds[received.domain] = received.round

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
        known_rounds: Mapping[str, int],
    ) -> OtherEntriesLoad | None:
        """Process a sum; return the load of the other entries if the sum is usable.

        :param entries: number of entries included in the sum.
        :param includes_own: whether this entry's contribution is included.
        :param age_s: see :class:`PublishSum`.
        :param known_rounds: see :class:`PublishSum`.
        """
        self._mark_reachable(sender)
        if number > self.round:
            self._start_round(number, now_s)
            self._known_rounds = dict(known_rounds)
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
        # If another entry is the collector, only the senders of these contributions
        # wait for a sum from this one.
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
            dict(self._known_rounds),
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
        """Return which of these entries collects a round."""
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
