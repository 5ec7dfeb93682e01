"""Entries that hand on what the store proved, played without a network.

Asked for: calls to the store a third of those of entries that each read every 1.85 s,
and a proof that is under a second old when the store is lost.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from railfold._internal.decisions.proof_exchange import (
    AskPeer,
    ProofExchange,
    ReadStore,
    Wait,
)

LEASE_S = 5.0
TICK_S = 0.1
ON_THE_WAY_S = 0.002
ALONE_READS_PER_S = 1 / 1.85


@dataclass
class Entry:
    """One entry; ``lost_s`` is when it stops to answer and to read."""

    name: str
    exchange: ProofExchange
    phase_s: float
    proof_s: float = 0.0
    lost_s: float = float("inf")
    reads: int = 0


@dataclass
class Fleet:
    """Entries that look every tick, each at a time of its own."""

    entries: dict[str, Entry]
    store_lost_s: float = float("inf")
    cut: bool = False
    separated: set[str] = field(default_factory=set)
    ages_s: list[float] = field(default_factory=list)

    def separate(self, names: set[str]) -> None:
        """Cut these off from the store and from all others but themselves."""
        self.separated = names

    def play(self, from_s: float, to_s: float) -> None:
        """Let time pass."""
        self.ages_s.clear()
        ticks = int((to_s - from_s) / TICK_S)
        looks = [
            (from_s + tick * TICK_S + entry.phase_s, name)
            for tick in range(ticks)
            for name, entry in self.entries.items()
        ]
        for now_s, name in sorted(looks):
            if now_s < self.entries[name].lost_s:
                self._look(name, now_s)

    def _look(self, name: str, now_s: float) -> None:
        entry = self.entries[name]
        age_s = now_s - entry.proof_s
        self.ages_s.append(age_s)
        peers = [other for other in self.entries if other != name]
        match entry.exchange.step(now_s, age_s, peers):
            case ReadStore():
                entry.reads += 1
                if now_s < self.store_lost_s and name not in self.separated:
                    entry.proof_s = now_s
            case AskPeer(name=asked):
                self._ask(entry, asked, now_s)
            case Wait():
                pass

    def _ask(self, entry: Entry, asked: str, now_s: float) -> None:
        peer = self.entries[asked]
        apart = (asked in self.separated) != (entry.name in self.separated)
        if self.cut or apart or now_s >= peer.lost_s:
            return
        if peer.exchange.asked(now_s + ON_THE_WAY_S):
            told_s = now_s - (now_s + ON_THE_WAY_S - peer.proof_s)
            answered_s = now_s + 2 * ON_THE_WAY_S
            entry.exchange.answered(asked, answered_s, answered_s - told_s)
            entry.proof_s = max(entry.proof_s, told_s)

    def reads_per_s(self, for_s: float) -> float:
        """Return how often all read since the last call."""
        reads = sum(entry.reads for entry in self.entries.values())
        for entry in self.entries.values():
            entry.reads = 0
        return reads / for_s


def fleet(count: int) -> Fleet:
    rng = random.Random(count)
    names = [f"entry-{n:03}" for n in range(count)]
    return Fleet(
        {
            name: Entry(
                name,
                ProofExchange(name, LEASE_S, random.Random(name)),
                phase_s=TICK_S * rng.random(),
            )
            for name in names
        }
    )


@pytest.mark.parametrize("count", [5, 21, 68, 380])
def test_few_read_the_store_and_all_know_what_they_read(count: int) -> None:
    """Reads a second before: 2.7, 11, 37, 205; now 1.5, 2.8, 9.5, 43."""
    entries = fleet(count)
    entries.play(0.0, 5.0)
    entries.reads_per_s(5.0)
    entries.play(5.0, 15.0)
    assert entries.reads_per_s(10.0) <= 0.6 * count * ALONE_READS_PER_S
    if count > 5:
        assert sorted(entries.ages_s)[int(0.95 * len(entries.ages_s))] < 1.2
    assert max(entries.ages_s) < 0.45 * LEASE_S


def test_an_entry_that_reads_for_others_and_is_lost_is_replaced() -> None:
    entries = fleet(21)
    entries.play(0.0, 8.0)
    for name in ("entry-000", "entry-001", "entry-002"):
        entries.entries[name].lost_s = 8.0
    entries.play(8.0, 16.0)
    assert max(entries.ages_s) < 0.45 * LEASE_S


def test_cut_off_from_each_other_each_reads_as_often_as_alone() -> None:
    entries = fleet(21)
    entries.play(0.0, 8.0)
    entries.cut = True
    entries.play(8.0, 10.0)
    entries.reads_per_s(2.0)
    entries.play(10.0, 40.0)
    assert entries.reads_per_s(30.0) == pytest.approx(21 * ALONE_READS_PER_S, rel=0.1)
    assert max(entries.ages_s) < 1.2 * 1.85 + 2 * TICK_S


def test_when_the_store_is_lost_all_stop_to_rely_on_it_in_time() -> None:
    """Nobody's proof is renewed by those that are handed round."""
    entries = fleet(21)
    entries.play(0.0, 8.0)
    entries.store_lost_s = 8.0
    entries.play(8.0, 14.0)
    assert all(entry.proof_s <= 8.0 for entry in entries.entries.values())
    exchange = entries.entries["entry-010"].exchange
    assert not exchange.others_have_proof(14.0)


def test_who_hears_nobody_takes_itself_for_cut_off() -> None:
    entries = fleet(3)
    entries.play(0.0, 8.0)
    exchange = entries.entries["entry-002"].exchange
    assert exchange.others_have_proof(8.1)
    assert exchange.others_have_proof(20.0)


def test_no_more_is_answered_than_costs_little() -> None:
    exchange = ProofExchange("a", LEASE_S, random.Random(1))
    answered = sum(exchange.asked(1.0 + n / 1000) for n in range(500))
    assert answered == 60
    assert exchange.asked(2.6)


def lapsing(entries: Fleet, now_s: float) -> set[str]:
    """Return which entries ask for no new clients since only they lack a proof."""
    return {
        name
        for name, entry in entries.entries.items()
        if entry.exchange.lapses_alone(now_s, now_s - entry.proof_s)
    }


@pytest.mark.parametrize("count", [4, 21, 68, 380])
def test_entries_that_are_cut_off_are_unready_before_they_must_refuse(
    count: int,
) -> None:
    """With time for two questions of the balancer, also if a third is cut off."""
    entries = fleet(count)
    entries.play(0.0, 8.0)
    cut = set(list(entries.entries)[: count // 3])
    entries.separate(cut)
    entries.play(8.0, 8.0 + LEASE_S - 2.0)
    now_s = 8.0 + LEASE_S - 2.0
    found = lapsing(entries, now_s)
    assert found <= cut
    assert len(found) >= 0.8 * len(cut)
    entries.separate(set())
    entries.play(now_s, now_s + 1.0)
    assert lapsing(entries, now_s + 1.0) == set()


@pytest.mark.parametrize("count", [4, 21, 68])
def test_a_store_that_is_lost_for_all_leaves_all_ready(count: int) -> None:
    """Clients that are led elsewhere would gain nothing."""
    entries = fleet(count)
    entries.play(0.0, 8.0)
    entries.store_lost_s = 8.0
    entries.play(8.0, 8.0 + LEASE_S)
    assert len(lapsing(entries, 8.0 + LEASE_S)) <= 0.1 * count


@pytest.mark.parametrize("count", [4, 21, 68])
def test_entries_that_only_hear_nobody_stay_ready(count: int) -> None:
    """Each reads the store by itself."""
    entries = fleet(count)
    entries.play(0.0, 8.0)
    entries.cut = True
    for tick in range(100):
        now_s = 8.0 + tick / 10
        entries.play(now_s, now_s + 0.1)
        assert lapsing(entries, now_s + 0.1) == set()
