"""Crossings between failure domains that overload the pipes which all entries share."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.domain_pipes import DomainPipes
from tests.lib.fleet_simulation import MODEL

NEEDS = RequestNeeds(800, 200, objective_s=0.5, allowed_pause_s=0.2)


def count_crossings(pipes: DomainPipes, duration_s: float, entries: int = 1) -> int:
    """Return how many requests cross if one tries every 10 ms."""
    count = 0
    for step in range(int(duration_s * 100)):
        now_s = step / 100
        if pipes.crossing_cost("a", "b", MODEL, NEEDS, now_s) < math.inf:
            pipes.record_crossing("a", "b", MODEL, NEEDS, entries, now_s)
            count += 1
    return count


@pytest.mark.parametrize("entries", [1, 4, 12])
def test_crossings_of_all_entries_stay_below_pipe_capacity(entries: int) -> None:
    crossing_count = entries * count_crossings(DomainPipes(), 20.0, entries)
    sent_bytes = crossing_count * NEEDS.total_tokens * MODEL.activation_bytes
    burst_bytes = entries * NEEDS.total_tokens * MODEL.activation_bytes
    assert sent_bytes <= 0.55 * 20.0 * MODEL.pipe_bytes_per_s + burst_bytes
    assert sent_bytes >= 0.4 * 20.0 * MODEL.pipe_bytes_per_s


def test_both_directions_share_one_quota() -> None:
    """Guards against a quota for each direction, which allows twice the rate."""
    pipes = DomainPipes()
    for _ in range(40):
        pipes.record_crossing("a", "b", MODEL, NEEDS, 1, 0.0)
    assert pipes.crossing_cost("b", "a", MODEL, NEEDS, 0.0) == math.inf
    assert pipes.crossing_cost("b", "c", MODEL, NEEDS, 0.0) < math.inf


def test_quota_falls_with_late_first_events_and_recovers() -> None:
    pipes = DomainPipes()
    assert pipes.record_first_event("a", "b", 0.3, NEEDS.objective_s, 1.0)
    reduced = count_crossings(pipes, 10.0)
    assert reduced < 0.65 * count_crossings(DomainPipes(), 10.0)
    for _ in range(20):
        pipes.record_first_event("a", "b", 0.01, NEEDS.objective_s, 12.0)
    assert pipes.quota_share("a", "b") > 1.0


def test_burst_of_late_events_reduces_the_quota_once() -> None:
    """Guards against a quota near zero after several late events with one cause."""
    pipes = DomainPipes()
    reductions = [
        pipes.record_first_event("a", "b", 0.4, 0.5, 1.0 + n / 100) for n in range(10)
    ]
    assert sum(reductions) == 1
    assert pipes.quota_share("a", "b") == 0.5


def test_no_crossing_if_pipe_rate_is_not_configured() -> None:
    model = replace(MODEL, pipe_bytes_per_s=0.0)
    assert DomainPipes().crossing_cost("a", "b", model, NEEDS, 0.0) == math.inf
