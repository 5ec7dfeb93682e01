"""Permits to send to a server with a rate limit: who hands them out, and to whom."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.rate_limits import (
    AskHolder,
    Fleet,
    PermitDenied,
    PermitGranted,
    PermitSchedule,
    PermitSharing,
    permit_holders,
    permit_wait_limit_s,
)
from tests.lib.limits import ALLOWED_MORE, ALLOWED_TIMES, WINDOW_S
from tests.lib.properties import examples

SERVER = "i-1"


def fleet(entries: int, own: int = 0, members: int | None = None) -> Fleet:
    others = tuple(f"entry-{n}" for n in range(entries) if n != own)
    return Fleet(f"entry-{own}", others, entries if members is None else members)


@given(
    st.floats(0.1, 50.0),
    st.floats(1.0, 3.0),
    st.lists(st.floats(0.0, 1.0), min_size=1, max_size=60),
    st.floats(0.0, 1.0),
)
@examples(200)
def test_no_window_holds_more_than_a_burst_and_what_its_length_allows(
    per_s: float, burst: float, pauses_s: list[float], max_wait_s: float
) -> None:
    schedule, now_s, sent_s = PermitSchedule(0.0), 0.0, []
    for pause_s in pauses_s:
        now_s += pause_s
        outcome = schedule.take(now_s, per_s, burst, max_wait_s)
        if isinstance(outcome, PermitGranted):
            assert outcome.wait_s <= max_wait_s
            sent_s.append(now_s + outcome.wait_s)
    for end_s in sent_s:
        got = sum(1 for at_s in sent_s if end_s - WINDOW_S < at_s <= end_s)
        assert got <= burst + per_s * WINDOW_S + 1e-6


def test_a_denial_tells_when_the_next_one_is_there() -> None:
    schedule = PermitSchedule(0.0)
    assert schedule.take(0.0, 2.0, 1.0, 0.0) == PermitGranted()
    assert schedule.take(0.1, 2.0, 1.0, 0.0) == PermitDenied(pytest.approx(0.4))
    assert schedule.take(0.1, 2.0, 1.0, 0.4) == PermitGranted(pytest.approx(0.4))
    assert schedule.take(0.5, 2.0, 1.0, 0.0) == PermitDenied(pytest.approx(0.5))


def test_permits_taken_ahead_count_at_the_rate_that_holds_now() -> None:
    schedule = PermitSchedule(0.0)
    schedule.take(0.0, 0.1, 1.0, 0.0)
    assert schedule.take(0.0, 0.1, 1.0, 0.0) == PermitDenied(pytest.approx(10.0))
    assert schedule.take(0.0, 5.0, 1.0, 0.0) == PermitDenied(pytest.approx(0.2))


@pytest.mark.parametrize("entries", [1, 2, 3, 5, 21, 68, 380])
@pytest.mark.parametrize("per_s", [0.0, 0.3, 1.4, 2.5, 10.0, 200.0])
def test_all_holders_together_keep_the_limit_with_one_to_spare(
    entries: int, per_s: float
) -> None:
    holders = permit_holders(SERVER, per_s, fleet(entries))
    each = int(holders.burst + holders.per_s * WINDOW_S)
    surplus = min(1, entries - len(holders.names))
    most = ALLOWED_TIMES * per_s * WINDOW_S + ALLOWED_MORE
    assert each * (len(holders.names) + surplus) <= most


def test_all_entries_agree_on_who_holds_and_servers_differ() -> None:
    seen = {permit_holders(SERVER, 1.4, fleet(68, own)).names for own in range(68)}
    assert len(seen) == 1
    others = {permit_holders(f"i-{n}", 1.4, fleet(68)).names for n in range(20)}
    assert len(others) > 10


def test_lists_that_differ_by_an_entry_differ_by_a_holder() -> None:
    one = set(permit_holders(SERVER, 2.5, fleet(21)).names)
    other = set(permit_holders(SERVER, 2.5, fleet(22)).names)
    assert len(one - other) <= 1


def test_one_whose_list_lacks_most_entries_holds_nothing_of_many() -> None:
    assert permit_holders(SERVER, 1.4, fleet(1, members=21)).names == ()
    assert permit_holders(SERVER, 1.4, fleet(1, members=3)).names == ("entry-0",)
    assert permit_holders(SERVER, 1.4, fleet(1, members=3)).per_s < 0.5


@pytest.fixture
def asker() -> tuple[PermitSharing, Fleet]:
    """An entry that doesn't hold permits of the server."""
    holders = permit_holders(SERVER, 1.4, fleet(21)).names
    own = next(n for n in range(21) if f"entry-{n}" not in holders)
    return PermitSharing(random.Random(1)), fleet(21, own)


def test_one_that_was_told_to_wait_isnt_asked_before(
    asker: tuple[PermitSharing, Fleet],
) -> None:
    sharing, known = asker
    asked = set()
    while isinstance(step := sharing.step(SERVER, 1.4, known, 5.0, 0.0), AskHolder):
        assert step.name not in asked
        asked.add(step.name)
        sharing.denied(SERVER, step.name, 0.5 + len(asked), 5.0)
    assert step == PermitDenied(pytest.approx(1.5))
    assert asked == set(permit_holders(SERVER, 1.4, known).names)
    assert isinstance(sharing.step(SERVER, 1.4, known, 6.6, 0.0), AskHolder)
    # Who can wait asks now, and another limit is another matter.
    assert isinstance(sharing.step(SERVER, 1.4, known, 5.0, 1.6), AskHolder)
    assert isinstance(sharing.step(SERVER, 2.0, known, 5.0, 0.0), AskHolder)


def test_one_that_doesnt_answer_is_left_alone_for_a_while(
    asker: tuple[PermitSharing, Fleet],
) -> None:
    sharing, known = asker
    step = sharing.step(SERVER, 1.4, known, 5.0, 0.0)
    assert isinstance(step, AskHolder)
    sharing.unanswered(SERVER, step.name, 5.0)
    for _ in range(20):
        again = sharing.step(SERVER, 1.4, known, 5.1, 0.0)
        assert isinstance(again, AskHolder)
        assert again.name != step.name


def test_who_holds_nothing_gives_nothing(asker: tuple[PermitSharing, Fleet]) -> None:
    sharing, known = asker
    outcome = sharing.asked(SERVER, 1.4, known, 5.0, 0.0)
    assert isinstance(outcome, PermitDenied)


def test_begun_answers_may_wait_longest_then_the_most_urgent() -> None:
    waits_s = [permit_wait_limit_s(0.5, rank, 0.9, begun=False) for rank in range(4)]
    assert waits_s == sorted(waits_s, reverse=True)
    assert permit_wait_limit_s(0.5, 3, 0.9, begun=True) > waits_s[0]


def test_the_urgent_get_more_and_nobody_starves() -> None:
    """Two ranks of 5 a second each want one server that takes 2."""
    rng, schedule = random.Random(3), PermitSchedule(0.0)
    granted = [0, 0]
    for tick in range(2000):
        rank = rng.choice((0, 1))
        max_wait_s = permit_wait_limit_s(2.0, 2 * rank, rng.random(), begun=False)
        outcome = schedule.take(tick * 0.1, 2.0, 1.0, max_wait_s)
        granted[rank] += isinstance(outcome, PermitGranted)
    assert granted[0] > 1.5 * granted[1]
    assert granted[1] >= 0.05 * sum(granted)
