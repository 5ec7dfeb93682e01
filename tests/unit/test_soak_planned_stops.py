"""The soak's rules on what a planned stop may do to requests."""

from __future__ import annotations

import signal

import pytest

from soak.deployment import EntryRun
from soak.planned_stops import (
    Unanswered,
    describe_loss,
    is_allowed_cut,
    is_past_deadline,
)

STOPPED_AT_S = 100.0


def unanswered(
    sent_after_s: float,
    ended_after_s: float,
    has_started: bool = True,
    stopped: bool = True,
    disturbed: bool = False,
    was_closed: bool = True,
) -> Unanswered:
    run = EntryRun(STOPPED_AT_S if stopped else None, disturbed)
    sent_s, ended_s = STOPPED_AT_S + sent_after_s, STOPPED_AT_S + ended_after_s
    return Unanswered("r-1", run, sent_s, ended_s, has_started, was_closed)


@pytest.mark.parametrize(
    ("request_", "allowed"),
    [
        (unanswered(2.7, 4.6), True),
        (unanswered(-1.0, 4.6), True),
        (unanswered(2.7, 4.4), False),
        (unanswered(-1.0, 0.1), False),
        (unanswered(3.1, 4.6), False),
        (unanswered(2.7, 4.6, has_started=False), False),
        (unanswered(2.7, 4.6, stopped=False), False),
    ],
)
def test_only_answers_that_outlast_the_grace_time_may_be_cut(
    request_: Unanswered, allowed: bool
) -> None:
    assert is_allowed_cut(request_) is allowed


@pytest.mark.parametrize(
    ("request_", "lost"),
    [
        (unanswered(3.1, 4.6), True),
        (unanswered(3.1, 3.1, has_started=False), True),
        (unanswered(-1.0, 4.6, has_started=False), True),
        (unanswered(-1.0, 4.6, has_started=False, stopped=False), True),
        (unanswered(2.9, 4.6), False),
        (unanswered(3.1, 4.6, disturbed=True), False),
    ],
)
def test_requests_that_reach_a_server_late_or_get_no_answer_are_lost(
    request_: Unanswered, lost: bool
) -> None:
    assert bool(describe_loss(request_, reached_server=True)) is lost


@pytest.mark.parametrize("was_closed", [True, False])
def test_request_that_reached_no_server_must_be_answered_or_closed(
    was_closed: bool,
) -> None:
    request = unanswered(-1.0, 5.0, has_started=False, was_closed=was_closed)
    assert bool(describe_loss(request, reached_server=False)) is not was_closed


async def test_time_of_a_stop_is_that_of_the_first_signal() -> None:
    run = EntryRun()
    run.record_signal(signal.SIGHUP)
    assert run.stopped_at_s is None
    run.record_signal(signal.SIGTERM)
    first_s = run.stopped_at_s
    run.record_signal(signal.SIGTERM)
    assert run.stopped_at_s == first_s
    assert not run.disturbed


@pytest.mark.parametrize(
    ("request_", "past_deadline"),
    [
        (unanswered(1.0, 5.0, stopped=False), True),
        (unanswered(1.0, 4.9, stopped=False), False),
        (unanswered(1.0, 5.0, has_started=False, stopped=False), False),
    ],
)
def test_only_answers_that_last_until_their_deadline_may_be_cut_without_a_stop(
    request_: Unanswered, past_deadline: bool
) -> None:
    assert is_past_deadline(request_) is past_deadline
