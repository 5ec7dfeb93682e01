"""Liveness checks: a silent backend server is lost only if another one answered.

Guards against live servers that count as lost because this host or the network delays
all answers, and against dead servers that aren't found because some answers are late.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

import pytest

from railfold._internal.forwarding.servers.liveness import LivenessCheck, Verdict

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

# Special delays of answers: the server never answers, or refuses at once.
DEAD = float("inf")
REFUSES = -1.0

NO_SERVERS: Mapping[str, float] = {}


async def check_liveness(
    suspects: Mapping[str, float],
    near: Mapping[str, float] = NO_SERVERS,
    far: Mapping[str, float] = NO_SERVERS,
) -> tuple[Verdict, float]:
    """Return the verdict of a liveness check and the duration of the check.

    Each mapping holds the delays of servers' answers in seconds, by server id.
    """
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


async def test_servers_that_answer_are_healthy() -> None:
    verdict, duration_s = await check_liveness({"a": 0.002, "b": 0.004}, {"w": 0.001})
    assert verdict == Verdict(2)
    assert duration_s == 0.004


async def test_silent_server_is_lost_if_near_witness_answers() -> None:
    verdict, duration_s = await check_liveness({"a": DEAD}, {"w": 0.002})
    assert verdict == Verdict(0, lost=frozenset({"a"}))
    assert 0.05 <= duration_s < 0.08


async def test_suspect_that_answers_is_witness_for_other_suspects() -> None:
    verdict, duration_s = await check_liveness({"a": DEAD, "b": 0.002})
    assert verdict == Verdict(1, lost=frozenset({"a"}))
    assert 0.05 <= duration_s < 0.08


async def test_refusal_counts_as_answer_of_witness() -> None:
    verdict, duration_s = await check_liveness(
        {"a": REFUSES, "b": DEAD}, far={"w": DEAD}
    )
    assert verdict == Verdict(0, lost=frozenset({"a", "b"}))
    assert 0.05 <= duration_s < 0.08


async def test_server_that_refuses_is_lost_at_once() -> None:
    verdict, duration_s = await check_liveness({"a": REFUSES}, {"w": DEAD})
    assert verdict == Verdict(0, lost=frozenset({"a"}))
    assert duration_s < 0.02


async def test_slow_path_to_domain_is_no_loss_if_only_far_witness_answers() -> None:
    # The path to the suspects' failure domain takes 0.12 s; other paths are fast.
    verdict, _ = await check_liveness({"a": 0.12, "b": 0.13}, far={"w": 0.002})
    assert verdict == Verdict(2)


async def test_silent_server_is_lost_if_far_witness_answers() -> None:
    verdict, duration_s = await check_liveness({"a": DEAD}, {"v": DEAD}, {"w": 0.002})
    assert verdict.lost == {"a"}
    assert 0.25 <= duration_s < 0.28


async def test_no_server_is_lost_if_all_answers_are_late() -> None:
    verdict, _ = await check_liveness({"a": 0.4, "b": 0.41}, {"w": 0.405})
    assert verdict == Verdict(2)


async def test_silent_server_is_lost_if_all_other_answers_are_late() -> None:
    verdict, duration_s = await check_liveness({"a": DEAD, "b": 0.17}, {"w": 0.16})
    assert verdict == Verdict(1, lost=frozenset({"a"}))
    assert duration_s < 0.52


async def test_answer_over_new_connection_may_take_more_round_trips() -> None:
    # The witness answers over an open connection, the suspects over new ones.
    verdict, _ = await check_liveness({"a": 0.55, "b": 0.5}, {"w": 0.2})
    assert verdict == Verdict(2)


async def test_no_server_is_lost_if_none_answers() -> None:
    verdict, duration_s = await check_liveness(
        {"a": DEAD, "b": DEAD}, {"v": DEAD}, {"w": DEAD}
    )
    assert verdict == Verdict(0, undecided=frozenset({"a", "b"}))
    assert duration_s == pytest.approx(1.0, abs=0.05)


def block_event_loop(seconds: float) -> None:
    """Block the event loop, as decoding a large message does."""
    time.sleep(seconds)


@pytest.mark.looptime(False)
@pytest.mark.parametrize("after_s", [0.005, 0.02, 0.04])
async def test_time_with_blocked_event_loop_doesnt_count(after_s: float) -> None:
    asyncio.get_running_loop().call_later(after_s, block_event_loop, 0.07)
    verdict, _ = await check_liveness({"a": after_s + 0.09}, {"w": 0.001})
    assert verdict == Verdict(1)
