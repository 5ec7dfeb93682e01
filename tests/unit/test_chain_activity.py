"""Stalled chains are distinguished from slow ones and from pauses of this process."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.chain_activity import ChainActivity, ChainKey

A: ChainKey = ("a1", "a2")
B: ChainKey = ("b1", "b2")
ACCEPTABLE_WAIT_S = 0.2


def two_active_chains(pause_s: float = 0.02, until_s: float = 1.0) -> ChainActivity:
    """Return the activity of two chains with three streams each at equal pauses."""
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
    """Record one more event on each of some chains."""
    for key in keys:
        activity.event_received(key, until_s, 0.02, expected_pause_s=0.02)


def test_chain_is_stalled_when_all_its_streams_pause_and_others_continue() -> None:
    activity = two_active_chains()
    receive_events(activity, B, until_s=1.1)
    assert activity.is_stalled(A, 1.1, loop_delay_s=0.0)
    assert not activity.is_stalled(B, 1.1, loop_delay_s=0.0)


def test_chain_with_one_active_stream_isnt_stalled() -> None:
    activity = two_active_chains()
    receive_events(activity, A, B, until_s=1.1)
    assert not activity.is_stalled(A, 1.15, loop_delay_s=0.0)


def test_no_chain_is_stalled_when_all_chains_pause() -> None:
    activity = two_active_chains()
    assert not activity.is_stalled(A, 1.3, loop_delay_s=0.0)


def test_no_chain_is_stalled_when_the_event_loop_was_delayed() -> None:
    activity = two_active_chains()
    receive_events(activity, B, until_s=1.1)
    assert not activity.is_stalled(A, 1.1, loop_delay_s=0.05)


def test_pause_of_a_single_stream_isnt_a_stall() -> None:
    activity = two_active_chains()
    activity.stream_ended(A)
    activity.stream_ended(A)
    receive_events(activity, B, until_s=1.1)
    assert not activity.is_stalled(A, 1.1, loop_delay_s=0.0)


def test_hosts_of_an_active_stream_arent_suspect() -> None:
    activity = two_active_chains()
    shared: ChainKey = ("a1", "c2")
    activity.stream_started(shared, 1.0)
    receive_events(activity, shared, until_s=1.1)
    assert activity.suspect_hosts(A, 1.1, loop_delay_s=0.0) == ("a2",)
    assert activity.suspect_hosts(B, 1.1, loop_delay_s=0.0) == B
    assert activity.suspect_hosts(A, 1.1, loop_delay_s=0.05) == ()


def test_streams_of_all_chains_with_a_dead_host_count_towards_a_stall() -> None:
    activity = ChainActivity()
    keys: list[ChainKey] = [("a1", "a2"), ("a1", "c2"), B]
    for key in keys:
        activity.stream_started(key, 0.0)
    receive_events(activity, *keys, until_s=1.0)
    receive_events(activity, B, until_s=1.1)
    assert activity.is_stalled(A, 1.1, loop_delay_s=0.0)
    assert activity.suspect_hosts(A, 1.1, loop_delay_s=0.0) == A


def test_slow_chain_may_pause_longer_before_it_is_stalled() -> None:
    activity = two_active_chains(pause_s=0.08, until_s=8.0)
    receive_events(activity, B, until_s=8.2)
    assert not activity.is_stalled(A, 8.2, loop_delay_s=0.0)
    receive_events(activity, B, until_s=8.5)
    assert activity.is_stalled(A, 8.5, loop_delay_s=0.0)


def test_slowness_is_the_mean_pause_relative_to_the_expected_pause() -> None:
    activity = two_active_chains(pause_s=0.08, until_s=8.0)
    assert activity.slowness("a1", 8.0, ACCEPTABLE_WAIT_S) == pytest.approx(
        4.0, rel=0.1
    )
    assert activity.slowness("unknown", 8.0, ACCEPTABLE_WAIT_S) == 1.0


def test_long_waits_for_first_events_make_a_chain_slow() -> None:
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


def test_request_still_waiting_for_its_first_event_makes_a_chain_slow() -> None:
    activity = ChainActivity()
    activity.first_event_received("a1", 0.0, 0.06)
    activity.first_event_pending("a1", 1.0, 0.6)
    assert activity.slowness("a1", 1.0, ACCEPTABLE_WAIT_S) == pytest.approx(3.0)
    activity.first_event_pending("a1", 1.5, 0.3)
    assert activity.slowness("a1", 1.0, ACCEPTABLE_WAIT_S) == pytest.approx(3.0)


def test_slowness_of_an_unused_chain_decays() -> None:
    activity = two_active_chains(pause_s=0.08, until_s=8.0)
    assert 1.0 < activity.slowness("a1", 12.0, ACCEPTABLE_WAIT_S) < 2.5
    assert activity.slowness("a1", 60.0, ACCEPTABLE_WAIT_S) == pytest.approx(
        1.0, abs=0.01
    )
    activity.retain_hosts({"b1"})
    assert activity.slowness("a1", 8.0, ACCEPTABLE_WAIT_S) == 1.0
