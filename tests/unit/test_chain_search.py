"""Chains over several failure domains: whole, cheap, with one excursion at most."""

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
from tests.lib.fleet_draws import (
    CAPACITY_RPS,
    FAST,
    Fleet,
    Load,
    Outcome,
    balanced_choice,
    uneven_fleet,
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


def hosts(found: list[FoundChain]) -> tuple[str, ...]:
    return found[0].chain.hosts if found else ()


def test_a_gap_is_bridged_by_another_failure_domain_for_just_those_layers() -> None:
    engines = [
        candidate("a1", 0, 3, "a"),
        candidate("a2", 6, 7, "a"),
        candidate("b1", 4, 5, "b"),
    ]
    found = search_chains(engines, LAYERS, "a", crossing_cost)
    assert hosts(found) == ("a1", "b1", "a2")
    assert found[0].domains == ("a", "b", "a")
    assert not search_chains(engines, LAYERS, "a", None)


def test_nothing_crosses_while_home_is_as_cheap() -> None:
    engines = [
        candidate("a1", 0, 3, "a"),
        candidate("a2", 4, 7, "a", cost=1.5),
        candidate("b1", 4, 7, "b"),
    ]
    found = search_chains(engines, LAYERS, "a", crossing_cost)
    assert hosts(found) == ("a1", "a2")


def test_a_loaded_stage_is_borrowed_once_it_costs_more_than_crossing() -> None:
    engines = [
        candidate("a1", 0, 3, "a"),
        candidate("a2", 4, 7, "a", cost=3.0),
        candidate("b1", 4, 7, "b"),
    ]
    assert hosts(search_chains(engines, LAYERS, "a", crossing_cost)) == ("a1", "b1")


def test_a_chain_makes_one_excursion_at_most() -> None:
    engines = [
        candidate("a1", 0, 1, "a"),
        candidate("b1", 2, 3, "b"),
        candidate("a2", 4, 5, "a"),
        candidate("b2", 6, 7, "b"),
    ]
    assert not search_chains(engines, LAYERS, "a", crossing_cost)


def test_a_chain_at_home_is_found_though_a_full_server_could_be_borrowed() -> None:
    """The cheaper way there led over the server that the request isn't lent."""
    full = replace(candidate("b2", 4, 7, "b"), has_capacity=False)
    engines = [
        candidate("a1", 0, 3, "a", cost=0.1),
        candidate("b1", 0, 3, "b", cost=2.0),
        full,
    ]
    found = search_all_chains(engines, LAYERS, "a", crossing_cost)
    assert hosts(found) == ("b1", "b2")


def test_a_pipe_without_room_isnt_crossed() -> None:
    engines = [candidate("a1", 0, 3, "a"), candidate("b1", 4, 7, "b")]
    assert not search_chains(engines, LAYERS, "a", lambda one, other: math.inf)


RANGES = st.sampled_from([(0, 1), (0, 3), (2, 3), (2, 5), (4, 5), (4, 7), (6, 7)])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(RANGES, st.sampled_from("abc"), st.integers(1, 20)), max_size=8)
)
def test_found_is_the_cheapest_chain_with_one_excursion(
    drawn: list[tuple[tuple[int, int], str, int]],
) -> None:
    engines = [
        candidate(f"h{n}", first, last, domain, cost / 10)
        for n, ((first, last), domain, cost) in enumerate(drawn)
    ]
    costs = [cost for cost in map(cost_of, orders(engines)) if cost < math.inf]
    found = search_chains(engines, LAYERS, "a", crossing_cost)
    assert bool(found) == bool(costs)
    if found:
        assert abs(found[0].cost - min(costs)) < 1e-9
        covered = [
            n for _, r in found[0].stage_candidates for n in range(r.first, r.last + 1)
        ]
        assert covered == list(range(LAYERS))


def orders(engines: list[StageCandidate]) -> list[tuple[StageCandidate, ...]]:
    return [
        order
        for size in range(1, 5)
        for order in itertools.permutations(engines, size)
        if order[-1].replica.stage.layers.last == LAYERS - 1
    ]


def cost_of(order: tuple[StageCandidate, ...]) -> float:
    """Return what a chain of these engines costs, each run to its end."""
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


def play(
    fleet: str, load_share: float, *, crosses: bool, bounded: bool = True, **k: float
) -> Outcome:
    """Return what comes of a load where layers are missing.

    :param fleet: which layers: the last ones of one failure domain, or of each domain
        others.
    """
    gaps = {"one": {"hall-0": 79}, "each": {"hall-0": 5, "hall-1": 35, "hall-2": 75}}
    engines = [
        engine
        for engine in uneven_fleet()
        if not engine.layers.first
        <= gaps[fleet].get(engine.domain, -1)
        <= engine.layers.last
    ]
    load = Load(rps=load_share * CAPACITY_RPS, duration_s=5.0, **k)  # type: ignore[arg-type]
    choose = balanced_choice(crosses=crosses, bounded=bounded)
    return Fleet(engines, load, seed=3).play(choose)


def test_a_gap_costs_less_where_chains_cross() -> None:
    alone = play("one", 0.75, crosses=False)
    crossing = play("one", 0.75, crosses=True)
    assert crossing.in_time / crossing.arrived > alone.in_time / alone.arrived + 0.02


def test_gaps_in_every_domain_leave_no_one_unserved_that_pipes_could_carry() -> None:
    assert play("each", 0.1, crosses=False).in_time == 0
    played = play("each", 0.1, crosses=True)
    assert played.in_time / played.arrived > 0.6


def test_pipes_that_all_share_arent_swamped() -> None:
    """Without a bound most requests would be late behind the pipes."""
    swamped = play("one", 0.75, crosses=True, bounded=False)
    bounded = play("one", 0.75, crosses=True)
    assert swamped.late_start > 0.2 * swamped.arrived
    assert bounded.late_start < 0.02 * bounded.arrived


def test_slow_pipes_are_crossed_less() -> None:
    """They carry a quarter of what the configuration tells."""
    usual = play("one", 0.6, crosses=True)
    slow = play("one", 0.6, crosses=True, pipe_share=0.25)
    assert slow.crossings < 0.7 * usual.crossings
    assert slow.in_time / slow.arrived > 0.9
