"""Selection of chains by entries that know little of the load.

Simulated without a network: each entry knows only its own requests, and each chain runs
a limited number of requests at a time and rejects the rest. Entries that all choose the
cheapest chain overload it together.
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

# Time per token and capacity of the chains of five failure domains. The fastest chain
# isn't the one with the largest capacity.
COSTS = (10.0, 14.0, 16.0, 11.0, 15.0)
CAPACITIES = (50.0, 40.0, 60.0, 45.0, 55.0)
LOAD_WEIGHT = 4.0
MEAN_DURATION_S = 1.4
IDLE_TIMEOUT_S = 4.0

Choice = Callable[[list[ChainOption], int, random.Random], int]


def choose_cheapest(
    options: list[ChainOption], entries: int, rng: random.Random
) -> int:
    """Choose by the least cost, with a little jitter, as a baseline for comparison."""
    return min(
        range(len(options)),
        key=lambda i: options[i].cost * (1.0 + 0.05 * rng.random()),
    )


@dataclass
class SimulationResult:
    """Rejected requests and new connections of a simulation."""

    rejected: int = 0
    connections: int = 0


def simulate(
    arrivals: list[tuple[float, int]], entries: int, choose: Choice
) -> SimulationResult:
    """Simulate requests, given as (time, entry), on the chains."""
    rng = random.Random(len(arrivals))
    result = SimulationResult()
    own_in_flight: Counter[tuple[int, int]] = Counter()
    in_flight: Counter[int] = Counter()
    idle_since_s: dict[tuple[int, int], list[float]] = {}
    ends: list[tuple[float, int, int]] = []
    for now_s, entry in sorted(arrivals):
        for end in [e for e in ends if e[0] <= now_s]:
            ends.remove(end)
            own_in_flight[end[1], end[2]] -= 1
            in_flight[end[2]] -= 1
            idle_since_s.setdefault((end[1], end[2]), []).append(end[0])
        options = known_options(entry, entries, own_in_flight, idle_since_s, now_s)
        chain = choose(options, entries, rng)
        usable_connections = [
            t
            for t in idle_since_s.get((entry, chain), [])
            if now_s - t < IDLE_TIMEOUT_S
        ]
        idle_since_s[entry, chain] = usable_connections[:-1]
        result.connections += not usable_connections
        if in_flight[chain] >= CAPACITIES[chain]:
            result.rejected += 1
            continue
        own_in_flight[entry, chain] += 1
        in_flight[chain] += 1
        ends.append((now_s + MEAN_DURATION_S * rng.uniform(0.6, 1.4), entry, chain))
    return result


def known_options(
    entry: int,
    entries: int,
    own_in_flight: Counter[tuple[int, int]],
    idle_since_s: dict[tuple[int, int], list[float]],
    now_s: float,
) -> list[ChainOption]:
    """Return the chains as an entry sees them that knows only its own requests."""
    options = []
    for chain, (cost, capacity) in enumerate(zip(COSTS, CAPACITIES, strict=True)):
        share = entries * own_in_flight[entry, chain] / capacity
        preference = 0.75 if entry % 5 == chain else 1.0
        connected = any(
            now_s - t < IDLE_TIMEOUT_S for t in idle_since_s.get((entry, chain), [])
        )
        loaded_cost = cost * preference * (1.0 + LOAD_WEIGHT * min(1.0, share))
        options.append(ChainOption(loaded_cost, capacity, connected))
    return options


def returning_clients(
    count: int, entries: int, within_s: float, seed: int
) -> list[tuple[float, int]]:
    """Return arrivals (time, entry) of clients that all come within some time."""
    rng = random.Random(seed)
    return [(rng.uniform(0.0, within_s), rng.randrange(entries)) for _ in range(count)]


def simulate_seeds(
    count: int, entries: int, within_s: float, choose: Choice, seeds: int = 5
) -> SimulationResult:
    """Return the sum of the results for several seeds."""
    total = SimulationResult()
    for seed in range(seeds):
        result = simulate(
            returning_clients(count, entries, within_s, seed), entries, choose
        )
        total.rejected += result.rejected
        total.connections += result.connections
    return total


def test_clients_that_reconnect_together_are_mostly_accepted() -> None:
    """After a power cut 240 requests arrive at once; the chains can run 250."""
    baseline = simulate_seeds(240, 68, 0.5, choose_cheapest)
    sampled = simulate_seeds(240, 68, 0.5, choose_option)
    assert sampled.rejected < baseline.rejected / 2


def test_many_entries_spread_load_evenly_and_reuse_connections() -> None:
    """140 requests per second for 20 s use four fifths of the capacity."""
    baseline = simulate_seeds(2800, 68, 20.0, choose_cheapest)
    sampled = simulate_seeds(2800, 68, 20.0, choose_option)
    assert sampled.rejected < baseline.rejected / 4
    assert sampled.connections < 0.8 * baseline.connections


@pytest.mark.parametrize("entries", [3, 5, 21])
def test_few_entries_that_know_the_load_get_no_more_rejections(entries: int) -> None:
    """100 requests per second use over half of the capacity."""
    baseline = simulate_seeds(2000, entries, 20.0, choose_cheapest)
    sampled = simulate_seeds(2000, entries, 20.0, choose_option)
    assert sampled.rejected <= baseline.rejected


def test_entries_that_know_no_load_choose_in_proportion_to_throughput() -> None:
    rng = random.Random(3)
    options = [ChainOption(10.0, 40.0, False), ChainOption(20.0, 40.0, False)]
    taken = Counter(choose_option(options, 1000, rng) for _ in range(3000))
    assert taken[0] / 3000 == pytest.approx(2 / 3, abs=0.04)


def test_single_entry_takes_the_cheapest_chain() -> None:
    rng = random.Random(3)
    options = [ChainOption(11.0, 900.0, True), ChainOption(10.0, 40.0, False)]
    assert {choose_option(options, 1, rng) for _ in range(100)} == {1}


def test_load_uncertainty_grows_with_entries_from_0_to_1() -> None:
    values = [
        load_uncertainty([50.0, 50.0], entries) for entries in (1, 5, 21, 68, 400)
    ]
    assert values == sorted(values)
    assert (values[0], values[-1]) == (0.0, 1.0)
    assert load_uncertainty([], 5) == 0.0


@pytest.mark.parametrize(("confirmed_count", "chosen"), [(2, {1, 2}), (1, {0, 1, 2})])
def test_unconfirmed_chains_are_avoided_unless_they_are_the_majority(
    confirmed_count: int, chosen: set[int]
) -> None:
    """The load of the confirmed chains at most doubles."""
    rng = random.Random(1)
    options = [
        ChainOption(
            10.0, 50.0, connected=False, confirmed=number >= 3 - confirmed_count
        )
        for number in range(3)
    ]
    found = {choose_option(options, 1000, rng) for _ in range(300)}
    assert found == chosen


def test_risky_request_takes_a_chain_whose_first_engine_can_be_replaced() -> None:
    options = [
        ChainOption(10.0, 50.0, connected=True),
        ChainOption(30.0, 90.0, connected=False, first_engine_replaceable=True),
        ChainOption(20.0, 90.0, connected=False, first_engine_replaceable=True),
    ]
    assert choose_for_risky_request(options) == 2


def test_risky_request_takes_the_chain_with_the_least_capacity() -> None:
    options = [
        ChainOption(10.0, 50.0, connected=True),
        ChainOption(20.0, 30.0, connected=False),
    ]
    assert choose_for_risky_request(options) == 1


def test_risky_request_doesnt_get_the_last_chain() -> None:
    assert choose_for_risky_request([ChainOption(10.0, 50.0, connected=True)]) is None
