"""How likely contents under suspicion are what ends servers."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.quarantine.likelihood import (
    RunAtEnd,
    Suspect,
    likelihoods,
)

PLAIN = RunAtEnd(None, one_at_a_time=True)
SILENT = RunAtEnd(True, one_at_a_time=True)
WITH_EVENTS = RunAtEnd(False, one_at_a_time=False)


def suspect(digest: str, *ends: int, run: RunAtEnd = PLAIN, **fields: bool) -> Suspect:
    return Suspect(digest, dict.fromkeys(ends, run), **fields)


def test_one_alone_under_three_ends_is_most_likely_at_fault() -> None:
    assert likelihoods([suspect("a", 1, 2, 3)])["a"] > 0.98


def test_two_that_were_always_together_share_the_blame() -> None:
    found = likelihoods([suspect("a", 1, 2, 3), suspect("b", 1, 2, 3)])
    assert found["a"] == pytest.approx(found["b"])
    assert found["a"] < 0.7


def test_the_one_that_was_somewhere_without_the_other_gets_it() -> None:
    found = likelihoods([suspect("a", 1, 2, 3, 4), suspect("b", 1, 2, 3)])
    assert found["a"] > 0.9
    assert found["b"] < 0.5


def test_one_under_all_ends_of_two_others_gains_little() -> None:
    others = [suspect("a", 1, 2, 5, 6), suspect("b", 3, 4, 7, 8)]
    popular = suspect("p", 1, 2, 3, 4, run=WITH_EVENTS, ran_side_by_side=True)
    found = likelihoods([*others, popular])
    assert found["p"] < 0.05
    assert min(found["a"], found["b"]) > 0.9


def test_ends_of_one_that_is_proved_count_for_no_other() -> None:
    proved = suspect("a", 1, 2, 3, proved=True)
    found = likelihoods([proved, suspect("b", 1, 2, 3)])
    assert found == {}


def test_streams_without_an_event_are_more_suspect() -> None:
    found = likelihoods(
        [suspect("a", 1, 2, run=SILENT), suspect("b", 1, 2, run=WITH_EVENTS)]
    )
    assert found["a"] > 10 * found["b"]


def test_one_that_has_succeeded_takes_more_ends() -> None:
    assert likelihoods([suspect("a", 1, 2, has_succeeded=True)])["a"] < 0.5
    assert likelihoods([suspect("a", 1, 2, 3, 4, has_succeeded=True)])["a"] > 0.95


def test_contents_that_were_under_one_end_each_hide_nothing() -> None:
    crowd = [suspect(f"s{n}", 1 + n % 3) for n in range(90)]
    assert likelihoods([suspect("a", 1, 2, 3, run=SILENT), *crowd])["a"] > 0.9


def test_the_work_is_bounded() -> None:
    many = [suspect(f"c{n}", *range(n, n + 16)) for n in range(200)]
    assert len(likelihoods(many)) == 8
