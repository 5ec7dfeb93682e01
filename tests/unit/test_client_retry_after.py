"""Delays after which refused clients return, by the cause of the refusal.

Clients that return too early or all together are refused again. Clients that return too
late miss their latency objective although a server could have served them.
"""

from __future__ import annotations

import random

import pytest

from railfold._internal.decisions.client_retry_after import (
    ContentOnTrial,
    NoCapacity,
    ProofMissingEverywhere,
    ProofMissingHere,
    RateLimited,
    RefusalCause,
    ServersBackingOff,
    Starting,
    client_retry_after_s,
)

OBJECTIVE_S = 0.5


def sorted_delays_s(cause: RefusalCause, count: int = 400) -> list[float]:
    rng = random.Random(1)
    return sorted(client_retry_after_s(cause, rng.random()) for _ in range(count))


def test_clients_retry_soon_if_another_entry_serves() -> None:
    """Delays of 0.25 to 0.75 s make most clients miss their objective of 0.5 s."""
    assert sorted_delays_s(ProofMissingHere())[-1] <= 0.2 * OBJECTIVE_S


def test_delays_grow_while_no_entry_has_a_proof() -> None:
    mean_delays_s = [
        sum(sorted_delays_s(ProofMissingEverywhere(lapsed_s))) / 400
        for lapsed_s in (0.1, 0.6, 5.0)
    ]
    assert mean_delays_s == sorted(mean_delays_s)
    assert mean_delays_s[0] == pytest.approx(0.3, abs=0.02)
    assert mean_delays_s[2] == pytest.approx(1.0, abs=0.05)


def test_clients_of_a_starting_entry_return_when_it_serves() -> None:
    assert sorted_delays_s(Starting())[0] > 0.1
    assert sorted_delays_s(Starting())[-1] < OBJECTIVE_S


@pytest.mark.parametrize("cause", [NoCapacity(), ProofMissingEverywhere(2.0)])
def test_clients_refused_together_do_not_return_together(cause: RefusalCause) -> None:
    """400 clients are refused at once; there is room for one in five within 50 ms."""
    delays_s = sorted_delays_s(cause)
    for first in range(20):
        since_s = first * 0.05
        return_count = sum(
            1 for delay_s in delays_s if since_s <= delay_s < since_s + 0.05
        )
        assert return_count <= 400 / 5


def test_client_returns_right_after_a_trial() -> None:
    delays_s = sorted_delays_s(ContentOnTrial(0.4))
    assert delays_s[0] > 0.4
    assert delays_s[-1] < 0.5


@pytest.mark.parametrize("left_s", [0.0, 0.2, 0.7])
def test_rate_limited_clients_return_after_the_next_permit(left_s: float) -> None:
    delays_s = sorted_delays_s(RateLimited(left_s))
    assert delays_s[0] >= left_s
    assert delays_s[0] > 0.0
    assert len(set(delays_s)) > 5


def test_delay_for_a_distant_permit_is_bounded() -> None:
    """The limit may end before the permit is available.

    Without the bound, a limit of one request in 5 s causes a delay of 17 s.
    """
    assert sorted_delays_s(RateLimited(30.0))[-1] <= 2.0


@pytest.mark.parametrize("left_s", [0.1, 1.0, 3.0])
def test_clients_return_after_the_first_backoff_ends(left_s: float) -> None:
    """Delays of 0.25 to 0.75 s make a client return eight times within 3 s."""
    delays_s = sorted_delays_s(ServersBackingOff(left_s, others_can_serve=False))
    assert delays_s[0] >= left_s
    assert delays_s[-1] - delays_s[0] >= 0.2
    assert delays_s[-1] <= 1.5 * left_s + 0.3


def test_clients_retry_soon_if_other_entries_can_send() -> None:
    delays_s = sorted_delays_s(ServersBackingOff(3.0, others_can_serve=True))
    assert delays_s[-1] <= 0.2 * OBJECTIVE_S
