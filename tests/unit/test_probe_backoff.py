"""Silent chains are probed at once, and less and less often while nothing is found.

These tests guard against many wasted probes of a slow chain, and against a second dead
server that is found late.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.probe_backoff import ProbeBackoff


def allowed_probes(backoff: ProbeBackoff, until_s: float) -> list[float]:
    """Ask for a probe every 10 ms; return the times at which it was allowed."""
    times_s = [round(step * 0.01, 2) for step in range(round(until_s * 100))]
    return [now_s for now_s in times_s if backoff.allow_probe("a1", now_s)]


def test_unsuccessful_probes_back_off() -> None:
    assert allowed_probes(ProbeBackoff(), 4.0) == pytest.approx(
        [0.0, 0.2, 0.6, 1.4, 3.0], abs=0.03
    )


def test_found_dead_server_resets_the_backoff() -> None:
    backoff = ProbeBackoff()
    allowed_probes(backoff, 1.5)
    backoff.dead_server_found("a1")
    assert not backoff.allow_probe("a1", 1.55)
    assert backoff.allow_probe("a1", 1.65)


def test_chains_back_off_independently_and_are_forgotten() -> None:
    backoff = ProbeBackoff()
    assert backoff.allow_probe("a1", 0.0)
    assert backoff.allow_probe("b1", 0.0)
    assert not backoff.allow_probe("a1", 0.1)
    backoff.forget({"b1"})
    assert backoff.allow_probe("a1", 0.1)
    assert not backoff.allow_probe("b1", 0.1)


def test_chain_without_recent_probes_is_probed_at_once() -> None:
    backoff = ProbeBackoff()
    allowed_probes(backoff, 3.05)
    assert backoff.allow_probe("a1", 7.1)
    assert backoff.allow_probe("a1", 7.31)
