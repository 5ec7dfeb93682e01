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

__all__ = ["MAX_WAIT_S", "LivenessCheck", "Verdict"]

# A live engine on an idle path answers its report within a few milliseconds; a
# connection takes one round trip more.
_MIN_NEAR_TIMEOUT_S = 0.05

# The same while nobody in the suspects' failure domain is heard: the way there may be
# slow, which a witness elsewhere doesn't tell (test_a_far_witness_leaves_more_time).
_MIN_FAR_TIMEOUT_S = 0.25

# What the first answer took tells how long a round trip takes now. Over a kept
# connection it is one; one that has to be opened first takes two, and the queue on the
# way may grow meanwhile: a fixed time after the first answer lets live engines count as
# lost.
_ROUND_TRIPS = 3.0

# The wait goes on in parts, so that a hold-up of the event loop shows whenever it
# comes. Decoding a configuration of 0.6 MB holds a small host up for 56 to 82 ms.
_WAIT_SLICE_S = 0.0125
_MAX_LOOP_DELAY_S = 0.03

# An answer that was read in the same turn of the event loop as a time-out needs a few
# turns more.
_SETTLE_S = 0.002

# When nobody answers for so long, this host can't serve, whatever the cause is.
MAX_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """What came of asking.

    :param answered: how many of those that were asked are well.
    :param lost: which of them are lost.
    :param unheard: which of them are silent as everybody else is.
    """

    healthy_count: int
    lost: frozenset[str] = frozenset()
    undecided: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _ProbeResult:
    """A sign of life, or a refusal, which somebody on the way there sent."""

    received_s: float
    healthy: bool


_ProbeTask = asyncio.Task[_ProbeResult]


class LivenessCheck:
    """One look at some backend servers.

    :param ask: asks one, by its id, and returns whether it is well. It may take as
        long as it likes, and is cancelled when no longer needed.
    """

    def __init__(self, probe: Callable[[str], Awaitable[bool]]) -> None:
        self._probe = probe
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        suspects: Iterable[str],
        near_witnesses: Iterable[str],
        far_witnesses: Iterable[str],
    ) -> Verdict:
        """Ask all of them, and judge the suspects.

        :param near: witnesses in the suspects' failure domain.
        :param far: witnesses elsewhere.
        """
        suspect_probes = {
            server_id: self._start_probe(server_id) for server_id in suspects
        }
        near_probes = [
            *suspect_probes.values(),
            *map(self._start_probe, near_witnesses),
        ]
        far_probes = [self._start_probe(server_id) for server_id in far_witnesses]
        try:
            return await self._decide(suspect_probes, near_probes, far_probes)
        finally:
            for task in (*near_probes, *far_probes):
                task.cancel()

    def _start_probe(self, server_id: str) -> _ProbeTask:
        return self._loop.create_task(self._run_probe(server_id))

    async def _run_probe(self, server_id: str) -> _ProbeResult:
        healthy = await self._probe(server_id)
        return _ProbeResult(self._loop.time(), healthy)

    async def _decide(
        self,
        suspect_probes: Mapping[str, _ProbeTask],
        near_probes: list[_ProbeTask],
        far_probes: list[_ProbeTask],
    ) -> Verdict:
        started_s = waiting_since_s = self._loop.time()
        while True:
            not_healthy = frozenset(
                host for host, task in suspect_probes.items() if not _is_healthy(task)
            )
            healthy_count = len(suspect_probes) - len(not_healthy)
            if not not_healthy:
                return Verdict(healthy_count)
            waited_s = self._loop.time() - waiting_since_s
            pending = [task for task in (*near_probes, *far_probes) if not task.done()]
            if all(suspect_probes[host].done() for host in not_healthy):
                return Verdict(healthy_count, lost=not_healthy)
            if waited_s >= self._suspect_timeout_s(near_probes, far_probes, started_s):
                return Verdict(healthy_count, lost=not_healthy)
            if self._loop.time() - started_s >= MAX_WAIT_S:
                return Verdict(healthy_count, undecided=not_healthy)
            if await self._wait_for_probe(pending):
                waiting_since_s = self._loop.time()

    def _suspect_timeout_s(
        self,
        near_probes: list[_ProbeTask],
        far_probes: list[_ProbeTask],
        started_s: float,
    ) -> float:
        """Return how long a silent suspect is given, by who else was heard.

        For ever if nobody was: the look itself ends then, without a verdict. A bound a
        little beyond its end would be reached by an event loop that runs late.
        """
        near_answer_s = _first_answer_s(near_probes)
        if near_answer_s is not None:
            return max(_MIN_NEAR_TIMEOUT_S, _ROUND_TRIPS * (near_answer_s - started_s))
        far_answer_s = _first_answer_s(far_probes)
        if far_answer_s is not None:
            return max(_MIN_FAR_TIMEOUT_S, _ROUND_TRIPS * (far_answer_s - started_s))
        return math.inf

    async def _wait_for_probe(self, pending: list[_ProbeTask]) -> bool:
        """Wait a little for an answer; return whether this process was held up."""
        slice_end_s = self._loop.time() + _WAIT_SLICE_S
        done, _ = await asyncio.wait(
            pending, timeout=_WAIT_SLICE_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            # What the loop has just read is on its way through its tasks.
            await asyncio.sleep(_SETTLE_S)
        return self._loop.time() - slice_end_s > _MAX_LOOP_DELAY_S


def _is_healthy(task: _ProbeTask) -> bool:
    return task.done() and task.result().healthy


def _first_answer_s(tasks: Iterable[_ProbeTask]) -> float | None:
    """Return when the first of some answered, or refused, if one did."""
    return min(
        (task.result().received_s for task in tasks if task.done()), default=None
    )
