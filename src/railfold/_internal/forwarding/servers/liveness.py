"""Liveness checks that tell a dead backend server from a delay at this host.

A missing answer alone doesn't prove that a server is dead. The link of this host may be
congested or its event loop delayed, so that answers which were sent in time aren't
read. For example, a host with little bandwidth that reads a large configuration gets
all answers late for half a second. Therefore other backend servers are probed at the
same time, as witnesses. A silent server counts as lost only if another server has
answered and this process has run without delay since.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

__all__ = ["MAX_WAIT_S", "LivenessCheck", "Verdict"]

# Minimum time that a suspect has to answer if a witness in its failure domain answered.
# A live engine on an idle network path answers within a few milliseconds; opening a
# connection takes one more round trip.
_MIN_NEAR_TIMEOUT_S = 0.05

# The same if only a witness in another failure domain answered. The path to the
# suspects' failure domain may be slow, which such a witness doesn't show.
_MIN_FAR_TIMEOUT_S = 0.25

# Multiple of the time of the first answer that a suspect has to answer. The first
# answer takes one round trip over an open connection. An answer over a new connection
# takes two, and queues on the path may grow meanwhile. With a fixed time after the
# first answer, live engines would count as lost.
_ROUND_TRIPS = 3.0

# The wait consists of short slices, so that a delay of the event loop is detected at
# any time. A slice that ends later than this shows a delay. Decoding a configuration of
# 0.6 MB blocks the event loop of a small host for 56 to 82 ms.
_WAIT_SLICE_S = 0.0125
_MAX_LOOP_DELAY_S = 0.03

# Time after a slice in which answers are processed that were read in the same iteration
# of the event loop as its end. They need a few more iterations.
_SETTLE_S = 0.002

# Longest duration of a check. If no server answers for so long, this host can't serve
# requests, whatever the cause is.
MAX_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a liveness check.

    :param healthy_count: number of suspects that are healthy.
    :param lost: ids of the suspects that are lost.
    :param undecided: ids of the suspects that didn't answer while no witness did.
    """

    healthy_count: int
    lost: frozenset[str] = frozenset()
    undecided: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _ProbeResult:
    """Answer to a probe, or a refusal by any host on the path to the server."""

    received_s: float
    healthy: bool


_ProbeTask = asyncio.Task[_ProbeResult]


class LivenessCheck:
    """Checks whether suspected backend servers are alive.

    :param probe: probes a server, given its id, and returns whether it is healthy. It
        needs no timeout: it is cancelled when its result isn't needed any more.
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
        """Probe all suspects and witnesses, and return the verdict on the suspects.

        :param near_witnesses: ids of servers in the suspects' failure domains.
        :param far_witnesses: ids of servers in other failure domains.
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
        """Return how long a silent suspect has to answer.

        The result depends on which servers have answered. It is infinite if none has,
        since the check then ends after ``MAX_WAIT_S`` with the suspects undecided. A
        bound a little above ``MAX_WAIT_S`` could be reached first if the event loop is
        delayed.
        """
        near_answer_s = _first_answer_s(near_probes)
        if near_answer_s is not None:
            return max(_MIN_NEAR_TIMEOUT_S, _ROUND_TRIPS * (near_answer_s - started_s))
        far_answer_s = _first_answer_s(far_probes)
        if far_answer_s is not None:
            return max(_MIN_FAR_TIMEOUT_S, _ROUND_TRIPS * (far_answer_s - started_s))
        return math.inf

    async def _wait_for_probe(self, pending: list[_ProbeTask]) -> bool:
        """Wait one slice for an answer; return whether the event loop was delayed."""
        slice_end_s = self._loop.time() + _WAIT_SLICE_S
        done, _ = await asyncio.wait(
            pending, timeout=_WAIT_SLICE_S, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            # Let the tasks process answers that the event loop has just read.
            await asyncio.sleep(_SETTLE_S)
        return self._loop.time() - slice_end_s > _MAX_LOOP_DELAY_S


def _is_healthy(task: _ProbeTask) -> bool:
    return task.done() and task.result().healthy


def _first_answer_s(tasks: Iterable[_ProbeTask]) -> float | None:
    """Return when the first answer or refusal arrived, if any did."""
    return min(
        (task.result().received_s for task in tasks if task.done()), default=None
    )
