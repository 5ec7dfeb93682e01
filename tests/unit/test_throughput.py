"""Throughput estimates that don't follow memory, speed and the layers of engines."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement import (
    EnginePlacement,
    best_chain_throughput_rps,
)
from railfold._internal.decisions.placement.chain import (
    best_chain,
    chain_throughput_rps,
    current_throughput_rps,
)
from railfold._internal.decisions.placement.engines import max_layers, request_capacity
from railfold._internal.decisions.placement.spread import best_spread, spreads
from railfold._internal.decisions.placement.throughput import (
    STAGE_DELAY_S,
    stage_residence_s,
    stage_token_s,
)
from railfold._internal.decisions.routing_table import Accelerator
from tests.lib.models import FAST, MIDDLE, MODEL, SMALL

ACCELERATORS = st.sampled_from([FAST, MIDDLE, SMALL])


def make_chain(kind: Accelerator, size: int) -> list[EnginePlacement]:
    """Return engines of one kind that hold all layers, up to ``size`` layers each."""
    firsts = range(0, MODEL.layer_count, size)
    return [
        EnginePlacement(
            f"e{n:02d}",
            kind,
            LayerRange(first, min(first + size, MODEL.layer_count) - 1),
        )
        for n, first in enumerate(firsts)
    ]


@pytest.mark.parametrize(
    ("stages", "work_factor", "measured_ms"),
    [(14, 6.13, 8.32), (9, 5.16, 6.73), (13, 8.61, 10.70)],
)
def test_predicted_token_time_matches_idle_engines(
    stages: int, work_factor: float, measured_ms: float
) -> None:
    # Measured on chains of the site rrs-vooraf at light load; see docs/MEASURES.md.
    model = replace(MODEL, step_s=0.00102)
    average = Accelerator(14400.0, work_factor)
    token_s = stage_token_s(average, model, model.layer_count, 0.0)
    token_s += (stages - 1) * STAGE_DELAY_S
    assert token_s * 1000 == pytest.approx(measured_ms, rel=0.03)


@given(kind=ACCELERATORS, layers=st.integers(1, 20), requests=st.floats(0.0, 96.0))
def test_residence_grows_with_layers_requests_and_slowness(
    kind: Accelerator, layers: int, requests: float
) -> None:
    base_s = stage_residence_s(kind, MODEL, layers, requests)
    assert stage_residence_s(kind, MODEL, layers + 1, requests) > base_s
    assert stage_residence_s(kind, MODEL, layers, requests + 1) > base_s
    assert stage_residence_s(kind.slowed(3.0), MODEL, layers, requests) > base_s


@given(kind=ACCELERATORS, requests=st.floats(1.0, 96.0))
def test_max_layers_leaves_the_requested_capacity(
    kind: Accelerator, requests: float
) -> None:
    layer_limit = max_layers(kind, MODEL, requests)
    if layer_limit > 0:
        assert request_capacity(kind, MODEL, layer_limit, layer_limit) >= requests
    if 0 < layer_limit < MODEL.layer_count:
        assert (
            request_capacity(kind, MODEL, layer_limit + 1, layer_limit + 1) < requests
        )


def test_missing_layer_means_no_throughput() -> None:
    engines = make_chain(SMALL, 7)
    assert best_chain_throughput_rps(engines, MODEL) > 0
    assert best_chain_throughput_rps(engines[1:], MODEL) == 0.0
    assert best_chain(engines[1:], MODEL) is None


def test_stage_with_least_memory_bounds_its_chain() -> None:
    # A small engine has memory for 4 typical requests beside 8 layers, for 28 beside 7.
    assert best_chain_throughput_rps(
        make_chain(SMALL, 7), MODEL
    ) > 3 * best_chain_throughput_rps(make_chain(SMALL, 8), MODEL)


def test_unused_held_layers_reduce_current_throughput() -> None:
    """Guards against estimates that ignore the memory of layers which no chain runs."""
    engines = make_chain(SMALL, 7)
    overfull = replace(engines[0], held_layers=LayerRange(0, 7))
    chain = best_chain([overfull, *engines[1:]], MODEL)
    assert chain is not None
    assert current_throughput_rps(chain, MODEL) < 0.5 * chain_throughput_rps(
        chain, MODEL
    )


def test_engine_runs_one_stage_of_a_chain() -> None:
    engines = [*make_chain(FAST, 12), EnginePlacement("x", MIDDLE, LayerRange(4, 8))]
    chain = best_chain(engines, MODEL)
    assert chain is not None
    used = [stage.engine.server_id for stage in chain]
    assert len(used) == len(set(used))


@given(accelerators=st.lists(ACCELERATORS, min_size=9, max_size=20), added=ACCELERATORS)
@settings(max_examples=60, deadline=None)
def test_additional_engine_barely_reduces_the_best_spread(
    accelerators: list[Accelerator], added: Accelerator
) -> None:
    engines = [
        EnginePlacement(f"e{n:02d}", kind, None) for n, kind in enumerate(accelerators)
    ]
    before = best_spread(engines, MODEL)
    after = best_spread([*engines, EnginePlacement("new", added, None)], MODEL)
    if before is None:
        return
    assert after is not None
    # Of spreads within 5% of the best throughput, the one with less residence is used.
    assert after.throughput_rps >= 0.85 * before.throughput_rps


@given(accelerators=st.lists(ACCELERATORS, min_size=6, max_size=20))
@settings(max_examples=60, deadline=None)
def test_spreads_hold_each_layer_once_and_fit_their_requests(
    accelerators: list[Accelerator],
) -> None:
    engines = [
        EnginePlacement(f"e{n:02d}", kind, None) for n, kind in enumerate(accelerators)
    ]
    by_id = {e.server_id: e.accelerator for e in engines}
    for spread in spreads(engines, MODEL):
        ranges = sorted(spread.layers.values(), key=lambda layers: layers.first)
        assert ranges[0].first == 0
        assert ranges[-1].last == MODEL.layer_count - 1
        for previous, following in pairwise(ranges):
            assert following.first == previous.last + 1
        for server_id, layers in spread.layers.items():
            held_count = len(layers)
            capacity = request_capacity(by_id[server_id], MODEL, held_count, held_count)
            assert capacity >= spread.requests
