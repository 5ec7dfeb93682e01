"""Load and demand of all entries, as estimated by one entry from announcements.

These tests guard against a load that is too low when announcements are missing, and
against load that is counted after its announcement expired or its server incarnation
ended.
"""

from __future__ import annotations

from railfold._internal.decisions.fleet_demand import DemandKey, FleetDemand
from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad

LIFETIME_S = 2.0


def test_without_announcements_load_is_extrapolated_from_the_own_load() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.add("i-1", EntryLoad(800, 1, 600))
    load = fleet.load("i-1", 4, now_s=1.0)
    assert (load.tokens, load.sequences, load.pending_prompt_tokens) == (3200, 4, 2400)
    assert load.known_share == 0.25


def test_announced_load_counts_until_its_lifetime_ends() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.add("i-1", EntryLoad(800, 1))
    fleet.announced("entry-2", {"i-1": EntryLoad(200, 1)}, at_s=1.0, now_s=1.1)
    assert fleet.load("i-1", 2, now_s=2.9).tokens == 1000
    assert fleet.load("i-1", 2, now_s=3.0).tokens == 1600


def test_older_announcement_does_not_replace_a_newer_one() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.announced("entry-2", {"i-1": EntryLoad(200, 1)}, at_s=1.0, now_s=1.1)
    fleet.announced("entry-2", {"i-1": EntryLoad(900, 1)}, at_s=0.9, now_s=1.2)
    assert fleet.load("i-1", 2, now_s=1.2).tokens == 200


def test_double_subtraction_does_not_make_the_load_negative() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.add("i-1", EntryLoad(800, 1))
    for _ in range(2):
        fleet.subtract("i-1", EntryLoad(800, 1))
    assert fleet.load("i-1", 3, now_s=0.0).tokens == 0


def test_demand_is_summed_over_entries_by_priority_and_workspace() -> None:
    demand = FleetDemand(LIFETIME_S)
    key = DemandKey("llm", 0, "north")
    demand.arrived(key, 1000.0, now_s=0.0)
    demand.announced("entry-2", {key: 500.0}, at_s=0.0, now_s=0.0)
    assert demand.per_s("llm", 2, now_s=0.0) == {key: 1000.0}
    assert demand.per_s("other", 2, now_s=0.0) == {}


def test_rejecting_server_counts_as_full_until_a_request_ends() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.rejected("i-1", until_s=1.5)
    assert fleet.is_full("i-1", now_s=1.4)
    assert not fleet.is_full("i-1", now_s=1.5)
    fleet.rejected("i-1", until_s=3.0)
    fleet.capacity_freed("i-1")
    assert not fleet.is_full("i-1", now_s=2.0)


def test_state_of_an_ended_incarnation_is_dropped() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.add("i-1@1", EntryLoad(800, 1))
    fleet.rejected("i-1@1", until_s=9.0)
    fleet.reported("i-1@1", 500, 2, at_s=1.0)
    fleet.forget(["i-1@2"], now_s=1.1)
    assert fleet.load("i-1@1", 1, now_s=1.1).tokens == 0
    assert not fleet.is_full("i-1@1", now_s=1.1)


def test_server_report_replaces_the_extrapolation() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.add("i-1", EntryLoad(800, 1))
    fleet.reported("i-1", 1000, 2, at_s=1.0)
    load = fleet.load("i-1", 21, now_s=1.5)
    assert (load.tokens, load.known_tokens, load.known_sequences) == (1000, 1000, 2)
    assert fleet.load("i-1", 21, now_s=3.0).tokens == 21 * 800


def test_sum_of_several_entries_counts_each_of_them() -> None:
    fleet = FleetLoad(LIFETIME_S)
    fleet.add("i-1", EntryLoad(800, 1))
    fleet.announced("others", {"i-1": EntryLoad(1200, 4)}, 1.0, 1.0, entries=3)
    load = fleet.load("i-1", 8, now_s=1.0)
    assert (load.known_tokens, load.known_share, load.tokens) == (2000, 0.5, 4000)
    assert fleet.known_entries(now_s=1.0) == 4
