"""Planned chains cover all layers, are the cheapest, and avoid excluded hosts."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import LayerRange, Stage
from railfold._internal.decisions.admission import pipeline_capacity
from railfold._internal.decisions.planner import (
    LinkCosts,
    PlannerWeights,
    Replica,
    choose_host,
    plan_chain,
)
from railfold._internal.errors import NoCapacityError

EXACT = PlannerWeights(jitter=0.0)
COSTS = LinkCosts()


def replica(
    host: str,
    first: int,
    last: int,
    domain: str = "hall-a",
    load: int = 0,
    **figures: float,
) -> Replica:
    stage = Stage(host, "10.0.0.1:1", 1, LayerRange(first, last))
    return Replica(stage, domain, "west", load, 10, figures.get("step_ms", 10.0))


def plan(
    replicas: list[Replica], layers: int = 8, **options: object
) -> tuple[str, ...]:
    arguments = {"exclude": frozenset(), "prefer": (), **options}
    chain = plan_chain(
        replicas,
        layers,
        costs=COSTS,
        weights=EXACT,
        rng=random.Random(1),
        **arguments,  # type: ignore[arg-type]
    )
    return chain.hosts


def test_least_loaded_and_fastest_replicas_are_chosen() -> None:
    replicas = [
        replica("a1", 0, 3, load=5),
        replica("a2", 0, 3),
        replica("b1", 4, 7, step_ms=30.0),
        replica("b2", 4, 7, load=1),
    ]
    assert plan(replicas) == ("a2", "b2")


def test_slow_links_are_avoided_until_load_outweighs_them() -> None:
    far = Replica(
        Stage("b2", "10.0.0.1:1", 1, LayerRange(4, 7)), "hall-x", "east", 0, 10, 10.0
    )
    assert plan([replica("a1", 0, 3), replica("b1", 4, 7, load=2), far])[1] == "b1"
    assert plan([replica("a1", 0, 3), replica("b1", 4, 7, load=9), far])[1] == "b2"


def test_excluded_and_full_hosts_are_not_used() -> None:
    replicas = [replica("a1", 0, 7), replica("a2", 0, 7, load=10)]
    assert plan(replicas) == ("a1",)
    with pytest.raises(NoCapacityError):
        plan(replicas, exclude=frozenset({"a1"}))


def test_error_names_the_layers_that_arent_covered() -> None:
    with pytest.raises(NoCapacityError) as caught:
        plan([replica("a1", 0, 3), replica("b1", 5, 7)])
    assert caught.value.why == "layers not covered: 4"


def test_preferred_hosts_are_chosen_on_a_retry() -> None:
    replicas = [replica("a1", 0, 3, load=1), replica("a2", 0, 3), replica("b1", 4, 7)]
    assert plan(replicas, prefer=("a1",)) == ("a1", "b1")


def test_service_without_hosts_has_no_capacity() -> None:
    with pytest.raises(NoCapacityError):
        choose_host([], exclude=frozenset(), weights=EXACT, rng=random.Random(1))


def test_pipeline_capacity_is_that_of_the_layer_with_the_least() -> None:
    replicas = [replica("a1", 0, 3), replica("a2", 0, 3), replica("b1", 4, 7)]
    assert pipeline_capacity(replicas, 8) == 10
    assert pipeline_capacity(replicas[:2], 8) == 0


RANGES = st.sampled_from(
    [(0, 1), (0, 3), (2, 3), (2, 5), (4, 5), (0, 5), (4, 7), (6, 7)]
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            RANGES,
            st.sampled_from(["x", "y", "z"]),
            st.integers(0, 10),
            st.integers(1, 40),
        ),
        max_size=9,
    )
)
def test_planned_chain_is_the_cheapest_possible(
    drawn: list[tuple[tuple[int, int], str, int, int]],
) -> None:
    replicas = [
        replica(f"h{n}", first, last, domain, load, step_ms=float(step))
        for n, ((first, last), domain, load, step) in enumerate(drawn)
    ]
    best = min(
        (
            cost(chosen)
            for size in range(1, 5)
            for chosen in itertools.permutations(replicas, size)
            if covers_all_layers(chosen)
        ),
        default=None,
    )
    try:
        hosts = plan(replicas)
    except NoCapacityError:
        assert best is None
        return
    by_name = {r.stage.host: r for r in replicas}
    assert cost([by_name[host] for host in hosts]) == pytest.approx(best)


def covers_all_layers(chosen: tuple[Replica, ...]) -> bool:
    next_layer = 0
    for member in chosen:
        if member.full or member.stage.layers.first != next_layer:
            return False
        next_layer = member.stage.layers.last + 1
    return next_layer == 8


def cost(chosen: list[Replica] | tuple[Replica, ...]) -> float:
    steps = sum(r.step_ms * (1 + EXACT.load_weight * r.in_flight / 10) for r in chosen)
    hops = sum(COSTS.between(a, b) for a, b in itertools.pairwise(chosen))
    return steps + hops


def test_chain_may_enter_a_range_after_its_first_layer() -> None:
    replicas = [replica("a", 0, 4), replica("b", 3, 7)]
    chain = plan_chain(
        replicas,
        8,
        exclude=frozenset(),
        prefer=(),
        costs=COSTS,
        weights=EXACT,
        rng=random.Random(1),
        partial=True,
    )
    assert [str(stage.layers) for stage in chain.stages] == ["0-4", "5-7"]


def test_ranges_arent_split_if_engines_cant_run_a_part() -> None:
    with pytest.raises(NoCapacityError):
        plan([replica("a", 0, 4), replica("b", 3, 7)])


@given(
    ranges=st.lists(
        st.tuples(st.integers(0, 11), st.integers(0, 11)).map(sorted), max_size=8
    )
)
@settings(max_examples=200, deadline=None)
def test_partial_chains_cover_every_layer_once_if_the_ranges_do(
    ranges: list[list[int]],
) -> None:
    replicas = [replica(f"h{n}", a, b) for n, (a, b) in enumerate(ranges)]
    covered = set().union(*(range(a, b + 1) for a, b in ranges)) if ranges else set()
    options = {"exclude": frozenset(), "prefer": (), "costs": COSTS, "partial": True}
    arguments = {**options, "weights": EXACT, "rng": random.Random(1)}
    if covered != set(range(12)):
        with pytest.raises(NoCapacityError):
            plan_chain(replicas, 12, **arguments)  # type: ignore[arg-type]
        return
    chain = plan_chain(replicas, 12, **arguments)  # type: ignore[arg-type]
    run = [n for s in chain.stages for n in range(s.layers.first, s.layers.last + 1)]
    assert run == list(range(12))
