"""Arrivals a second are followed within seconds, and forgotten."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.arrival_rate import ArrivalRates


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
