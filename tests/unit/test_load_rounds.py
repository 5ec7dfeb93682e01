"""Aggregation of load in rounds, over a simulated network with faults.

These tests guard against entries that use an outdated sum, that count a contribution
twice, or that never learn the load of all after datagrams were lost, duplicated or
delayed, or after entries were cut off, paused or restarted.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad
from railfold._internal.decisions.load_rounds import (
    DomainSum,
    LoadRounds,
    OtherEntriesLoad,
    PublishSum,
    SendContribution,
)
from tests.lib.properties import examples

INTERVAL_S = 0.5
LIFETIME_S = 6 * INTERVAL_S
STEP_S = INTERVAL_S / 8
KEY = 2


class Entry:
    """One entry with a load of its own."""

    def __init__(self, name: str, domain: str, rng: random.Random) -> None:
        self.name, self.domain = name, domain
        self.tokens = rng.randrange(1, 100)
        self.cut_until_s = self.paused_until_s = 0.0
        self.restart(rng)

    def restart(self, rng: random.Random) -> None:
        self.rounds = LoadRounds(self.name, self.domain, INTERVAL_S, rng.random)
        self.fleet = FleetLoad(LIFETIME_S)

    def load(self, entries: int, now_s: float) -> float:
        if not self.fleet.own_load("i-1").tokens:
            self.fleet.add("i-1", EntryLoad(self.tokens, 1))
        return self.fleet.load("i-1", entries, now_s).tokens


class Network:
    """Entries in several failure domains, with datagrams between them."""

    def __init__(self, sizes: Sequence[int], rng: random.Random) -> None:
        self.rng = rng
        self.entries = {
            f"{d}-{n}": Entry(f"{d}-{n}", f"domain-{d}", rng)
            for d, size in enumerate(sizes)
            for n in range(size)
        }
        self.members: dict[str, list[str]] = {}
        for entry in self.entries.values():
            self.members.setdefault(entry.domain, []).append(entry.name)
        self.now_s = 0.0
        self.loss_probability = self.duplicate_probability = self.delay_s = 0.0
        self.sent = dict.fromkeys(self.entries, 0)
        self._order = itertools.count()
        self._due: list[tuple[float, int, str, str, object]] = []

    def _send(self, sender: str, to: Sequence[str], message: object) -> None:
        for name in to:
            self.sent[sender] += 1
            if self.entries[sender].cut_until_s > self.now_s:
                continue
            for _ in range(2 if self.rng.random() < self.duplicate_probability else 1):
                if self.rng.random() < self.loss_probability:
                    continue
                at_s = self.now_s + 0.001 + self.delay_s * self.rng.random()
                item = (at_s, next(self._order), sender, name, message)
                heapq.heappush(self._due, item)

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self._due and self._due[0][0] <= self.now_s:
                _, _, sender, name, message = heapq.heappop(self._due)
                entry = self.entries[name]
                if max(entry.cut_until_s, entry.paused_until_s) <= self.now_s:
                    self._deliver(sender, entry, message)
            for entry in self.entries.values():
                if entry.paused_until_s <= self.now_s:
                    self._step(entry)

    def _step(self, entry: Entry) -> None:
        own = {KEY: (entry.tokens,)}
        for action in entry.rounds.step(self.now_s, self.members, lambda: own):
            if isinstance(action, SendContribution):
                self._send(entry.name, [action.to], action)
                continue
            self._send(entry.name, action.to, action)
            known_rounds = action.known_rounds
            for name in action.other_domain_receivers:
                domain = self.entries[name].domain
                known = DomainSum(
                    entry.domain,
                    action.round,
                    len(action.included),
                    action.domain_total,
                    known_rounds.get(domain),
                )
                self._send(entry.name, [name], (known, 0))
            for known in action.forwarded_sums:
                self._send(entry.name, [action.next_collector], (known, 1))
            self._receive_sum(entry, entry.name, action)

    def _deliver(self, sender: str, entry: Entry, message: object) -> None:
        match message:
            case SendContribution(round=number, contribution=contribution):
                entry.rounds.contribution_received(sender, number, contribution)
            case PublishSum():
                self._receive_sum(entry, sender, message)
            case (DomainSum() as known, int(hops)):
                domain_members = self.members[entry.domain]
                collector = entry.rounds.next_collector(domain_members, self.now_s)
                if collector != entry.name and hops < 2:
                    self._send(entry.name, [collector], (known, hops + 1))
                    return
                entry.rounds.domain_sum_received(known, self.now_s)

    def _receive_sum(self, entry: Entry, sender: str, published: PublishSum) -> None:
        others_load = entry.rounds.sum_received(
            sender,
            published.round,
            published.total,
            published.entries,
            self.now_s,
            includes_own=entry.name in published.included,
            age_s=published.age_s,
            known_rounds=published.known_rounds,
        )
        if others_load is None or not others_load.entries:
            return
        assert others_load.entries < len(self.entries)
        (tokens,) = others_load.amounts_by_key.get(KEY, (0,))
        assert tokens >= 0
        loads = {"i-1": EntryLoad(tokens, 1)}
        entry.fleet.announced(
            "others", loads, others_load.at_s, self.now_s, others_load.entries
        )

    def known_entry_counts(self) -> list[int]:
        return [e.fleet.known_entries(self.now_s) for e in self.entries.values()]

    def assert_all_know_the_sum(self) -> None:
        total = sum(entry.tokens for entry in self.entries.values())
        count = len(self.entries)
        for entry in self.entries.values():
            assert entry.load(count, self.now_s) == pytest.approx(total)


@pytest.mark.parametrize("sizes", [(4,), (2, 2), (7, 7, 7), (1, 10), (14,) * 5])
def test_every_entry_learns_the_load_of_all(sizes: tuple[int, ...]) -> None:
    network = Network(sizes, random.Random(3))
    network.run(20 * INTERVAL_S)
    network.assert_all_know_the_sum()


def test_change_reaches_the_own_domain_within_two_intervals() -> None:
    network = Network((7,), random.Random(3))
    network.run(20 * INTERVAL_S)
    network.assert_all_know_the_sum()
    for entry in network.entries.values():
        entry.tokens += 50
        entry.fleet.add("i-1", EntryLoad(50))
    network.run(2 * INTERVAL_S)
    network.assert_all_know_the_sum()


def test_sending_is_spread_evenly_over_entries() -> None:
    network = Network((14,) * 5, random.Random(3))
    network.run(200 * INTERVAL_S)
    mean = sum(network.sent.values()) / len(network.sent)
    assert max(network.sent.values()) < 2.0 * mean


def test_lost_collector_costs_its_domain_one_round() -> None:
    network = Network((7,), random.Random(3))
    network.run(20 * INTERVAL_S)
    network.entries["0-3"].cut_until_s = float("inf")
    for _ in range(40):
        network.run(INTERVAL_S)
        known = network.known_entry_counts()
        del known[3]
        assert min(known) >= 6


def test_isolated_entry_extrapolates_from_its_own_load() -> None:
    network = Network((3, 3), random.Random(3))
    network.run(20 * INTERVAL_S)
    isolated = network.entries["0-0"]
    isolated.cut_until_s = float("inf")
    network.run(LIFETIME_S + INTERVAL_S)
    assert isolated.fleet.known_entries(network.now_s) == 1
    assert isolated.load(6, network.now_s) == 6 * isolated.tokens


def rounds_after_first_contribution() -> LoadRounds:
    """Return the state of one of two entries that contributed to the first round."""
    rounds = LoadRounds("0-0", "domain-0", INTERVAL_S, lambda: 0.0)
    members = {"domain-0": ["0-0", "0-1"]}
    rounds.step(0.0, members, dict)
    rounds.step(0.75 * INTERVAL_S, members, lambda: {KEY: (5,)})
    return rounds


def receive_sum(rounds: LoadRounds, *, includes_own: bool) -> OtherEntriesLoad | None:
    return rounds.sum_received(
        "0-1",
        1,
        {KEY: (8,)},
        2,
        0.4,
        includes_own=includes_own,
        age_s=0.0,
        known_rounds={},
    )


def test_sum_without_the_own_contribution_is_ignored() -> None:
    """A sum without the own contribution may have been made before it was sent."""
    assert receive_sum(rounds_after_first_contribution(), includes_own=False) is None
    result = receive_sum(rounds_after_first_contribution(), includes_own=True)
    assert result == OtherEntriesLoad(0.75 * INTERVAL_S, {KEY: (3,)}, 1)


def test_collector_is_skipped_after_two_missed_rounds() -> None:
    rounds = LoadRounds("0-0", "domain-0", INTERVAL_S, lambda: 0.0)
    members = {"domain-0": ["0-0", "0-1", "0-2"]}
    sent_to = [
        action.to
        for step in range(400)
        for action in rounds.step(step * STEP_S, members, dict)
        if isinstance(action, SendContribution)
    ]
    assert sorted(set(sent_to)) == ["0-1", "0-2"]
    # In 50 intervals no collector replies: each is tried twice, then again after 20.
    assert max(sent_to.count(name) for name in set(sent_to)) <= 6


def test_age_of_another_domains_sum_is_that_of_the_round_it_names() -> None:
    published = {}
    for known_round in (None, 1):
        rounds = rounds_after_first_contribution()
        receive_sum(rounds, includes_own=True)
        other_sum = DomainSum("domain-1", 7, 3, {KEY: (30,)}, known_round)
        rounds.domain_sum_received(other_sum, 0.9)
        members = {"domain-0": ["0-0"], "domain-1": ["1-0"]}
        actions = rounds.step(1.0, members, lambda: {KEY: (5,)})
        (published[known_round],) = (a for a in actions if isinstance(a, PublishSum))
    assert (published[None].entries, published[1].entries) == (1, 4)
    assert published[1].age_s == pytest.approx(1.0 - 0.75 * INTERVAL_S)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "pause", "restart"]),
        st.integers(0, 7),
        st.floats(0.1, 4.0),
    ),
    max_size=8,
)


@examples(30)
@given(
    EVENTS,
    st.sampled_from([(4,), (2, 3), (3, 3, 2)]),
    st.floats(0.0, 0.5),
    st.floats(0.0, 0.5),
    st.floats(0.0, 3 * INTERVAL_S),
    st.integers(0, 1000),
)
def test_load_stays_fresh_under_network_faults_and_converges_afterwards(
    events: list[tuple[str, int, float]],
    sizes: tuple[int, ...],
    loss_probability: float,
    duplicate_probability: float,
    delay_s: float,
    seed: int,
) -> None:
    rng = random.Random(seed)
    network = Network(sizes, rng)
    network.loss_probability, network.duplicate_probability, network.delay_s = (
        loss_probability,
        duplicate_probability,
        delay_s,
    )
    names = list(network.entries)
    for kind, index, for_s in events:
        entry = network.entries[names[index % len(names)]]
        if kind == "cut":
            entry.cut_until_s = network.now_s + for_s
        elif kind == "pause":
            entry.paused_until_s = network.now_s + for_s
        else:
            entry.restart(rng)
        network.run(for_s)
        for known in network.entries.values():
            # A sum is never older than what the entry has contributed to it.
            assert known.fleet.age_s(network.now_s) < LIFETIME_S
            assert known.load(len(names), network.now_s) >= known.tokens
    network.loss_probability = network.duplicate_probability = network.delay_s = 0.0
    network.run(40 * INTERVAL_S)
    network.assert_all_know_the_sum()
