"""Uneven load on parallel chains of different speeds that several entries share.

Simulated without a network: the request rate of each failure domain varies by half,
accelerators differ sixfold in speed, and announced load is at most 0.25 s old.
"""

from __future__ import annotations

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.fleet_load import EntryLoad
from tests.lib.fleet_simulation import (
    CAPACITY_RPS,
    ChooseChain,
    Engine,
    FleetSimulation,
    Outcome,
    Workload,
    balancer_choice,
    max_share_ratio,
    mixed_speed_fleet,
    parallel_chains,
)

ENGINES = mixed_speed_fleet()
balancer = balancer_choice(crosses=False)

Stages = list[tuple[Engine, LayerRange]]


def full_stages(engines: list[Engine]) -> Stages:
    return [(engine, engine.layers) for engine in engines]


def random_chain(
    fleet: FleetSimulation, entry: int, needs: RequestNeeds, now_s: float
) -> Stages:
    return full_stages(fleet.rng.choice(parallel_chains(fleet.engines)))


def round_robin_chain(
    fleet: FleetSimulation, entry: int, needs: RequestNeeds, now_s: float
) -> Stages:
    chains = parallel_chains(fleet.engines)
    return full_stages(chains[(fleet.outcome.arrived * 7 + entry) % len(chains)])


def least_own_load_chain(
    fleet: FleetSimulation, entry: int, needs: RequestNeeds, now_s: float
) -> Stages:
    def own_tokens(engines: list[Engine]) -> tuple[int, float]:
        part = fleet.load_views[entry].own.get(engines[0].name, EntryLoad())
        return part.tokens, fleet.rng.random()

    return full_stages(min(parallel_chains(fleet.engines), key=own_tokens))


def simulate(load_share: float, choose: ChooseChain, **overrides: float) -> Outcome:
    workload = Workload(rps=load_share * CAPACITY_RPS, duration_s=5.0, **overrides)  # type: ignore[arg-type]
    return FleetSimulation(ENGINES, workload, seed=3).run(choose)


@pytest.mark.parametrize(
    "baseline", [random_chain, round_robin_chain, least_own_load_chain]
)
def test_fewer_rejections_than_with_simpler_balancers(baseline: ChooseChain) -> None:
    """Guards against rejections at 90% of the capacity.

    Choices that ignore speed or the load from other entries overload slow chains.
    """
    simple, balanced = (
        simulate(0.9, baseline),
        simulate(0.9, balancer),
    )
    assert simple.rejected / simple.arrived > 0.1
    assert balanced.rejected / balanced.arrived < 0.03
    assert balanced.in_time / balanced.arrived > 0.96


@pytest.mark.parametrize("load_share", [0.3, 0.7, 0.9])
def test_no_chain_gets_far_more_than_its_share(load_share: float) -> None:
    assert max_share_ratio(simulate(load_share, balancer), ENGINES) < 1.5


@pytest.mark.parametrize("entries", [3, 12, 48])
def test_requests_are_in_time_for_any_number_of_entries(entries: int) -> None:
    """Guards against late answers, at 70% of the capacity, if many entries share it."""
    outcome = simulate(0.7, balancer, entries=entries)
    assert outcome.in_time / outcome.arrived > 0.98


def test_load_is_balanced_without_announcements() -> None:
    outcome = simulate(0.7, balancer, announce_interval_s=0.0)
    assert outcome.in_time / outcome.arrived > 0.97
    assert max_share_ratio(outcome, ENGINES) < 1.5


def test_loose_objectives_leave_fast_engines_to_tight_objectives() -> None:
    """Guards against loose requests that occupy the engines which tight ones need.

    Half of the requests have twice the objective for the first event.
    """
    outcome = simulate(0.6, balancer, loose_share=0.5)
    fast = [e.name for e in ENGINES if "fast" in e.name]
    loose = sum(outcome.loose_sent[name] for name in fast)
    tight = sum(outcome.sent[name] for name in fast) - loose
    assert loose < 0.9 * tight
    assert outcome.in_time / outcome.arrived > 0.98
