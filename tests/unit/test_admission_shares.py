"""Load shedding by priority and fair share when engines lack memory for all requests.

These tests guard against urgent requests that are refused while less urgent ones are
served, against priorities, workspaces or large requests that starve, and against
shedding while there is capacity for all.
"""

from __future__ import annotations

import random

import pytest

from railfold._internal.decisions.admission import (
    PriorityShedder,
    SheddingDecision,
    WaitingRequests,
    max_min_fair_share,
)
from railfold._internal.decisions.fleet_demand import DemandKey
from tests.lib.admission_simulation import Scenario, Strategy, simulate

SERVICE = "llm"


def key(priority: int, workspace: str = "quality") -> DemandKey:
    return DemandKey(SERVICE, priority, workspace)


def serve_share(
    shedder: PriorityShedder,
    demand_key: DemandKey,
    served_share: float,
    count: int = 200,
) -> None:
    """Serve ``served_share`` of ``count`` requests, sent at 100 per second."""
    demand = {demand_key: 1000.0}
    for number in range(count):
        now_s = number / 100
        shedder.arrived(demand_key, 100.0, demand, now_s)
        if number % 10 < 10 * served_share:
            shedder.dispatched(demand_key, 100.0, now_s)


@pytest.mark.parametrize(
    ("demands", "total", "fair_share"),
    [([1.0, 2.0, 6.0], 6.0, 3.0), ([4.0, 4.0], 2.0, 1.0), ([1.0], 2.0, float("inf"))],
)
def test_max_min_fair_share_redistributes_what_small_demands_leave(
    demands: list[float], total: float, fair_share: float
) -> None:
    assert max_min_fair_share(demands, total) == pytest.approx(fair_share)


def test_no_request_is_shed_while_all_find_capacity() -> None:
    shedder = PriorityShedder()
    serve_share(shedder, key(0), 1.0)
    demand = {key(0): 1000.0, key(2): 500.0}
    assert shedder.arrived(key(2), 100.0, demand, 2.0).shed_probability == 0.0


def test_lowest_priority_is_shed_first_and_by_the_missing_amount() -> None:
    shedder = PriorityShedder()
    serve_share(shedder, key(0), 0.8)
    demand = {key(0): 1000.0, key(1): 500.0, key(2): 500.0}
    last = shedder.arrived(key(2), 100.0, demand, 2.0)
    middle = shedder.arrived(key(1), 100.0, demand, 2.0)
    first = shedder.arrived(key(0), 100.0, demand, 2.0)
    assert last.shed_probability == pytest.approx(0.4, abs=0.1)
    assert middle.shed_probability == 0.0
    assert first.shed_probability == 0.0


def test_starving_priority_goes_first() -> None:
    shedder = PriorityShedder()
    serve_share(shedder, key(0), 0.8)
    demand = {key(0): 1000.0, key(2): 10_000.0}
    for _ in range(50):
        decision = shedder.arrived(key(2), 100.0, demand, 2.0)
    assert decision.level < 0
    assert decision.shed_probability == 0.0


def test_large_requests_are_within_share_as_often_as_small_ones() -> None:
    """Large requests of a workspace beyond its share never counted as within it."""
    rng = random.Random(1)
    shedder = PriorityShedder()
    demand = {key(1, "flood"): 10_000.0, key(1): 1000.0}
    within = {100.0: [0, 0], 2000.0: [0, 0]}
    for number in range(4000):
        tokens = rng.choice([100.0, 100.0, 100.0, 2000.0])
        decision = shedder.arrived(key(1, "flood"), tokens, demand, number / 100)
        counts = within[tokens]
        counts[1] += 1
        if decision.level == 2:
            counts[0] += 1
            if rng.random() < 0.7:
                shedder.dispatched(key(1, "flood"), tokens, number / 100)
    small, large = (counts[0] / counts[1] for counts in within.values())
    assert large >= 0.5 * small


def test_waiting_requests_are_ordered_by_level_then_by_workspace() -> None:
    waiting: WaitingRequests[str] = WaitingRequests()
    waiting.add("late", SheddingDecision(4), "a", 100.0)
    waiting.add("flood-1", SheddingDecision(0), "flood", 100.0)
    waiting.add("flood-2", SheddingDecision(0), "flood", 100.0)
    waiting.add("quiet", SheddingDecision(0), "quiet", 100.0)
    assert waiting.count_ahead(0) == 3
    order = []
    while next_items := waiting.next_items(1):
        waiting.served(next_items[0], now_s=0.0)
        order += next_items
    assert order == ["flood-1", "quiet", "flood-2", "late"]
    assert not waiting.remove("late")


def test_flooding_workspace_does_not_starve_a_quiet_one() -> None:
    waiting: WaitingRequests[str] = WaitingRequests()
    for number in range(3):
        waiting.add(f"flood-{number}", SheddingDecision(0), "flood", 100.0)
        waiting.add(f"quiet-{number}", SheddingDecision(0), "quiet", 100.0)
    served = []
    for number in range(3, 9):
        (item,) = waiting.next_items(1)
        waiting.served(item, now_s=number / 10)
        served.append(item)
        waiting.add(f"flood-{number}", SheddingDecision(0), "flood", 100.0)
    assert sum(item.startswith("quiet") for item in served) == 3


def test_predicted_wait_follows_the_service_rate() -> None:
    waiting: WaitingRequests[int] = WaitingRequests()
    for number in range(40):
        waiting.add(number, SheddingDecision(0), f"workspace-{number}", 100.0)
    for turn in range(30):
        waiting.served(waiting.next_items(1)[0], now_s=0.02 * turn)
    assert 0.1 < waiting.predicted_wait_s(0) <= 10 * 0.021


@pytest.mark.parametrize("entries", [4, 21, 68])
def test_goodput_and_priority_order_hold_at_twice_the_capacity(entries: int) -> None:
    outcome = simulate(Scenario(entries=entries, load=2.0, announce_interval_s=1.5))
    assert outcome.tokens >= 0.9 * outcome.offered / 2.0
    urgent, usual, last = (outcome.share(priority) for priority in range(3))
    assert urgent > usual > last
    assert last >= 0.25 * outcome.share()
    assert urgent >= simulate(
        Scenario(entries=entries, load=2.0, strategy=Strategy.SEND_UNTIL_REJECTED)
    ).share(0)
    assert outcome.large_served / outcome.large_requested >= 0.5 * outcome.share()
    refusals = sorted(outcome.refusals_s)
    assert refusals[int(0.95 * len(refusals))] <= 0.2


@pytest.mark.parametrize("entries", [4, 21, 68])
def test_no_priority_is_refused_below_capacity(entries: int) -> None:
    outcome = simulate(Scenario(entries=entries, load=0.8, announce_interval_s=1.5))
    assert all(outcome.share(priority, in_time=True) >= 0.97 for priority in range(3))


def test_entries_without_announcements_keep_engines_busy() -> None:
    """Entries without announcements know only their own load."""
    isolated = simulate(Scenario(load=1.3, isolated_entries=21))
    baseline = simulate(Scenario(load=1.3, strategy=Strategy.SEND_UNTIL_REJECTED))
    assert isolated.tokens >= 0.95 * baseline.tokens


def test_low_priority_burst_during_a_lost_chain_spares_urgent_requests() -> None:
    calm = Scenario(load=0.85, chain_lost_s=5.0, announce_interval_s=1.5)
    burst = Scenario(
        load=0.85, chain_lost_s=5.0, announce_interval_s=1.5, burst=(2, 2.3, 6.0, 11.0)
    )
    assert simulate(burst).share(0) >= simulate(calm).share(0) - 0.05


def test_flooding_workspace_does_not_reduce_service_of_quiet_ones() -> None:
    """A workspace that exceeds its fair share doesn't displace others of its priority.

    Requests of the others go before those beyond its share; within its share it is
    still served.
    """
    alone = simulate(Scenario(load=0.9, announce_interval_s=1.5))
    flooded = Scenario(
        load=0.9, announce_interval_s=1.5, flood=("w-4", 10.0, 5.0, 14.0)
    )
    flood = simulate(flooded)
    quiet = flood.share(0, "w-4", others=True)
    assert quiet >= 0.95 * alone.share(0, "w-4", others=True)
    assert flood.share(None, "w-4") >= 0.25 * flood.share()
