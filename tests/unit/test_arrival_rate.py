"""Arrival rates follow changes within seconds, and old values expire."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.arrival_rate import ArrivalRates, FleetArrivals


def test_steady_rate_is_measured() -> None:
    rates = ArrivalRates()
    for n in range(200):
        rates.arrived("draft", n * 0.1)
    assert rates.per_s("draft", 19.9) == pytest.approx(10.0, rel=0.05)
    assert rates.per_s("other", 19.9) == 0.0


def test_burst_is_measured_within_seconds_and_decays() -> None:
    rates = ArrivalRates()
    for n in range(40):
        rates.arrived("draft", 10.0 + n * 0.1)
    assert rates.per_s("draft", 14.0) > 5.0
    assert rates.per_s("draft", 40.0) < 0.1


@pytest.fixture
def fleet() -> FleetArrivals:
    return FleetArrivals()


# Requests per second at five entries in three failure domains; one domain has only one
# entry.
UNEVEN_RATES = {"a-1": 4.0, "a-2": 4.0, "b-1": 4.0, "b-2": 4.0, "c-1": 8.0}


@pytest.mark.parametrize("own_entry", UNEVEN_RATES)
def test_every_entry_computes_the_same_fleet_rate(
    fleet: FleetArrivals, own_entry: str
) -> None:
    """All entries must plan layers for the same rate, whichever of them plans.

    If each entry multiplied its own rate by the number of entries, one would compute 20
    requests per second and another 40, where 24 arrive. With the larger value, a
    failure domain that had lost an engine was planned anew instead of repaired, and
    nothing was served there for two seconds.
    """
    assert (
        fleet.total_per_s("draft", UNEVEN_RATES[own_entry], 5, 1.0)
        == 5 * UNEVEN_RATES[own_entry]
    )
    for name, rate in UNEVEN_RATES.items():
        if name != own_entry:
            fleet.announced(name, {"draft": rate}, 1.0)
    assert fleet.total_per_s("draft", UNEVEN_RATES[own_entry], 5, 2.0) == pytest.approx(
        24.0
    )


def test_silent_entries_count_with_the_average_rate(fleet: FleetArrivals) -> None:
    fleet.announced("a-2", {"draft": 2.0}, 1.0)
    assert fleet.total_per_s("draft", 4.0, 6, 2.0) == pytest.approx(18.0)
    assert fleet.total_per_s("other", 0.0, 6, 2.0) == 0.0


def test_announcements_expire(fleet: FleetArrivals) -> None:
    fleet.announced("a-2", {"draft": 100.0}, 1.0)
    assert fleet.total_per_s("draft", 4.0, 2, 30.0) == pytest.approx(8.0)


def test_implausible_announcement_is_bounded(fleet: FleetArrivals) -> None:
    fleet.announced("a-2", {"draft": 1e300, "other": -5.0}, 1.0)
    assert fleet.total_per_s("draft", 4.0, 2, 2.0) < 20_000.0
    assert fleet.total_per_s("other", 1.0, 2, 2.0) == 1.0
