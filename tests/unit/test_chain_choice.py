"""Chains chosen by entries that see little, under the loads where it matters.

Played without a network: entries know their own requests alone, chains have room for
so many at a time and refuse the rest.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from railfold._internal.decisions.chain_choice import (
    ChainOption,
    choose_for_risky_request,
    choose_option,
    load_uncertainty,
)

# Of five failure domains: time of a token and room. The fastest has not the most room.
COSTS = (10.0, 14.0, 16.0, 11.0, 15.0)
ROOMS = (50.0, 40.0, 60.0, 45.0, 55.0)
LOAD_WEIGHT = 4.0
RESIDENCE_S = 1.4
KEPT_S = 4.0

Choice = Callable[[list[ChainOption], int, random.Random], int]


def cheapest(options: list[ChainOption], entries: int, rng: random.Random) -> int:
    """What entries did before: the least cost, with a little jitter."""
    return min(
        range(len(options)),
        key=lambda i: options[i].cost * (1.0 + 0.05 * rng.random()),
    )


@dataclass
class Played:
    """What came of a load."""

    refused: int = 0
    connections: int = 0


def play(arrivals: list[tuple[float, int]], entries: int, choose: Choice) -> Played:
    """Play requests (time, entry) through entries and chains."""
    rng = random.Random(len(arrivals))
    played = Played()
    own: Counter[tuple[int, int]] = Counter()
    held: Counter[int] = Counter()
    kept: dict[tuple[int, int], list[float]] = {}
    ends: list[tuple[float, int, int]] = []
    for now_s, entry in sorted(arrivals):
        for end in [e for e in ends if e[0] <= now_s]:
            ends.remove(end)
            own[end[1], end[2]] -= 1
            held[end[2]] -= 1
            kept.setdefault((end[1], end[2]), []).append(end[0])
        options = options_of(entry, entries, own, kept, now_s)
        chain = choose(options, entries, rng)
        idle = [t for t in kept.get((entry, chain), []) if now_s - t < KEPT_S]
        kept[entry, chain] = idle[:-1]
        played.connections += not idle
        if held[chain] >= ROOMS[chain]:
            played.refused += 1
            continue
        own[entry, chain] += 1
        held[chain] += 1
        ends.append((now_s + RESIDENCE_S * rng.uniform(0.6, 1.4), entry, chain))
    return played


def options_of(
    entry: int,
    entries: int,
    own: Counter[tuple[int, int]],
    kept: dict[tuple[int, int], list[float]],
    now_s: float,
) -> list[ChainOption]:
    options = []
    for chain, (cost, room) in enumerate(zip(COSTS, ROOMS, strict=True)):
        share = entries * own[entry, chain] / room
        local = 0.75 if entry % 5 == chain else 1.0
        connected = any(now_s - t < KEPT_S for t in kept.get((entry, chain), []))
        loaded = cost * local * (1.0 + LOAD_WEIGHT * min(1.0, share))
        options.append(ChainOption(loaded, room, connected))
    return options


def returning(
    count: int, entries: int, within_s: float, seed: int
) -> list[tuple[float, int]]:
    rng = random.Random(seed)
    return [(rng.uniform(0.0, within_s), rng.randrange(entries)) for _ in range(count)]


def all_of(
    count: int, entries: int, within_s: float, choose: Choice, seeds: int = 5
) -> Played:
    """Return what comes of loads of several seeds, added up."""
    total = Played()
    for seed in range(seeds):
        played = play(returning(count, entries, within_s, seed), entries, choose)
        total.refused += played.refused
        total.connections += played.connections
    return total


def test_clients_that_come_back_together_find_room() -> None:
    """After a power cut: 240 at once, where the chains have room for 250."""
    before = all_of(240, 68, 0.5, cheapest)
    after = all_of(240, 68, 0.5, choose_option)
    assert after.refused < before.refused / 2


def test_many_entries_fill_chains_evenly_and_keep_their_connections() -> None:
    """140 requests a second for 20 s, four fifths of what the chains have room for."""
    before = all_of(2800, 68, 20.0, cheapest)
    after = all_of(2800, 68, 20.0, choose_option)
    assert after.refused < before.refused / 4
    assert after.connections < 0.8 * before.connections


@pytest.mark.parametrize("entries", [3, 5, 21])
def test_fewer_entries_that_see_the_load_lose_nothing(entries: int) -> None:
    """100 requests a second, over half of what the chains have room for."""
    before = all_of(2000, entries, 20.0, cheapest)
    after = all_of(2000, entries, 20.0, choose_option)
    assert after.refused <= before.refused


def test_a_chain_gets_its_share_of_the_throughput_from_those_that_see_nothing() -> None:
    rng = random.Random(3)
    options = [ChainOption(10.0, 40.0, False), ChainOption(20.0, 40.0, False)]
    taken = Counter(choose_option(options, 1000, rng) for _ in range(3000))
    assert taken[0] / 3000 == pytest.approx(2 / 3, abs=0.04)


def test_one_entry_alone_takes_the_cheapest() -> None:
    rng = random.Random(3)
    options = [ChainOption(11.0, 900.0, True), ChainOption(10.0, 40.0, False)]
    assert {choose_option(options, 1, rng) for _ in range(100)} == {1}


def test_blindness_grows_with_entries_and_stays_a_share() -> None:
    values = [
        load_uncertainty([50.0, 50.0], entries) for entries in (1, 5, 21, 68, 400)
    ]
    assert values == sorted(values)
    assert (values[0], values[-1]) == (0.0, 1.0)
    assert load_uncertainty([], 5) == 0.0


@pytest.mark.parametrize(("sure", "chosen"), [(2, {1, 2}), (1, {0, 1, 2})])
def test_chains_that_may_have_left_are_passed_over_unless_most_are(
    sure: int, chosen: set[int]
) -> None:
    """The load of those that are sure is doubled at most."""
    rng = random.Random(1)
    options = [
        ChainOption(10.0, 50.0, connected=False, confirmed=number >= 3 - sure)
        for number in range(3)
    ]
    found = {choose_option(options, 1000, rng) for _ in range(300)}
    assert found == chosen


def test_what_may_end_its_engine_goes_where_the_engine_can_be_replaced() -> None:
    options = [
        ChainOption(10.0, 50.0, connected=True),
        ChainOption(30.0, 90.0, connected=False, first_engine_replaceable=True),
        ChainOption(20.0, 90.0, connected=False, first_engine_replaceable=True),
    ]
    assert choose_for_risky_request(options) == 2


def test_what_may_end_its_engine_takes_the_chain_that_serves_the_least() -> None:
    options = [
        ChainOption(10.0, 50.0, connected=True),
        ChainOption(20.0, 30.0, connected=False),
    ]
    assert choose_for_risky_request(options) == 1


def test_what_may_end_its_engine_doesnt_get_the_last_chain() -> None:
    assert choose_for_risky_request([ChainOption(10.0, 50.0, connected=True)]) is None
