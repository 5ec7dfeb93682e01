"""Tests which request contents the quarantine holds back.

They guard against two failures: a request that keeps crashing one server after another,
and an innocent request that is refused for long because it ran on the same servers.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.decisions.quarantine import (
    Crash,
    Quarantine,
    QuarantineChange,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
)
from railfold._internal.decisions.quarantine.content_record import _FIRST_HOLD_S
from railfold._internal.decisions.quarantine.evidence import MAX_CONTENTS
from railfold._internal.decisions.quarantine.judgement import REVIEW_DELAY_S
from railfold._internal.decisions.quarantine.quarantine import (
    _CRASH_EXPIRY_S,
    _HELD_BACK_TRIAL_S,
)

POISON = RequestContent("p" * 32, "llm", "draft", "quality")
OTHER = RequestContent("q" * 32, "llm", "draft", "quality")


@pytest.fixture
def quarantine() -> Quarantine:
    return Quarantine()


def crash(number: int, ended_s: float, ran_s: float = 0.1, **fields: object) -> Crash:
    return Crash(f"i-{number}", ended_s - ran_s, ended_s, **fields)  # type: ignore[arg-type]


def report_crashes(
    quarantine: Quarantine, content: RequestContent, *crashes: Crash
) -> list[QuarantineChange]:
    now_s = max(c.ended_s for c in crashes)
    return quarantine.record_crashes({content: crashes}, now_s)


def states(changes: list[QuarantineChange]) -> list[QuarantineState]:
    return [change.state for change in changes]


def decision(
    quarantine: Quarantine, content: RequestContent, now_s: float
) -> QuarantineDecision:
    """Return the decision on a content after a review, as an entry asks for it."""
    quarantine.review_probation(now_s, content.digest)
    return quarantine.decision(content.digest, now_s)


def crash_three_servers_under_both(quarantine: Quarantine) -> None:
    """Crash three servers that run both contents."""
    for number in range(3):
        at_s = 1.0 + 0.2 * number
        crashes_by_content = {
            content: [crash(number, at_s)] for content in (OTHER, POISON)
        }
        quarantine.record_crashes(crashes_by_content, at_s)


def run_crashing_trial(
    quarantine: Quarantine, content: RequestContent, number: int, at_s: float
) -> None:
    """Start a trial and crash its server."""
    assert decision(quarantine, content, at_s) is QuarantineDecision.ALLOW_TRIAL
    quarantine.start_trial(content.digest, at_s)
    assert decision(quarantine, content, at_s + 0.05) is QuarantineDecision.WAIT
    report_crashes(quarantine, content, crash(number, at_s + 0.1))


def hold_back(
    quarantine: Quarantine, content: RequestContent = POISON, at_s: float = 1.0
) -> None:
    for number in range(3):
        report_crashes(quarantine, content, crash(number, at_s + 0.2 * number))
    assert decision(quarantine, content, at_s + 1.0) is QuarantineDecision.REFUSE


def test_request_is_held_back_after_three_server_crashes(
    quarantine: Quarantine,
) -> None:
    for number in range(2):
        report_crashes(quarantine, POISON, crash(number, 1.0 + number))
        assert decision(quarantine, POISON, 2.0) is QuarantineDecision.ALLOW
    changes = report_crashes(quarantine, POISON, crash(2, 3.0))
    assert states(changes) == [QuarantineState.SUSPECTED, QuarantineState.ON_PROBATION]
    # No trial starts while other entries may still report contents on that server.
    assert decision(quarantine, POISON, 3.0) is QuarantineDecision.WAIT
    assert quarantine.wait_s(POISON.digest, 3.0) == pytest.approx(REVIEW_DELAY_S)
    assert states(quarantine.review_probation(3.0 + REVIEW_DELAY_S)) == [
        QuarantineState.HELD_BACK
    ]
    assert decision(quarantine, POISON, 3.1) is QuarantineDecision.REFUSE
    assert decision(quarantine, OTHER, 3.1) is QuarantineDecision.ALLOW


def test_content_with_concurrent_runs_is_held_back_after_one_crashing_trial(
    quarantine: Quarantine,
) -> None:
    """Runs in flight at the same time may share their servers with the actual cause.

    Three such crashes alone therefore must not suffice for a hold; a trial decides.
    """
    for number in range(3):
        report_crashes(
            quarantine, POISON, crash(number, 1.0 + 0.05 * number, ran_s=0.3)
        )
    run_crashing_trial(quarantine, POISON, 3, 2.0)
    assert decision(quarantine, POISON, 2.3) is QuarantineDecision.REFUSE


def test_simultaneous_crashes_of_a_rack_count_as_one(quarantine: Quarantine) -> None:
    report_crashes(quarantine, OTHER, *(crash(n, 1.0 + 0.004 * n) for n in range(7)))
    assert decision(quarantine, OTHER, 2.0) is QuarantineDecision.ALLOW


def test_popular_content_is_held_back_only_after_successive_crashes(
    quarantine: Quarantine,
) -> None:
    """A popular content is running on most servers that crash for other reasons."""
    quarantine.record_success(OTHER.digest, 0.5)
    report_crashes(
        quarantine, OTHER, *(crash(n, 1.0 + 0.05 * n, ran_s=0.4) for n in range(6))
    )
    assert decision(quarantine, OTHER, 2.0) is QuarantineDecision.ALLOW
    report_crashes(quarantine, OTHER, crash(10, 3.0), crash(11, 4.0))
    # After a success, one trial may have met a crash with another cause.
    run_crashing_trial(quarantine, OTHER, 12, 4.2)
    run_crashing_trial(quarantine, OTHER, 13, 4.5)
    assert decision(quarantine, OTHER, 4.8) is QuarantineDecision.REFUSE


def test_completed_run_clears_a_suspected_content(quarantine: Quarantine) -> None:
    report_crashes(quarantine, OTHER, crash(0, 1.0), crash(1, 2.0))
    assert states(quarantine.record_success(OTHER.digest, 2.5)) == [
        QuarantineState.CLEARED
    ]
    report_crashes(quarantine, OTHER, crash(2, 3.0), crash(3, 4.0))
    assert decision(quarantine, OTHER, 4.0) is QuarantineDecision.ALLOW


def test_success_reported_late_ends_a_hold(quarantine: Quarantine) -> None:
    hold_back(quarantine)
    assert states(quarantine.record_success(POISON.digest, 1.3)) == [
        QuarantineState.CLEARED
    ]
    assert decision(quarantine, POISON, 2.0) is QuarantineDecision.ALLOW
    # Crashes before the success don't count, even if they are reported after it.
    report_crashes(quarantine, POISON, crash(7, 1.1), crash(8, 1.2))
    assert decision(quarantine, POISON, 2.0) is QuarantineDecision.ALLOW


def test_resumed_stream_is_cleared_only_beyond_its_crashing_step(
    quarantine: Quarantine,
) -> None:
    """The stream runs well up to event 80 and crashes each server at the next step."""
    for number in range(3):
        report_crashes(quarantine, POISON, crash(number, 1.0 + number, after_event=80))
        assert (
            quarantine.record_success(POISON.digest, 1.5 + number, last_event=60) == []
        )
    assert decision(quarantine, POISON, 4.0) is QuarantineDecision.REFUSE
    assert quarantine.record_success(POISON.digest, 4.0, last_event=81) != []


def test_content_beside_a_held_back_one_is_not_held_back_for_unrelated_crashes(
    quarantine: Quarantine,
) -> None:
    """An innocent request moves from server to server together with a harmful one."""
    for number in range(2):
        crashes_by_content = {POISON: [crash(number, 1.0 + number)]}
        crashes_by_content[OTHER] = [crash(number, 1.0 + number)]
        quarantine.record_crashes(crashes_by_content, 2.0)
    report_crashes(quarantine, POISON, crash(5, 3.0))
    assert decision(quarantine, POISON, 3.1) is QuarantineDecision.REFUSE
    report_crashes(quarantine, OTHER, crash(6, 4.0), crash(7, 5.0))
    # The other content isn't proven, so its hold doesn't explain the shared crashes.
    assert decision(quarantine, OTHER, 5.1) is QuarantineDecision.ALLOW_TRIAL
    quarantine.record_success(OTHER.digest, 5.3)
    assert decision(quarantine, OTHER, 5.3) is QuarantineDecision.ALLOW
    assert decision(quarantine, POISON, 5.3) is QuarantineDecision.REFUSE


def test_crashes_of_a_proven_content_do_not_count_for_others(
    quarantine: Quarantine,
) -> None:
    crash_three_servers_under_both(quarantine)
    run_crashing_trial(quarantine, POISON, 3, 1.6)
    assert decision(quarantine, POISON, 1.9) is QuarantineDecision.REFUSE
    report_crashes(quarantine, OTHER, crash(6, 4.0), crash(7, 5.0))
    assert decision(quarantine, OTHER, 5.0) is QuarantineDecision.ALLOW


def test_two_contents_at_the_same_crashes_are_not_held_back_before_separate_trials(
    quarantine: Quarantine,
) -> None:
    """Counting crashes alone holds back whichever is judged first, for ten minutes."""
    crash_three_servers_under_both(quarantine)
    assert decision(quarantine, OTHER, 1.6) is QuarantineDecision.ALLOW_TRIAL
    quarantine.start_trial(OTHER.digest, 1.6)
    # The trials must not overlap, or both might run on the same server again.
    assert decision(quarantine, POISON, 1.7) is QuarantineDecision.WAIT
    quarantine.record_success(OTHER.digest, 1.9)
    assert decision(quarantine, OTHER, 1.9) is QuarantineDecision.ALLOW
    # No other content explains the crashes any more.
    assert decision(quarantine, POISON, 2.0) is QuarantineDecision.REFUSE


def test_crashing_trial_clears_the_other_content(
    quarantine: Quarantine,
) -> None:
    crash_three_servers_under_both(quarantine)
    run_crashing_trial(quarantine, POISON, 3, 1.6)
    changes = quarantine.review_probation(1.9)
    assert QuarantineState.CLEARED in states(changes)
    assert decision(quarantine, OTHER, 1.9) is QuarantineDecision.ALLOW
    assert decision(quarantine, POISON, 1.9) is QuarantineDecision.REFUSE


def test_hold_is_reconsidered_when_another_content_explains_its_crashes(
    quarantine: Quarantine,
) -> None:
    """Another entry reports late that a second content ran on the same servers."""
    hold_back(quarantine, OTHER)
    for number in range(3):
        report_crashes(quarantine, POISON, crash(number, 1.0 + 0.2 * number))
    assert decision(quarantine, OTHER, 1.7) is QuarantineDecision.ALLOW_TRIAL
    run_crashing_trial(quarantine, POISON, 3, 1.7)
    assert decision(quarantine, POISON, 2.0) is QuarantineDecision.REFUSE
    assert decision(quarantine, OTHER, 2.0) is QuarantineDecision.ALLOW


def test_trials_without_a_result_become_less_frequent(
    quarantine: Quarantine,
) -> None:
    """Where engines queue requests, a trial crashes its server seconds later."""
    for number in range(3):
        report_crashes(quarantine, OTHER, crash(number, 1.0 + 0.05 * number, ran_s=0.3))
    trial_starts_s = [
        at / 10
        for at in range(20, 120)
        if start_trial_if_allowed(quarantine, OTHER, at / 10)
    ]
    assert trial_starts_s == pytest.approx([2.0, 2.8, 4.4, 7.6, 10.8], abs=0.11)
    quarantine.record_success(OTHER.digest, 12.0)
    assert decision(quarantine, OTHER, 12.0) is QuarantineDecision.ALLOW


def start_trial_if_allowed(
    quarantine: Quarantine, content: RequestContent, at_s: float
) -> bool:
    """Start a trial if one is allowed; return whether it was started."""
    if decision(quarantine, content, at_s) is not QuarantineDecision.ALLOW_TRIAL:
        return False
    quarantine.start_trial(content.digest, at_s)
    return True


def test_stream_without_events_is_held_back_without_a_trial(
    quarantine: Quarantine,
) -> None:
    """Streams that had sent events are innocent, which decides the case.

    Several clients send the harmful content, so that its runs are in flight at the same
    time and the crashes alone would require a trial.
    """
    for number in range(3):
        at_s = 1.0 + 0.05 * number
        without_events = crash(number, at_s, ran_s=0.3, silent=True)
        concurrent = crash(number, at_s, ran_s=0.2, silent=False)
        quarantine.record_crashes({POISON: [without_events], OTHER: [concurrent]}, at_s)
    assert decision(quarantine, POISON, 1.3) is QuarantineDecision.REFUSE
    assert decision(quarantine, OTHER, 1.3) is QuarantineDecision.ALLOW_TRIAL


def test_late_crash_of_a_trial_counts(quarantine: Quarantine) -> None:
    for number in range(3):
        report_crashes(
            quarantine, POISON, crash(number, 1.0 + 0.05 * number, ran_s=0.3)
        )
    assert start_trial_if_allowed(quarantine, POISON, 2.0)
    assert start_trial_if_allowed(quarantine, POISON, 2.8)
    report_crashes(quarantine, POISON, crash(3, 3.4, ran_s=1.4))
    assert decision(quarantine, POISON, 3.6) is QuarantineDecision.REFUSE


def test_withdrawn_trial_does_not_delay_other_requests(quarantine: Quarantine) -> None:
    crash_three_servers_under_both(quarantine)
    assert start_trial_if_allowed(quarantine, OTHER, 2.0)
    assert decision(quarantine, OTHER, 2.1) is QuarantineDecision.WAIT
    assert quarantine.withdraw_trial(OTHER.digest, 2.1)
    assert decision(quarantine, OTHER, 2.1) is QuarantineDecision.ALLOW_TRIAL
    assert not quarantine.withdraw_trial(OTHER.digest, 2.1)


def test_withdrawn_trials_do_not_lengthen_the_wait(
    quarantine: Quarantine,
) -> None:
    crash_three_servers_under_both(quarantine)
    for at_s in (2.0, 2.1, 2.2, 2.3):
        assert start_trial_if_allowed(quarantine, OTHER, at_s)
        quarantine.withdraw_trial(OTHER.digest, at_s)
    assert start_trial_if_allowed(quarantine, OTHER, 3.0)
    assert quarantine.wait_s(OTHER.digest, 3.0) <= 0.8


def test_content_explained_by_a_held_back_one_is_recognized(
    quarantine: Quarantine,
) -> None:
    """Guards against refusing an innocent content at the last running server.

    Its crashes must count as explained if a held-back content ran on the same servers.
    """
    quarantine.record_success(OTHER.digest, 0.5)
    crash_three_servers_under_both(quarantine)
    assert decision(quarantine, POISON, 2.0) is QuarantineDecision.REFUSE
    assert quarantine.is_near_restriction(OTHER.digest)
    assert quarantine.is_explained(OTHER.digest)
    assert not quarantine.is_explained(POISON.digest)
    report_crashes(quarantine, OTHER, crash(7, 3.0))
    assert not quarantine.is_explained(OTHER.digest)


def test_held_back_content_is_retried_by_one_request_at_a_time(
    quarantine: Quarantine,
) -> None:
    hold_back(quarantine)
    trial_s = 2.0 + _FIRST_HOLD_S
    assert decision(quarantine, POISON, trial_s) is QuarantineDecision.ALLOW_TRIAL
    quarantine.start_trial(POISON.digest, trial_s)
    assert decision(quarantine, POISON, trial_s + 1.0) is QuarantineDecision.REFUSE
    after_trial_s = trial_s + _HELD_BACK_TRIAL_S + 1.0
    assert decision(quarantine, POISON, after_trial_s) is QuarantineDecision.ALLOW_TRIAL


def test_crashing_trial_doubles_the_hold(
    quarantine: Quarantine,
) -> None:
    hold_back(quarantine)
    trial_s = 2.0 + _FIRST_HOLD_S
    quarantine.start_trial(POISON.digest, trial_s)
    changes = report_crashes(quarantine, POISON, crash(9, trial_s + 0.2))
    assert states(changes) == [QuarantineState.HELD_BACK]
    assert (
        decision(quarantine, POISON, trial_s + 1.5 * _FIRST_HOLD_S)
        is QuarantineDecision.REFUSE
    )
    after_second_hold_s = trial_s + 2.1 * _FIRST_HOLD_S
    assert (
        decision(quarantine, POISON, after_second_hold_s)
        is QuarantineDecision.ALLOW_TRIAL
    )


def test_successful_trial_ends_the_hold(quarantine: Quarantine) -> None:
    hold_back(quarantine)
    trial_s = 2.0 + _FIRST_HOLD_S
    quarantine.start_trial(POISON.digest, trial_s)
    quarantine.record_success(POISON.digest, trial_s + 2.0)
    assert decision(quarantine, POISON, trial_s + 2.0) is QuarantineDecision.ALLOW
    assert len(quarantine) == 0


def test_hold_is_lifted_when_all_servers_run_new_software(
    quarantine: Quarantine,
) -> None:
    for number in range(3):
        report_crashes(quarantine, POISON, crash(number, 1.0 + number, version="v1"))
    refused = QuarantineDecision.REFUSE
    for versions in (frozenset({"v1"}), frozenset({"v1", "v2"}), frozenset[str]()):
        quarantine.lift_for_versions("llm", versions, 5.0)
        assert decision(quarantine, POISON, 5.0) is refused
    quarantine.lift_for_versions("another", frozenset({"v2"}), 5.0)
    assert decision(quarantine, POISON, 5.0) is refused
    changes = quarantine.lift_for_versions("llm", frozenset({"v2"}), 5.0)
    assert states(changes) == [QuarantineState.LIFTED]


def test_hold_with_unknown_versions_is_not_lifted_for_new_software(
    quarantine: Quarantine,
) -> None:
    """The version is unknown if a server crashes before its registration is read."""
    hold_back(quarantine)
    assert quarantine.lift_for_versions("llm", frozenset({"v1"}), 5.0) == []


def test_retracted_crash_ends_the_hold(quarantine: Quarantine) -> None:
    """Another entry may report a crash by mistake, or a false one on purpose."""
    hold_back(quarantine)
    assert states(quarantine.retract_crash("i-1")) == [QuarantineState.CLEARED]
    assert decision(quarantine, POISON, 2.0) is QuarantineDecision.ALLOW


def test_restored_hold_lasts_for_the_rest_of_its_time(
    quarantine: Quarantine,
) -> None:
    crashes = [crash(n, -50.0 + n) for n in range(3)]
    quarantine.restore_hold(POISON, crashes, held_since_s=-47.0, hold_count=1)
    assert decision(quarantine, POISON, 1.0) is QuarantineDecision.REFUSE
    before_hold_end_s = _FIRST_HOLD_S - 48.0
    assert decision(quarantine, POISON, before_hold_end_s) is QuarantineDecision.REFUSE
    assert (
        decision(quarantine, POISON, before_hold_end_s + 2)
        is QuarantineDecision.ALLOW_TRIAL
    )


def test_suspicions_expire(quarantine: Quarantine) -> None:
    report_crashes(quarantine, OTHER, crash(0, 1.0), crash(1, 2.0))
    quarantine.expire(3.0 + _CRASH_EXPIRY_S)
    assert len(quarantine) == 0
    report_crashes(quarantine, OTHER, crash(0, 1.0), crash(3, 5.0 + _CRASH_EXPIRY_S))
    assert (
        decision(quarantine, OTHER, 5.0 + _CRASH_EXPIRY_S) is QuarantineDecision.ALLOW
    )


def test_many_contents_take_bounded_memory_and_evict_no_hold(
    quarantine: Quarantine,
) -> None:
    hold_back(quarantine)
    for number in range(3 * MAX_CONTENTS):
        content = RequestContent(f"{number:032x}", "llm", "draft", "quality")
        report_crashes(quarantine, content, crash(1000 + number, 2.0 + number / 100.0))
    assert len(quarantine) <= MAX_CONTENTS
    assert decision(quarantine, POISON, 40.0) is QuarantineDecision.REFUSE


def test_earliest_ended_run_at_a_server_counts(
    quarantine: Quarantine,
) -> None:
    """Runs interrupted later were sent after the crash, so they aren't evidence."""
    report_crashes(quarantine, POISON, crash(0, 1.100, ran_s=0.006), crash(1, 1.090))
    assert not quarantine.is_near_restriction(POISON.digest)
    report_crashes(quarantine, POISON, crash(0, 1.000))
    assert quarantine.is_near_restriction(POISON.digest)


CRASHES = st.lists(
    st.builds(
        lambda n, at, ran: crash(n, at / 50.0, ran / 50.0),
        st.integers(0, 9),
        st.integers(0, 100),
        st.integers(0, 20),
    ),
    min_size=1,
    max_size=10,
)


@settings(max_examples=200, deadline=None)
@given(CRASHES, st.randoms(use_true_random=False))
def test_entries_agree_for_any_order_and_repetition_of_reports(
    crashes: list[Crash], rng: random.Random
) -> None:
    verdicts = set()
    known_crashes = set()
    for _ in range(4):
        reports = [c for c in crashes for _ in range(rng.randint(1, 2))]
        rng.shuffle(reports)
        entry = Quarantine()
        for reported_crash in reports:
            entry.record_crashes({POISON: [reported_crash]}, 3.0)
        near_restriction = entry.is_near_restriction(POISON.digest)
        known_crashes.add(entry.crashes_of(POISON.digest))
        verdicts.add((decision(entry, POISON, 3.2), near_restriction))
    assert len(known_crashes) == 1
    refusals = [v for v in verdicts if v[0] is QuarantineDecision.REFUSE]
    # A hold remains even if a later report means that a counted crash doesn't count.
    assert len(verdicts) == 1 or refusals


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "trial", "not run", "success", "retract", "settle"]),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    min_size=4,
    max_size=30,
)


@settings(max_examples=200, deadline=None)
@given(_STEPS)
def test_every_change_invalidates_cached_likelihoods(
    steps: list[tuple[str, int, int]],
) -> None:
    quarantine = Quarantine()
    evidence = quarantine._evidence
    contents = [
        RequestContent(f"{n}" * 32, "llm", "draft", "quality") for n in range(3)
    ]
    now_s = 0.0
    for step, number, server in steps:
        now_s += 0.2
        digest = contents[number].digest
        match step:
            case "crash":
                new_crash = crash(server, now_s, ran_s=0.1 + 0.3 * (number == 0))
                quarantine.record_crashes({contents[number]: [new_crash]}, now_s)
            case "trial":
                quarantine.start_trial(digest, now_s)
            case "not run":
                quarantine.withdraw_trial(digest, now_s)
            case "success":
                quarantine.record_success(digest, now_s)
            case "retract":
                quarantine.retract_crash(f"i-{server}")
            case "settle":
                quarantine.review_probation(now_s)
        records = list(evidence.records.values())
        cached_likelihoods = [evidence.likelihood(record) for record in records]
        evidence.invalidate_likelihoods()
        assert cached_likelihoods == [evidence.likelihood(record) for record in records]
