"""Which rate limit of a backend server holds, by its newest word."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.rate_limits import (
    AdvertisedLimits,
    LimitLapsed,
    NoRateLimit,
    RateLimitNamed,
    UnreadableRateLimit,
)

SERVER = "i-1@5"


@pytest.fixture
def limits() -> AdvertisedLimits:
    """A server has named a limit of 2 a second at 10 s."""
    limits = AdvertisedLimits()
    assert limits.observe(SERVER, RateLimitNamed(2.0), 9.8, 10.0) == RateLimitNamed(2.0)
    return limits


def test_the_first_answer_that_names_one_counts(limits: AdvertisedLimits) -> None:
    assert limits.per_s(SERVER) == 2.0
    assert limits.in_force == [SERVER]


def test_it_falls_and_rises_with_the_newest_word(limits: AdvertisedLimits) -> None:
    assert limits.observe(SERVER, RateLimitNamed(0.0), 10.1, 10.2) == RateLimitNamed(
        0.0
    )
    assert limits.observe(SERVER, RateLimitNamed(0.0), 10.2, 10.3) is None
    assert limits.observe(SERVER, RateLimitNamed(5.0), 10.3, 10.4) == RateLimitNamed(
        5.0
    )
    assert limits.per_s(SERVER) == 5.0


def test_an_answer_that_names_none_ends_it(limits: AdvertisedLimits) -> None:
    assert limits.observe(SERVER, NoRateLimit(), 10.1, 10.2) == NoRateLimit()
    assert limits.per_s(SERVER) is None


def test_a_long_answer_that_was_asked_for_before_doesnt_end_it(
    limits: AdvertisedLimits,
) -> None:
    assert limits.observe(SERVER, NoRateLimit(), 9.9, 12.0) is None
    assert limits.per_s(SERVER) == 2.0


def test_nor_does_one_asked_for_before_its_end_name_it_anew(
    limits: AdvertisedLimits,
) -> None:
    limits.observe(SERVER, NoRateLimit(), 10.1, 10.2)
    assert limits.observe(SERVER, RateLimitNamed(2.0), 10.15, 12.0) is None
    assert limits.observe(SERVER, RateLimitNamed(2.0), 10.3, 12.0) == RateLimitNamed(
        2.0
    )


def test_what_is_no_rate_changes_nothing_and_is_told_once(
    limits: AdvertisedLimits,
) -> None:
    word = UnreadableRateLimit("nan")
    assert limits.observe(SERVER, word, 10.1, 10.2) == UnreadableRateLimit("nan")
    assert limits.observe(SERVER, word, 10.2, 10.3) is None
    assert limits.per_s(SERVER) == 2.0
    assert limits.observe("i-2", word, 10.2, 10.3) == UnreadableRateLimit("nan")
    assert limits.per_s("i-2") is None


def test_another_incarnation_has_none(limits: AdvertisedLimits) -> None:
    assert limits.per_s("i-1@6") is None
    limits.forget({"i-1@6"}, 11.0)
    assert not limits


def test_of_others_words_and_own_ones_the_newest_counts(
    limits: AdvertisedLimits,
) -> None:
    assert limits.announced(SERVER, None, 9.9) is None
    assert limits.announced(SERVER, 3.0, 10.5) == RateLimitNamed(3.0)
    assert limits.announced(SERVER, None, 11.0) == NoRateLimit()
    assert limits.announced("i-9", None, 11.0) is None


def test_a_server_gets_its_usual_share_back_step_by_step(
    limits: AdvertisedLimits,
) -> None:
    limits.observe(SERVER, NoRateLimit(), 20.0, 20.1)
    shares = [limits.share(SERVER, 20.1 + at_s) for at_s in (0.0, 1.0, 2.0, 6.0)]
    assert shares == sorted(shares)
    assert shares[0] == 0.0
    assert 0.1 < shares[1] < 0.5
    assert shares[-1] == 1.0


def test_what_nobody_confirms_lapses(limits: AdvertisedLimits) -> None:
    assert limits.lapse(13.0, 1) == {}
    (lapsed,) = limits.lapse(15.0, 1).values()
    assert isinstance(lapsed, LimitLapsed)
    assert limits.per_s(SERVER) is None


def test_where_many_could_try_it_lapses_later(limits: AdvertisedLimits) -> None:
    """Each of 21 entries that are cut off from each other tries once in 10 s."""
    assert limits.lapse(15.0, 21) == {}
    assert limits.lapse(21.0, 21) != {}
    limits.observe(SERVER, RateLimitNamed(2.0), 30.0, 30.0)
    assert limits.lapse(59.0, 380) == {}
    assert limits.lapse(61.0, 380) != {}


def test_another_entry_that_still_holds_it_names_a_lapsed_one_anew(
    limits: AdvertisedLimits,
) -> None:
    """Else the one where it lapsed would hand out permits without a bound."""
    limits.lapse(15.0, 1)
    assert limits.announced(SERVER, 2.0, 10.0) == RateLimitNamed(2.0)


def test_what_is_no_rate_is_told_once_for_as_long_as_its_server_lives() -> None:
    limits = AdvertisedLimits()
    word = UnreadableRateLimit("nan")
    assert limits.observe(SERVER, word, 10.1, 10.2) is not None
    limits.forget({SERVER}, 50.0)
    assert limits.observe(SERVER, word, 50.1, 50.2) is None
    assert limits.share(SERVER, 50.2) == 1.0


def test_limits_that_ended_long_ago_are_forgotten(limits: AdvertisedLimits) -> None:
    limits.observe(SERVER, NoRateLimit(), 20.0, 20.1)
    limits.forget({SERVER}, 21.0)
    assert limits
    limits.forget({SERVER}, 60.0)
    assert not limits


def test_a_wrong_word_of_another_entry_ends_with_the_servers_own_next_one() -> None:
    limits = AdvertisedLimits()
    assert limits.announced("i-2", 0.0, 10.0) == RateLimitNamed(0.0)
    assert limits.observe("i-2", NoRateLimit(), 11.0, 11.1) == NoRateLimit()
    assert limits.announced("i-2", 0.0, 10.5) is None
