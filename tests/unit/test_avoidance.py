"""Backend servers that refuse requests get less load for a while.

Each request to a server that is still full costs a retry. A server that got nothing
after a refusal would stand idle as soon as its other requests had ended.
"""

from __future__ import annotations

from railfold._internal.decisions.avoidance import Avoidance


def test_server_is_avoided_briefly_after_a_refusal() -> None:
    avoidance = Avoidance()
    avoidance.record_refusal("i-1", 10.0)
    assert avoidance.is_avoided("i-1", 10.2)
    assert not avoidance.is_avoided("i-1", 10.3)
    assert not avoidance.is_avoided("i-2", 10.0)


def test_repeated_refusals_extend_the_avoidance_up_to_a_bound() -> None:
    avoidance = Avoidance()
    now_s, lengths = 10.0, []
    for _ in range(6):
        avoidance.record_refusal("i-1", now_s)
        end_s = now_s
        while avoidance.is_avoided("i-1", end_s):
            end_s += 0.05
        lengths.append(round(end_s - now_s, 1))
        now_s = end_s
    assert lengths == sorted(lengths)
    assert lengths[0] < 0.4
    assert lengths[-1] <= 2.1


def test_simultaneous_refusals_count_once() -> None:
    avoidance = Avoidance()
    for _ in range(20):
        avoidance.record_refusal("i-1", 10.0)
    assert not avoidance.is_avoided("i-1", 10.3)


def test_old_refusals_are_forgotten() -> None:
    avoidance = Avoidance()
    for at_s in (10.0, 11.0, 13.0):
        avoidance.record_refusal("i-1", at_s)
    avoidance.record_refusal("i-1", 30.0)
    assert not avoidance.is_avoided("i-1", 30.3)
    avoidance.forget({"i-2"})
    assert not avoidance.is_avoided("i-1", 30.1)


def test_full_server_keeps_the_load_that_it_had_when_it_refused() -> None:
    avoidance = Avoidance()
    avoidance.record_refusal("i-1", 10.0, load=5000, request_load=1000)
    assert avoidance.is_avoided("i-1", 10.01, load=5000)
    assert not avoidance.is_avoided("i-1", 10.01, load=4000), (
        "one request has ended there"
    )


def test_allowed_load_grows_by_one_request_per_interval() -> None:
    avoidance = Avoidance()
    avoidance.record_refusal("i-1", 10.0, load=5000, request_load=1000)
    assert not avoidance.is_avoided("i-1", 10.3, load=5000)
    assert avoidance.is_avoided("i-1", 10.3, load=6000)
    assert not avoidance.is_avoided("i-1", 10.6, load=6000)


def test_refusal_at_lower_load_lowers_the_allowed_load() -> None:
    avoidance = Avoidance()
    avoidance.record_refusal("i-1", 10.0, load=5000, request_load=1000)
    avoidance.record_refusal("i-1", 10.1, load=2000, request_load=1000)
    assert avoidance.is_avoided("i-1", 10.12, load=3000)
    assert not avoidance.is_avoided("i-1", 10.12, load=1000)


def test_excluded_server_gets_nothing_at_any_load() -> None:
    avoidance = Avoidance()
    avoidance.avoid("i-1", 10.3)
    assert avoidance.is_avoided("i-1", 10.1, load=0)
    assert not avoidance.is_avoided("i-1", 10.4, load=0)
