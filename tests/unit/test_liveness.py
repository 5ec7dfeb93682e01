"""A backend server is lost only if somebody else was heard meanwhile."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

import pytest

from railfold._internal.forwarding.servers.liveness import LivenessCheck, Verdict

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

# How long each backend server takes to answer; never, or at once with a refusal.
DEAD = float("inf")
REFUSES = -1.0

NOBODY: Mapping[str, float] = {}


async def look(
    suspects: Mapping[str, float],
    near: Mapping[str, float] = NOBODY,
    far: Mapping[str, float] = NOBODY,
) -> tuple[Verdict, float]:
    """Return the verdict and how long it took."""
    answers = {**suspects, **near, **far}

    async def ask(server_id: str) -> bool:
        delay_s = answers[server_id]
        if delay_s == REFUSES:
            return False
        if delay_s == DEAD:
            await asyncio.Event().wait()
        await asyncio.sleep(delay_s)
        return True

    loop = asyncio.get_running_loop()
    started_s = loop.time()
    verdict = await LivenessCheck(ask).run(suspects, near, far)
    return verdict, round(loop.time() - started_s, 3)


async def test_those_that_answer_are_well() -> None:
    verdict, took_s = await look({"a": 0.002, "b": 0.004}, {"w": 0.001})
    assert verdict == Verdict(2)
    assert took_s == 0.004


async def test_a_silent_one_is_lost_when_a_near_witness_was_heard() -> None:
    verdict, took_s = await look({"a": DEAD}, {"w": 0.002})
    assert verdict == Verdict(0, lost=frozenset({"a"}))
    assert 0.05 <= took_s < 0.08


async def test_one_that_answers_is_a_witness_for_the_others() -> None:
    verdict, took_s = await look({"a": DEAD, "b": 0.002})
    assert verdict == Verdict(1, lost=frozenset({"a"}))
    assert 0.05 <= took_s < 0.08


async def test_a_refusal_shows_that_the_way_is_open() -> None:
    verdict, took_s = await look({"a": REFUSES, "b": DEAD}, far={"w": DEAD})
    assert verdict == Verdict(0, lost=frozenset({"a", "b"}))
    assert 0.05 <= took_s < 0.08


async def test_one_that_refuses_is_lost_at_once() -> None:
    verdict, took_s = await look({"a": REFUSES}, {"w": DEAD})
    assert verdict == Verdict(0, lost=frozenset({"a"}))
    assert took_s < 0.02


async def test_a_far_witness_leaves_more_time() -> None:
    # The way to the suspects' failure domain takes 0.12 s, all others are quick.
    verdict, _ = await look({"a": 0.12, "b": 0.13}, far={"w": 0.002})
    assert verdict == Verdict(2)


async def test_a_silent_one_is_lost_when_a_far_witness_was_heard() -> None:
    verdict, took_s = await look({"a": DEAD}, {"v": DEAD}, {"w": 0.002})
    assert verdict.lost == {"a"}
    assert 0.25 <= took_s < 0.28


async def test_nobody_is_lost_while_all_come_late() -> None:
    verdict, _ = await look({"a": 0.4, "b": 0.41}, {"w": 0.405})
    assert verdict == Verdict(2)


async def test_a_silent_one_is_lost_though_all_others_come_late() -> None:
    verdict, took_s = await look({"a": DEAD, "b": 0.17}, {"w": 0.16})
    assert verdict == Verdict(1, lost=frozenset({"a"}))
    assert took_s < 0.52


async def test_one_that_is_connected_to_first_may_take_two_round_trips_more() -> None:
    # The witness answers over a kept connection.
    verdict, _ = await look({"a": 0.55, "b": 0.5}, {"w": 0.2})
    assert verdict == Verdict(2)


async def test_when_nobody_is_heard_nobody_is_lost() -> None:
    verdict, took_s = await look({"a": DEAD, "b": DEAD}, {"v": DEAD}, {"w": DEAD})
    assert verdict == Verdict(0, undecided=frozenset({"a", "b"}))
    assert took_s == pytest.approx(1.0, abs=0.05)


def hold_the_loop_up(seconds: float) -> None:
    """Do nothing else for some time, as while something large is decoded."""
    time.sleep(seconds)


@pytest.mark.looptime(False)
@pytest.mark.parametrize("after_s", [0.005, 0.02, 0.04])
async def test_time_in_which_the_loop_is_held_up_doesnt_count(after_s: float) -> None:
    asyncio.get_running_loop().call_later(after_s, hold_the_loop_up, 0.07)
    verdict, _ = await look({"a": after_s + 0.09}, {"w": 0.001})
    assert verdict == Verdict(1)
