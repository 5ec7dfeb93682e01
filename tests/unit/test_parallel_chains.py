"""What a failure domain serves over all of its chains, and plans that follow it."""

from __future__ import annotations

from dataclasses import replace
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement import (
    EngineRoom,
    are_surely_busy,
    group_needs,
    plan_layers,
    planning_order,
    reckon_supply,
    uncovered_layers,
)
from railfold._internal.decisions.placement.rooms import request_room
from railfold._internal.decisions.routing_table import Accelerator, EngineModel
from tests.lib.models import FAST, MIDDLE, MODEL, SMALL

LARGE_72 = Accelerator(72000.0, 2.4, 3.2)
MIDDLE_43 = Accelerator(43200.0, 5.6, 2.7)
SMALL_22 = Accelerator(21600.0, 16.0, 8.2)
UNEVEN = EngineModel(
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


def engines(large: int, middle: int, small: int) -> list[EngineRoom]:
    kinds = [LARGE_72] * large + [MIDDLE_43] * middle + [SMALL_22] * small
    return [EngineRoom(f"e{n:02d}", kind, None) for n, kind in enumerate(kinds)]


def carried_out(
    before: list[EngineRoom], plan: dict[str, LayerRange], *, busy: bool = False
) -> list[EngineRoom]:
    after = [replace(e, held=plan.get(e.server_id, e.held)) for e in before]
    return [replace(e, busy=busy and e.held is not None) for e in after]


def test_a_second_chain_of_engines_of_its_own_adds_what_it_serves() -> None:
    one = [EngineRoom(f"a{n}", MIDDLE_43, _part(n, 16)) for n in range(5)]
    other = [EngineRoom(f"b{n}", SMALL_22, _part(n, 10)) for n in range(8)]
    alone_rps = [reckon_supply(part, UNEVEN).throughput_rps for part in (one, other)]
    both = reckon_supply([*one, *other], UNEVEN)
    assert both.throughput_rps >= sum(alone_rps)
    assert {chain.stages[0][0] for chain in both.chains} == {"a0", "b0"}


def test_a_layer_on_one_engine_bounds_all_chains_together() -> None:
    shared = EngineRoom("shared", SMALL_22, LayerRange(70, 79))
    one = [EngineRoom(f"a{n}", MIDDLE_43, _part(n, 14)) for n in range(5)]
    other = [EngineRoom(f"b{n}", SMALL_22, _part(n, 10)) for n in range(7)]
    supply = reckon_supply([shared, *one, *other], UNEVEN)
    in_flight = sum(chain.requests for chain in supply.chains)
    assert in_flight <= request_room(SMALL_22, UNEVEN, 10, 10) + 1e-6


def test_a_chain_that_is_too_slow_for_every_route_serves_nothing() -> None:
    slow = [EngineRoom(f"b{n}", SMALL_22, _part(n, 10)) for n in range(8)]
    assert reckon_supply(slow, UNEVEN, 0.5).throughput_rps > 0
    assert reckon_supply(slow, UNEVEN, 0.1).throughput_rps == 0


@pytest.mark.parametrize("counts", [(2, 5, 13), (1, 9, 7), (2, 4, 9)])
def test_a_lost_engine_leaves_every_layer_covered_where_memory_allows(
    counts: tuple[int, int, int],
) -> None:
    empty = engines(*counts)
    placed = carried_out(empty, plan_layers(empty, UNEVEN))
    for lost in placed:
        held = (e.held for e in placed if e is not lost)
        assert uncovered_layers(held, UNEVEN.layer_count) == []


def test_prompts_hold_up_the_batch_that_they_are_read_in() -> None:
    one = [EngineRoom(f"a{n}", MIDDLE_43, _part(n, 16)) for n in range(5)]
    without = reckon_supply(one, replace(UNEVEN, prompt_s=0.0)).throughput_rps
    assert without > 1.2 * reckon_supply(one, UNEVEN).throughput_rps


def test_first_engines_before_the_same_fast_ones_serve_more_than_one() -> None:
    """A batch leaves the stages idle that it isn't at, and waits for its prompts."""
    after = [
        EngineRoom(f"a{n}", LARGE_72, LayerRange(20 + 30 * n, 49 + 30 * n))
        for n in range(2)
    ]
    firsts = [EngineRoom(f"f{n}", MIDDLE_43, LayerRange(0, 19)) for n in range(3)]
    one_rps = reckon_supply([*after, *firsts[:1]], UNEVEN).throughput_rps
    three_rps = reckon_supply([*after, *firsts], UNEVEN).throughput_rps
    assert three_rps > 1.3 * one_rps


def test_spare_engines_become_a_chain_of_their_own_where_more_is_needed() -> None:
    first = engines(2, 1, 0)
    placed = carried_out(first, plan_layers(first, UNEVEN), busy=True)
    before_rps = reckon_supply(placed, UNEVEN).throughput_rps
    come = [EngineRoom(f"n{n}", MIDDLE_43, None) for n in range(5)]
    members = [*placed, *come]
    changes = plan_layers(members, UNEVEN, 2 * before_rps)
    assert set(changes) == {e.server_id for e in come}
    after = reckon_supply(carried_out(members, changes), UNEVEN)
    assert after.throughput_rps > 1.4 * before_rps


def test_idle_copies_stay_while_enough_is_served() -> None:
    empty = engines(2, 5, 13)
    placed = carried_out(empty, plan_layers(empty, UNEVEN))
    left = [e for e in placed if e.server_id not in ("e04", "e12")]
    served_rps = reckon_supply(left, UNEVEN).throughput_rps
    assert plan_layers(left, UNEVEN, 0.9 * served_rps) == {}


@given(
    counts=st.tuples(st.integers(0, 3), st.integers(0, 9), st.integers(0, 13)),
    lost=st.sets(st.integers(0, 24), max_size=4),
)
@settings(max_examples=80, deadline=None)
def test_chains_take_no_more_than_the_memory_and_sequences_of_their_engines(
    counts: tuple[int, int, int], lost: set[int]
) -> None:
    empty = engines(*counts)
    placed = carried_out(empty, plan_layers(empty, UNEVEN))
    left = [e for n, e in enumerate(placed) if n not in lost]
    by_id = {e.server_id: e for e in left}
    used_mb = dict.fromkeys(by_id, 0.0)
    sequences = dict.fromkeys(by_id, 0.0)
    for chain in reckon_supply(left, UNEVEN).chains:
        first = 0
        for server_id, layers in chain.stages:
            assert layers.first == first
            first = layers.last + 1
            request_mb = UNEVEN.mean_tokens * UNEVEN.request_mb_per_token
            used_mb[server_id] += chain.requests * len(layers) * request_mb
            if layers.first == 0:
                sequences[server_id] += chain.requests
        assert first == UNEVEN.layer_count
    for server_id, engine in by_id.items():
        free_mb = engine.accelerator.memory_mb - len(engine.held or ()) * 1750.0
        assert used_mb[server_id] <= free_mb + 1e-6
        assert sequences[server_id] <= UNEVEN.max_sequences + 1e-6


@given(
    kinds=st.lists(
        st.sampled_from([FAST, MIDDLE, SMALL, LARGE_72]), min_size=9, max_size=30
    ),
    losses=st.lists(st.integers(0, 29), max_size=8),
    needed_rps=st.sampled_from([5.0, 20.0, 60.0, inf]),
)
@settings(max_examples=120, deadline=None)
def test_changes_end_and_never_uncover_a_layer_whatever_is_lost(
    kinds: list[Accelerator], losses: list[int], needed_rps: float
) -> None:
    members = [EngineRoom(f"e{n:02d}", kind, None) for n, kind in enumerate(kinds)]
    members = carried_out(members, plan_layers(members, MODEL, needed_rps))
    for loss in losses:
        members = [e for e in members if e.server_id != f"e{loss:02d}"]
        for _ in range(40):
            changes = plan_layers(members, MODEL, needed_rps)
            if not changes:
                break
            members = carried_out(members, changes)
            assert not uncovered_layers((e.held for e in members), MODEL.layer_count)
            for engine in members:
                used_mb = len(engine.held or ()) * MODEL.layer_mb
                assert used_mb <= engine.accelerator.memory_mb
        else:
            pytest.fail("plans change to and fro")


def test_engines_that_come_arent_left_empty_while_others_load() -> None:
    first = engines(2, 5, 13)
    placed = carried_out(first, plan_layers(first, UNEVEN), busy=True)
    loading = replace(placed[0], under_order=True)
    come = EngineRoom("new", LARGE_72, None)
    changes = plan_layers([loading, *placed[1:], come], UNEVEN, inf)
    assert set(changes) == {"new"}


def test_an_engine_that_comes_back_empty_goes_where_chains_lack_it() -> None:
    first = engines(2, 5, 13)
    placed = carried_out(first, plan_layers(first, UNEVEN), busy=True)
    whole_rps = reckon_supply(placed, UNEVEN).throughput_rps
    for lost in placed:
        back = [e if e is not lost else replace(e, held=None) for e in placed]
        after = carried_out(back, plan_layers(back, UNEVEN))
        assert reckon_supply(after, UNEVEN).throughput_rps > 0.9 * whole_rps


def test_engines_with_layers_dont_move_for_a_little_more() -> None:
    """They may run requests that whoever places layers doesn't see."""
    first = engines(2, 5, 13)
    placed = carried_out(first, plan_layers(first, UNEVEN))
    for lost in placed:
        left = [e for e in placed if e is not lost]
        before_rps = reckon_supply(left, UNEVEN).throughput_rps
        changes = plan_layers(left, UNEVEN)
        after_rps = reckon_supply(carried_out(left, changes), UNEVEN).throughput_rps
        assert not changes or after_rps > 1.15 * before_rps


def test_engines_count_as_busy_by_arrivals_though_their_requests_arent_seen() -> None:
    assert are_surely_busy(engines(2, 5, 13), UNEVEN, 20.0)
    assert not are_surely_busy(engines(2, 5, 13), UNEVEN, 0.2)


def test_a_domain_that_lacks_room_is_left_alone_while_others_have_it() -> None:
    assert group_needs([100.0, 20.0], 110.0) == [100.0, 20.0]


def test_what_all_domains_lack_may_be_made_up_by_any_of_them() -> None:
    assert group_needs([50.0, 20.0], 100.0) == [80.0, 50.0]


def test_a_domain_that_serves_nothing_is_repaired_though_others_serve_enough() -> None:
    assert group_needs([200.0, 0.0], 100.0) == [200.0, 50.0]
    assert planning_order([200.0, 0.0, 20.0]) == [1, 2, 0]


def _part(number: int, size: int) -> LayerRange:
    return LayerRange(number * size, (number + 1) * size - 1)
