"""A lost leader is replaced soon, and two processes never lead at the same time.

The leader places layers. Several candidates renew the lease at a simulated store while
faults are injected: refused or lost calls, processes cut off from the store and from
each other, suspended processes, delayed calls and restores of an older copy.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.leadership import Candidacy, Leadership, LeaseGrant
from railfold._internal.errors import LogUnavailableError
from railfold._internal.forwarding.store.leadership import (
    LEASE_S,
    MEMBER_LEASE_S,
    LeadershipController,
)
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.metrics import Metrics
from tests.lib.properties import examples
from tests.lib.virtual_time import run_in_virtual_time

# How long requests may fail because layers are missing and no leader orders others.
HANDOVER_S = 1.5

_TICK_S = 0.01
_TRANSIT_S = 0.004
_LATE_LEAVE_S = 0.7


@dataclass
class Group:
    """A group of the store with one partition, as the store documents it."""

    generation: int = 0
    holder: str = ""
    last_join_s: dict[str, float] = field(default_factory=dict)
    confirmed_generations: dict[str, int] = field(default_factory=dict)
    epoch: int = 0

    def join(self, member: str, generation: int) -> tuple[int, bool]:
        now_s = asyncio.get_running_loop().time()
        is_new = member not in self.last_join_s
        self.last_join_s[member] = now_s
        self.confirmed_generations[member] = generation
        silent = [m for m, at_s in self.last_join_s.items() if now_s - at_s >= LEASE_S]
        for silent_member in silent:
            self._remove(silent_member)
        if is_new or silent:
            self.generation += 1
        self._assign()
        is_holder = self.holder == member
        return self.generation, is_holder and self._target_holder() == member

    def leave(self, member: str) -> None:
        if member in self.last_join_s:
            self._remove(member)
            self.generation += 1
            self._assign()

    def restore_older_copy(self) -> None:
        self.generation = max(0, self.generation - 3)
        self.holder = ""
        self.last_join_s.clear()
        self.epoch += 1

    def _remove(self, member: str) -> None:
        del self.last_join_s[member]
        if self.holder == member:
            self.holder = ""

    def _target_holder(self) -> str:
        return min(self.last_join_s, default="")

    def _assign(self) -> None:
        """Reassign the partition when its holder has confirmed this generation."""
        if (
            self.holder
            and self.confirmed_generations.get(self.holder, 0) < self.generation
        ):
            return
        self.holder = self._target_holder()


@dataclass
class Process:
    """A candidate with its connection to the store and its injected faults."""

    name: str
    group: Group
    others: list[Process]
    fault: str = ""
    fault_end_s: float = 0.0
    generation: int = 0
    epoch: int = 0

    def __post_init__(self) -> None:
        self.leadership = Leadership(LEASE_S)
        self.keeper = LeadershipController(
            self.name,
            self.leadership,
            self,
            DecisionLog(self.name),
            Metrics(),
            self._on_epoch,
            on_stopped=self._notify_others,
        )

    def inject_fault(self, fault: str, duration_s: float) -> None:
        self.fault = fault
        self.fault_end_s = asyncio.get_running_loop().time() + duration_s

    @property
    def active_fault(self) -> str:
        return (
            self.fault if asyncio.get_running_loop().time() < self.fault_end_s else ""
        )

    @property
    def fencing_token(self) -> int | None:
        """The fencing token under which the process gives orders, if it can."""
        if self.active_fault in ("frozen", "killed"):
            return None
        return self.leadership.current_token(asyncio.get_running_loop().time())

    def _on_epoch(self, epoch: int) -> None:
        if epoch > self.epoch:
            self.epoch = epoch
            self.leadership.revoke()

    def _notify_others(self, member: str) -> None:
        if self.active_fault in ("frozen", "killed", "alone"):
            return
        loop = asyncio.get_running_loop()
        for other in self.others:
            if other is not self and other.active_fault not in (
                "frozen",
                "killed",
                "alone",
            ):
                loop.call_later(0.001, other.keeper.holder_stopped, member)

    async def _reach_store(self) -> None:
        await asyncio.sleep(_TRANSIT_S / 2)
        match self.active_fault:
            case "refused":
                raise LogUnavailableError("the store answered 429")
            case "" | "late":
                return
            case _:
                await asyncio.Event().wait()

    async def renew(self, holder: str, duration_s: float) -> LeaseGrant:
        await self._reach_store()
        epoch_when_sent = self.epoch
        generation, is_holder = self.group.join(holder, self.generation)
        epoch = self.group.epoch
        self.generation = generation if epoch == epoch_when_sent else 0
        # A call whose answer is lost below has already been carried out.
        await asyncio.sleep(_TRANSIT_S / 2)
        if self.active_fault not in ("", "late"):
            await asyncio.Event().wait()
        token = (epoch << 36) + generation
        same_history = epoch == epoch_when_sent
        return LeaseGrant(is_holder and same_history, token, epoch=epoch)

    async def release(self, holder: str) -> None:
        if self.active_fault == "late":
            # The call's answer is lost, and the store carries the call out later.
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_LEAVE_S, self.group.leave, holder)
            await asyncio.Event().wait()
        await self._reach_store()
        self.group.leave(holder)


@contextlib.asynccontextmanager
async def candidates(count: int):  # type: ignore[no-untyped-def]
    """Run ``count`` candidates, of which one leads after the first two seconds."""
    group = Group()
    processes: list[Process] = []
    for number in range(count):
        processes.append(Process(f"entry-{number}", group, processes))
    tasks = [
        asyncio.create_task(process.keeper.run(asyncio.Event()))
        for process in processes
    ]
    try:
        await asyncio.sleep(2.0)
        yield group, processes
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def leaders(processes: list[Process]) -> list[Process]:
    return [process for process in processes if process.fencing_token is not None]


@pytest.mark.parametrize("phase_s", [n * 0.03 for n in range(9)])
@pytest.mark.parametrize("fault", ["refused", "silent", "alone", "frozen", "killed"])
def test_lost_leader_is_replaced_in_time(fault: str, phase_s: float) -> None:
    async def lose_leader() -> float:
        async with candidates(4) as (_, processes):
            await asyncio.sleep(phase_s)
            (leader,) = leaders(processes)
            loop = asyncio.get_running_loop()
            lost_s = loop.time()
            leader.inject_fault(fault, 60.0)
            while not [p for p in leaders(processes) if p is not leader]:  # noqa: ASYNC110
                await asyncio.sleep(_TICK_S)
            return loop.time() - lost_s

    assert run_in_virtual_time(lose_leader()) < HANDOVER_S


def test_leader_refused_by_the_store_hands_over_before_its_lease_ends() -> None:
    async def refuse_leader() -> float:
        async with candidates(4) as (_, processes):
            (leader,) = leaders(processes)
            loop = asyncio.get_running_loop()
            lost_s = loop.time()
            leader.inject_fault("refused", 60.0)
            while not [p for p in leaders(processes) if p is not leader]:  # noqa: ASYNC110
                await asyncio.sleep(_TICK_S)
            return loop.time() - lost_s

    assert run_in_virtual_time(refuse_leader()) < 0.6


@pytest.mark.parametrize("phase_s", [n * 0.03 for n in range(9)])
def test_delayed_leave_does_not_end_a_newer_lease(phase_s: float) -> None:
    """A delayed leave for a stopped leader must not end the lease that it holds since.

    Otherwise a successor would lead beside that leader, which leads again.
    """

    async def leave_late() -> int:
        async with candidates(2) as (_, processes):
            await asyncio.sleep(phase_s)
            (leader,) = leaders(processes)
            (other,) = [p for p in processes if p is not leader]
            other.inject_fault("late", 2.0)
            leader.inject_fault("refused", 0.7)
            end_s = asyncio.get_running_loop().time() + 3.0
            most_leaders = 0
            while asyncio.get_running_loop().time() < end_s:
                most_leaders = max(most_leaders, len(leaders(processes)))
                await asyncio.sleep(_TICK_S)
            return most_leaders

    assert run_in_virtual_time(leave_late()) == 1


def test_abandoned_member_id_is_not_reused() -> None:
    """The store may carry out a delayed leave of an abandoned id at any later time."""

    async def refuse_leader() -> tuple[str, set[str]]:
        async with candidates(2) as (group, processes):
            (leader,) = leaders(processes)
            given_up = leader.keeper._member_id
            leader.inject_fault("refused", 0.6)
            await asyncio.sleep(0.6)
            group.confirmed_generations.clear()
            await asyncio.sleep(3.0)
            return given_up, set(group.confirmed_generations)

    given_up, used = run_in_virtual_time(refuse_leader())
    assert used
    assert given_up not in used


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["refused", "silent", "alone", "frozen", "late", "back"]),
        st.integers(0, 3),
        st.floats(0.02, 3.0),
        st.floats(0.02, 2.0),
    ),
    max_size=12,
)


@examples(150)
@given(FAULTS)
def test_faults_never_cause_two_leaders_or_falling_tokens(
    faults: list[tuple[str, int, float, float]],
) -> None:
    """Connection faults, suspensions and restores of the store occur in any order."""

    async def run() -> None:
        async with candidates(4) as (group, processes):
            newest = 0
            newest_leader = ""
            for fault, number, duration_s, wait_s in faults:
                if fault == "back":
                    group.restore_older_copy()
                else:
                    processes[number].inject_fault(fault, duration_s)
                end_s = asyncio.get_running_loop().time() + wait_s
                while asyncio.get_running_loop().time() < end_s:
                    leading = leaders(processes)
                    tokens = {process.fencing_token for process in leading}
                    assert len(tokens) == len(leading)
                    if fault != "back" and not group.epoch:
                        assert len(leading) <= 1
                    for process in leading:
                        token = process.fencing_token
                        assert token is not None
                        if token > newest:
                            newest, newest_leader = token, process.name
                        elif token == newest:
                            assert process.name == newest_leader
                    await asyncio.sleep(_TICK_S)

    run_in_virtual_time(run())


def test_former_candidate_requests_the_lease_for_a_limited_time() -> None:
    candidacy = Candidacy(MEMBER_LEASE_S)
    assert not candidacy.requests_lease(0.0)
    candidacy.record_renewal(LeaseGrant(False, 1, is_candidate=True), 10.0)
    assert candidacy.requests_lease(10.1)
    for second in range(11, 15):
        candidacy.record_renewal(LeaseGrant(False, 2), float(second))
        assert candidacy.requests_lease(second + 0.5)
    candidacy.record_renewal(LeaseGrant(False, 2), 15.0)
    assert not candidacy.requests_lease(15.5)


def test_candidate_without_renewals_stops_requesting_the_lease() -> None:
    """The store no longer counts it as a member and has selected other candidates."""
    candidacy = Candidacy(MEMBER_LEASE_S)
    candidacy.record_renewal(LeaseGrant(False, 1, is_candidate=True), 10.0)
    assert not candidacy.requests_lease(10.0 + MEMBER_LEASE_S)
