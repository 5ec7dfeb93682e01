"""Faults in which servers answer twice, or send only a part of an answer."""

from __future__ import annotations

import asyncio
import random

from soak.deployment import Deployment
from standins.broken_answers import RESUMED_FORMS, AnswerFaults

__all__ = ["ANSWER_FAULTS"]

_DURATION_S = (0.5, 3.0)

_COPIED_SHARES = (0.2, 0.5, 1.0)
_CUT_SHARES = (0.02, 0.1)


async def servers_answer_twice(deployment: Deployment, rng: random.Random) -> None:
    """Make all servers send a share of their answers again, up to 0.5 s later."""
    await _apply(deployment, rng, copied_share=rng.choice(_COPIED_SHARES))


async def servers_cut_heads(deployment: Deployment, rng: random.Random) -> None:
    """Make all servers cut a share of their answers within the head."""
    await _apply(deployment, rng, cut_share=rng.choice(_CUT_SHARES))


async def servers_answer_twice_and_cut(
    deployment: Deployment, rng: random.Random
) -> None:
    """Make all servers do both."""
    await _apply(
        deployment,
        rng,
        copied_share=rng.choice(_COPIED_SHARES),
        cut_share=rng.choice(_CUT_SHARES),
    )


async def streams_lose_their_end(deployment: Deployment, rng: random.Random) -> None:
    """Reset streams in place of their end, and resume them in some form."""
    form = rng.choice(["", *RESUMED_FORMS])
    for engine in deployment.engines:
        engine.resumed_form = form
        if engine.mode == "ok":
            engine.mode = "reset at end"
    await asyncio.sleep(rng.uniform(*_DURATION_S))
    for engine in deployment.engines:
        engine.resumed_form = ""
        if engine.mode == "reset at end":
            engine.mode = "ok"


async def _apply(
    deployment: Deployment,
    rng: random.Random,
    copied_share: float = 0.0,
    cut_share: float = 0.0,
) -> None:
    """Make the answers of all servers wrong for some time."""
    max_delay_s = rng.choice([0.005, 0.05, 0.5])
    for server in deployment.servers:
        server.answer_faults = AnswerFaults(
            copied_share, (0.0, max_delay_s), cut_share, random.Random(rng.random())
        )
    await asyncio.sleep(rng.uniform(*_DURATION_S))
    for server in deployment.servers:
        if server.answer_faults is not None:
            # Copies that are due are still sent.
            server.answer_faults.copied_share = server.answer_faults.cut_share = 0.0


ANSWER_FAULTS = {
    "servers_answer_twice": servers_answer_twice,
    "servers_answer_twice_and_cut": servers_answer_twice_and_cut,
    "servers_cut_heads": servers_cut_heads,
    "streams_lose_their_end": streams_lose_their_end,
}
