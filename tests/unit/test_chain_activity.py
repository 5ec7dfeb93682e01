"""A chain that stands still is told from slow ones and from one's own pauses."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.chain_activity import ChainActivity, ChainKey

A: ChainKey = ("a1", "a2")
B: ChainKey = ("b1", "b2")
ACCEPTABLE_WAIT_S = 0.2


def two_active_chains(pause_s: float = 0.02, until_s: float = 1.0) -> ChainActivity:
    """Two chains with three streams each that get events at equal pauses."""
    activity = ChainActivity()
    for key in (A, B):
        for _ in range(3):
            activity.stream_started(key, 0.0)
    now_s = 0.0
    while now_s < until_s:
        now_s += pause_s
        for key in (A, B):
            activity.event_received(key, now_s, pause_s, expected_pause_s=0.02)
    return activity


def receive_events(activity: ChainActivity, *keys: ChainKey, until_s: float) -> None:
    """Let chains go on."""
    for key in keys:
        activity.event_received(key, until_s, 0.02, expected_pause_s=0.02)


def test_a_chain_stands_still_when_all_its_streams_do_and_others_go_on() -> None:
    activity = two_active_chains()
    receive_events(activity, B, until_s=1.1)
    assert activity.is_stalled(A, 1.1, loop_delay_s=0.0)
    assert not activity.is_stalled(B, 1.1, loop_delay_s=0.0)


def test_one_stream_that_moves_shows_that_its_chain_lives() -> None:
    activity = two_active_chains()
    receive_events(activity, A, B, until_s=1.1)
    assert not activity.is_stalled(A, 1.15, loop_delay_s=0.0)


def test_nothing_is_concluded_when_all_chains_pause() -> None:
    activity = two_active_chains()
    assert not activity.is_stalled(A, 1.3, loop_delay_s=0.0)


def test_nothing_is_concluded_when_the_loop_was_late() -> None:
    activity = two_active_chains()
    receive_events(activity, B, until_s=1.1)
    assert not activity.is_stalled(A, 1.1, loop_delay_s=0.05)


def test_nothing_is_concluded_from_one_stream() -> None:
    activity = two_active_chains()
    activity.stream_ended(A)
    activity.stream_ended(A)
    receive_events(activity, B, until_s=1.1)
    assert not activity.is_stalled(A, 1.1, loop_delay_s=0.0)


def test_hosts_that_a_moving_stream_runs_through_are_no_suspects() -> None:
    activity = two_active_chains()
    shared: ChainKey = ("a1", "c2")
    activity.stream_started(shared, 1.0)
    receive_events(activity, shared, until_s=1.1)
    assert activity.suspect_hosts(A, 1.1, loop_delay_s=0.0) == ("a2",)
    assert activity.suspect_hosts(B, 1.1, loop_delay_s=0.0) == B
    assert activity.suspect_hosts(A, 1.1, loop_delay_s=0.05) == ()


def test_streams_over_chains_that_share_a_dead_host_stand_still_together() -> None:
    activity = ChainActivity()
    keys: list[ChainKey] = [("a1", "a2"), ("a1", "c2"), B]
    for key in keys:
        activity.stream_started(key, 0.0)
    receive_events(activity, *keys, until_s=1.0)
    receive_events(activity, B, until_s=1.1)
    assert activity.is_stalled(A, 1.1, loop_delay_s=0.0)
    assert activity.suspect_hosts(A, 1.1, loop_delay_s=0.0) == A


def test_a_slow_chain_may_pause_for_longer() -> None:
    activity = two_active_chains(pause_s=0.08, until_s=8.0)
    receive_events(activity, B, until_s=8.2)
    assert not activity.is_stalled(A, 8.2, loop_delay_s=0.0)
    receive_events(activity, B, until_s=8.5)
    assert activity.is_stalled(A, 8.5, loop_delay_s=0.0)


def test_slowness_is_the_pause_over_the_expected_one() -> None:
    activity = two_active_chains(pause_s=0.08, until_s=8.0)
    assert activity.slowness("a1", 8.0, ACCEPTABLE_WAIT_S) == pytest.approx(
        4.0, rel=0.1
    )
    assert activity.slowness("unknown", 8.0, ACCEPTABLE_WAIT_S) == 1.0


def test_waits_for_first_events_make_a_chain_slow() -> None:
    activity = ChainActivity()
    for second in range(6):
        activity.first_event_received("a1", float(second), 0.06)
        activity.first_event_received("b1", float(second), 1.0)
    assert activity.slowness("a1", 5.0, ACCEPTABLE_WAIT_S) == 1.0
    assert activity.slowness("b1", 5.0, ACCEPTABLE_WAIT_S) == pytest.approx(
        5.0, rel=0.1
    )
    assert activity.slowness("b1", 30.0, ACCEPTABLE_WAIT_S) == pytest.approx(
        1.0, abs=0.05
    )
    for second in range(6, 12):
        activity.first_event_received("b1", float(second), 0.06)
    assert activity.slowness("b1", 11.0, ACCEPTABLE_WAIT_S) == 1.0


def test_a_request_that_still_waits_tells_as_well() -> None:
    activity = ChainActivity()
    activity.first_event_received("a1", 0.0, 0.06)
    activity.first_event_pending("a1", 1.0, 0.6)
    assert activity.slowness("a1", 1.0, ACCEPTABLE_WAIT_S) == pytest.approx(3.0)
    activity.first_event_pending("a1", 1.5, 0.3)
    assert activity.slowness("a1", 1.0, ACCEPTABLE_WAIT_S) == pytest.approx(3.0)


def test_slowness_that_nobody_sees_is_forgotten() -> None:
    activity = two_active_chains(pause_s=0.08, until_s=8.0)
    assert 1.0 < activity.slowness("a1", 12.0, ACCEPTABLE_WAIT_S) < 2.5
    assert activity.slowness("a1", 60.0, ACCEPTABLE_WAIT_S) == pytest.approx(
        1.0, abs=0.01
    )
    activity.retain_hosts({"b1"})
    assert activity.slowness("a1", 8.0, ACCEPTABLE_WAIT_S) == 1.0
