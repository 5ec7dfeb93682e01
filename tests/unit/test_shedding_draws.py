"""What clients get while servers shed load with Retry-After, over many entries."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.lib.shedding_draws import Outcome, Play, run

SEEDS = range(4)


def mean_served(play: Play) -> float:
    return sum(run(replace(play, seed=s)).served_share for s in SEEDS) / len(SEEDS)


def outcomes(play: Play) -> list[Outcome]:
    return [run(replace(play, seed=seed)) for seed in SEEDS]


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
@pytest.mark.parametrize("refused_share", [0.1, 0.5, 1.0])
def test_no_entry_sends_before_the_end_of_a_backoff(
    entries: int, refused_share: float
) -> None:
    play = Play(entries, 1.0, refused_share=refused_share)
    assert max(o.most_during for o in outcomes(play)) == 0


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
@pytest.mark.parametrize("load", [0.8, 1.0, 1.3])
def test_the_other_servers_serve_as_they_would_without_the_one_that_sheds(
    entries: int, load: float
) -> None:
    """The load that moves to them must not make them refuse more than they have to."""
    beside = mean_served(Play(entries, load, servers=3, in_need=1))
    alone = mean_served(Play(entries, load, servers=2, in_need=0))
    assert beside >= alone - 0.05
    if load < 1.0:
        assert beside >= 0.95


@pytest.mark.parametrize("entries", [5, 21, 68])
@pytest.mark.parametrize("refused_share", [0.1, 0.5, 1.0])
def test_a_backoff_of_one_entry_isnt_one_of_all(
    entries: int, refused_share: float
) -> None:
    """A server that refuses a part of its requests would get none at all."""
    play = Play(entries, 1.0, servers=2, in_need=2, refused_share=refused_share)
    own, shared = mean_served(play), mean_served(replace(play, shared=True))
    assert own >= shared - 0.03
    if refused_share < 0.2:
        assert own >= shared + 0.2


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
def test_a_server_is_back_within_a_second_of_its_need(entries: int) -> None:
    for outcome in outcomes(Play(entries, 1.0)):
        assert outcome.recovered_s is not None
        assert outcome.recovered_s <= 8.0 + 1.0
