"""Telling a dead backend server from a host that can't hear it.

Silence alone proves nothing: this host's own link may be full, or its event loop
held up, so that answers which were sent in time wait unread. Entries with 20 Mbit/s
that read a configuration of 1.1 MB heard their engines only after 0.2 s and more, for
half a second; with a time-out of 50 ms they gave up 18 engines that were well, in one
run each on two deployments. So other backend servers are asked at the same time, as
witnesses: one that stays silent is lost only once somebody else was heard, and this
process ran on time since.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass

__all__ = ["LONGEST_WAIT_S", "LivenessCheck", "Verdict"]

# A live engine answers its report within a few milliseconds, also under load; a
# connection takes one round trip more.
_ANSWER_S = 0.05

# What the first answer took tells how long a round trip takes now. Over a kept
# connection it is one; one that has to be opened first takes two, and the queue on the
# way may grow meanwhile. With all given 30 ms after the first answer, 128 engines that
# were well were given up in one run each on two deployments.
_ROUND_TRIPS = 3.0

# How often it is looked again while nobody was heard.
_TICK_S = 0.03

# The event loop's own delay that makes a silence prove nothing.
_LOOP_LATE_S = 0.03

# An answer that was read in the same turn of the event loop as a time-out needs a few
# turns more.
_SETTLE_S = 0.002

# When nobody answers for so long this host can't serve, whatever the cause is, and
# clients are better told so at once.
LONGEST_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """What came of asking.

    :param answered: how many of those that were asked answered.
    """

    answered: int
    lost: frozenset[str]


# Asks one backend server, and returns whether it is well; it may take as long as it
# likes and is cancelled when no longer needed.
Ask = Callable[[str], Awaitable[bool]]


class LivenessCheck:
    """One look at some backend servers.

    :param ask: asks one, by its id.
    """

    def __init__(self, ask: Ask) -> None:
        self._ask = ask
        self._loop = asyncio.get_running_loop()

    async def run(self, suspects: Iterable[str], witnesses: Iterable[str]) -> Verdict:
        """Ask all of them; return which suspects are lost."""
        asked = {server_id: self._start(server_id) for server_id in suspects}
        others = [self._start(server_id) for server_id in witnesses]
        try:
            lost = await self._conclude(asked, others)
        finally:
            for task in (*asked.values(), *others):
                task.cancel()
        answered = sum(_well_since_s(task) is not None for task in asked.values())
        return Verdict(answered, lost)

    def _start(self, server_id: str) -> asyncio.Task[float | None]:
        return self._loop.create_task(self._answer_s(server_id))

    async def _answer_s(self, server_id: str) -> float | None:
        """Return when it answered, or nothing if it isn't well."""
        well = await self._ask(server_id)
        return self._loop.time() if well else None

    async def _conclude(
        self,
        asked: Mapping[str, asyncio.Task[float | None]],
        others: list[asyncio.Task[float | None]],
    ) -> frozenset[str]:
        tasks = [*asked.values(), *others]
        started_s = self._loop.time()
        due_s = started_s + _ANSWER_S
        while True:
            now_s = self._loop.time()
            missing = frozenset(h for h, t in asked.items() if _well_since_s(t) is None)
            silent = any(not asked[host].done() for host in missing)
            pending = [task for task in tasks if not task.done()]
            if not missing or not pending or now_s - started_s >= LONGEST_WAIT_S:
                return missing
            heard_s = [at_s for at_s in map(_well_since_s, tasks) if at_s is not None]
            if heard_s:
                round_trip_s = min(heard_s) - started_s
                due_s = max(due_s, started_s + _ROUND_TRIPS * round_trip_s)
                if not silent or now_s >= due_s:
                    return missing
            if await self._wait(pending, due_s):
                due_s = self._loop.time() + _ANSWER_S

    async def _wait(
        self, pending: list[asyncio.Task[float | None]], due_s: float
    ) -> bool:
        """Wait for the next answer; return whether this process was held up."""
        until_s = max(due_s, self._loop.time() + _TICK_S)
        done, _ = await asyncio.wait(
            pending,
            timeout=until_s - self._loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            # What the loop has just read is on its way through its tasks.
            await asyncio.sleep(_SETTLE_S)
        return self._loop.time() - until_s > _LOOP_LATE_S


def _well_since_s(task: asyncio.Task[float | None]) -> float | None:
    """Return when a backend server's answer came, if one did."""
    if not task.done() or task.cancelled():
        return None
    return task.result()
