"""Asking agents whether they live, and judging their silence."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from railfold._internal.links.connection import Link
from railfold._internal.links.messages import Probe
from railfold._internal.observability.metrics import Metrics
from railfold._internal.waiting import answer_within

__all__ = ["AgentProber", "ProbeResult"]

# How many probe time-outs an agent is given while no other agent answers either.
# With the default time-out of 0.2 s that is 0.8 s: 2 MB at 20 Mbit/s, the link of a
# small entry, which is three times a configuration with 3,050 routes (570 KB).
_TIMEOUTS_WITHOUT_PROOF = 4


class ProbeResult(Enum):
    """What came of a probe."""

    ALIVE = auto()
    STALLED = auto()
    SILENT = auto()


@dataclass(slots=True)
class _Asked:
    answer: asyncio.Future[bool]
    other_answered: asyncio.Future[None]


class AgentProber:
    """Sends probes and takes their answers.

    An agent is silent if it doesn't answer within the time-out although another
    agent answered a probe that was sent later. Without that proof the cause may
    be here: while this process is held up or its own link is full, no answer
    comes, whoever is well.

    :param message: returns the probe with a nonce.
    """

    def __init__(
        self, timeout_s: float, metrics: Metrics, message: Callable[[int], Probe]
    ) -> None:
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._message = message
        self._nonces = itertools.count(1)
        self._asked: dict[int, _Asked] = {}

    async def ask(self, link: Link) -> ProbeResult:
        """Send a probe and return what came of it."""
        loop = asyncio.get_running_loop()
        nonce = next(self._nonces)
        asked = _Asked(loop.create_future(), loop.create_future())
        self._asked[nonce] = asked
        link.send(self._message(nonce))
        self._metrics.count("probes")
        signs: set[asyncio.Future[Any]] = {asked.answer, asked.other_answered}
        try:
            await asyncio.wait(
                signs,
                timeout=_TIMEOUTS_WITHOUT_PROOF * self._timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            stalled = await answer_within(asked.answer, self._timeout_s)
        except TimeoutError:
            return ProbeResult.SILENT
        finally:
            del self._asked[nonce]
        return ProbeResult.STALLED if stalled else ProbeResult.ALIVE

    def answered(self, nonce: int, *, stalled: bool) -> None:
        """Take an agent's answer."""
        asked = self._asked.get(nonce)
        if asked is not None and not asked.answer.done():
            asked.answer.set_result(stalled)
        for earlier, other in self._asked.items():
            if earlier < nonce and not other.other_answered.done():
                other.other_answered.set_result(None)
