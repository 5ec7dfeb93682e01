"""Arrivals a second are followed within seconds, and forgotten."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.arrival_rate import ArrivalRates, FleetArrivals


def test_a_steady_rate_is_found() -> None:
    rates = ArrivalRates()
    for n in range(200):
        rates.arrived("draft", n * 0.1)
    assert rates.per_s("draft", 19.9) == pytest.approx(10.0, rel=0.05)
    assert rates.per_s("other", 19.9) == 0.0


def test_a_burst_shows_within_a_few_seconds_and_fades() -> None:
    rates = ArrivalRates()
    for n in range(40):
        rates.arrived("draft", 10.0 + n * 0.1)
    assert rates.per_s("draft", 14.0) > 5.0
    assert rates.per_s("draft", 40.0) < 0.1


@pytest.fixture
def fleet() -> FleetArrivals:
    return FleetArrivals()


# Requests a second at five entries in three failure domains; one domain has one entry.
UNLIKE = {"a-1": 4.0, "a-2": 4.0, "b-1": 4.0, "b-2": 4.0, "c-1": 8.0}


@pytest.mark.parametrize("who", UNLIKE)
def test_whoever_places_layers_reckons_with_the_same_load(
    fleet: FleetArrivals, who: str
) -> None:
    """One reckoned 20 requests a second and the other 40, where 24 arrived.

    Users saw two levels of service on the same day: after the larger figure a failure
    domain that had lost an engine was spread anew instead of repaired, and nothing was
    served there for two seconds. Which entry placed layers differed from run to run.
    """
    assert fleet.total_per_s("draft", UNLIKE[who], 5, 1.0) == 5 * UNLIKE[who]
    for name, rate in UNLIKE.items():
        if name != who:
            fleet.told(name, {"draft": rate}, 1.0)
    assert fleet.total_per_s("draft", UNLIKE[who], 5, 2.0) == pytest.approx(24.0)


def test_those_that_dont_tell_count_as_the_others_do(fleet: FleetArrivals) -> None:
    fleet.told("a-2", {"draft": 2.0}, 1.0)
    assert fleet.total_per_s("draft", 4.0, 6, 2.0) == pytest.approx(18.0)
    assert fleet.total_per_s("other", 0.0, 6, 2.0) == 0.0


def test_what_was_told_is_forgotten(fleet: FleetArrivals) -> None:
    fleet.told("a-2", {"draft": 100.0}, 1.0)
    assert fleet.total_per_s("draft", 4.0, 2, 30.0) == pytest.approx(8.0)


def test_a_mad_figure_is_bounded(fleet: FleetArrivals) -> None:
    fleet.told("a-2", {"draft": 1e300, "other": -5.0}, 1.0)
    assert fleet.total_per_s("draft", 4.0, 2, 2.0) < 20_000.0
    assert fleet.total_per_s("other", 1.0, 2, 2.0) == 1.0
