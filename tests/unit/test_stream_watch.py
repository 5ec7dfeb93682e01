"""A silent stream is looked into, again and again, until something comes."""

from __future__ import annotations

import asyncio

import pytest

from railfold._internal.decisions.chain_activity import ChainActivity, ChainKey
from railfold._internal.forwarding.requests.stream_watch import Silence, StreamWatch

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

A: ChainKey = ("a1", "a2")
B: ChainKey = ("b1", "b2")


class Stream:
    """A watched stream, and what its watch told."""

    def __init__(self, activity: ChainActivity, chain: ChainKey) -> None:
        self.told: list[tuple[float, bool]] = []
        self.watch = StreamWatch(activity, self._silent)
        self.watch.attempt_started(chain, 0.02)

    def _silent(self, silence: Silence) -> None:
        self.told.append((round(silence.silent_s, 2), silence.stalled))

    def event(self) -> None:
        self.watch.events_received(self.watch.bytes_received())


async def run(streams: list[Stream], seconds: float) -> None:
    """Let streams get events for some time."""
    for _ in range(round(seconds / 0.02)):
        await asyncio.sleep(0.02)
        for stream in streams:
            stream.event()


@pytest.fixture
def activity() -> ChainActivity:
    return ChainActivity()


async def test_a_stream_that_flows_is_left_alone(activity: ChainActivity) -> None:
    stream = Stream(activity, A)
    await run([stream], 2.0)
    assert stream.told == []
    assert stream.watch.longest_pause_s == pytest.approx(0.02)


async def test_silence_is_told_until_it_ends(activity: ChainActivity) -> None:
    stream = Stream(activity, A)
    await run([stream], 1.0)
    await asyncio.sleep(0.17)
    assert [silent_s for silent_s, _ in stream.told] == [0.07, 0.1, 0.13, 0.16]
    await run([stream], 1.0)
    assert len(stream.told) == 5  # The next event came 20 ms later.


async def test_a_first_event_may_take_longer(activity: ChainActivity) -> None:
    stream = Stream(activity, A)
    await asyncio.sleep(0.24)
    assert stream.told == []
    await asyncio.sleep(0.03)
    assert stream.told == [(0.25, False)]
    assert activity.slowness("a1", asyncio.get_running_loop().time(), 0.1) > 2.0


async def test_a_stalled_chain_is_noticed_at_a_later_look_too(
    activity: ChainActivity,
) -> None:
    still = [Stream(activity, A) for _ in range(3)]
    moving = [Stream(activity, B) for _ in range(3)]
    await run([*still, *moving], 1.0)
    await asyncio.sleep(0.09)  # All pause: the first look concludes nothing.
    await run(moving, 0.04)
    assert [stalled for _, stalled in still[0].told] == [False, False, True]


async def test_a_closed_watch_tells_nothing(activity: ChainActivity) -> None:
    stream = Stream(activity, A)
    await run([stream], 0.2)
    stream.watch.attempt_ended()
    await asyncio.sleep(1.0)
    assert stream.told == []
