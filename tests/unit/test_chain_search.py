"""Chains over several failure domains cover all layers and make at most one excursion.

The simulations check that crossings help if a domain lacks layers, and don't overload
the links between domains.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import LayerRange, Stage
from railfold._internal.decisions.chain_costs import StageCandidate
from railfold._internal.decisions.chain_prediction import StageState
from railfold._internal.decisions.chain_search import (
    FoundChain,
    crossings,
    search_all_chains,
    search_chains,
)
from railfold._internal.decisions.fleet_load import ServerLoad
from railfold._internal.decisions.planner import Replica
from tests.lib.fleet_simulation import (
    CAPACITY_RPS,
    FAST,
    FleetSimulation,
    Outcome,
    Workload,
    balancer_choice,
    mixed_speed_fleet,
)

LAYERS = 8
CROSSING_COST = 0.4


def candidate(
    host: str, first: int, last: int, domain: str, cost: float = 1.0
) -> StageCandidate:
    layers = LayerRange(first, last)
    replica = Replica(
        Stage(host, "10.0.0.1:1", 1, layers), domain, "west", 0, 1000, 1.0
    )
    state = StageState(FAST, len(layers), 1000, ServerLoad())
    return StageCandidate(
        replica, state, 0.0, cost / LAYERS, 0.0, 0.1, 0.0, has_capacity=True
    )


def crossing_cost(one: str, other: str) -> float:
    return CROSSING_COST


def hosts(chains: list[FoundChain]) -> tuple[str, ...]:
    return chains[0].chain.hosts if chains else ()


def test_only_missing_layers_are_run_in_another_failure_domain() -> None:
    engines = [
        candidate("a1", 0, 3, "a"),
        candidate("a2", 6, 7, "a"),
        candidate("b1", 4, 5, "b"),
    ]
    chains = search_chains(engines, LAYERS, "a", crossing_cost)
    assert hosts(chains) == ("a1", "b1", "a2")
    assert chains[0].domains == ("a", "b", "a")
    assert not search_chains(engines, LAYERS, "a", None)


def test_chain_stays_home_if_a_crossing_doesnt_pay() -> None:
    engines = [
        candidate("a1", 0, 3, "a"),
        candidate("a2", 4, 7, "a", cost=1.5),
        candidate("b1", 4, 7, "b"),
    ]
    chains = search_chains(engines, LAYERS, "a", crossing_cost)
    assert hosts(chains) == ("a1", "a2")


def test_loaded_stage_is_replaced_once_it_costs_more_than_a_crossing() -> None:
    engines = [
        candidate("a1", 0, 3, "a"),
        candidate("a2", 4, 7, "a", cost=3.0),
        candidate("b1", 4, 7, "b"),
    ]
    assert hosts(search_chains(engines, LAYERS, "a", crossing_cost)) == ("a1", "b1")


def test_chain_makes_at_most_one_excursion() -> None:
    engines = [
        candidate("a1", 0, 1, "a"),
        candidate("b1", 2, 3, "b"),
        candidate("a2", 4, 5, "a"),
        candidate("b2", 6, 7, "b"),
    ]
    assert not search_chains(engines, LAYERS, "a", crossing_cost)


def test_full_server_reached_by_a_crossing_doesnt_hide_a_chain_in_one_domain() -> None:
    """Requests of other domains may not use the full server.

    The path with a crossing to it is cheaper than the path within its domain, and must
    not hide that one.
    """
    full = replace(candidate("b2", 4, 7, "b"), has_capacity=False)
    engines = [
        candidate("a1", 0, 3, "a", cost=0.1),
        candidate("b1", 0, 3, "b", cost=2.0),
        full,
    ]
    chains = search_all_chains(engines, LAYERS, "a", crossing_cost)
    assert hosts(chains) == ("b1", "b2")


def test_link_with_infinite_crossing_cost_isnt_crossed() -> None:
    engines = [candidate("a1", 0, 3, "a"), candidate("b1", 4, 7, "b")]
    assert not search_chains(engines, LAYERS, "a", lambda one, other: math.inf)


RANGES = st.sampled_from([(0, 1), (0, 3), (2, 3), (2, 5), (4, 5), (4, 7), (6, 7)])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(RANGES, st.sampled_from("abc"), st.integers(1, 20)), max_size=8)
)
def test_search_finds_the_cheapest_chain_with_at_most_one_excursion(
    drawn: list[tuple[tuple[int, int], str, int]],
) -> None:
    engines = [
        candidate(f"h{n}", first, last, domain, cost / 10)
        for n, ((first, last), domain, cost) in enumerate(drawn)
    ]
    costs = [
        cost for cost in map(cost_of, candidate_orders(engines)) if cost < math.inf
    ]
    chains = search_chains(engines, LAYERS, "a", crossing_cost)
    assert bool(chains) == bool(costs)
    if chains:
        assert abs(chains[0].cost - min(costs)) < 1e-9
        covered = [
            n for _, r in chains[0].stage_candidates for n in range(r.first, r.last + 1)
        ]
        assert covered == list(range(LAYERS))


def candidate_orders(engines: list[StageCandidate]) -> list[tuple[StageCandidate, ...]]:
    return [
        order
        for size in range(1, 5)
        for order in itertools.permutations(engines, size)
        if order[-1].replica.stage.layers.last == LAYERS - 1
    ]


def cost_of(order: tuple[StageCandidate, ...]) -> float:
    """Return the cost of a chain of these engines; infinite if it isn't allowed."""
    layer, cost = 0, 0.0
    for engine in order:
        layers = engine.replica.stage.layers
        if not layers.first <= layer <= layers.last:
            return math.inf
        cost += engine.objective_cost_per_layer * (layers.last + 1 - layer)
        layer = layers.last + 1
    domains = [engine.replica.failure_domain for engine in order]
    visits = [domain for domain, _ in itertools.groupby(domains)]
    away = [domain for domain in visits if domain != "a"]
    if len(away) > 1:
        return math.inf
    return cost + CROSSING_COST * len(crossings(domains))


def simulate(
    fleet: str,
    load_share: float,
    *,
    crosses: bool,
    bounded: bool = True,
    **load_options: float,
) -> Outcome:
    """Simulate a fleet in which engines with some layers are missing.

    :param fleet: "one" if the engines of one failure domain that hold the last layer
        are missing; "each" if each domain lacks the engines that hold another layer.
    :param load_share: arrival rate as a share of the capacity.
    :param crosses: whether chains may cross to another domain.
    :param bounded: whether crossings are limited by the bandwidth of the links.
    """
    gaps = {"one": {"hall-0": 79}, "each": {"hall-0": 5, "hall-1": 35, "hall-2": 75}}
    engines = [
        engine
        for engine in mixed_speed_fleet()
        if not engine.layers.first
        <= gaps[fleet].get(engine.domain, -1)
        <= engine.layers.last
    ]
    load = Workload(rps=load_share * CAPACITY_RPS, duration_s=5.0, **load_options)  # type: ignore[arg-type]
    choose = balancer_choice(crosses=crosses, bounded=bounded)
    return FleetSimulation(engines, load, seed=3).run(choose)


def test_more_requests_are_in_time_if_chains_cross_for_missing_layers() -> None:
    without_crossings = simulate("one", 0.75, crosses=False)
    with_crossings = simulate("one", 0.75, crosses=True)
    assert (
        with_crossings.in_time / with_crossings.arrived
        > without_crossings.in_time / without_crossings.arrived + 0.02
    )


def test_requests_are_served_by_crossing_if_every_domain_lacks_layers() -> None:
    assert simulate("each", 0.1, crosses=False).in_time == 0
    result = simulate("each", 0.1, crosses=True)
    assert result.in_time / result.arrived > 0.6


def test_shared_links_arent_overloaded_by_crossings() -> None:
    """Without the limit many requests would wait for the links between domains."""
    unbounded = simulate("one", 0.75, crosses=True, bounded=False)
    bounded = simulate("one", 0.75, crosses=True)
    assert unbounded.late_first_events > 0.2 * unbounded.arrived
    assert bounded.late_first_events < 0.02 * bounded.arrived


def test_slow_links_are_crossed_less() -> None:
    """The links have a quarter of their configured bandwidth."""
    normal = simulate("one", 0.6, crosses=True)
    slow = simulate("one", 0.6, crosses=True, pipe_share=0.25)
    assert slow.crossings < 0.7 * normal.crossings
    assert slow.in_time / slow.arrived > 0.9
