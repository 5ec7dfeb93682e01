"""A client whose request ends each server that runs it, and others beside it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field

from standins.chaining_engine import Engine
from tests.lib.forwarding import Deployment, Reply, until

# Ends each backend server that runs it.
POISON_BODY = b"ends whoever runs it"

# A crashed server's registration lapses, and it is back with a new id, after these.
LAPSE_S = 1.0
BACK_S = 1.5

# How often the client sends its request anew, and how long it reads its answer.
RESEND_S = 0.15
READ_S = 2.0

# How often clients send whose requests come often, whatever becomes of them.
OFTEN_S = 0.1

# Events of the streams of other clients: 0.2 s of them.
OTHERS_EVENTS = 20


@dataclass(repr=False)
class CrashingFleet:
    """Lets a deployment's servers crash on one body, and come back empty.

    :param crashes_s: when each server ended.
    :param same_id: whether a server comes back at its address under its id with a later
        start, instead of under a new id.
    """

    deployment: Deployment
    same_id: bool = False
    crashes_s: list[float] = field(default_factory=list)
    gone: list[Engine] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def arm(self) -> None:
        """Let all servers crash on the body from now on."""
        for server in (*self.deployment.engines, *self.deployment.plain):
            self._arm(server)

    def _arm(self, server: Engine) -> None:
        if self.same_id and server.born is None:
            server.born = _unix_time_ms()
            server.register()
        server.crash_body = POISON_BODY
        server.on_crash = self._crashed

    def _crashed(self, server: Engine) -> None:
        self.crashes_s.append(asyncio.get_running_loop().time())
        task = asyncio.get_running_loop().create_task(self._replace(server))
        self._tasks.add(task)

    async def _replace(self, server: Engine) -> None:
        if self.same_id:
            await asyncio.sleep(BACK_S)
            server.start_again(_unix_time_ms())
            return
        await asyncio.sleep(LAPSE_S)
        server.deregister()
        await asyncio.sleep(BACK_S - LAPSE_S)
        deployment = self.deployment
        group = deployment.engines if server.model else deployment.plain
        group.remove(server)
        self.gone.append(server)
        name = f"{server.server_id}-again"
        if server.model:
            successor = deployment.add_engine(name, server.zone, None)
        else:
            successor = deployment.add_plain(name, server.zone)
        self._arm(successor)

    @property
    def servers(self) -> list[Engine]:
        """All servers there ever were."""
        return [*self.deployment.engines, *self.deployment.plain, *self.gone]

    def arrivals_s(self, prefix: str) -> list[float]:
        """Return when requests whose ids begin so reached servers, in order."""
        found = [
            arrival.at_s
            for server in self.servers
            for arrival in server.arrivals
            if arrival.request_id.startswith(prefix)
        ]
        return sorted(found)

    async def stop(self) -> None:
        """End what is under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@dataclass(repr=False)
class Sender:
    """Sends requests to entries drawn by chance, and keeps what came of them."""

    deployment: Deployment
    path: str
    rng: random.Random
    events: int = OTHERS_EVENTS
    replies: list[Reply | None] = field(default_factory=list)
    refused_at_s: list[float] = field(default_factory=list)
    served_at_s: list[float] = field(default_factory=list)
    failed_at_s: list[float] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def resend(self, body: bytes, for_s: float) -> None:
        """Send the same request again and again, each under an id of its own."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        number = 0
        while loop.time() < end_s:
            number += 1
            task = loop.create_task(self.send(f"poison-{number}", body, 50))
            self._tasks.add(task)
            await asyncio.sleep(RESEND_S)
        await asyncio.gather(*self._tasks)

    async def send_often(self, name: str, body: bytes | None, for_s: float) -> None:
        """Send requests ten times a second, of one body or each of another one."""
        loop = asyncio.get_running_loop()
        for number in range(int(for_s / OFTEN_S)):
            request_id = f"{name}-{number}"
            sent = self.send(request_id, body or request_id.encode(), self.events)
            self._tasks.add(loop.create_task(sent))
            await asyncio.sleep(OFTEN_S)
        await asyncio.gather(*self._tasks)

    async def send_after_each_answer(self, body: bytes, for_s: float) -> None:
        """Send the same request again a moment after each answer."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        number = 0
        while loop.time() < end_s:
            number += 1
            await self.send(f"poison-{number}", body, 50)
            await asyncio.sleep(RESEND_S)

    @property
    def longest_refused_s(self) -> float:
        """For how long requests were refused as ones that end servers."""
        longest_s = since_s = last_s = 0.0
        for at_s in sorted(self.refused_at_s):
            if at_s - last_s > 3 * OFTEN_S:
                since_s = at_s
            last_s = at_s
            longest_s = max(longest_s, last_s - since_s)
        return longest_s

    async def keep_sending(self, name: str, for_s: float) -> None:
        """Send requests of which no two are the same, one after the other."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        number = 0
        while loop.time() < end_s:
            number += 1
            request_id = f"{name}-{number}"
            await self.send(request_id, request_id.encode(), self.events)
            await asyncio.sleep(0.05)

    async def send(self, request_id: str, body: bytes, events: int) -> None:
        """Send one request, and note what came of it."""
        number = self.rng.randrange(self.deployment.entry_count)
        connection = await self.deployment.connect(number)
        reply: Reply | None = None
        try:
            await connection.send(self.path, request_id, body=body, events=events)
            reply = await _within(connection.read(), READ_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            reply = None
        finally:
            connection.close()
        self.replies.append(reply)
        now_s = asyncio.get_running_loop().time()
        served = reply is not None and reply.status == 200 and reply.whole
        (self.served_at_s if served else self.failed_at_s).append(now_s)
        if reply is not None and b"repeated_crashes" in reply.body:
            self.refused_at_s.append(now_s)

    def served_share_since(self, since_s: float) -> float:
        """Return which share of the requests that ended since then was served."""
        served = sum(1 for at_s in self.served_at_s if at_s >= since_s)
        failed = sum(1 for at_s in self.failed_at_s if at_s >= since_s)
        return served / max(1, served + failed)


def _unix_time_ms() -> int:
    return time.time_ns() // 1_000_000


async def _within(reply: Awaitable[Reply], timeout_s: float) -> Reply:
    async with asyncio.timeout(timeout_s):
        return await reply


@dataclass(repr=False)
class Outcome:
    """What became of a poison request and of others beside it."""

    fleet: CrashingFleet
    poison: Sender
    others: list[Sender]
    ended_s: float

    def late_sends(self, contact_s: float) -> int:
        """Return how often it was sent later than that after the third crash."""
        crashes_s = sorted(self.fleet.crashes_s)
        if len(crashes_s) < 3:
            return 0
        since_s = crashes_s[2] + contact_s
        return sum(1 for at_s in self.fleet.arrivals_s("poison") if at_s > since_s)

    def others_served(self, last_s: float) -> float:
        """Return which share of the others' requests was served at the end."""
        shares = [s.served_share_since(self.ended_s - last_s) for s in self.others]
        return sum(shares) / len(shares)

    def late_crashes(self, after_s: float) -> int:
        """Return how many servers ended later than that after the third one."""
        crashes_s = sorted(self.fleet.crashes_s)
        return sum(1 for at_s in crashes_s[3:] if at_s > crashes_s[2] + after_s)


async def play(
    deployment: Deployment, path: str, for_s: float, *, others: int = 4
) -> Outcome:
    """Resend a poison request for some time, beside other clients."""
    await until(lambda: all(entry.recognizes_requests for entry in deployment.entries))
    fleet = CrashingFleet(deployment)
    fleet.arm()
    rng = random.Random(1)
    poison = Sender(deployment, path, rng)
    beside = [Sender(deployment, path, rng) for _ in range(others)]
    try:
        await asyncio.gather(
            poison.resend(POISON_BODY, for_s),
            *(s.keep_sending(f"c{n}", for_s) for n, s in enumerate(beside)),
        )
    finally:
        await fleet.stop()
    ended_s = asyncio.get_running_loop().time()
    return Outcome(fleet, poison, beside, ended_s)


async def play_beside_popular(
    deployment: Deployment, path: str, for_s: float, *, same_id: bool, after_s: float
) -> Outcome:
    """Resend a poison request beside a popular innocent one and single ones.

    :param after_s: how much later than the others it comes.
    :return: what became of them; of the others the first is the popular one.
    """
    fleet = CrashingFleet(deployment, same_id=same_id)
    fleet.arm()
    for server in fleet.servers:
        server.crash_after_s = 0.05
        server.event_s = 0.01 if server.model else 0.1
    await until(lambda: all(map(deployment.all_known, deployment.entries)))
    rng = random.Random(1)
    poison, popular, single = (
        Sender(deployment, path, rng, events=30) for _ in range(3)
    )

    async def resend() -> None:
        await asyncio.sleep(after_s)
        await poison.send_after_each_answer(POISON_BODY, for_s - after_s)

    try:
        await asyncio.gather(
            resend(),
            popular.send_often("popular", b"the same for all", for_s),
            single.send_often("single", None, for_s),
        )
    finally:
        await fleet.stop()
    ended_s = asyncio.get_running_loop().time()
    return Outcome(fleet, poison, [popular, single], ended_s)
