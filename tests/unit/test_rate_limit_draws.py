"""Entries that share a server's rate limit keep it together, and make use of it.

The bounds are the aim's: in no window of 4 s more than one and a half times what the
limit allows and five more, and with demand 0.7 of it is used. Of equal parts, which
entries keep alone, the plays tell why they don't do.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.lib.limit_draws import AloneEntry, Draw, Limit, Outage, Play
from tests.lib.properties import examples

NAMED_S = 2.0
SIZES = [1, 3, 5, 21, 68, 380]
PER_S = [1.4, 2.5, 10.0]


@pytest.mark.parametrize("skew", [1.0, 50.0])
@pytest.mark.parametrize("entries", SIZES)
def test_with_demand_most_of_a_limit_is_used(entries: int, skew: float) -> None:
    for per_s in PER_S:
        wants_per_s = max(12.0, 3.0 * per_s)
        draw = Draw(entries, (Limit(NAMED_S, per_s),), wants_per_s, skew=skew)
        play = Play(draw).run()
        assert play.most_over() <= 0.0
        assert play.got_per_s(NAMED_S + 2.0, draw.for_s) >= 0.7 * per_s
        assert play.got_per_s(NAMED_S + 2.0, draw.for_s) <= 1.5 * per_s


def test_equal_parts_use_less_than_half_where_demand_is_uneven() -> None:
    draw = Draw(5, (Limit(NAMED_S, 2.5),), 12.0, skew=50.0)
    assert Play(draw, AloneEntry).run().got_per_s(4.0, 14.0) < 0.5 * 2.5
    assert Play(draw).run().got_per_s(4.0, 14.0) >= 0.7 * 2.5


def test_nor_do_equal_parts_spare_a_server_that_only_some_were_told_of() -> None:
    """Each of 380 entries sends once before it hears by itself."""
    draw = Draw(380, (Limit(NAMED_S, 1.4),), 12.0)
    assert Play(draw, AloneEntry).run().got_per_s(4.0, 14.0) > 2 * 1.4
    assert Play(draw).run().got_per_s(4.0, 14.0) <= 1.4


def test_a_server_that_takes_nothing_is_tried_rarely_and_heard_when_it_is_well() -> (
    None
):
    limits = (Limit(NAMED_S, 0.0), Limit(16.0, None))
    play = Play(Draw(21, limits, 24.0, for_s=30.0)).run()
    assert play.most_over() <= 0.0
    assert 0.0 < play.got_per_s(4.0, 16.0) <= 0.5
    assert play.got_per_s(26.0, 30.0) >= 0.7 * 24.0


@pytest.mark.parametrize("entries", [1, 5, 21, 68])
def test_after_its_end_a_server_has_its_usual_share_within_six_seconds(
    entries: int,
) -> None:
    limits = (Limit(NAMED_S, 1.4), Limit(10.0, None))
    play = Play(Draw(entries, limits, 24.0, for_s=22.0)).run()
    assert play.got_share(16.0, 22.0) >= 0.95
    # Not all at once either.
    assert play.got_share(10.0, 11.0) <= 0.4
    assert play.got_share(11.0, 12.0) <= 0.7


def test_a_limit_that_rises_is_used_at_once() -> None:
    limits = (Limit(NAMED_S, 0.3), Limit(10.0, 10.0))
    play = Play(Draw(5, limits, 24.0, for_s=18.0)).run()
    assert play.got_per_s(13.0, 18.0) >= 0.7 * 10.0


limit_rates = st.sampled_from([0.0, 0.3, 1.0, 1.4, 2.5, 6.0, 20.0])


@st.composite
def draws(draw: st.DrawFn) -> Draw:
    """Limits that change or end, uneven demand, lost messages, entries away."""
    entries = draw(st.sampled_from([1, 2, 3, 5, 8, 21, 68]))
    limits = [Limit(NAMED_S, draw(limit_rates))]
    if draw(st.booleans()):
        at_s = draw(st.floats(4.0, 9.0))
        limits.append(Limit(at_s, draw(st.one_of(st.none(), limit_rates))))
    outages = []
    for _ in range(draw(st.integers(0, 4))):
        from_s = draw(st.floats(1.0, 10.0))
        kind = draw(st.sampled_from(["frozen", "restarted", "cut", "gone"]))
        to_s = from_s + draw(st.floats(0.3, 5.0))
        number = draw(st.integers(0, entries - 1))
        outages.append(Outage(number, kind, from_s, to_s))
    return Draw(
        entries,
        tuple(limits),
        draw(st.sampled_from([0.5, 2.0, 8.0, 24.0])),
        skew=draw(st.sampled_from([1.0, 5.0, 50.0])),
        lost=draw(st.sampled_from([0.0, 0.05, 0.2])),
        outages=tuple(outages),
        seed=draw(st.integers(0, 10_000)),
    )


@given(draws())
@examples(150)
def test_the_sum_over_entries_is_kept_in_every_window(draw: Draw) -> None:
    assert Play(draw).run().most_over() <= 0.0


@pytest.mark.parametrize("entries", [1, 3, 8, 21])
def test_permits_add_up_to_no_more_than_the_limit(entries: int) -> None:
    """Eight entries sent 2.03 a second in the 8 s from the limit's naming on."""
    for seed in range(20):
        limits = (Limit(4.0, 1.4),)
        draw = Draw(entries, limits, wants_per_s=12.0, for_s=40.0, seed=seed)
        play = Play(draw).run()
        assert play.got_per_s(16.0, 40.0) <= 1.4
        # Beside bursts, what was sent before the first answer that names it.
        assert play.got_per_s(5.0, 13.0) <= 1.5 * 1.4
