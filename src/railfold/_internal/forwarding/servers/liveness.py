"""Telling a dead backend server from a host that can't hear it.

Silence alone proves nothing: this host's own link may be full, or its event loop held
up, so that answers which were sent in time wait unread: a host with little bandwidth
that reads a large configuration gets all answers late, for half a second. So other
backend servers are asked at the same time, as witnesses: one that stays silent is lost
only once somebody else was heard, and this process ran on time since.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

__all__ = ["LONGEST_WAIT_S", "LivenessCheck", "Verdict"]

# A live engine on an idle path answers its report within a few milliseconds; a
# connection takes one round trip more.
_ANSWER_S = 0.05

# The same while nobody in the suspects' failure domain is heard: the way there may be
# slow, which a witness elsewhere doesn't tell (test_a_far_witness_leaves_more_time).
_FAR_ANSWER_S = 0.25

# What the first answer took tells how long a round trip takes now. Over a kept
# connection it is one; one that has to be opened first takes two, and the queue on the
# way may grow meanwhile: a fixed time after the first answer lets live engines count as
# lost.
_ROUND_TRIPS = 3.0

# The wait goes on in parts, so that a hold-up of the event loop shows whenever it
# comes. Decoding a configuration of 0.6 MB holds a small host up for 56 to 82 ms.
_PART_S = 0.0125
_LOOP_LATE_S = 0.03

# An answer that was read in the same turn of the event loop as a time-out needs a few
# turns more.
_SETTLE_S = 0.002

# When nobody answers for so long, this host can't serve, whatever the cause is.
LONGEST_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """What came of asking.

    :param answered: how many of those that were asked are well.
    :param lost: which of them are lost.
    :param unheard: which of them are silent as everybody else is.
    """

    answered: int
    lost: frozenset[str] = frozenset()
    unheard: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Answer:
    """A sign of life, or a refusal, which somebody on the way there sent."""

    at_s: float
    well: bool


_Asking = asyncio.Task[_Answer]


class LivenessCheck:
    """One look at some backend servers.

    :param ask: asks one, by its id, and returns whether it is well. It may take as
        long as it likes, and is cancelled when no longer needed.
    """

    def __init__(self, ask: Callable[[str], Awaitable[bool]]) -> None:
        self._ask = ask
        self._loop = asyncio.get_running_loop()

    async def run(
        self, suspects: Iterable[str], near: Iterable[str], far: Iterable[str]
    ) -> Verdict:
        """Ask all of them, and judge the suspects.

        :param near: witnesses in the suspects' failure domain.
        :param far: witnesses elsewhere.
        """
        asked = {server_id: self._start(server_id) for server_id in suspects}
        nearby = [*asked.values(), *map(self._start, near)]
        elsewhere = [self._start(server_id) for server_id in far]
        try:
            return await self._judge(asked, nearby, elsewhere)
        finally:
            for task in (*nearby, *elsewhere):
                task.cancel()

    def _start(self, server_id: str) -> _Asking:
        return self._loop.create_task(self._answer(server_id))

    async def _answer(self, server_id: str) -> _Answer:
        well = await self._ask(server_id)
        return _Answer(self._loop.time(), well)

    async def _judge(
        self,
        asked: Mapping[str, _Asking],
        nearby: list[_Asking],
        elsewhere: list[_Asking],
    ) -> Verdict:
        started_s = asked_s = self._loop.time()
        while True:
            missing = frozenset(host for host, task in asked.items() if not _well(task))
            answered = len(asked) - len(missing)
            if not missing:
                return Verdict(answered)
            waited_s = self._loop.time() - asked_s
            pending = [task for task in (*nearby, *elsewhere) if not task.done()]
            if all(asked[host].done() for host in missing):
                return Verdict(answered, lost=missing)
            if waited_s >= self._patience_s(nearby, elsewhere, started_s):
                return Verdict(answered, lost=missing)
            if self._loop.time() - started_s >= LONGEST_WAIT_S:
                return Verdict(answered, unheard=missing)
            if await self._wait(pending):
                asked_s = self._loop.time()

    def _patience_s(
        self, nearby: list[_Asking], elsewhere: list[_Asking], started_s: float
    ) -> float:
        """Return how long a silent suspect is given, by who else was heard.

        For ever if nobody was: the look itself ends then, without a verdict. A bound a
        little beyond its end would be reached by an event loop that runs late.
        """
        near_s = _first_answer_s(nearby)
        if near_s is not None:
            return max(_ANSWER_S, _ROUND_TRIPS * (near_s - started_s))
        far_s = _first_answer_s(elsewhere)
        if far_s is not None:
            return max(_FAR_ANSWER_S, _ROUND_TRIPS * (far_s - started_s))
        return math.inf

    async def _wait(self, pending: list[_Asking]) -> bool:
        """Wait a little for an answer; return whether this process was held up."""
        until_s = self._loop.time() + _PART_S
        done, _ = await asyncio.wait(
            pending, timeout=_PART_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            # What the loop has just read is on its way through its tasks.
            await asyncio.sleep(_SETTLE_S)
        return self._loop.time() - until_s > _LOOP_LATE_S


def _well(task: _Asking) -> bool:
    return task.done() and task.result().well


def _first_answer_s(tasks: Iterable[_Asking]) -> float | None:
    """Return when the first of some answered, or refused, if one did."""
    return min((task.result().at_s for task in tasks if task.done()), default=None)
