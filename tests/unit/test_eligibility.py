"""Which backend servers may be sent a request now, by the part that they would take."""

from __future__ import annotations

from dataclasses import replace

import pytest

from railfold._internal.decisions.avoidance import Avoidance
from railfold._internal.decisions.eligibility import (
    Full,
    NotServing,
    Paused,
    RateLimited,
    Role,
    ServerEligibility,
    SlowStart,
    Terms,
)
from railfold._internal.decisions.engine_directory import EngineDirectory, Registration
from railfold._internal.decisions.fleet_load import FleetLoad
from railfold._internal.decisions.load_shedding import BackingOff, RequestedBackoffs

REGISTRATION = Registration("i-1", "drafts", "127.0.0.1:1", "hall-a", 8, False)


class Setting:
    """A server and all that may bar it."""

    def __init__(self) -> None:
        self.directory = EngineDirectory()
        self.directory.register(REGISTRATION)
        self.avoidance = Avoidance()
        self.backoffs = RequestedBackoffs()
        self.fleet_load = FleetLoad(2.0)
        self.permit_wait_s = 0.0
        self.slow_start = False
        self.eligibility = ServerEligibility(
            self.directory,
            self.avoidance,
            self.backoffs,
            self.fleet_load,
            lambda server_id: self.permit_wait_s,
            lambda server_id, now_s: self.slow_start,
        )

    def bar(self, role: Role, terms: Terms | None = None) -> object:
        terms = terms or Terms()
        if self.eligibility.allows("i-1", role, 10.0, terms):
            return None
        return terms.bars["i-1"]


@pytest.fixture
def setting() -> Setting:
    return Setting()


@pytest.mark.parametrize("role", Role)
def test_one_of_which_nothing_is_known_may_serve(setting: Setting, role: Role) -> None:
    assert setting.bar(role) is None


def test_a_backoff_bars_direct_sends_only(setting: Setting) -> None:
    setting.backoffs.requested("i-1", 3.0, 9.0)
    assert setting.bar(Role.REPLICA) == BackingOff(12.0)
    assert setting.bar(Role.FIRST_STAGE) == BackingOff(12.0)
    assert setting.bar(Role.LATER_STAGE) is None


@pytest.mark.parametrize("role", Role)
def test_a_permit_that_is_due_later_than_a_request_waits_bars(
    setting: Setting, role: Role
) -> None:
    setting.permit_wait_s = 0.2
    assert setting.bar(role) == RateLimited(10.2)
    assert setting.bar(role, Terms(max_wait_s=0.3)) is None
    assert setting.bar(role, Terms(ignores_ends=True)) is None


def test_slow_start_leaves_a_server_to_those_who_find_no_other(
    setting: Setting,
) -> None:
    setting.slow_start = True
    assert setting.bar(Role.REPLICA) == SlowStart()
    assert setting.bar(Role.REPLICA, Terms(relaxed=True)) is None


def test_an_engine_that_refused_is_paused_as_a_stage(setting: Setting) -> None:
    setting.avoidance.refused("i-1", 10.0)
    assert setting.bar(Role.FIRST_STAGE) == Paused()
    assert setting.bar(Role.LATER_STAGE) == Paused()


def test_right_before_a_send_leaving_suspect_and_backing_off_count(
    setting: Setting,
) -> None:
    assert setting.eligibility.bar_of_send("i-1", 10.0) is None
    setting.backoffs.requested("i-1", 3.0, 9.0)
    assert setting.eligibility.bar_of_send("i-1", 10.0) == BackingOff(12.0)
    assert setting.eligibility.bar_of_send("i-1", 12.0) is None
    setting.directory.suspect("i-1", 12.0)
    assert setting.eligibility.bar_of_send("i-1", 12.0) == NotServing()
    setting.directory.cleared("i-1")
    setting.directory.register(replace(REGISTRATION, draining=True))
    assert setting.eligibility.bar_of_send("i-1", 12.0) == NotServing()
    assert setting.eligibility.bar_of_send("i-2", 12.0) == NotServing()


def test_a_full_stage_is_asked_only_if_no_other_can_serve(setting: Setting) -> None:
    setting.fleet_load.rejected("i-1", until_s=10.5)
    assert setting.bar(Role.FIRST_STAGE) == Full()
    assert setting.bar(Role.LATER_STAGE) == Full()
    assert setting.bar(Role.FIRST_STAGE, Terms(relaxed=True)) is None
    setting.fleet_load.capacity_freed("i-1")
    assert setting.bar(Role.FIRST_STAGE) is None
