"""A client whose request ends each server that runs it, and others beside it."""

from __future__ import annotations

import asyncio
import random
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

# Events of the streams of other clients: 0.2 s of them.
OTHERS_EVENTS = 20


@dataclass(repr=False)
class CrashingFleet:
    """Lets a deployment's servers crash on one body, and come back empty.

    :param crashes_s: when each server ended.
    """

    deployment: Deployment
    crashes_s: list[float] = field(default_factory=list)
    gone: list[Engine] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def arm(self) -> None:
        """Let all servers crash on the body from now on."""
        for server in (*self.deployment.engines, *self.deployment.plain):
            self._arm(server)

    def _arm(self, server: Engine) -> None:
        server.crash_body = POISON_BODY
        server.on_crash = self._crashed

    def _crashed(self, server: Engine) -> None:
        self.crashes_s.append(asyncio.get_running_loop().time())
        task = asyncio.get_running_loop().create_task(self._replace(server))
        self._tasks.add(task)

    async def _replace(self, server: Engine) -> None:
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
    replies: list[Reply | None] = field(default_factory=list)
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

    async def keep_sending(self, name: str, for_s: float) -> None:
        """Send requests of which no two are the same, one after the other."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        number = 0
        while loop.time() < end_s:
            number += 1
            request_id = f"{name}-{number}"
            await self.send(request_id, request_id.encode(), OTHERS_EVENTS)
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

    def served_share_since(self, since_s: float) -> float:
        """Return which share of the requests that ended since then was served."""
        served = sum(1 for at_s in self.served_at_s if at_s >= since_s)
        failed = sum(1 for at_s in self.failed_at_s if at_s >= since_s)
        return served / max(1, served + failed)


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
