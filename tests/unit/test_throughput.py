"""What a failure domain is reckoned to serve grows with room, pace and engines."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.core import LayerRange
from railfold._internal.decisions.placement import EngineRoom, domain_throughput_rps
from railfold._internal.decisions.placement.chain import (
    best_chain,
    chain_throughput_rps,
    served_now_rps,
)
from railfold._internal.decisions.placement.rooms import max_layers, request_room
from railfold._internal.decisions.placement.spread import best_spread, spreads
from railfold._internal.decisions.placement.throughput import (
    STAGE_DELAY_S,
    stage_residence_s,
    stage_token_s,
)
from railfold._internal.decisions.routing_table import Accelerator
from tests.lib.models import FAST, MIDDLE, MODEL, SMALL

KINDS = st.sampled_from([FAST, MIDDLE, SMALL])


def chain_of(kind: Accelerator, size: int) -> list[EngineRoom]:
    """Engines of one kind that hold ``size`` layers each, and all layers together."""
    firsts = range(0, MODEL.layer_count, size)
    return [
        EngineRoom(
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
def test_a_token_takes_as_long_as_on_the_users_idle_engines(
    stages: int, work_factor: float, measured_ms: float
) -> None:
    # Chains of rrs-vooraf at a tenth of a quiet day's load; docs/MEASURES.md.
    model = replace(MODEL, step_s=0.00102)
    average = Accelerator(14400.0, work_factor)
    token_s = stage_token_s(average, model, model.layer_count, 0.0)
    token_s += (stages - 1) * STAGE_DELAY_S
    assert token_s * 1000 == pytest.approx(measured_ms, rel=0.03)


@given(kind=KINDS, layers=st.integers(1, 20), requests=st.floats(0.0, 96.0))
def test_more_layers_requests_and_slowness_take_longer(
    kind: Accelerator, layers: int, requests: float
) -> None:
    usual_s = stage_residence_s(kind, MODEL, layers, requests)
    assert stage_residence_s(kind, MODEL, layers + 1, requests) > usual_s
    assert stage_residence_s(kind, MODEL, layers, requests + 1) > usual_s
    assert stage_residence_s(kind.slowed(3.0), MODEL, layers, requests) > usual_s


@given(kind=KINDS, requests=st.floats(1.0, 96.0))
def test_an_engine_with_its_most_layers_has_the_room_asked_for(
    kind: Accelerator, requests: float
) -> None:
    most = max_layers(kind, MODEL, requests)
    if most > 0:
        assert request_room(kind, MODEL, most, most) >= requests
    if 0 < most < MODEL.layer_count:
        assert request_room(kind, MODEL, most + 1, most + 1) < requests


def test_a_missing_layer_means_nothing_is_served() -> None:
    engines = chain_of(SMALL, 7)
    assert domain_throughput_rps(engines, MODEL) > 0
    assert domain_throughput_rps(engines[1:], MODEL) == 0.0
    assert best_chain(engines[1:], MODEL) is None


def test_a_narrow_engine_bounds_its_chain() -> None:
    # A small engine has room for 4 usual requests beside 8 layers, 28 beside 7.
    assert domain_throughput_rps(chain_of(SMALL, 7), MODEL) > 3 * domain_throughput_rps(
        chain_of(SMALL, 8), MODEL
    )


def test_layers_held_in_vain_cost_what_a_chain_serves_now() -> None:
    engines = chain_of(SMALL, 7)
    wide = replace(engines[0], held=LayerRange(0, 7))
    chain = best_chain([wide, *engines[1:]], MODEL)
    assert chain is not None
    assert served_now_rps(chain, MODEL) < 0.5 * chain_throughput_rps(chain, MODEL)


def test_an_engine_runs_one_part_of_a_chain_only() -> None:
    engines = [*chain_of(FAST, 12), EngineRoom("x", MIDDLE, LayerRange(4, 8))]
    chain = best_chain(engines, MODEL)
    assert chain is not None
    used = [stage.engine.server_id for stage in chain]
    assert len(used) == len(set(used))


@given(kinds=st.lists(KINDS, min_size=9, max_size=20), more=KINDS)
@settings(max_examples=60, deadline=None)
def test_one_engine_more_never_makes_the_best_spread_much_worse(
    kinds: list[Accelerator], more: Accelerator
) -> None:
    engines = [EngineRoom(f"e{n:02d}", kind, None) for n, kind in enumerate(kinds)]
    before = best_spread(engines, MODEL)
    after = best_spread([*engines, EngineRoom("new", more, None)], MODEL)
    if before is None:
        return
    assert after is not None
    # Spreads within a twentieth of the best count as equal.
    assert after.throughput_rps >= 0.85 * before.throughput_rps


@given(kinds=st.lists(KINDS, min_size=6, max_size=20))
@settings(max_examples=60, deadline=None)
def test_spreads_hold_each_layer_once_with_room_for_their_requests(
    kinds: list[Accelerator],
) -> None:
    engines = [EngineRoom(f"e{n:02d}", kind, None) for n, kind in enumerate(kinds)]
    by_id = {e.server_id: e.accelerator for e in engines}
    for spread in spreads(engines, MODEL):
        ranges = sorted(spread.layers.values(), key=lambda layers: layers.first)
        assert ranges[0].first == 0
        assert ranges[-1].last == MODEL.layer_count - 1
        for one, other in pairwise(ranges):
            assert other.first == one.last + 1
        for server_id, layers in spread.layers.items():
            held = len(layers)
            room = request_room(by_id[server_id], MODEL, held, held)
            assert room >= spread.requests
