"""Requests spread over parallel chains of unlike speeds, by entries that share them.

Played without a network: demand swings by half between failure domains, accelerators
differ sixfold in speed, and news of load is a quarter of a second old at most.
"""

from __future__ import annotations

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.fleet_load import EntryLoad
from tests.lib.fleet_draws import (
    CAPACITY_RPS,
    Choose,
    Engine,
    Fleet,
    Load,
    Outcome,
    balanced_choice,
    most_over_share,
    parallel_chains,
    uneven_fleet,
)

ENGINES = uneven_fleet()
balanced = balanced_choice(crosses=False)

Chain = list[tuple[Engine, LayerRange]]


def whole(engines: list[Engine]) -> Chain:
    return [(engine, engine.layers) for engine in engines]


def by_chance(fleet: Fleet, entry: int, needs: RequestNeeds, now_s: float) -> Chain:
    return whole(fleet.rng.choice(parallel_chains(fleet.engines)))


def round_robin(fleet: Fleet, entry: int, needs: RequestNeeds, now_s: float) -> Chain:
    chains = parallel_chains(fleet.engines)
    return whole(chains[(fleet.outcome.arrived * 7 + entry) % len(chains)])


def least_of_own(fleet: Fleet, entry: int, needs: RequestNeeds, now_s: float) -> Chain:
    def own_tokens(engines: list[Engine]) -> tuple[int, float]:
        part = fleet.known[entry].own.get(engines[0].name, EntryLoad())
        return part.tokens, fleet.rng.random()

    return whole(min(parallel_chains(fleet.engines), key=own_tokens))


def play(load_share: float, choose: Choose, **changes: float) -> Outcome:
    load = Load(rps=load_share * CAPACITY_RPS, duration_s=5.0, **changes)  # type: ignore[arg-type]
    return Fleet(ENGINES, load, seed=3).play(choose)


@pytest.mark.parametrize("baseline", [by_chance, round_robin, least_of_own])
def test_fewer_are_rejected_than_by_choices_that_know_less(baseline: Choose) -> None:
    """Nine tenths of what the chains serve."""
    others, ours = play(0.9, baseline), play(0.9, balanced)
    assert others.rejected / others.arrived > 0.1
    assert ours.rejected / ours.arrived < 0.03
    assert ours.in_time / ours.arrived > 0.96


@pytest.mark.parametrize("load_share", [0.3, 0.7, 0.9])
def test_no_server_gets_far_over_its_share_by_speed(load_share: float) -> None:
    assert most_over_share(play(load_share, balanced), ENGINES) < 1.5


@pytest.mark.parametrize("entries", [3, 12, 48])
def test_all_are_served_in_time_whatever_the_number_of_entries(entries: int) -> None:
    """Seven tenths of what the chains serve."""
    played = play(0.7, balanced, entries=entries)
    assert played.in_time / played.arrived > 0.98


def test_without_news_of_others_load_is_spread_still() -> None:
    played = play(0.7, balanced, news_s=0.0)
    assert played.in_time / played.arrived > 0.97
    assert most_over_share(played, ENGINES) < 1.5


def test_loose_objectives_leave_fast_engines_to_tight_ones() -> None:
    """Half of the requests have twice as long for the first event."""
    played = play(0.6, balanced, loose_share=0.5)
    fast = [e.name for e in ENGINES if "fast" in e.name]
    loose = sum(played.loose_sent[name] for name in fast)
    tight = sum(played.sent[name] for name in fast) - loose
    assert loose < 0.9 * tight
    assert played.in_time / played.arrived > 0.98
