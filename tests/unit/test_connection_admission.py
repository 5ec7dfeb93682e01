"""Decisions of an entry about new connections."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.connection_admission import ConnectionAdmission

COST_S = 0.025
INTERVAL_S = 0.05


class Entry:
    """Feeds an admission with what an entry would measure."""

    def __init__(self, others: int = 5) -> None:
        self.admission = ConnectionAdmission()
        self.now_s = 100.0
        if others:
            self.admission.others_announced(0, others, self.now_s)
        self.run_for(2.0)

    def run_for(self, duration_s: float, late_s: float = 0.0) -> None:
        """Run at the loop's capacity, with each timer as late."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            elapsed_s = INTERVAL_S + late_s
            for _ in range(round(elapsed_s / COST_S)):
                self.admission.request_read()
            self.now_s += elapsed_s
            self.admission.loop_ran(late_s, elapsed_s, self.now_s)

    def admits(self, awaited: int = 0, late_s: float = 0.0) -> bool:
        return self.admission.admits(awaited, late_s, self.now_s)

    def others(self, overloaded: int, entries: int = 5) -> None:
        self.admission.others_announced(overloaded, entries, self.now_s)

    @property
    def overloaded(self) -> bool:
        return self.admission.is_overloaded(self.now_s)


@pytest.fixture
def entry() -> Entry:
    return Entry()


@pytest.fixture
def overloaded_entry(entry: Entry) -> Entry:
    entry.run_for(1.0, late_s=0.25)
    assert entry.overloaded
    return entry


def test_cost_of_a_request_is_measured(entry: Entry) -> None:
    assert entry.admission.request_cost_s == pytest.approx(COST_S, rel=0.1)


def test_other_work_before_the_first_requests_is_not_their_cost() -> None:
    # An entry that starts is busy for seconds, and then reads its first requests.
    entry = Entry()
    entry.admission = ConnectionAdmission()
    entry.others(overloaded=0)
    for _ in range(6):
        entry.now_s += 0.5
        entry.admission.loop_ran(0.0, 0.4, entry.now_s)
        entry.admission.request_read()
    assert entry.admits(awaited=5, late_s=0.3)
    entry.run_for(2.5)
    assert entry.admission.request_cost_s == pytest.approx(COST_S, rel=0.1)


@pytest.mark.parametrize("pause_s", [0.1, 0.3, 3.0])
def test_single_pause_of_the_loop_closes_nothing(entry: Entry, pause_s: float) -> None:
    for _ in range(10):
        entry.run_for(INTERVAL_S + pause_s, late_s=pause_s)
        # Half of the capacity arrived during a short pause.
        awaited = round(min(0.3, pause_s) / COST_S / 2)
        assert all(entry.admits(number, pause_s) for number in range(awaited))
        entry.run_for(0.3)
    assert not entry.overloaded


def test_loop_that_stays_late_closes_connections(overloaded_entry: Entry) -> None:
    assert not overloaded_entry.admits(late_s=0.25)
    assert not overloaded_entry.admits(awaited=6)
    assert overloaded_entry.admits(awaited=4)


def test_overloaded_entry_still_admits_what_it_can_serve(
    overloaded_entry: Entry,
) -> None:
    overloaded_entry.admission.request_read()
    assert overloaded_entry.admits(awaited=0, late_s=0.15)


def test_burst_in_a_late_loop_is_closed_before_the_loop_has_been_late_for_long(
    entry: Entry,
) -> None:
    assert entry.admits(awaited=60, late_s=0.1)
    assert entry.admits(awaited=20, late_s=0.5)
    assert not entry.overloaded
    assert not entry.admits(awaited=30, late_s=0.5)
    assert entry.overloaded


def test_overload_ends_by_itself(overloaded_entry: Entry) -> None:
    overloaded_entry.run_for(3.1)
    assert not overloaded_entry.overloaded
    assert overloaded_entry.admits(awaited=10)


def test_overload_lasts_while_connections_are_closed(overloaded_entry: Entry) -> None:
    for _ in range(100):
        for number in range(10):
            overloaded_entry.admits(number)
        overloaded_entry.run_for(0.1)
    assert overloaded_entry.overloaded


def test_overload_ends_although_a_few_connections_are_closed(
    overloaded_entry: Entry,
) -> None:
    for _ in range(50):
        for number in [0] * 30 + [8]:
            overloaded_entry.admits(number)
        overloaded_entry.run_for(1.0)
    assert not overloaded_entry.overloaded


def test_nothing_is_closed_while_others_are_overloaded_too(
    overloaded_entry: Entry,
) -> None:
    overloaded_entry.others(overloaded=3)
    assert overloaded_entry.admits(awaited=100, late_s=2.0)
    assert not overloaded_entry.admission.sheds(overloaded_entry.now_s)
    overloaded_entry.others(overloaded=1)
    assert not overloaded_entry.admits(awaited=100, late_s=2.0)


def test_nothing_is_closed_before_other_entries_are_known() -> None:
    entry = Entry(others=0)
    entry.run_for(1.0, late_s=0.25)
    assert entry.admits(awaited=100, late_s=2.0)


def test_nothing_is_closed_once_the_state_of_the_others_is_outdated(
    entry: Entry,
) -> None:
    entry.run_for(11.0, late_s=0.25)
    assert entry.admits(awaited=100, late_s=2.0)


def test_announcement_of_few_entries_does_not_replace_one_of_many(
    overloaded_entry: Entry,
) -> None:
    overloaded_entry.others(overloaded=1, entries=1)
    assert not overloaded_entry.admits(awaited=100, late_s=2.0)
