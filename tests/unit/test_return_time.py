"""When refused callers come back, and whom they meet then."""

from __future__ import annotations

import random

import pytest

from railfold._internal.decisions.return_time import (
    AloneWithoutProof,
    NobodyHasProof,
    NoRoom,
    OnTrial,
    RateLimited,
    ReturnCause,
    ServersBackingOff,
    Starting,
    return_after_s,
)

OBJECTIVE_S = 0.5


def returns(cause: ReturnCause, count: int = 400) -> list[float]:
    rng = random.Random(1)
    return sorted(return_after_s(cause, rng.random()) for _ in range(count))


def test_where_another_entry_serves_its_callers_lose_little_time() -> None:
    """They came back after 0.25 to 0.75 s, most of them late for 0.5 s."""
    assert returns(AloneWithoutProof())[-1] <= 0.2 * OBJECTIVE_S


def test_while_nobody_can_tell_callers_ask_less_and_less_often() -> None:
    means = [
        sum(returns(NobodyHasProof(lapsed_s))) / 400 for lapsed_s in (0.1, 0.6, 5.0)
    ]
    assert means == sorted(means)
    assert means[0] == pytest.approx(0.3, abs=0.02)
    assert means[2] == pytest.approx(1.0, abs=0.05)


def test_an_entry_that_starts_is_met_when_it_serves() -> None:
    assert returns(Starting())[0] > 0.1
    assert returns(Starting())[-1] < OBJECTIVE_S


@pytest.mark.parametrize("cause", [NoRoom(), NobodyHasProof(2.0)])
def test_callers_of_a_full_fleet_dont_come_back_together(cause: ReturnCause) -> None:
    """400 that are refused at once meet room for one in five within each 50 ms."""
    back_s = returns(cause)
    for first in range(20):
        since_s = first * 0.05
        together = sum(1 for at_s in back_s if since_s <= at_s < since_s + 0.05)
        assert together <= 400 / 5


def test_who_waits_for_a_trial_comes_right_after_it() -> None:
    back_s = returns(OnTrial(0.4))
    assert back_s[0] > 0.4
    assert back_s[-1] < 0.5


@pytest.mark.parametrize("left_s", [0.0, 0.2, 0.7])
def test_who_lacks_a_permit_comes_when_there_may_be_one(left_s: float) -> None:
    back_s = returns(RateLimited(left_s))
    assert back_s[0] >= left_s
    assert back_s[0] > 0.0
    assert len(set(back_s)) > 5


def test_servers_that_take_nothing_for_long_are_asked_again_soon() -> None:
    """They may be well by then; 17 s were told where one request in 5 s is taken."""
    assert returns(RateLimited(30.0))[-1] <= 2.0


@pytest.mark.parametrize("left_s", [0.1, 1.0, 3.0])
def test_who_is_refused_by_backoffs_comes_after_the_first_ends(left_s: float) -> None:
    """They came back after 0.25 to 0.75 s, eight times within 3 s."""
    back_s = returns(ServersBackingOff(left_s, others_serve=False))
    assert back_s[0] >= left_s
    assert back_s[-1] - back_s[0] >= 0.2
    assert back_s[-1] <= 1.5 * left_s + 0.3


def test_where_other_entries_may_send_clients_ask_those_at_once() -> None:
    back_s = returns(ServersBackingOff(3.0, others_serve=True))
    assert back_s[-1] <= 0.2 * OBJECTIVE_S
