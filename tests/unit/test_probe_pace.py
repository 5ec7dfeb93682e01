"""Silent chains are probed at once, and rarely while probes find nothing."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.probe_pace import ProbePace


def taken(pace: ProbePace, until_s: float) -> list[float]:
    """Ask for a probe every 10 ms; return when it was allowed."""
    times_s = [round(step * 0.01, 2) for step in range(round(until_s * 100))]
    return [now_s for now_s in times_s if pace.take("a1", now_s)]


def test_probes_that_find_nothing_become_rare() -> None:
    assert taken(ProbePace(), 4.0) == pytest.approx([0.0, 0.2, 0.6, 1.4, 3.0], abs=0.03)


def test_a_probe_that_found_something_is_followed_soon() -> None:
    pace = ProbePace()
    taken(pace, 1.5)
    pace.found("a1")
    assert not pace.take("a1", 1.55)
    assert pace.take("a1", 1.65)


def test_chains_are_paced_apart_and_forgotten() -> None:
    pace = ProbePace()
    assert pace.take("a1", 0.0)
    assert pace.take("b1", 0.0)
    assert not pace.take("a1", 0.1)
    pace.forget({"b1"})
    assert pace.take("a1", 0.1)
    assert not pace.take("b1", 0.1)


def test_a_chain_that_was_quiet_for_long_is_probed_at_once() -> None:
    pace = ProbePace()
    taken(pace, 3.05)
    assert pace.take("a1", 7.1)
    assert pace.take("a1", 7.31)
