"""The schedule of a planned stop."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.drain import DrainSchedule


@pytest.mark.parametrize("grace_s", [0.3, 1.0, 2.0, 2.4, 4.0, 8.0, 30.0])
def test_entry_does_not_give_up_before_the_last_sixth_of_its_grace_time(
    grace_s: float,
) -> None:
    drain = DrainSchedule.plan(100.0, notice_s=2.8, grace_s=grace_s, exit_s=0.4)
    assert 100.0 + grace_s * 5 / 6 <= drain.ends_s < 100.0 + grace_s
    assert drain.accepts_until_s <= drain.ends_s


def test_acceptance_ends_after_the_notice_time_whatever_the_grace_time() -> None:
    drain = DrainSchedule.plan(100.0, notice_s=2.8, grace_s=30.0, exit_s=0.4)
    assert drain.accepts(102.7)
    assert not drain.accepts(102.9)


def test_request_is_not_sent_if_its_answer_would_end_after_the_exit() -> None:
    drain = DrainSchedule.plan(100.0, notice_s=2.8, grace_s=8.0, exit_s=0.4)
    assert drain.allows_send(100.0, answer_s=7.5)
    assert not drain.allows_send(100.0, answer_s=7.7)
    assert not drain.allows_send(107.0, answer_s=0.7)
