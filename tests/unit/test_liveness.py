"""A backend server is lost only if somebody else was heard meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import pytest

from railfold._internal.forwarding.liveness import LivenessCheck, Verdict

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

# How long each backend server takes to answer; never, or at once with a refusal.
DEAD = float("inf")
REFUSES = -1.0


async def look(
    suspects: Mapping[str, float], witnesses: Mapping[str, float]
) -> tuple[Verdict, float]:
    """Return the verdict and how long it took."""
    answers = {**suspects, **witnesses}

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
    verdict = await LivenessCheck(ask).run(suspects, witnesses)
    return verdict, round(loop.time() - started_s, 3)


async def test_those_that_answer_are_well() -> None:
    verdict, took_s = await look({"a": 0.002, "b": 0.004}, {"w": 0.001})
    assert verdict == Verdict(2, frozenset())
    assert took_s == 0.004


async def test_a_silent_one_is_lost_when_a_witness_was_heard() -> None:
    verdict, took_s = await look({"a": DEAD}, {"w": 0.002})
    assert verdict == Verdict(0, frozenset({"a"}))
    assert took_s == pytest.approx(0.052)


async def test_one_that_answers_is_a_witness_for_the_others() -> None:
    verdict, took_s = await look({"a": DEAD, "b": 0.002}, {})
    assert verdict == Verdict(1, frozenset({"a"}))
    assert took_s == pytest.approx(0.052)


async def test_one_that_refuses_is_lost_as_soon_as_a_witness_was_heard() -> None:
    verdict, took_s = await look({"a": REFUSES}, {"w": 0.002})
    assert verdict == Verdict(0, frozenset({"a"}))
    assert took_s == 0.002


async def test_a_dead_witness_doesnt_matter_beside_a_live_one() -> None:
    verdict, took_s = await look({"a": DEAD}, {"v": DEAD, "w": 0.002})
    assert verdict.lost == {"a"}
    assert took_s < 0.06


async def test_nobody_is_lost_while_all_come_late() -> None:
    verdict, _ = await look({"a": 0.4, "b": 0.41}, {"w": 0.405})
    assert verdict == Verdict(2, frozenset())


async def test_a_silent_one_is_lost_though_all_others_come_late() -> None:
    verdict, took_s = await look({"a": DEAD, "b": 0.17}, {"w": 0.16})
    assert verdict == Verdict(1, frozenset({"a"}))
    assert took_s < 0.52


async def test_one_that_is_connected_to_first_may_take_a_round_trip_more() -> None:
    # The witness answers over a kept connection.
    verdict, _ = await look({"a": 0.41, "b": 0.4}, {"w": 0.2})
    assert verdict == Verdict(2, frozenset())


async def test_when_nobody_is_heard_for_long_all_are_lost() -> None:
    verdict, took_s = await look({"a": DEAD, "b": DEAD}, {"w": DEAD})
    assert verdict.lost == {"a", "b"}
    assert took_s == pytest.approx(1.0, abs=0.05)
