"""Wrong estimates of the throughput over parallel chains, and plans based on them."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement import (
    EnginePlacement,
    all_engines_busy,
    estimate_throughput,
    group_demands_rps,
    plan_layers,
    planning_order,
    uncovered_ranges,
)
from railfold._internal.decisions.placement.engines import request_capacity
from railfold._internal.decisions.routing_table import Accelerator, EngineModel
from tests.lib.models import FAST, MIDDLE, MODEL, SMALL

LARGE_72 = Accelerator(72000.0, 2.4, 3.2)
MIDDLE_43 = Accelerator(43200.0, 5.6, 2.7)
SMALL_22 = Accelerator(21600.0, 16.0, 8.2)
MIXED_MODEL = EngineModel(
    name="dense",
    layer_count=80,
    layer_mb=1750.0,
    request_mb_per_token=0.0049,
    mean_tokens=1000,
    load_s=14.0,
    loads_at_once=6,
    max_sequences=96,
    accelerators={"72": LARGE_72, "43": MIDDLE_43, "22": SMALL_22},
    step_s=0.00102,
    tokens_per_event=4,
    sequence_step_s=0.0000068,
    prompt_s=0.0031,
    answer_tokens=208,
)


def make_engines(large: int, middle: int, small: int) -> list[EnginePlacement]:
    accelerators = [LARGE_72] * large + [MIDDLE_43] * middle + [SMALL_22] * small
    return [
        EnginePlacement(f"e{n:02d}", kind, None) for n, kind in enumerate(accelerators)
    ]


def apply_plan(
    before: list[EnginePlacement], plan: dict[str, LayerRange], *, busy: bool = False
) -> list[EnginePlacement]:
    after = [
        replace(e, held_layers=plan.get(e.server_id, e.held_layers)) for e in before
    ]
    return [replace(e, busy=busy and e.held_layers is not None) for e in after]


def test_independent_chains_add_their_throughput() -> None:
    chain_a = [EnginePlacement(f"a{n}", MIDDLE_43, _nth_range(n, 16)) for n in range(5)]
    chain_b = [EnginePlacement(f"b{n}", SMALL_22, _nth_range(n, 10)) for n in range(8)]
    separate_rps = [
        estimate_throughput(members, MIXED_MODEL).throughput_rps
        for members in (chain_a, chain_b)
    ]
    both = estimate_throughput([*chain_a, *chain_b], MIXED_MODEL)
    assert both.throughput_rps >= sum(separate_rps)
    assert {chain.stages[0][0] for chain in both.chains} == {"a0", "b0"}


def test_shared_stage_bounds_the_requests_of_all_chains() -> None:
    shared = EnginePlacement("shared", SMALL_22, LayerRange(70, 79))
    chain_a = [EnginePlacement(f"a{n}", MIDDLE_43, _nth_range(n, 14)) for n in range(5)]
    chain_b = [EnginePlacement(f"b{n}", SMALL_22, _nth_range(n, 10)) for n in range(7)]
    estimate = estimate_throughput([shared, *chain_a, *chain_b], MIXED_MODEL)
    in_flight = sum(chain.requests for chain in estimate.chains)
    assert in_flight <= request_capacity(SMALL_22, MIXED_MODEL, 10, 10) + 1e-6


def test_chain_over_the_objective_adds_no_throughput() -> None:
    """Guards against counting chains whose first event misses every objective."""
    slow = [EnginePlacement(f"b{n}", SMALL_22, _nth_range(n, 10)) for n in range(8)]
    assert estimate_throughput(slow, MIXED_MODEL, 0.5).throughput_rps > 0
    assert estimate_throughput(slow, MIXED_MODEL, 0.1).throughput_rps == 0


@pytest.mark.parametrize("counts", [(2, 5, 13), (1, 9, 7), (2, 4, 9)])
def test_first_plan_keeps_all_layers_covered_after_any_single_loss(
    counts: tuple[int, int, int],
) -> None:
    empty = make_engines(*counts)
    placed = apply_plan(empty, plan_layers(empty, MIXED_MODEL))
    for lost in placed:
        held_layers = (e.held_layers for e in placed if e is not lost)
        assert uncovered_ranges(held_layers, MIXED_MODEL.layer_count) == []


def test_prefill_delays_the_other_requests_of_a_batch() -> None:
    chain = [EnginePlacement(f"a{n}", MIDDLE_43, _nth_range(n, 16)) for n in range(5)]
    without_prefill_rps = estimate_throughput(
        chain, replace(MIXED_MODEL, prompt_s=0.0)
    ).throughput_rps
    assert (
        without_prefill_rps
        > 1.2 * estimate_throughput(chain, MIXED_MODEL).throughput_rps
    )


def test_several_first_stages_before_shared_stages_serve_more_than_one() -> None:
    """Guards against estimates in which a second first engine adds no throughput.

    A batch uses one stage at a time and waits for its prefills, so batches of other
    first engines can use the shared stages meanwhile.
    """
    shared_stages = [
        EnginePlacement(f"a{n}", LARGE_72, LayerRange(20 + 30 * n, 49 + 30 * n))
        for n in range(2)
    ]
    first_stages = [
        EnginePlacement(f"f{n}", MIDDLE_43, LayerRange(0, 19)) for n in range(3)
    ]
    one_rps = estimate_throughput(
        [*shared_stages, *first_stages[:1]], MIXED_MODEL
    ).throughput_rps
    three_rps = estimate_throughput(
        [*shared_stages, *first_stages], MIXED_MODEL
    ).throughput_rps
    assert three_rps > 1.3 * one_rps


def test_spare_engines_form_a_second_chain_if_demand_requires_it() -> None:
    first = make_engines(2, 1, 0)
    placed = apply_plan(first, plan_layers(first, MIXED_MODEL), busy=True)
    before_rps = estimate_throughput(placed, MIXED_MODEL).throughput_rps
    new_engines = [EnginePlacement(f"n{n}", MIDDLE_43, None) for n in range(5)]
    members = [*placed, *new_engines]
    changes = plan_layers(members, MIXED_MODEL, 2 * before_rps)
    assert set(changes) == {e.server_id for e in new_engines}
    after = estimate_throughput(apply_plan(members, changes), MIXED_MODEL)
    assert after.throughput_rps > 1.4 * before_rps


def test_idle_copies_stay_while_demand_is_met() -> None:
    """Guards against loads that move copies without a demand for more throughput."""
    empty = make_engines(2, 5, 13)
    placed = apply_plan(empty, plan_layers(empty, MIXED_MODEL))
    remaining = [e for e in placed if e.server_id not in ("e04", "e12")]
    served_rps = estimate_throughput(remaining, MIXED_MODEL).throughput_rps
    assert plan_layers(remaining, MIXED_MODEL, 0.9 * served_rps) == {}


@given(
    counts=st.tuples(st.integers(0, 3), st.integers(0, 9), st.integers(0, 13)),
    lost=st.sets(st.integers(0, 24), max_size=4),
)
@settings(max_examples=80, deadline=None)
def test_chains_stay_within_engine_memory_and_sequence_limits(
    counts: tuple[int, int, int], lost: set[int]
) -> None:
    empty = make_engines(*counts)
    placed = apply_plan(empty, plan_layers(empty, MIXED_MODEL))
    remaining = [e for n, e in enumerate(placed) if n not in lost]
    by_id = {e.server_id: e for e in remaining}
    used_mb = dict.fromkeys(by_id, 0.0)
    sequences = dict.fromkeys(by_id, 0.0)
    for chain in estimate_throughput(remaining, MIXED_MODEL).chains:
        first = 0
        for server_id, layers in chain.stages:
            assert layers.first == first
            first = layers.last + 1
            request_mb = MIXED_MODEL.mean_tokens * MIXED_MODEL.request_mb_per_token
            used_mb[server_id] += chain.requests * len(layers) * request_mb
            if layers.first == 0:
                sequences[server_id] += chain.requests
        assert first == MIXED_MODEL.layer_count
    for server_id, engine in by_id.items():
        free_mb = engine.accelerator.memory_mb - len(engine.held_layers or ()) * 1750.0
        assert used_mb[server_id] <= free_mb + 1e-6
        assert sequences[server_id] <= MIXED_MODEL.max_sequences + 1e-6


@given(
    accelerators=st.lists(
        st.sampled_from([FAST, MIDDLE, SMALL, LARGE_72]), min_size=9, max_size=30
    ),
    losses=st.lists(st.integers(0, 29), max_size=8),
    needed_rps=st.sampled_from([5.0, 20.0, 60.0, inf]),
)
@settings(max_examples=120, deadline=None)
def test_plans_converge_and_never_uncover_a_layer(
    accelerators: list[Accelerator], losses: list[int], needed_rps: float
) -> None:
    members = [
        EnginePlacement(f"e{n:02d}", kind, None) for n, kind in enumerate(accelerators)
    ]
    members = apply_plan(members, plan_layers(members, MODEL, needed_rps))
    for loss in losses:
        members = [e for e in members if e.server_id != f"e{loss:02d}"]
        for _ in range(40):
            changes = plan_layers(members, MODEL, needed_rps)
            if not changes:
                break
            members = apply_plan(members, changes)
            assert not uncovered_ranges(
                (e.held_layers for e in members), MODEL.layer_count
            )
            for engine in members:
                used_mb = len(engine.held_layers or ()) * MODEL.layer_mb
                assert used_mb <= engine.accelerator.memory_mb
        else:
            pytest.fail("plans oscillate")


def test_new_engine_gets_layers_while_another_engine_loads() -> None:
    """Guards against new engines that stay empty until a pending order completes."""
    first = make_engines(2, 5, 13)
    placed = apply_plan(first, plan_layers(first, MIXED_MODEL), busy=True)
    loading = replace(placed[0], order_pending=True)
    new_engine = EnginePlacement("new", LARGE_72, None)
    changes = plan_layers([loading, *placed[1:], new_engine], MIXED_MODEL, inf)
    assert set(changes) == {"new"}


def test_returning_empty_engine_restores_throughput() -> None:
    """Guards against a restarted engine that gets layers which no chain lacks."""
    first = make_engines(2, 5, 13)
    placed = apply_plan(first, plan_layers(first, MIXED_MODEL), busy=True)
    full_rps = estimate_throughput(placed, MIXED_MODEL).throughput_rps
    for lost in placed:
        members = [e if e is not lost else replace(e, held_layers=None) for e in placed]
        after = apply_plan(members, plan_layers(members, MIXED_MODEL))
        assert estimate_throughput(after, MIXED_MODEL).throughput_rps > 0.9 * full_rps


def test_engines_with_layers_do_not_move_for_a_small_gain() -> None:
    """Guards against draining engines for little throughput.

    The engines may run requests of other entries, which the planning entry doesn't see.
    """
    first = make_engines(2, 5, 13)
    placed = apply_plan(first, plan_layers(first, MIXED_MODEL))
    for lost in placed:
        remaining = [e for e in placed if e is not lost]
        before_rps = estimate_throughput(remaining, MIXED_MODEL).throughput_rps
        changes = plan_layers(remaining, MIXED_MODEL)
        after_rps = estimate_throughput(
            apply_plan(remaining, changes), MIXED_MODEL
        ).throughput_rps
        assert not changes or after_rps > 1.15 * before_rps


def test_arrival_rate_alone_marks_engines_busy() -> None:
    """Guards against treating engines as idle that run requests of other entries."""
    assert all_engines_busy(make_engines(2, 5, 13), MIXED_MODEL, 20.0)
    assert not all_engines_busy(make_engines(2, 5, 13), MIXED_MODEL, 0.2)


def test_no_more_is_demanded_of_any_group_while_the_total_suffices() -> None:
    """Guards against changes in a weak group while the others meet the demand."""
    assert group_demands_rps([100.0, 20.0], 110.0) == [100.0, 20.0]


def test_missing_throughput_is_demanded_of_every_group() -> None:
    assert group_demands_rps([50.0, 20.0], 100.0) == [80.0, 50.0]


def test_group_without_throughput_is_planned_first_and_gets_its_share() -> None:
    assert group_demands_rps([200.0, 0.0], 100.0) == [200.0, 50.0]
    assert planning_order([200.0, 0.0, 20.0]) == [1, 2, 0]


def _nth_range(number: int, size: int) -> LayerRange:
    return LayerRange(number * size, (number + 1) * size - 1)
