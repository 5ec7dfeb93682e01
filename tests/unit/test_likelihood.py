"""Tests the estimate of how likely each suspected content crashes servers.

It guards against blaming an innocent content that shared servers with the cause, and
against missing the cause in a crowd of others.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.quarantine.likelihood import (
    RunAtIncident,
    Suspect,
    fault_likelihoods,
    fault_weights,
)

WITHOUT_STREAM = RunAtIncident(None, one_at_a_time=True)
SILENT = RunAtIncident(True, one_at_a_time=True)
WITH_EVENTS = RunAtIncident(False, one_at_a_time=False)


def suspect(
    digest: str, *incidents: int, run: RunAtIncident = WITHOUT_STREAM, **fields: bool
) -> Suspect:
    return Suspect(digest, dict.fromkeys(incidents, run), **fields)


def test_only_content_at_three_incidents_is_most_likely_at_fault() -> None:
    assert fault_likelihoods([suspect("a", 1, 2, 3)])["a"] > 0.98


def test_contents_at_the_same_incidents_are_equally_likely_at_fault() -> None:
    likelihoods = fault_likelihoods([suspect("a", 1, 2, 3), suspect("b", 1, 2, 3)])
    assert likelihoods["a"] == pytest.approx(likelihoods["b"])
    assert likelihoods["a"] < 0.7


def test_content_at_one_more_incident_is_more_likely_at_fault() -> None:
    likelihoods = fault_likelihoods([suspect("a", 1, 2, 3, 4), suspect("b", 1, 2, 3)])
    assert likelihoods["a"] > 0.9
    assert likelihoods["b"] < 0.5


def test_popular_content_at_incidents_of_two_others_is_unlikely_at_fault() -> None:
    others = [suspect("a", 1, 2, 5, 6), suspect("b", 3, 4, 7, 8)]
    popular = suspect("p", 1, 2, 3, 4, run=WITH_EVENTS, ran_concurrently=True)
    likelihoods = fault_likelihoods([*others, popular])
    assert likelihoods["p"] < 0.05
    assert min(likelihoods["a"], likelihoods["b"]) > 0.9


def test_incidents_of_a_proven_content_count_for_no_other() -> None:
    proven = suspect("a", 1, 2, 3, is_proven=True)
    likelihoods = fault_likelihoods([proven, suspect("b", 1, 2, 3)])
    assert likelihoods == {}


def test_streams_without_events_are_more_likely_at_fault() -> None:
    likelihoods = fault_likelihoods(
        [suspect("a", 1, 2, run=SILENT), suspect("b", 1, 2, run=WITH_EVENTS)]
    )
    assert likelihoods["a"] > 10 * likelihoods["b"]


def test_content_that_succeeded_needs_more_incidents() -> None:
    assert fault_likelihoods([suspect("a", 1, 2, has_succeeded=True)])["a"] < 0.5
    assert fault_likelihoods([suspect("a", 1, 2, 3, 4, has_succeeded=True)])["a"] > 0.95


def test_contents_at_single_incidents_do_not_hide_the_cause() -> None:
    single_suspects = [suspect(f"s{n}", 1 + n % 3) for n in range(90)]
    assert (
        fault_likelihoods([suspect("a", 1, 2, 3, run=SILENT), *single_suspects])["a"]
        > 0.9
    )


def test_number_of_weighed_suspects_is_bounded() -> None:
    suspects = [suspect(f"c{n}", *range(n, n + 16)) for n in range(200)]
    assert len(fault_likelihoods(suspects)) == 8


def test_one_of_two_inseparable_suspects_is_almost_certainly_at_fault() -> None:
    suspects = [suspect("a", 1, 2, 3), suspect("b", 1, 2, 3), suspect("c", 1)]
    weights = fault_weights(suspects)
    assert max(weights.likelihoods().values()) < 0.7
    assert weights.any_likelihood(["a", "b"]) > 0.98
    assert weights.any_likelihood(["a"]) == pytest.approx(weights.likelihoods()["a"])
    assert weights.any_likelihood(["c"]) == 0.0


def test_popular_parts_at_the_same_incidents_do_not_hide_a_crashing_part() -> None:
    popular = [
        suspect(f"a{n}", 1, 2, 3, has_succeeded=True, is_prompt_part=True)
        for n in range(20)
    ]
    bad = suspect("z", 1, 2, 3, ran_concurrently=True, is_prompt_part=True)
    likelihoods = fault_likelihoods([*popular, bad])
    assert likelihoods["z"] > 0.9
    assert max(likelihoods.get(f"a{n}", 0.0) for n in range(20)) < 0.1


def test_contents_that_were_retried_do_not_hide_their_common_part() -> None:
    contents = [suspect(f"c{n}", 2 * n, 2 * n + 1) for n in range(2)]
    bad = suspect("z", 0, 1, 2, 3, is_prompt_part=True)
    assert fault_likelihoods([*contents, bad])["z"] > 0.8
