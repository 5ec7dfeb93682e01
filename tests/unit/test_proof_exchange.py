"""Exchange of proofs between entries, simulated without a network.

These tests guard against entries that read the store more often than necessary, that
rely on a proof past its lease, or that stay ready though only they can't get a proof.
Required are at most a third of the store reads of entries that each read every 1.85 s,
and a proof that is less than a second old when the store is lost.
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
NETWORK_DELAY_S = 0.002
ALONE_READS_PER_S = 1 / 1.85


@dataclass
class Entry:
    """One entry; from ``stopped_s`` on it neither replies nor reads."""

    name: str
    exchange: ProofExchange
    phase_s: float
    proof_s: float = 0.0
    stopped_s: float = float("inf")
    reads: int = 0


@dataclass
class Fleet:
    """Entries that each take a step once per tick, at different times."""

    entries: dict[str, Entry]
    store_lost_s: float = float("inf")
    disconnected: bool = False
    partitioned: set[str] = field(default_factory=set)
    ages_s: list[float] = field(default_factory=list)

    def partition(self, names: set[str]) -> None:
        """Cut these entries off from the store and from all other entries."""
        self.partitioned = names

    def run(self, from_s: float, to_s: float) -> None:
        """Run all entries from one time to another."""
        self.ages_s.clear()
        ticks = int((to_s - from_s) / TICK_S)
        wakeups = [
            (from_s + tick * TICK_S + entry.phase_s, name)
            for tick in range(ticks)
            for name, entry in self.entries.items()
        ]
        for now_s, name in sorted(wakeups):
            if now_s < self.entries[name].stopped_s:
                self._wake(name, now_s)

    def _wake(self, name: str, now_s: float) -> None:
        entry = self.entries[name]
        age_s = now_s - entry.proof_s
        self.ages_s.append(age_s)
        peers = [other for other in self.entries if other != name]
        match entry.exchange.step(now_s, age_s, peers):
            case ReadStore():
                entry.reads += 1
                if now_s < self.store_lost_s and name not in self.partitioned:
                    entry.proof_s = now_s
            case AskPeer(name=peer_name):
                self._ask(entry, peer_name, now_s)
            case Wait():
                pass

    def _ask(self, entry: Entry, peer_name: str, now_s: float) -> None:
        peer = self.entries[peer_name]
        across_partition = (peer_name in self.partitioned) != (
            entry.name in self.partitioned
        )
        if self.disconnected or across_partition or now_s >= peer.stopped_s:
            return
        if peer.exchange.question_received(now_s + NETWORK_DELAY_S):
            reported_proof_s = now_s - (now_s + NETWORK_DELAY_S - peer.proof_s)
            answered_s = now_s + 2 * NETWORK_DELAY_S
            entry.exchange.reply_received(
                peer_name, answered_s, answered_s - reported_proof_s
            )
            entry.proof_s = max(entry.proof_s, reported_proof_s)

    def reads_per_s(self, for_s: float) -> float:
        """Return the rate of store reads of all entries since the last call."""
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
def test_few_entries_read_the_store_and_all_get_fresh_proofs(count: int) -> None:
    """Without the exchange, these fleets read 2.7, 11, 37 and 205 times a second.

    With it, they read 1.5, 2.8, 9.5 and 43 times a second.
    """
    entries = fleet(count)
    entries.run(0.0, 5.0)
    entries.reads_per_s(5.0)
    entries.run(5.0, 15.0)
    assert entries.reads_per_s(10.0) <= 0.6 * count * ALONE_READS_PER_S
    if count > 5:
        assert sorted(entries.ages_s)[int(0.95 * len(entries.ages_s))] < 1.2
    assert max(entries.ages_s) < 0.45 * LEASE_S


def test_lost_reader_is_replaced() -> None:
    entries = fleet(21)
    entries.run(0.0, 8.0)
    for name in ("entry-000", "entry-001", "entry-002"):
        entries.entries[name].stopped_s = 8.0
    entries.run(8.0, 16.0)
    assert max(entries.ages_s) < 0.45 * LEASE_S


def test_entries_that_cannot_reach_each_other_read_the_store_themselves() -> None:
    entries = fleet(21)
    entries.run(0.0, 8.0)
    entries.disconnected = True
    entries.run(8.0, 10.0)
    entries.reads_per_s(2.0)
    entries.run(10.0, 40.0)
    assert entries.reads_per_s(30.0) == pytest.approx(21 * ALONE_READS_PER_S, rel=0.1)
    assert max(entries.ages_s) < 1.2 * 1.85 + 2 * TICK_S


def test_exchanged_proofs_expire_when_the_store_is_lost() -> None:
    """Passing a proof on doesn't renew it."""
    entries = fleet(21)
    entries.run(0.0, 8.0)
    entries.store_lost_s = 8.0
    entries.run(8.0, 14.0)
    assert all(entry.proof_s <= 8.0 for entry in entries.entries.values())
    exchange = entries.entries["entry-010"].exchange
    assert not exchange.others_have_proof(14.0)


def test_entry_without_replies_assumes_that_others_have_proof() -> None:
    entries = fleet(3)
    entries.run(0.0, 8.0)
    exchange = entries.entries["entry-002"].exchange
    assert exchange.others_have_proof(8.1)
    assert exchange.others_have_proof(20.0)


def test_replies_are_rate_limited() -> None:
    exchange = ProofExchange("a", LEASE_S, random.Random(1))
    replies = sum(exchange.question_received(1.0 + n / 1000) for n in range(500))
    assert replies == 60
    assert exchange.question_received(2.6)


def expiring_alone(entries: Fleet, now_s: float) -> set[str]:
    """Return the entries that are not ready since only they lack a proof."""
    return {
        name
        for name, entry in entries.entries.items()
        if entry.exchange.is_expiring_alone(now_s, now_s - entry.proof_s)
    }


@pytest.mark.parametrize("count", [4, 21, 68, 380])
def test_partitioned_entries_become_unready_before_they_must_refuse(
    count: int,
) -> None:
    """A third of the entries is cut off.

    They must be unready 2 s before their proof expires, which leaves the load balancer
    time for two health checks.
    """
    entries = fleet(count)
    entries.run(0.0, 8.0)
    disconnected = set(list(entries.entries)[: count // 3])
    entries.partition(disconnected)
    entries.run(8.0, 8.0 + LEASE_S - 2.0)
    now_s = 8.0 + LEASE_S - 2.0
    found = expiring_alone(entries, now_s)
    assert found <= disconnected
    assert len(found) >= 0.8 * len(disconnected)
    entries.partition(set())
    entries.run(now_s, now_s + 1.0)
    assert expiring_alone(entries, now_s + 1.0) == set()


@pytest.mark.parametrize("count", [4, 21, 68])
def test_store_outage_for_all_leaves_entries_ready(count: int) -> None:
    """Clients would gain nothing from using other entries."""
    entries = fleet(count)
    entries.run(0.0, 8.0)
    entries.store_lost_s = 8.0
    entries.run(8.0, 8.0 + LEASE_S)
    assert len(expiring_alone(entries, 8.0 + LEASE_S)) <= 0.1 * count


@pytest.mark.parametrize("count", [4, 21, 68])
def test_entries_that_only_lost_their_peers_stay_ready(count: int) -> None:
    """Each entry can still read the store itself."""
    entries = fleet(count)
    entries.run(0.0, 8.0)
    entries.disconnected = True
    for tick in range(100):
        now_s = 8.0 + tick / 10
        entries.run(now_s, now_s + 0.1)
        assert expiring_alone(entries, now_s + 0.1) == set()
