"""Detection of silent streams.

A stream that has paused for too long must be reported repeatedly until it continues, so
that a stalled chain is found even if the first check can't tell. Streams with events at
regular intervals must not be reported.
"""

from __future__ import annotations

import asyncio

import pytest

from railfold._internal.decisions.chain_activity import ChainActivity, ChainKey
from railfold._internal.forwarding.requests.stream_watch import (
    AnswerTimes,
    Silence,
    StreamWatch,
)

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

A: ChainKey = ("a1", "a2")
B: ChainKey = ("b1", "b2")


class Stream:
    """A stream on a chain, and the silences that its watch has reported.

    Each silence is its duration in seconds and whether the chain has stalled.
    """

    def __init__(self, activity: ChainActivity, chain: ChainKey) -> None:
        self.silences: list[tuple[float, bool]] = []
        self.times = AnswerTimes()
        self.watch = StreamWatch(activity, self.times, self._on_silence)
        self.watch.attempt_started(chain, 0.02)

    def _on_silence(self, silence: Silence) -> None:
        self.silences.append((round(silence.silent_s, 2), silence.stalled))

    def receive_event(self) -> None:
        self.watch.events_received(self.watch.progress_received())


async def send_events(streams: list[Stream], seconds: float) -> None:
    """Send an event to each stream every 20 ms for some time."""
    for _ in range(round(seconds / 0.02)):
        await asyncio.sleep(0.02)
        for stream in streams:
            stream.receive_event()


@pytest.fixture
def activity() -> ChainActivity:
    return ChainActivity()


async def test_a_stream_with_regular_events_is_not_reported_as_silent(
    activity: ChainActivity,
) -> None:
    stream = Stream(activity, A)
    await send_events([stream], 2.0)
    assert stream.silences == []
    assert stream.times.longest_pause_s == pytest.approx(0.02)


async def test_silence_is_reported_repeatedly_until_the_next_event(
    activity: ChainActivity,
) -> None:
    stream = Stream(activity, A)
    await send_events([stream], 1.0)
    await asyncio.sleep(0.17)
    assert [silent_s for silent_s, _ in stream.silences] == [0.07, 0.1, 0.13, 0.16]
    await send_events([stream], 1.0)
    assert len(stream.silences) == 5  # The next event came 20 ms later.


async def test_the_first_event_has_a_longer_limit_than_later_ones(
    activity: ChainActivity,
) -> None:
    stream = Stream(activity, A)
    await asyncio.sleep(0.24)
    assert stream.silences == []
    await asyncio.sleep(0.03)
    assert stream.silences == [(0.25, False)]
    assert activity.slowness("a1", asyncio.get_running_loop().time(), 0.1) > 2.0


async def test_a_stalled_chain_is_detected_by_a_later_check(
    activity: ChainActivity,
) -> None:
    stalled_streams = [Stream(activity, A) for _ in range(3)]
    active_streams = [Stream(activity, B) for _ in range(3)]
    await send_events([*stalled_streams, *active_streams], 1.0)
    await asyncio.sleep(0.09)  # All streams pause: the first checks prove nothing.
    await send_events(active_streams, 0.04)
    assert [stalled for _, stalled in stalled_streams[0].silences] == [
        False,
        False,
        True,
    ]


async def test_an_ended_attempt_is_not_reported_as_silent(
    activity: ChainActivity,
) -> None:
    stream = Stream(activity, A)
    await send_events([stream], 0.2)
    stream.watch.attempt_ended()
    await asyncio.sleep(1.0)
    assert stream.silences == []
