"""Entry processes on slow hosts, and clients that mostly connect to one of them."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from soak.deployment import Deployment, Entry
from tests.lib.forwarding import Connection

__all__ = [
    "Clients",
    "Result",
    "is_ready",
    "overload_changes",
    "served_share",
    "slow_fleet",
]

# Clients wait this long for an answer.
_CLIENT_DEADLINE_S = 2.0
_MAX_TRIES = 4

# Enough that their connections are spread evenly.
_CLIENTS = 120
_START_TIMEOUT_S = 20.0


@asynccontextmanager
async def slow_fleet(
    entries: int, request_cost_s: float, pause_s: float = 0.0
) -> AsyncIterator[Deployment]:
    """Run entry processes to which each request costs a known time.

    :param pause_s: how long their event loops are blocked once a second.
    """
    deployment = Deployment()
    arguments = (str(request_cost_s * 1000.0), str(pause_s * 1000.0))
    command = ("-m", "tests.lib.slow_entry", *arguments)
    await deployment.start(entries, command)
    try:
        await asyncio.gather(*(_until_ready(entry) for entry in deployment.entries))
        await asyncio.sleep(1.5)  # The entries learn about each other.
        yield deployment
    finally:
        await deployment.stop()


async def _until_ready(entry: Entry) -> None:
    async with asyncio.timeout(_START_TIMEOUT_S):
        while not await is_ready(entry):  # noqa: ASYNC110 - another process.
            await asyncio.sleep(0.1)


async def is_ready(entry: Entry) -> bool:
    """Return whether an entry answers a readiness probe within a second with 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", entry.ready)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


@dataclass
class _Idle:
    entry: int
    connection: Connection
    uses: int


@dataclass
class Result:
    """How one request went.

    :param unread: how many tries were refused or closed without an answer.
    :param entry: the entry that read it first, if any did.
    :param status: of that entry's answer; 0 if there was no complete one in time.
    """

    started_s: float
    unread: int = 0
    entry: int | None = None
    status: int = 0
    duration_s: float = 0.0


@dataclass
class Clients:
    """Clients that begin requests at a steady rate, whether or not others have ended.

    :param busy_entry: gets ``busy_share`` of the new connections, if any is given.
    :param uses: how many requests a client sends over one connection.
    """

    deployment: Deployment
    rate_per_s: float
    busy_entry: int | None = None
    busy_share: float = 0.85
    uses: int = 5
    seed: int = 1
    results: list[Result] = field(default_factory=list)
    misses: list[int] = field(default_factory=list)
    _idle: list[_Idle | None] = field(default_factory=lambda: [None] * _CLIENTS)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self.misses = [0] * len(self.deployment.entries)

    @property
    def _in(self) -> list[int]:
        return [n for n, misses in enumerate(self.misses) if misses < 2]

    async def probe_readiness(self) -> None:
        """Probe the entries once a second; ones that miss two get no connections."""
        while True:
            probes = [is_ready(entry) for entry in self.deployment.entries]
            for number, ready in enumerate(await asyncio.gather(*probes)):
                self.misses[number] = 0 if ready else self.misses[number] + 1
            await asyncio.sleep(1.0)

    async def run(self, duration_s: float) -> list[Result]:
        """Begin requests for a time; return the results of these once all ended."""
        loop = asyncio.get_running_loop()
        started_s = next_s = loop.time()
        tasks = []
        while next_s < started_s + duration_s:
            await asyncio.sleep(next_s - loop.time())
            tasks.append(asyncio.create_task(self._request()))
            next_s += self._rng.expovariate(self.rate_per_s)
        return await asyncio.gather(*tasks)

    async def _request(self) -> Result:
        loop = asyncio.get_running_loop()
        result = Result(loop.time())
        number = len(self.results)
        self.results.append(result)
        tried: set[int] = set()
        # Of the clients without a request in flight.
        client = None
        if self._idle:
            client = self._idle.pop(self._rng.randrange(len(self._idle)))
        for _ in range(_MAX_TRIES):
            idle = client or await self._connection(tried)
            client = None
            if idle is not None:
                tried.add(idle.entry)
                if await self._try(idle, f"u-{self.seed}-{number}", result):
                    client = idle if idle.uses < self.uses else None
                    break
            result.unread += 1
        self._idle.append(client)
        result.duration_s = loop.time() - result.started_s
        return result

    async def _connection(self, tried: set[int]) -> _Idle | None:
        others = [n for n in self._in if n not in tried]
        if not others:
            return None
        entry = self._rng.choice(others)
        if self.busy_entry is not None and self.busy_entry not in self._in:
            self.busy_entry = self._rng.choice(list(self._in))
        if self.busy_entry in others and self._rng.random() < self.busy_share:
            entry = self.busy_entry
        try:
            async with asyncio.timeout(_CLIENT_DEADLINE_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.deployment.entries[entry].clients
                )
        except (OSError, TimeoutError):
            tried.add(entry)
            return None
        return _Idle(entry, Connection(reader, writer), 0)

    async def _try(self, idle: _Idle, request_id: str, result: Result) -> bool:
        """Send a request; return whether the entry read it."""
        connection = idle.connection
        idle.uses += 1
        try:
            async with asyncio.timeout(_CLIENT_DEADLINE_S):
                await connection.send(
                    "/tray/1",
                    request_id,
                    method="GET",
                    body=b"",
                    headers={"Railfold-Deadline-Ms": "2000"},
                )
                reply = await connection.read()
        except TimeoutError:
            result.entry = idle.entry
            idle.uses = self.uses
            connection.close()
            return True
        except (OSError, asyncio.IncompleteReadError):
            connection.close()
            return False
        result.entry = idle.entry
        result.status = reply.status
        if reply.headers.get("Connection") == "close":
            idle.uses = self.uses
        if idle.uses >= self.uses:
            connection.close()
        return True

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle:
            if idle is not None:
                idle.connection.close()


def overload_changes(deployment: Deployment, entry: Entry) -> list[bool]:
    """Return what an entry logged about its overload, oldest first."""
    lines = (deployment.folder / f"{entry.name}.log").read_text().splitlines()
    return [
        json.loads(line)["event"]["overloaded"]
        for line in lines
        if '"overload_changed"' in line
    ]


def served_share(results: list[Result]) -> float:
    """Return the share of requests served at the first try that an entry read."""
    read = [result for result in results if result.entry is not None]
    return sum(result.status == 200 for result in read) / max(1, len(read))
