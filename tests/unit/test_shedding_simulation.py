"""Share of clients that is served while servers shed load, with many entries.

Backoffs must keep requests away from overloaded servers without reducing what the other
servers serve.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.lib.shedding_simulation import Outcome, Scenario, run

SEEDS = range(4)


def mean_served_share(scenario: Scenario) -> float:
    return sum(run(replace(scenario, seed=s)).served_share for s in SEEDS) / len(SEEDS)


def outcomes(scenario: Scenario) -> list[Outcome]:
    return [run(replace(scenario, seed=seed)) for seed in SEEDS]


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
@pytest.mark.parametrize("refused_share", [0.1, 0.5, 1.0])
def test_no_entry_sends_during_a_backoff(entries: int, refused_share: float) -> None:
    scenario = Scenario(entries, 1.0, refused_share=refused_share)
    assert max(o.max_during_backoff for o in outcomes(scenario)) == 0


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
@pytest.mark.parametrize("load", [0.8, 1.0, 1.3])
def test_shedding_server_does_not_reduce_what_the_others_serve(
    entries: int, load: float
) -> None:
    """The load that moves to the other servers must not cause avoidable refusals."""
    beside_overloaded = mean_served_share(
        Scenario(entries, load, servers=3, overloaded_count=1)
    )
    alone = mean_served_share(Scenario(entries, load, servers=2, overloaded_count=0))
    assert beside_overloaded >= alone - 0.05
    if load < 1.0:
        assert beside_overloaded >= 0.95


@pytest.mark.parametrize("entries", [5, 21, 68])
@pytest.mark.parametrize("refused_share", [0.1, 0.5, 1.0])
def test_backoffs_per_entry_serve_more_than_shared_backoffs(
    entries: int, refused_share: float
) -> None:
    """A server that refuses some requests would get none if entries shared backoffs."""
    scenario = Scenario(
        entries, 1.0, servers=2, overloaded_count=2, refused_share=refused_share
    )
    own, shared = (
        mean_served_share(scenario),
        mean_served_share(replace(scenario, shared=True)),
    )
    assert own >= shared - 0.03
    if refused_share < 0.2:
        assert own >= shared + 0.2


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
def test_server_gets_requests_within_a_second_of_recovering(entries: int) -> None:
    for outcome in outcomes(Scenario(entries, 1.0)):
        assert outcome.first_served_s is not None
        assert outcome.first_served_s <= 8.0 + 1.0
