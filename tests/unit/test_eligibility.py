"""Eligibility of backend servers for a request, by their role in it.

A request that is sent to an ineligible server is refused or lost and costs a retry.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from railfold._internal.decisions.avoidance import Avoidance
from railfold._internal.decisions.eligibility import (
    EligibilityTerms,
    Full,
    NotServing,
    Paused,
    RateLimited,
    Role,
    ServerEligibility,
    SlowStart,
)
from railfold._internal.decisions.engine_directory import EngineDirectory, Registration
from railfold._internal.decisions.fleet_load import FleetLoad
from railfold._internal.decisions.load_shedding import BackingOff, RequestedBackoffs

REGISTRATION = Registration("i-1", "drafts", "127.0.0.1:1", "hall-a", 8, False)


class EligibilitySetup:
    """A server, and all state that may make it ineligible."""

    def __init__(self) -> None:
        self.directory = EngineDirectory()
        self.directory.register(REGISTRATION)
        self.avoidance = Avoidance()
        self.backoffs = RequestedBackoffs()
        self.fleet_load = FleetLoad(2.0)
        self.permit_wait_s = 0.0
        self.skips_slow_start = False
        self.eligibility = ServerEligibility(
            self.directory,
            self.avoidance,
            self.backoffs,
            self.fleet_load,
            lambda server_id: self.permit_wait_s,
            lambda server_id, now_s: self.skips_slow_start,
        )

    def reason_for(self, role: Role, terms: EligibilityTerms | None = None) -> object:
        terms = terms or EligibilityTerms()
        if self.eligibility.allows("i-1", role, 10.0, terms):
            return None
        return terms.reasons["i-1"]


@pytest.fixture
def server_setup() -> EligibilitySetup:
    return EligibilitySetup()


@pytest.mark.parametrize("role", Role)
def test_server_is_eligible_by_default(
    server_setup: EligibilitySetup, role: Role
) -> None:
    assert server_setup.reason_for(role) is None


def test_backoff_excludes_direct_sends_only(server_setup: EligibilitySetup) -> None:
    server_setup.backoffs.record_retry_after("i-1", 3.0, 9.0)
    assert server_setup.reason_for(Role.REPLICA) == BackingOff(12.0)
    assert server_setup.reason_for(Role.FIRST_STAGE) == BackingOff(12.0)
    assert server_setup.reason_for(Role.LATER_STAGE) is None


@pytest.mark.parametrize("role", Role)
def test_server_is_ineligible_if_its_next_permit_comes_too_late(
    server_setup: EligibilitySetup, role: Role
) -> None:
    server_setup.permit_wait_s = 0.2
    assert server_setup.reason_for(role) == RateLimited(10.2)
    assert server_setup.reason_for(role, EligibilityTerms(max_wait_s=0.3)) is None
    assert (
        server_setup.reason_for(role, EligibilityTerms(ignores_temporary=True)) is None
    )


def test_server_in_slow_start_serves_if_no_other_can(
    server_setup: EligibilitySetup,
) -> None:
    server_setup.skips_slow_start = True
    assert server_setup.reason_for(Role.REPLICA) == SlowStart()
    assert server_setup.reason_for(Role.REPLICA, EligibilityTerms(relaxed=True)) is None


def test_engine_that_refused_is_paused_as_a_stage(
    server_setup: EligibilitySetup,
) -> None:
    server_setup.avoidance.record_refusal("i-1", 10.0)
    assert server_setup.reason_for(Role.FIRST_STAGE) == Paused()
    assert server_setup.reason_for(Role.LATER_STAGE) == Paused()


def test_check_before_a_send_rejects_servers_that_became_ineligible(
    server_setup: EligibilitySetup,
) -> None:
    assert server_setup.eligibility.reason_against_send("i-1", 10.0) is None
    server_setup.backoffs.record_retry_after("i-1", 3.0, 9.0)
    assert server_setup.eligibility.reason_against_send("i-1", 10.0) == BackingOff(12.0)
    assert server_setup.eligibility.reason_against_send("i-1", 12.0) is None
    server_setup.directory.mark_suspect("i-1", 12.0)
    assert server_setup.eligibility.reason_against_send("i-1", 12.0) == NotServing()
    server_setup.directory.clear_suspicion("i-1")
    server_setup.directory.register(replace(REGISTRATION, draining=True))
    assert server_setup.eligibility.reason_against_send("i-1", 12.0) == NotServing()
    assert server_setup.eligibility.reason_against_send("i-2", 12.0) == NotServing()


def test_full_stage_serves_only_if_no_other_can(server_setup: EligibilitySetup) -> None:
    server_setup.fleet_load.rejected("i-1", until_s=10.5)
    assert server_setup.reason_for(Role.FIRST_STAGE) == Full()
    assert server_setup.reason_for(Role.LATER_STAGE) == Full()
    assert (
        server_setup.reason_for(Role.FIRST_STAGE, EligibilityTerms(relaxed=True))
        is None
    )
    server_setup.fleet_load.capacity_freed("i-1")
    assert server_setup.reason_for(Role.FIRST_STAGE) is None
