"""Rate limits that backend servers advertise: which limit an entry keeps to.

Answers arrive out of order and reports of other entries arrive late. An entry that
applied them in the order of arrival would keep an ended limit or drop one in force.
"""

from __future__ import annotations

import pytest

from railfold._internal.decisions.rate_limits import (
    AdvertisedLimits,
    LimitLapsed,
    NoRateLimit,
    RateLimitAdvertised,
    UnreadableRateLimit,
)

SERVER = "i-1@5"


@pytest.fixture
def limits() -> AdvertisedLimits:
    """Return limits with 2 requests a second, advertised by a server at 10 s."""
    limits = AdvertisedLimits()
    assert limits.observe(
        SERVER, RateLimitAdvertised(2.0), 9.8, 10.0
    ) == RateLimitAdvertised(2.0)
    return limits


def test_first_advertised_limit_is_in_force(limits: AdvertisedLimits) -> None:
    assert limits.limit_per_s(SERVER) == 2.0
    assert limits.in_force == [SERVER]


def test_limit_follows_the_latest_answer(limits: AdvertisedLimits) -> None:
    assert limits.observe(
        SERVER, RateLimitAdvertised(0.0), 10.1, 10.2
    ) == RateLimitAdvertised(0.0)
    assert limits.observe(SERVER, RateLimitAdvertised(0.0), 10.2, 10.3) is None
    assert limits.observe(
        SERVER, RateLimitAdvertised(5.0), 10.3, 10.4
    ) == RateLimitAdvertised(5.0)
    assert limits.limit_per_s(SERVER) == 5.0


def test_answer_without_a_limit_ends_the_limit(limits: AdvertisedLimits) -> None:
    assert limits.observe(SERVER, NoRateLimit(), 10.1, 10.2) == NoRateLimit()
    assert limits.limit_per_s(SERVER) is None


def test_answer_to_an_earlier_request_does_not_end_the_limit(
    limits: AdvertisedLimits,
) -> None:
    """The request was sent before the limit was known, and its answer took long."""
    assert limits.observe(SERVER, NoRateLimit(), 9.9, 12.0) is None
    assert limits.limit_per_s(SERVER) == 2.0


def test_answer_to_an_earlier_request_does_not_restore_an_ended_limit(
    limits: AdvertisedLimits,
) -> None:
    """The request was sent before the end of the limit, and its answer took long."""
    limits.observe(SERVER, NoRateLimit(), 10.1, 10.2)
    assert limits.observe(SERVER, RateLimitAdvertised(2.0), 10.15, 12.0) is None
    assert limits.observe(
        SERVER, RateLimitAdvertised(2.0), 10.3, 12.0
    ) == RateLimitAdvertised(2.0)


def test_unreadable_limit_changes_nothing_and_is_reported_once(
    limits: AdvertisedLimits,
) -> None:
    """A malformed header must not end a limit, nor fill the log."""
    header = UnreadableRateLimit("nan")
    assert limits.observe(SERVER, header, 10.1, 10.2) == UnreadableRateLimit("nan")
    assert limits.observe(SERVER, header, 10.2, 10.3) is None
    assert limits.limit_per_s(SERVER) == 2.0
    assert limits.observe("i-2", header, 10.2, 10.3) == UnreadableRateLimit("nan")
    assert limits.limit_per_s("i-2") is None


def test_limit_does_not_apply_to_another_incarnation(limits: AdvertisedLimits) -> None:
    assert limits.limit_per_s("i-1@6") is None
    limits.forget({"i-1@6"}, 11.0)
    assert not limits


def test_newest_report_of_any_entry_applies(
    limits: AdvertisedLimits,
) -> None:
    assert limits.observe_peer(SERVER, None, 9.9) is None
    assert limits.observe_peer(SERVER, 3.0, 10.5) == RateLimitAdvertised(3.0)
    assert limits.observe_peer(SERVER, None, 11.0) == NoRateLimit()
    assert limits.observe_peer("i-9", None, 11.0) is None


def test_traffic_share_grows_gradually_after_a_limit_ends(
    limits: AdvertisedLimits,
) -> None:
    """All entries return to the server together and must not overload it again."""
    limits.observe(SERVER, NoRateLimit(), 20.0, 20.1)
    shares = [
        limits.traffic_share(SERVER, 20.1 + at_s) for at_s in (0.0, 1.0, 2.0, 6.0)
    ]
    assert shares == sorted(shares)
    assert shares[0] == 0.0
    assert 0.1 < shares[1] < 0.5
    assert shares[-1] == 1.0


def test_unconfirmed_limit_lapses(limits: AdvertisedLimits) -> None:
    """An entry that is cut off and gets no permits can't learn that a limit ended."""
    assert limits.lapse_unconfirmed(13.0, 1) == {}
    (lapsed,) = limits.lapse_unconfirmed(15.0, 1).values()
    assert isinstance(lapsed, LimitLapsed)
    assert limits.limit_per_s(SERVER) is None


def test_limit_lapses_later_with_more_entries(limits: AdvertisedLimits) -> None:
    """Many entries that are cut off from each other don't exceed the limit.

    Each of them sends a request when the limit lapses. With 21 entries and a limit of 2
    a second, each entry may send one request in 10 s.
    """
    assert limits.lapse_unconfirmed(15.0, 21) == {}
    assert limits.lapse_unconfirmed(21.0, 21) != {}
    limits.observe(SERVER, RateLimitAdvertised(2.0), 30.0, 30.0)
    assert limits.lapse_unconfirmed(59.0, 380) == {}
    assert limits.lapse_unconfirmed(61.0, 380) != {}


def test_peer_report_restores_a_lapsed_limit(
    limits: AdvertisedLimits,
) -> None:
    """An issuer at which the limit has lapsed doesn't issue unlimited permits."""
    limits.lapse_unconfirmed(15.0, 1)
    assert limits.observe_peer(SERVER, 2.0, 10.0) == RateLimitAdvertised(2.0)


def test_unreadable_limit_is_reported_once_per_incarnation() -> None:
    limits = AdvertisedLimits()
    header = UnreadableRateLimit("nan")
    assert limits.observe(SERVER, header, 10.1, 10.2) is not None
    limits.forget({SERVER}, 50.0)
    assert limits.observe(SERVER, header, 50.1, 50.2) is None
    assert limits.traffic_share(SERVER, 50.2) == 1.0


def test_ended_limits_are_forgotten_after_a_while(limits: AdvertisedLimits) -> None:
    limits.observe(SERVER, NoRateLimit(), 20.0, 20.1)
    limits.forget({SERVER}, 21.0)
    assert limits
    limits.forget({SERVER}, 60.0)
    assert not limits


def test_servers_own_answer_overrides_a_wrong_peer_report() -> None:
    limits = AdvertisedLimits()
    assert limits.observe_peer("i-2", 0.0, 10.0) == RateLimitAdvertised(0.0)
    assert limits.observe("i-2", NoRateLimit(), 11.0, 11.1) == NoRateLimit()
    assert limits.observe_peer("i-2", 0.0, 10.5) is None
