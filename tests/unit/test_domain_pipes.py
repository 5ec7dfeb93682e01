"""What may cross between failure domains, over pipes that all share."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from railfold._internal.decisions.chain_costs import RequestNeeds
from railfold._internal.decisions.domain_pipes import DomainPipes
from tests.lib.fleet_draws import MODEL

NEEDS = RequestNeeds(800, 200, objective_s=0.5, allowed_pause_s=0.2)


def crossed_in(pipes: DomainPipes, duration_s: float, entries: int = 1) -> int:
    """Return how many requests cross in a time if all that may do."""
    count = 0
    for step in range(int(duration_s * 100)):
        now_s = step / 100
        if pipes.cost("a", "b", MODEL, NEEDS, now_s) < math.inf:
            pipes.crossed("a", "b", MODEL, NEEDS, entries, now_s)
            count += 1
    return count


@pytest.mark.parametrize("entries", [1, 4, 12])
def test_crossings_of_all_entries_never_fill_a_pipe(entries: int) -> None:
    sent = entries * crossed_in(DomainPipes(), 20.0, entries)
    sent_bytes = sent * NEEDS.total_tokens * MODEL.activation_bytes
    ahead_bytes = entries * NEEDS.total_tokens * MODEL.activation_bytes
    assert sent_bytes <= 0.55 * 20.0 * MODEL.pipe_bytes_per_s + ahead_bytes
    assert sent_bytes >= 0.4 * 20.0 * MODEL.pipe_bytes_per_s


def test_both_directions_of_a_pair_share_one_part() -> None:
    pipes = DomainPipes()
    for _ in range(40):
        pipes.crossed("a", "b", MODEL, NEEDS, 1, 0.0)
    assert pipes.cost("b", "a", MODEL, NEEDS, 0.0) == math.inf
    assert pipes.cost("b", "c", MODEL, NEEDS, 0.0) < math.inf


def test_fewer_cross_once_first_events_come_late_and_more_when_in_time_again() -> None:
    pipes = DomainPipes()
    assert pipes.observed("a", "b", 0.3, NEEDS.objective_s, 1.0)
    cut = crossed_in(pipes, 10.0)
    assert cut < 0.65 * crossed_in(DomainPipes(), 10.0)
    for _ in range(20):
        pipes.observed("a", "b", 0.01, NEEDS.objective_s, 12.0)
    assert pipes.share("a", "b") > 1.0


def test_one_burst_of_late_events_cuts_the_part_once() -> None:
    pipes = DomainPipes()
    cuts = [pipes.observed("a", "b", 0.4, 0.5, 1.0 + n / 100) for n in range(10)]
    assert sum(cuts) == 1
    assert pipes.share("a", "b") == 0.5


def test_nothing_crosses_where_pipes_arent_told() -> None:
    model = replace(MODEL, pipe_bytes_per_s=0.0)
    assert DomainPipes().cost("a", "b", model, NEEDS, 0.0) == math.inf
