"""Which requests are held back, and which never are.

Clients of innocent requests were never to be turned away for good; a request that ends
its servers was to be stopped after few of them.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from railfold._internal.decisions.quarantine import (
    Content,
    Crash,
    Quarantine,
    QuarantineChange,
    QuarantineState,
    Standing,
)
from railfold._internal.decisions.quarantine.evidence import CONTENTS_KEPT
from railfold._internal.decisions.quarantine.quarantine import (
    _FORGET_S,
    _SETTLE_S,
    _TRIAL_S,
)
from railfold._internal.decisions.quarantine.record import _HOLD_S

POISON = Content("p" * 32, "llm", "draft", "quality")
OTHER = Content("q" * 32, "llm", "draft", "quality")


@pytest.fixture
def quarantine() -> Quarantine:
    return Quarantine()


def crash(number: int, ended_s: float, ran_s: float = 0.1, **fields: object) -> Crash:
    return Crash(f"i-{number}", ended_s - ran_s, ended_s, **fields)  # type: ignore[arg-type]


def see(
    quarantine: Quarantine, content: Content, *crashes: Crash
) -> list[QuarantineChange]:
    now_s = max(c.ended_s for c in crashes)
    return quarantine.crashed({content: crashes}, now_s)


def states(changes: list[QuarantineChange]) -> list[QuarantineState]:
    return [change.state for change in changes]


def standing(quarantine: Quarantine, content: Content, now_s: float) -> Standing:
    """Return a content's standing, as whoever asks does: after what has settled."""
    quarantine.settle(now_s, content.digest)
    return quarantine.standing(content.digest, now_s)


def end_servers_under_both(quarantine: Quarantine) -> None:
    """Let three servers end under two contents."""
    for number in range(3):
        at_s = 1.0 + 0.2 * number
        both = {content: [crash(number, at_s)] for content in (OTHER, POISON)}
        quarantine.crashed(both, at_s)


def end_trial_badly(
    quarantine: Quarantine, content: Content, number: int, at_s: float
) -> None:
    """Let one request through, under which a server ends."""
    assert standing(quarantine, content, at_s) is Standing.MAY_BE_TRIED
    quarantine.begin_trial(content.digest, at_s)
    assert standing(quarantine, content, at_s + 0.05) is Standing.WAITS
    see(quarantine, content, crash(number, at_s + 0.1))


def hold(quarantine: Quarantine, content: Content = POISON, at_s: float = 1.0) -> None:
    for number in range(3):
        see(quarantine, content, crash(number, at_s + 0.2 * number))
    assert standing(quarantine, content, at_s + 1.0) is Standing.HELD


def test_the_third_server_that_ends_holds_a_request_back(
    quarantine: Quarantine,
) -> None:
    for number in range(2):
        see(quarantine, POISON, crash(number, 1.0 + number))
        assert standing(quarantine, POISON, 2.0) is Standing.FREE
    changes = see(quarantine, POISON, crash(2, 3.0))
    assert states(changes) == [QuarantineState.SUSPECTED, QuarantineState.ON_PROBATION]
    # Nothing of it runs while others may still tell what else was there.
    assert standing(quarantine, POISON, 3.0) is Standing.WAITS
    assert quarantine.wait_s(POISON.digest, 3.0) == pytest.approx(_SETTLE_S)
    assert states(quarantine.settle(3.0 + _SETTLE_S)) == [QuarantineState.HELD_BACK]
    assert standing(quarantine, POISON, 3.1) is Standing.HELD
    assert standing(quarantine, OTHER, 3.1) is Standing.FREE


def test_one_that_was_sent_to_many_at_once_is_held_back_after_one_trial(
    quarantine: Quarantine,
) -> None:
    """So are popular ones that only share their servers with another one."""
    for number in range(3):
        see(quarantine, POISON, crash(number, 1.0 + 0.05 * number, ran_s=0.3))
    end_trial_badly(quarantine, POISON, 3, 2.0)
    assert standing(quarantine, POISON, 2.3) is Standing.HELD


def test_the_loss_of_a_rack_is_one_crash(quarantine: Quarantine) -> None:
    see(quarantine, OTHER, *(crash(n, 1.0 + 0.004 * n) for n in range(7)))
    assert standing(quarantine, OTHER, 2.0) is Standing.FREE


def test_a_content_that_many_send_needs_crashes_one_after_the_other(
    quarantine: Quarantine,
) -> None:
    """It runs everywhere at any time, also where servers end for other reasons."""
    quarantine.record_success(OTHER.digest, 0.5)
    see(quarantine, OTHER, *(crash(n, 1.0 + 0.05 * n, ran_s=0.4) for n in range(6)))
    assert standing(quarantine, OTHER, 2.0) is Standing.FREE
    see(quarantine, OTHER, crash(10, 3.0), crash(11, 4.0))
    # It ran well, so that one trial may have met something else's end.
    end_trial_badly(quarantine, OTHER, 12, 4.2)
    end_trial_badly(quarantine, OTHER, 13, 4.5)
    assert standing(quarantine, OTHER, 4.8) is Standing.HELD


def test_a_run_to_a_good_end_clears_a_request(quarantine: Quarantine) -> None:
    see(quarantine, OTHER, crash(0, 1.0), crash(1, 2.0))
    assert states(quarantine.record_success(OTHER.digest, 2.5)) == [
        QuarantineState.CLEARED
    ]
    see(quarantine, OTHER, crash(2, 3.0), crash(3, 4.0))
    assert standing(quarantine, OTHER, 4.0) is Standing.FREE


def test_a_good_end_that_is_told_late_lets_a_request_go(quarantine: Quarantine) -> None:
    hold(quarantine)
    assert states(quarantine.record_success(POISON.digest, 1.3)) == [
        QuarantineState.CLEARED
    ]
    assert standing(quarantine, POISON, 2.0) is Standing.FREE
    # What ended before that, and is told later still, changes nothing.
    see(quarantine, POISON, crash(7, 1.1), crash(8, 1.2))
    assert standing(quarantine, POISON, 2.0) is Standing.FREE


def test_a_stream_is_cleared_only_beyond_the_step_that_ends_its_servers(
    quarantine: Quarantine,
) -> None:
    """It moves well up to event 80, and ends whoever runs the next one."""
    for number in range(3):
        see(quarantine, POISON, crash(number, 1.0 + number, after_event=80))
        assert (
            quarantine.record_success(POISON.digest, 1.5 + number, last_event=60) == []
        )
    assert standing(quarantine, POISON, 4.0) is Standing.HELD
    assert quarantine.record_success(POISON.digest, 4.0, last_event=81) != []


def test_what_ran_beside_it_isnt_held_back_for_other_servers_ends(
    quarantine: Quarantine,
) -> None:
    """An innocent request goes from server to server together with another one."""
    for number in range(2):
        both = {POISON: [crash(number, 1.0 + number)]}
        both[OTHER] = [crash(number, 1.0 + number)]
        quarantine.crashed(both, 2.0)
    see(quarantine, POISON, crash(5, 3.0))
    assert standing(quarantine, POISON, 3.1) is Standing.HELD
    see(quarantine, OTHER, crash(6, 4.0), crash(7, 5.0))
    # Not by the other one's record alone, which may be the wrong one of the two.
    assert standing(quarantine, OTHER, 5.1) is Standing.MAY_BE_TRIED
    quarantine.record_success(OTHER.digest, 5.3)
    assert standing(quarantine, OTHER, 5.3) is Standing.FREE
    assert standing(quarantine, POISON, 5.3) is Standing.HELD


def test_what_ran_beside_a_proved_one_isnt_doubted(quarantine: Quarantine) -> None:
    end_servers_under_both(quarantine)
    end_trial_badly(quarantine, POISON, 3, 1.6)
    assert standing(quarantine, POISON, 1.9) is Standing.HELD
    see(quarantine, OTHER, crash(6, 4.0), crash(7, 5.0))
    assert standing(quarantine, OTHER, 5.0) is Standing.FREE


def test_of_two_under_the_same_servers_neither_is_held_back_before_they_run_apart(
    quarantine: Quarantine,
) -> None:
    """By counting, whichever was judged first was held back, for ten minutes."""
    end_servers_under_both(quarantine)
    assert standing(quarantine, OTHER, 1.6) is Standing.MAY_BE_TRIED
    quarantine.begin_trial(OTHER.digest, 1.6)
    # Not both at a time: they might meet again.
    assert standing(quarantine, POISON, 1.7) is Standing.WAITS
    quarantine.record_success(OTHER.digest, 1.9)
    assert standing(quarantine, OTHER, 1.9) is Standing.FREE
    # Nothing else is left that explains what ended.
    assert standing(quarantine, POISON, 2.0) is Standing.HELD


def test_the_trial_that_ends_a_server_lets_the_other_one_go(
    quarantine: Quarantine,
) -> None:
    end_servers_under_both(quarantine)
    end_trial_badly(quarantine, POISON, 3, 1.6)
    changes = quarantine.settle(1.9)
    assert QuarantineState.CLEARED in states(changes)
    assert standing(quarantine, OTHER, 1.9) is Standing.FREE
    assert standing(quarantine, POISON, 1.9) is Standing.HELD


def test_one_that_is_held_back_is_doubted_anew_when_another_explains_it_too(
    quarantine: Quarantine,
) -> None:
    """Its news came late, from an entry that saw more."""
    hold(quarantine, OTHER)
    for number in range(3):
        see(quarantine, POISON, crash(number, 1.0 + 0.2 * number))
    assert standing(quarantine, OTHER, 1.7) is Standing.MAY_BE_TRIED
    end_trial_badly(quarantine, POISON, 3, 1.7)
    assert standing(quarantine, POISON, 2.0) is Standing.HELD
    assert standing(quarantine, OTHER, 2.0) is Standing.FREE


def test_while_nothing_comes_of_a_trial_the_next_ones_are_rarer(
    quarantine: Quarantine,
) -> None:
    """Where engines queue requests a run that ends its server begins seconds later."""
    for number in range(3):
        see(quarantine, OTHER, crash(number, 1.0 + 0.05 * number, ran_s=0.3))
    tried_s = [at / 10 for at in range(20, 120) if try_at(quarantine, OTHER, at / 10)]
    assert tried_s == pytest.approx([2.0, 2.8, 4.4, 7.6, 10.8], abs=0.11)
    quarantine.record_success(OTHER.digest, 12.0)
    assert standing(quarantine, OTHER, 12.0) is Standing.FREE


def try_at(quarantine: Quarantine, content: Content, at_s: float) -> bool:
    """Let a request be tried, if it may; return whether it was."""
    if standing(quarantine, content, at_s) is not Standing.MAY_BE_TRIED:
        return False
    quarantine.begin_trial(content.digest, at_s)
    return True


def test_a_stream_that_never_brings_an_event_needs_no_trial(
    quarantine: Quarantine,
) -> None:
    """Several clients may send what ends its servers, before the first event."""
    for number in range(3):
        at_s = 1.0 + 0.05 * number
        ended = crash(number, at_s, ran_s=0.3, silent=True)
        beside = crash(number, at_s, ran_s=0.2, silent=False)
        quarantine.crashed({POISON: [ended], OTHER: [beside]}, at_s)
    assert standing(quarantine, POISON, 1.3) is Standing.HELD
    assert standing(quarantine, OTHER, 1.3) is Standing.MAY_BE_TRIED


def test_a_trial_that_ends_its_server_late_counts(quarantine: Quarantine) -> None:
    for number in range(3):
        see(quarantine, POISON, crash(number, 1.0 + 0.05 * number, ran_s=0.3))
    assert try_at(quarantine, POISON, 2.0)
    assert try_at(quarantine, POISON, 2.8)
    see(quarantine, POISON, crash(3, 3.4, ran_s=1.4))
    assert standing(quarantine, POISON, 3.6) is Standing.HELD


def test_a_trial_that_isnt_run_doesnt_hold_others_up(quarantine: Quarantine) -> None:
    end_servers_under_both(quarantine)
    assert try_at(quarantine, OTHER, 2.0)
    assert standing(quarantine, OTHER, 2.1) is Standing.WAITS
    assert quarantine.withdraw_trial(OTHER.digest, 2.1)
    assert standing(quarantine, OTHER, 2.1) is Standing.MAY_BE_TRIED
    assert not quarantine.withdraw_trial(OTHER.digest, 2.1)


def test_a_trial_that_wasnt_run_makes_no_later_one_rarer(
    quarantine: Quarantine,
) -> None:
    end_servers_under_both(quarantine)
    for at_s in (2.0, 2.1, 2.2, 2.3):
        assert try_at(quarantine, OTHER, at_s)
        quarantine.withdraw_trial(OTHER.digest, at_s)
    assert try_at(quarantine, OTHER, 3.0)
    assert quarantine.wait_s(OTHER.digest, 3.0) <= 0.8


def test_what_only_ran_where_a_held_one_did_may_run_at_the_last_server(
    quarantine: Quarantine,
) -> None:
    """It was refused until another server was there, though another is held back."""
    quarantine.record_success(OTHER.digest, 0.5)
    end_servers_under_both(quarantine)
    assert standing(quarantine, POISON, 2.0) is Standing.HELD
    assert quarantine.is_near_limit(OTHER.digest)
    assert quarantine.is_explained(OTHER.digest)
    assert not quarantine.is_explained(POISON.digest)
    see(quarantine, OTHER, crash(7, 3.0))
    assert not quarantine.is_explained(OTHER.digest)


def test_it_is_tried_again_by_one_at_a_time(quarantine: Quarantine) -> None:
    hold(quarantine)
    later_s = 2.0 + _HOLD_S
    assert standing(quarantine, POISON, later_s) is Standing.MAY_BE_TRIED
    quarantine.begin_trial(POISON.digest, later_s)
    assert standing(quarantine, POISON, later_s + 1.0) is Standing.HELD
    beyond_s = later_s + _TRIAL_S + 1.0
    assert standing(quarantine, POISON, beyond_s) is Standing.MAY_BE_TRIED


def test_a_trial_that_ends_a_server_holds_it_back_for_twice_as_long(
    quarantine: Quarantine,
) -> None:
    hold(quarantine)
    later_s = 2.0 + _HOLD_S
    quarantine.begin_trial(POISON.digest, later_s)
    changes = see(quarantine, POISON, crash(9, later_s + 0.2))
    assert states(changes) == [QuarantineState.HELD_BACK]
    assert standing(quarantine, POISON, later_s + 1.5 * _HOLD_S) is Standing.HELD
    twice_s = later_s + 2.1 * _HOLD_S
    assert standing(quarantine, POISON, twice_s) is Standing.MAY_BE_TRIED


def test_a_trial_that_runs_well_lets_it_go(quarantine: Quarantine) -> None:
    hold(quarantine)
    later_s = 2.0 + _HOLD_S
    quarantine.begin_trial(POISON.digest, later_s)
    quarantine.record_success(POISON.digest, later_s + 2.0)
    assert standing(quarantine, POISON, later_s + 2.0) is Standing.FREE
    assert len(quarantine) == 0


def test_new_software_on_all_servers_lets_it_go(quarantine: Quarantine) -> None:
    for number in range(3):
        see(quarantine, POISON, crash(number, 1.0 + number, version="v1"))
    held = Standing.HELD
    for present in (frozenset({"v1"}), frozenset({"v1", "v2"}), frozenset[str]()):
        quarantine.lift_for_versions("llm", present, 5.0)
        assert standing(quarantine, POISON, 5.0) is held
    quarantine.lift_for_versions("another", frozenset({"v2"}), 5.0)
    assert standing(quarantine, POISON, 5.0) is held
    changes = quarantine.lift_for_versions("llm", frozenset({"v2"}), 5.0)
    assert states(changes) == [QuarantineState.LIFTED]


def test_what_ended_unknown_software_isnt_let_go_for_the_known(
    quarantine: Quarantine,
) -> None:
    """Its servers ended before their registrations were read."""
    hold(quarantine)
    assert quarantine.lift_for_versions("llm", frozenset({"v1"}), 5.0) == []


def test_a_server_that_hasnt_ended_counts_no_more(quarantine: Quarantine) -> None:
    """Another entry was wrong, or lied."""
    hold(quarantine)
    assert states(quarantine.retract_crash("i-1")) == [QuarantineState.CLEARED]
    assert standing(quarantine, POISON, 2.0) is Standing.FREE


def test_another_entrys_record_holds_it_back_for_the_rest_of_its_time(
    quarantine: Quarantine,
) -> None:
    crashes = [crash(n, -50.0 + n) for n in range(3)]
    quarantine.restore(POISON, crashes, held_s=-47.0, holds=1)
    assert standing(quarantine, POISON, 1.0) is Standing.HELD
    almost_s = _HOLD_S - 48.0
    assert standing(quarantine, POISON, almost_s) is Standing.HELD
    assert standing(quarantine, POISON, almost_s + 2) is Standing.MAY_BE_TRIED


def test_suspicions_are_forgotten(quarantine: Quarantine) -> None:
    see(quarantine, OTHER, crash(0, 1.0), crash(1, 2.0))
    quarantine.expire(3.0 + _FORGET_S)
    assert len(quarantine) == 0
    see(quarantine, OTHER, crash(0, 1.0), crash(3, 5.0 + _FORGET_S))
    assert standing(quarantine, OTHER, 5.0 + _FORGET_S) is Standing.FREE


def test_a_million_different_requests_take_bounded_memory_and_hide_nothing(
    quarantine: Quarantine,
) -> None:
    hold(quarantine)
    for number in range(3 * CONTENTS_KEPT):
        content = Content(f"{number:032x}", "llm", "draft", "quality")
        see(quarantine, content, crash(1000 + number, 2.0 + number / 100.0))
    assert len(quarantine) <= CONTENTS_KEPT
    assert standing(quarantine, POISON, 40.0) is Standing.HELD


def test_of_several_runs_at_a_server_the_first_that_was_cut_counts(
    quarantine: Quarantine,
) -> None:
    """The others came when it had ended, maybe as the next one did."""
    see(quarantine, POISON, crash(0, 1.100, ran_s=0.006), crash(1, 1.090))
    assert not quarantine.is_near_limit(POISON.digest)
    see(quarantine, POISON, crash(0, 1.000))
    assert quarantine.is_near_limit(POISON.digest)


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
def test_entries_agree_in_whatever_order_and_parts_they_hear(
    crashes: list[Crash], rng: random.Random
) -> None:
    verdicts = set()
    known = set()
    for _ in range(4):
        told = [c for c in crashes for _ in range(rng.randint(1, 2))]
        rng.shuffle(told)
        entry = Quarantine()
        for found in told:
            entry.crashed({POISON: [found]}, 3.0)
        near = entry.is_near_limit(POISON.digest)
        known.add(entry.crashes_of(POISON.digest))
        verdicts.add((standing(entry, POISON, 3.2), near))
    assert len(known) == 1
    held = [v for v in verdicts if v[0] is Standing.HELD]
    # Once held back it stays so, also where a part that came later counts as none.
    assert len(verdicts) == 1 or held


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
def test_no_verdict_rests_on_a_likelihood_from_before_a_change(
    steps: list[tuple[str, int, int]],
) -> None:
    quarantine = Quarantine()
    evidence = quarantine._evidence
    contents = [Content(f"{n}" * 32, "llm", "draft", "quality") for n in range(3)]
    now_s = 0.0
    for step, number, server in steps:
        now_s += 0.2
        digest = contents[number].digest
        match step:
            case "crash":
                seen = crash(server, now_s, ran_s=0.1 + 0.3 * (number == 0))
                quarantine.crashed({contents[number]: [seen]}, now_s)
            case "trial":
                quarantine.begin_trial(digest, now_s)
            case "not run":
                quarantine.withdraw_trial(digest, now_s)
            case "success":
                quarantine.record_success(digest, now_s)
            case "retract":
                quarantine.retract_crash(f"i-{server}")
            case "settle":
                quarantine.settle(now_s)
        records = list(evidence.records.values())
        known = [evidence.likelihood(record) for record in records]
        evidence.changed()
        assert known == [evidence.likelihood(record) for record in records]
