"""Backend servers that refuse work get none for a while."""

from __future__ import annotations

from railfold._internal.decisions.avoidance import Avoidance


def test_a_refusal_counts_for_a_moment() -> None:
    avoidance = Avoidance()
    avoidance.refused("i-1", 10.0)
    assert avoidance.avoided("i-1", 10.2)
    assert not avoidance.avoided("i-1", 10.3)
    assert not avoidance.avoided("i-2", 10.0)


def test_it_is_avoided_for_longer_each_time_and_bounded() -> None:
    avoidance = Avoidance()
    now_s, lengths = 10.0, []
    for _ in range(6):
        avoidance.refused("i-1", now_s)
        end_s = now_s
        while avoidance.avoided("i-1", end_s):
            end_s += 0.05
        lengths.append(round(end_s - now_s, 1))
        now_s = end_s
    assert lengths == sorted(lengths)
    assert lengths[0] < 0.4
    assert lengths[-1] <= 2.1


def test_refusals_of_many_requests_at_once_count_once() -> None:
    avoidance = Avoidance()
    for _ in range(20):
        avoidance.refused("i-1", 10.0)
    assert not avoidance.avoided("i-1", 10.3)


def test_old_refusals_are_forgotten() -> None:
    avoidance = Avoidance()
    for at_s in (10.0, 11.0, 13.0):
        avoidance.refused("i-1", at_s)
    avoidance.refused("i-1", 30.0)
    assert not avoidance.avoided("i-1", 30.3)
    avoidance.forget({"i-2"})
    assert not avoidance.avoided("i-1", 30.1)


def test_a_full_server_goes_on_with_as_much_as_it_held() -> None:
    avoidance = Avoidance()
    avoidance.refused("i-1", 10.0, load=5000, request=1000)
    assert avoidance.avoided("i-1", 10.01, load=5000)
    assert not avoidance.avoided("i-1", 10.01, load=4000), "one has ended there"


def test_it_may_hold_one_more_after_each_interval() -> None:
    avoidance = Avoidance()
    avoidance.refused("i-1", 10.0, load=5000, request=1000)
    assert not avoidance.avoided("i-1", 10.3, load=5000)
    assert avoidance.avoided("i-1", 10.3, load=6000)
    assert not avoidance.avoided("i-1", 10.6, load=6000)


def test_refusals_at_less_load_allow_less() -> None:
    avoidance = Avoidance()
    avoidance.refused("i-1", 10.0, load=5000, request=1000)
    avoidance.refused("i-1", 10.1, load=2000, request=1000)
    assert avoidance.avoided("i-1", 10.12, load=3000)
    assert not avoidance.avoided("i-1", 10.12, load=1000)


def test_one_that_is_shut_gets_nothing_whatever_it_holds() -> None:
    avoidance = Avoidance()
    avoidance.avoid("i-1", 10.3)
    assert avoidance.avoided("i-1", 10.1, load=0)
    assert not avoidance.avoided("i-1", 10.4, load=0)
