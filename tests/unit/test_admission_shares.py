"""Order among requests for scarce room."""

from __future__ import annotations

import random

import pytest

from railfold._internal.decisions.admission import (
    RoomShares,
    Standing,
    WaitingRequests,
    max_min_level,
)
from railfold._internal.decisions.fleet_demand import DemandKey
from tests.lib.room_draws import Play, Way, play

SERVICE = "llm"


def key(priority: int, workspace: str = "quality") -> DemandKey:
    return DemandKey(SERVICE, priority, workspace)


def after(
    shares: RoomShares, wanted: DemandKey, served: float, count: int = 200
) -> None:
    """Let a part of so many requests find room."""
    demand = {wanted: 1000.0}
    for number in range(count):
        now_s = number / 100
        shares.arrived(wanted, 100.0, demand, now_s)
        if number % 10 < 10 * served:
            shares.dispatched(wanted, 100.0, now_s)


@pytest.mark.parametrize(
    ("demands", "total", "level"),
    [([1.0, 2.0, 6.0], 6.0, 3.0), ([4.0, 4.0], 2.0, 1.0), ([1.0], 2.0, float("inf"))],
)
def test_max_min_level_gives_what_small_demands_leave(
    demands: list[float], total: float, level: float
) -> None:
    assert max_min_level(demands, total) == pytest.approx(level)


def test_nobody_gives_way_while_all_find_room() -> None:
    shares = RoomShares()
    after(shares, key(0), 1.0)
    demand = {key(0): 1000.0, key(2): 500.0}
    assert shares.arrived(key(2), 100.0, demand, 2.0).shed_probability == 0.0


def test_the_last_rank_gives_way_first_and_by_as_much_as_is_lacked() -> None:
    shares = RoomShares()
    after(shares, key(0), 0.8)
    demand = {key(0): 1000.0, key(1): 500.0, key(2): 500.0}
    last = shares.arrived(key(2), 100.0, demand, 2.0)
    middle = shares.arrived(key(1), 100.0, demand, 2.0)
    first = shares.arrived(key(0), 100.0, demand, 2.0)
    assert last.shed_probability == pytest.approx(0.4, abs=0.1)
    assert middle.shed_probability == 0.0
    assert first.shed_probability == 0.0


def test_a_rank_that_starves_goes_first() -> None:
    shares = RoomShares()
    after(shares, key(0), 0.8)
    demand = {key(0): 1000.0, key(2): 10_000.0}
    for _ in range(50):
        standing = shares.arrived(key(2), 100.0, demand, 2.0)
    assert standing.level < 0
    assert standing.shed_probability == 0.0


def test_large_requests_have_the_chance_of_small_ones() -> None:
    """Beyond its workspace's share, a large one was never within it."""
    rng = random.Random(1)
    shares = RoomShares()
    demand = {key(1, "flood"): 10_000.0, key(1): 1000.0}
    within = {100.0: [0, 0], 2000.0: [0, 0]}
    for number in range(4000):
        tokens = rng.choice([100.0, 100.0, 100.0, 2000.0])
        standing = shares.arrived(key(1, "flood"), tokens, demand, number / 100)
        counts = within[tokens]
        counts[1] += 1
        if standing.level == 2:
            counts[0] += 1
            if rng.random() < 0.7:
                shares.dispatched(key(1, "flood"), tokens, number / 100)
    small, large = (counts[0] / counts[1] for counts in within.values())
    assert large >= 0.5 * small


def test_those_that_wait_have_turns_by_level_then_by_workspace() -> None:
    waiting: WaitingRequests[str] = WaitingRequests()
    waiting.add("late", Standing(4), "a", 100.0)
    waiting.add("flood-1", Standing(0), "flood", 100.0)
    waiting.add("flood-2", Standing(0), "flood", 100.0)
    waiting.add("quiet", Standing(0), "quiet", 100.0)
    assert waiting.ahead(0) == 3
    order = []
    while in_turn := waiting.in_turn(1):
        waiting.served(in_turn[0], now_s=0.0)
        order += in_turn
    assert order == ["flood-1", "quiet", "flood-2", "late"]
    assert not waiting.remove("late")


def test_a_flood_that_always_waits_doesnt_keep_a_quiet_workspace_waiting() -> None:
    waiting: WaitingRequests[str] = WaitingRequests()
    for number in range(3):
        waiting.add(f"flood-{number}", Standing(0), "flood", 100.0)
        waiting.add(f"quiet-{number}", Standing(0), "quiet", 100.0)
    served = []
    for number in range(3, 9):
        (item,) = waiting.in_turn(1)
        waiting.served(item, now_s=number / 10)
        served.append(item)
        waiting.add(f"flood-{number}", Standing(0), "flood", 100.0)
    assert sum(item.startswith("quiet") for item in served) == 3


def test_the_wait_is_predicted_by_how_fast_others_find_room() -> None:
    waiting: WaitingRequests[int] = WaitingRequests()
    for number in range(40):
        waiting.add(number, Standing(0), f"workspace-{number}", 100.0)
    for turn in range(30):
        waiting.served(waiting.in_turn(1)[0], now_s=0.02 * turn)
    assert 0.1 < waiting.predicted_wait_s(0) <= 10 * 0.021


@pytest.mark.parametrize("entries", [4, 21, 68])
def test_goodput_and_ranks_hold_at_twice_the_room(entries: int) -> None:
    outcome = play(Play(entries=entries, load=2.0, news_s=1.5))
    assert outcome.tokens >= 0.9 * outcome.offered / 2.0
    urgent, usual, last = (outcome.share(rank) for rank in range(3))
    assert urgent > usual > last
    assert last >= 0.25 * outcome.share()
    assert urgent >= play(Play(entries=entries, load=2.0, way=Way.SEND)).share(0)
    assert outcome.large_served / outcome.large_asked >= 0.5 * outcome.share()
    refusals = sorted(outcome.refusals_s)
    assert refusals[int(0.95 * len(refusals))] <= 0.2


@pytest.mark.parametrize("entries", [4, 21, 68])
def test_nobody_is_refused_for_rank_where_there_is_room(entries: int) -> None:
    outcome = play(Play(entries=entries, load=0.8, news_s=1.5))
    assert all(outcome.share(rank, in_time=True) >= 0.97 for rank in range(3))


def test_blind_entries_serve_what_engines_take() -> None:
    """They know of no load but their own."""
    blind = play(Play(load=1.3, blind=21))
    sent = play(Play(load=1.3, way=Way.SEND))
    assert blind.tokens >= 0.95 * sent.tokens


def test_a_burst_of_a_low_rank_beside_a_lost_chain_spares_the_urgent() -> None:
    calm = Play(load=0.85, lost_s=5.0, news_s=1.5)
    burst = Play(load=0.85, lost_s=5.0, news_s=1.5, burst=(2, 2.3, 6.0, 11.0))
    assert play(burst).share(0) >= play(calm).share(0) - 0.05


def test_a_flood_leaves_quiet_workspaces_of_its_rank_what_they_get_alone() -> None:
    """Its own share is used up; the others' requests go before the rest of it."""
    alone = play(Play(load=0.9, news_s=1.5))
    flooded = Play(load=0.9, news_s=1.5, flood=("w-4", 10.0, 5.0, 14.0))
    flood = play(flooded)
    quiet = flood.share(0, "w-4", others=True)
    assert quiet >= 0.95 * alone.share(0, "w-4", others=True)
    assert flood.share(None, "w-4") >= 0.25 * flood.share()
