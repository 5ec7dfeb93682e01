"""The number of entries, and their shares of a common limit.

These tests guard against shares that add up to more than the limit. That happens if the
number of entries is estimated from too few partitions: with 144 partitions and more
entries, most entries are assigned none, and each of those took one twenty-fifth. It
also happens if entries that can't reach the store keep their share while the others
divide the whole limit again.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from railfold._internal.core import Address
from railfold._internal.decisions.fleet_size import FleetSize, PartitionAssignment
from railfold._internal.decisions.retry_budget import RetryBudget, RetryLimits
from railfold._internal.forwarding import fleet_limits
from railfold._internal.platform.store import GroupLease
from standins.metadata_store import MAX_ASSIGNED_TOPICS
from tests.lib.forwarding import Deployment, until
from tests.lib.properties import examples

WINDOW_S = 10.0
MEMBER_LEASE_S = 2.4
PARTITIONS = 408


@pytest.fixture
async def five_entries() -> AsyncIterator[Deployment]:
    running = Deployment(entry_count=5)
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
def fleet() -> FleetSize:
    """An entry that belongs to the initial members of an installation."""
    return FleetSize(WINDOW_S, MEMBER_LEASE_S, initial_members_until_s=1.0)


def settle_assignment(
    fleet: FleetSize, generation: int, own: int, now_s: float
) -> float:
    """Renew with the same assignment until it is stable; return the time after that."""
    for _ in range(4):
        fleet.assignment_received(
            PartitionAssignment(generation, own, PARTITIONS), now_s
        )
        now_s += 0.75
    return now_s


@pytest.mark.parametrize(("own", "members"), [(408, 1), (6, 68), (1, 408), (0, 408)])
def test_member_count_follows_from_the_partition_share(
    fleet: FleetSize, own: int, members: int
) -> None:
    settle_assignment(fleet, 1, own, 0.0)
    assert fleet.members == members


@pytest.mark.parametrize("partitions", [1, 12, 24, 500])
def test_lease_requests_no_more_topics_than_the_store_assigns(partitions: int) -> None:
    """The store assigns only the first topics of a group.

    With 34 topics of 12 partitions, five entries estimated that there were eight to
    ten. The estimated load was then 1.7 times too large, so that failure domains which
    had lost an engine were planned anew instead of repaired, and each entry had half of
    the retries that it was allowed.
    """
    lease = GroupLease(Address("127.0.0.1", 1), "placement", partitions)
    assert lease._partitions == partitions * len(lease._topics)
    assert len(lease._topics) == min(MAX_ASSIGNED_TOPICS, -(-400 // partitions))


async def test_entries_estimate_the_actual_fleet_size(five_entries: Deployment) -> None:
    """The stand-in of the store ignores excess topics as the real store does."""
    entries = five_entries.entries
    await until(lambda: {e.router.entries for e in entries} == {5}, 10.0)


@pytest.mark.parametrize(("entries", "partitions"), [(68, 240), (383, 240), (380, 20)])
def test_shares_add_up_with_few_partitions(entries: int, partitions: int) -> None:
    shares = []
    for number in range(entries):
        fleet = FleetSize(WINDOW_S, MEMBER_LEASE_S, initial_members_until_s=1.0)
        fleet.set_listed_entries(entries)
        own = len(range(number, partitions, entries))
        for now_s in (0.0, 0.75, 1.5):
            fleet.assignment_received(PartitionAssignment(1, own, partitions), now_s)
        assert fleet.members == entries
        shares.append(fleet.share(1.5))
    assert 0.95 <= sum(shares) <= 1.0 + 1e-9


def test_list_with_many_absent_entries_is_ignored(fleet: FleetSize) -> None:
    fleet.set_listed_entries(12)
    now_s = settle_assignment(fleet, 1, 82, 0.0)
    assert fleet.members == 5
    assert fleet.share(now_s) == 1 / 5


def test_share_is_zero_before_the_first_assignment(fleet: FleetSize) -> None:
    assert fleet.members is None
    assert fleet.share(0.0) == 0.0


def test_rebalancing_is_not_taken_for_a_larger_fleet(fleet: FleetSize) -> None:
    now_s = settle_assignment(fleet, 1, 82, 0.0)
    fleet.assignment_received(PartitionAssignment(2, 0, PARTITIONS), now_s)
    assert fleet.members == 5
    assert fleet.share(now_s) == 1 / 5


def test_share_grows_only_after_two_windows(
    fleet: FleetSize,
) -> None:
    now_s = settle_assignment(fleet, 1, 41, 0.0)
    now_s = settle_assignment(fleet, 2, 82, now_s)
    assert fleet.members == 5
    assert fleet.share(now_s) == 1 / 10
    later_s = now_s + 2 * WINDOW_S
    while now_s < later_s:
        fleet.assignment_received(PartitionAssignment(2, 82, PARTITIONS), now_s)
        now_s += 0.75
    assert fleet.share(now_s) == 1 / 5


def test_new_member_has_a_reduced_share_until_all_others_count_it() -> None:
    fleet = FleetSize(WINDOW_S, MEMBER_LEASE_S)
    assert fleet.share(0.0) == 0.0
    fleet.assignment_received(PartitionAssignment(1, 136, PARTITIONS), 0.0)
    assert fleet.share(0.1) == 0.0  # The assignment may be temporary.
    fleet.set_listed_entries(4)
    assert fleet.share(0.1) == 0.25 / 4
    now_s = settle_assignment(fleet, 1, 102, 0.0)
    while now_s < MEMBER_LEASE_S + 2 * WINDOW_S:
        assert fleet.share(now_s) == 0.25 / 4
        fleet.assignment_received(PartitionAssignment(1, 102, PARTITIONS), now_s)
        now_s += 0.75
    assert fleet.share(now_s) == 1 / 4


def test_returning_member_has_a_reduced_share(fleet: FleetSize) -> None:
    now_s = settle_assignment(fleet, 1, 82, 0.0)
    back_s = now_s + 25.0
    fleet.assignment_received(PartitionAssignment(3, 82, PARTITIONS), back_s)
    assert fleet.share(back_s) == 0.25 / 5


def test_disconnected_member_gives_up_its_share_before_others_take_it(
    fleet: FleetSize,
) -> None:
    now_s = settle_assignment(fleet, 1, 82, 0.0)
    assert fleet.share(now_s + WINDOW_S) == 1 / 5
    assert fleet.share(now_s + WINDOW_S + MEMBER_LEASE_S) == 0.0


# Time of the first possible event; all entries know each other by then.
EVENTS_FROM_S = 100.0
STEP_S = 0.25
LIMIT = 320.0


@dataclass
class Member:
    """An entry of the simulated fleet."""

    fleet: FleetSize = field(
        default_factory=lambda: FleetSize(
            WINDOW_S, MEMBER_LEASE_S, initial_members_until_s=EVENTS_FROM_S
        )
    )
    budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(RetryLimits(0.0, 0.0, WINDOW_S))
    )
    next_renewal_s: float = 0.0
    cut_until_s: float = 0.0
    down_until_s: float = 0.0


@dataclass
class Store:
    """Assigns partitions evenly among the members that renewed recently."""

    last_renewals_s: dict[int, float] = field(default_factory=dict)
    generation: int = 0

    def join(self, name: int, now_s: float) -> PartitionAssignment:
        known = set(self.last_renewals_s)
        live = {
            n: at
            for n, at in self.last_renewals_s.items()
            if now_s - at < MEMBER_LEASE_S
        }
        self.last_renewals_s = {**live, name: now_s}
        self.generation += set(self.last_renewals_s) != known
        members = sorted(self.last_renewals_s)
        own = len(range(members.index(name), PARTITIONS, len(members)))
        return PartitionAssignment(self.generation, own, PARTITIONS)


LAST_STEP = 360

EVENTS = st.lists(
    st.tuples(
        st.integers(0, 200),
        st.sampled_from(["cut", "kill", "stop", "freeze"]),
        st.sets(st.integers(0, 7), min_size=1),
        st.sampled_from([0.5, 2.0, 5.0, 15.0, 30.0]),
    ),
    max_size=6,
)
SPENDERS = st.lists(
    st.tuples(st.integers(0, LAST_STEP), st.sets(st.integers(0, 7))), max_size=12
)


# All entries restart at once and two of them can't reach the store: the others are told
# of two members, and those that return take their shares in the same window.
@example(
    [(98, "kill", {0, 1, 2, 3}, 0.5), (98, "cut", {0, 1}, 15.0)],
    [(160, {0, 1, 2, 3})],
    4,
    False,
)
# All entries restart twice within a window, and spend all that they may each time.
@example(
    [(20, "kill", {0, 1, 2, 3}, 0.5), (32, "kill", {0, 1, 2, 3}, 0.5)],
    [(19, {0, 1, 2, 3}), (31, {0, 1, 2, 3}), (44, {0, 1, 2, 3})],
    4,
    True,
)
@examples(60)
@given(EVENTS, SPENDERS, st.integers(4, 8), st.booleans())
def test_spending_in_any_window_stays_within_the_limit(
    events: list[tuple[int, str, set[int], float]],
    spenders: list[tuple[int, set[int]]],
    size: int,
    use_list: bool,
) -> None:
    """Holds with and without the entries' own list, which may not be read yet."""
    store = Store()
    members = {name: Member() for name in range(size)}
    spent: list[tuple[float, int]] = []
    # Each entry has known its share for a while when the first event comes.
    for step in range(-40, LAST_STEP + 1):
        now_s = EVENTS_FROM_S + step * STEP_S
        for at, kind, names, for_s in events:
            if at == step:
                for name in names & set(members):
                    apply_event(members, name, kind, now_s, for_s)
                    if use_list:
                        members[name].fleet.set_listed_entries(size)
        for name, member in members.items():
            if now_s >= max(
                member.next_renewal_s, member.cut_until_s, member.down_until_s
            ):
                member.fleet.assignment_received(store.join(name, now_s), now_s)
                member.next_renewal_s = now_s + 0.75
        for at, names in spenders:
            if at == step:
                for name in names & set(members):
                    spent.append((now_s, spend_all(members[name], now_s)))
    for end_s, _ in spent:
        in_window = [n for at_s, n in spent if end_s - WINDOW_S < at_s <= end_s]
        assert sum(in_window) <= LIMIT


def apply_event(
    members: dict[int, Member], name: int, kind: str, now_s: float, for_s: float
) -> None:
    member = members[name]
    if kind == "cut":
        member.cut_until_s = now_s + for_s
    elif kind == "freeze":
        member.down_until_s = now_s + for_s
    else:
        back_s = now_s + for_s
        fleet = FleetSize(WINDOW_S, MEMBER_LEASE_S)
        budget = RetryBudget(RetryLimits(0.0, 0.0, WINDOW_S), started_s=back_s)
        members[name] = Member(fleet, budget, back_s, down_until_s=back_s)


def spend_all(member: Member, now_s: float) -> int:
    """Spend all that an entry is allowed now; return how much that is."""
    if now_s < member.down_until_s:
        return 0
    slack = LIMIT * fleet_limits._RETRY_SAFETY * member.fleet.share(now_s)
    member.budget.limits = RetryLimits(0.0, slack, WINDOW_S)
    count = 0
    while member.budget.spend(now_s):
        count += 1
    return count


def test_fractional_budgets_of_many_entries_add_up_to_the_limit() -> None:
    """Each of 68 entries may spend 3.76 of 256; rounding down made it 204 in total."""
    rng = random.Random(11)
    limits = RetryLimits(0.0, 256 / 68, WINDOW_S)
    rounded = [RetryBudget(limits, rng.random()) for _ in range(68)]
    spent = sum(spend_until_refused(budget) for budget in rounded)
    assert sum(spend_until_refused(RetryBudget(limits)) for _ in range(68)) == 204
    assert 245 <= spent <= 267


@pytest.mark.parametrize("life_s", [0.5, 1.0, 2.5, 7.0, 12.0])
def test_incarnations_together_spend_no_more_slack_than_one(life_s: float) -> None:
    rng = random.Random(7)
    limits = RetryLimits(0.0, 226 / 24, WINDOW_S)
    spent_at_s: list[float] = []
    for _ in range(24):
        started_s = rng.uniform(-life_s, 0.0)
        while started_s < 30.0:
            budget = RetryBudget(limits, rng.random(), started_s)
            for step in range(int(life_s / STEP_S)):
                now_s = started_s + step * STEP_S
                spent_at_s += [now_s] * spend_until_refused(budget, now_s)
            started_s += life_s
    for end_s in spent_at_s:
        in_window = [at_s for at_s in spent_at_s if end_s - WINDOW_S < at_s <= end_s]
        # What a long life has saved up is spent within an instant before its end.
        assert len(in_window) <= 226 * (1.0 + min(life_s, WINDOW_S) / WINDOW_S)


def test_rounding_adds_nothing_to_an_empty_budget() -> None:
    assert spend_until_refused(RetryBudget(RetryLimits(0.0, 0.0, WINDOW_S), 0.99)) == 0


def spend_until_refused(budget: RetryBudget, now_s: float = 1.0) -> int:
    count = 0
    while budget.spend(now_s):
        count += 1
    return count
