"""Permits to send requests to a server with a rate limit: issuers and their answers.

The permits of all issuers together must stay within the limit, while most of the limit
remains usable.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.rate_limits import (
    AskIssuer,
    KnownEntries,
    PermitDenied,
    PermitGranted,
    PermitSchedule,
    PermitSharing,
    permit_issuers,
    permit_wait_limit_s,
)
from tests.lib.limits import ALLOWED_EXTRA, ALLOWED_FACTOR, WINDOW_S
from tests.lib.properties import examples

SERVER = "i-1"


def known_entries(
    entries: int, own_number: int = 0, entry_count: int | None = None
) -> KnownEntries:
    peer_names = tuple(f"entry-{n}" for n in range(entries) if n != own_number)
    return KnownEntries(
        f"entry-{own_number}",
        peer_names,
        entries if entry_count is None else entry_count,
    )


@given(
    st.floats(0.1, 50.0),
    st.floats(1.0, 3.0),
    st.lists(st.floats(0.0, 1.0), min_size=1, max_size=60),
    st.floats(0.0, 1.0),
)
@examples(200)
def test_permits_in_any_window_stay_within_burst_and_rate(
    rate_per_s: float, burst: float, pauses_s: list[float], max_wait_s: float
) -> None:
    schedule, now_s, sent_s = PermitSchedule(0.0), 0.0, []
    for pause_s in pauses_s:
        now_s += pause_s
        outcome = schedule.take(now_s, rate_per_s, burst, max_wait_s)
        if isinstance(outcome, PermitGranted):
            assert outcome.wait_s <= max_wait_s
            sent_s.append(now_s + outcome.wait_s)
    for end_s in sent_s:
        sent_in_window = sum(1 for at_s in sent_s if end_s - WINDOW_S < at_s <= end_s)
        assert sent_in_window <= burst + rate_per_s * WINDOW_S + 1e-6


def test_denial_states_the_time_until_the_next_permit() -> None:
    schedule = PermitSchedule(0.0)
    assert schedule.take(0.0, 2.0, 1.0, 0.0) == PermitGranted()
    assert schedule.take(0.1, 2.0, 1.0, 0.0) == PermitDenied(pytest.approx(0.4))
    assert schedule.take(0.1, 2.0, 1.0, 0.4) == PermitGranted(pytest.approx(0.4))
    assert schedule.take(0.5, 2.0, 1.0, 0.0) == PermitDenied(pytest.approx(0.5))


def test_reserved_permits_are_rescaled_when_the_rate_changes() -> None:
    schedule = PermitSchedule(0.0)
    schedule.take(0.0, 0.1, 1.0, 0.0)
    assert schedule.take(0.0, 0.1, 1.0, 0.0) == PermitDenied(pytest.approx(10.0))
    assert schedule.take(0.0, 5.0, 1.0, 0.0) == PermitDenied(pytest.approx(0.2))


@pytest.mark.parametrize("entries", [1, 2, 3, 5, 21, 68, 380])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 1.4, 2.5, 10.0, 200.0])
def test_all_issuers_together_stay_within_the_limit(
    entries: int, limit_per_s: float
) -> None:
    """One more issuer than selected is allowed for, since entries' lists may differ."""
    issuers = permit_issuers(SERVER, limit_per_s, known_entries(entries))
    per_issuer = int(issuers.burst + issuers.permits_per_s * WINDOW_S)
    surplus = min(1, entries - len(issuers.names))
    max_requests = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA
    assert per_issuer * (len(issuers.names) + surplus) <= max_requests


def test_entries_select_the_same_issuers_which_differ_by_server() -> None:
    selections = {
        permit_issuers(SERVER, 1.4, known_entries(68, own_number)).names
        for own_number in range(68)
    }
    assert len(selections) == 1
    by_server = {
        permit_issuers(f"i-{n}", 1.4, known_entries(68)).names for n in range(20)
    }
    assert len(by_server) > 10


def test_one_more_entry_replaces_at_most_one_issuer() -> None:
    issuers_of_21 = set(permit_issuers(SERVER, 2.5, known_entries(21)).names)
    issuers_of_22 = set(permit_issuers(SERVER, 2.5, known_entries(22)).names)
    assert len(issuers_of_21 - issuers_of_22) <= 1


def test_entry_with_an_incomplete_list_issues_nothing_among_many() -> None:
    """Many entries that are cut off would otherwise each issue permits of the limit."""
    assert permit_issuers(SERVER, 1.4, known_entries(1, entry_count=21)).names == ()
    assert permit_issuers(SERVER, 1.4, known_entries(1, entry_count=3)).names == (
        "entry-0",
    )
    assert (
        permit_issuers(SERVER, 1.4, known_entries(1, entry_count=3)).permits_per_s < 0.5
    )


@pytest.fixture
def asker() -> tuple[PermitSharing, KnownEntries]:
    """Return the state of an entry that is no issuer for the server."""
    issuers = permit_issuers(SERVER, 1.4, known_entries(21)).names
    own_number = next(n for n in range(21) if f"entry-{n}" not in issuers)
    return PermitSharing(random.Random(1)), known_entries(21, own_number)


def test_issuer_that_denied_is_not_asked_before_its_next_permit(
    asker: tuple[PermitSharing, KnownEntries],
) -> None:
    """Repeated requests for permits would load the issuers without any benefit."""
    sharing, entries = asker
    asked_names = set()
    while isinstance(
        decision := sharing.request_permit(SERVER, 1.4, entries, 5.0, 0.0), AskIssuer
    ):
        assert decision.name not in asked_names
        asked_names.add(decision.name)
        sharing.record_denial(SERVER, decision.name, 0.5 + len(asked_names), 5.0)
    assert decision == PermitDenied(pytest.approx(1.5))
    assert asked_names == set(permit_issuers(SERVER, 1.4, entries).names)
    assert isinstance(sharing.request_permit(SERVER, 1.4, entries, 6.6, 0.0), AskIssuer)
    # An entry whose request can wait asks now, as does one that knows another limit.
    assert isinstance(sharing.request_permit(SERVER, 1.4, entries, 5.0, 1.6), AskIssuer)
    assert isinstance(sharing.request_permit(SERVER, 2.0, entries, 5.0, 0.0), AskIssuer)


def test_issuer_that_does_not_answer_is_not_asked_for_a_while(
    asker: tuple[PermitSharing, KnownEntries],
) -> None:
    sharing, entries = asker
    decision = sharing.request_permit(SERVER, 1.4, entries, 5.0, 0.0)
    assert isinstance(decision, AskIssuer)
    sharing.record_no_answer(SERVER, decision.name, 5.0)
    for _ in range(20):
        next_decision = sharing.request_permit(SERVER, 1.4, entries, 5.1, 0.0)
        assert isinstance(next_decision, AskIssuer)
        assert next_decision.name != decision.name


def test_entry_that_is_no_issuer_denies_permits(
    asker: tuple[PermitSharing, KnownEntries],
) -> None:
    sharing, entries = asker
    outcome = sharing.answer_peer(SERVER, 1.4, entries, 5.0, 0.0)
    assert isinstance(outcome, PermitDenied)


def test_started_answers_wait_longest_then_the_most_urgent() -> None:
    waits_s = [
        permit_wait_limit_s(0.5, rank, 0.9, answer_started=False) for rank in range(4)
    ]
    assert waits_s == sorted(waits_s, reverse=True)
    assert permit_wait_limit_s(0.5, 3, 0.9, answer_started=True) > waits_s[0]


def test_urgent_requests_get_more_permits_without_starving_others() -> None:
    """Two ranks with 5 requests a second each share a server with a limit of 2."""
    rng, schedule = random.Random(3), PermitSchedule(0.0)
    granted = [0, 0]
    for tick in range(2000):
        rank = rng.choice((0, 1))
        max_wait_s = permit_wait_limit_s(
            2.0, 2 * rank, rng.random(), answer_started=False
        )
        outcome = schedule.take(tick * 0.1, 2.0, 1.0, max_wait_s)
        granted[rank] += isinstance(outcome, PermitGranted)
    assert granted[0] > 1.5 * granted[1]
    assert granted[1] >= 0.05 * sum(granted)
