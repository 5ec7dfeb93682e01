"""Probe agents and decide whether an unanswered probe means a failure."""

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

# Number of probe time-outs that an agent is allowed while no other agent answers
# either. With the default time-out of 0.2 s that is 0.8 s, in which the 20 Mbit/s link
# of a small entry carries 2 MB: three times a configuration with 3,050 routes (570 KB).
_TIMEOUTS_IF_ALL_SILENT = 4


class ProbeResult(Enum):
    """The result of a probe."""

    ALIVE = auto()
    STALLED = auto()
    SILENT = auto()


@dataclass(slots=True)
class _PendingProbe:
    answer: asyncio.Future[bool]
    later_probe_answered: asyncio.Future[None]


class AgentProber:
    """Sends probes and matches answers to them.

    An agent is silent if it doesn't answer within the time-out after another agent
    has answered a probe that was sent later. Without such an answer the cause may be
    local: while this process is blocked or its own link is full, it receives no
    answers even from healthy agents. An agent is then silent only after
    ``_TIMEOUTS_IF_ALL_SILENT`` more time-outs.

    :param timeout_s: how long an agent may take to answer.
    :param make_probe: returns the probe message for a nonce.
    """

    def __init__(
        self, timeout_s: float, metrics: Metrics, make_probe: Callable[[int], Probe]
    ) -> None:
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._make_probe = make_probe
        self._nonces = itertools.count(1)
        self._pending: dict[int, _PendingProbe] = {}

    async def probe(self, link: Link) -> ProbeResult:
        """Send a probe and return its result."""
        loop = asyncio.get_running_loop()
        nonce = next(self._nonces)
        pending = _PendingProbe(loop.create_future(), loop.create_future())
        self._pending[nonce] = pending
        link.send(self._make_probe(nonce))
        self._metrics.count("probes")
        futures: set[asyncio.Future[Any]] = {
            pending.answer,
            pending.later_probe_answered,
        }
        try:
            await asyncio.wait(
                futures,
                timeout=_TIMEOUTS_IF_ALL_SILENT * self._timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            stalled = await answer_within(pending.answer, self._timeout_s)
        except TimeoutError:
            return ProbeResult.SILENT
        finally:
            del self._pending[nonce]
        return ProbeResult.STALLED if stalled else ProbeResult.ALIVE

    def answer_received(self, nonce: int, *, stalled: bool) -> None:
        """Process an agent's answer to the probe with this nonce.

        Probes that were sent earlier and are still unanswered are notified too.
        """
        pending = self._pending.get(nonce)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(stalled)
        for pending_nonce, pending_probe in self._pending.items():
            if pending_nonce < nonce and not pending_probe.later_probe_answered.done():
                pending_probe.later_probe_answered.set_result(None)
