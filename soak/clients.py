"""Clients of a soak run, and what they and the backend servers may see."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.world import World
from standins.chaining_engine import SEAL
from tests.lib.forwarding import Connection, Reply, events_of

# Rules, by the names of the users' pages.
MIXED, TWICE, REFUSED, ORDER, LAYERS, DRAIN, RECOVER = (
    "MIXED",
    "TWICE",
    "REFUSED",
    "ORDER",
    "LAYERS",
    "DRAIN",
    "RECOVER",
)

# An engine that drains gets nothing later than this; the platform says 2 s, and
# the store of a run may be out at that time.
DRAIN_S = 2.0

_ANSWER_S = 6.0


@dataclass
class Observed:
    """What was seen of one run."""

    violations: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    refused_ids: set[str] = field(default_factory=set)
    unsafe_ids: set[str] = field(default_factory=set)
    served_at_s: list[float] = field(default_factory=list)

    def violated(self, rule: str, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{rule}: {what}")


class Client:
    """Sends requests one after the other, over kept connections where it can."""

    def __init__(self, name: str, world: World, seen: Observed, seed: int) -> None:
        self._name = name
        self._world = world
        self._seen = seen
        self._rng = random.Random(f"{seed}/{name}")
        self._connection: Connection | None = None
        self._number = 0
        self.stopping = False

    async def run(self) -> None:
        """Send until told to stop; a cancellation alone may get lost.

        (``asyncio.wait_for`` drops one that meets the end of what it waits for.)
        """
        while not self.stopping:
            await self._one()
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    async def _one(self) -> None:
        self._number += 1
        request_id = f"{self._name}-{self._number}"
        kind = self._rng.choice(["draft", "draft", "slip", "tray"])
        count = self._rng.randint(3, 60)
        if kind == "slip":
            self._seen.unsafe_ids.add(request_id)
        try:
            connection = await self._connect()
            options = {"method": "GET", "body": b""} if kind == "tray" else {}
            await connection.send(f"/{kind}/1", request_id, events=count, **options)
            reply = await asyncio.wait_for(connection.read(), _ANSWER_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            self._seen.outcomes["no answer"] += 1
            self._drop()
            return
        self._judge(kind, request_id, count, reply)
        if not reply.whole or reply.headers.get("Connection") == "close":
            self._drop()

    async def _connect(self) -> Connection:
        if self._connection is None:
            entry = self._rng.choice(self._world.entries)
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", entry.clients), 1.0
            )
            self._connection = Connection(reader, writer)
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _judge(self, kind: str, request_id: str, count: int, reply: Reply) -> None:
        seen = self._seen
        seen.outcomes[f"{reply.status}{'' if reply.whole else ' cut'}"] += 1
        if reply.status == 503:
            seen.refused_ids.add(request_id)
        if reply.status != 200:
            return
        if reply.headers.get("Railfold-Response-Seal") != SEAL:
            seen.violated(MIXED, f"{request_id} got a success without signature")
        if reply.headers.get("Railfold-Attempt-Id") != request_id:
            seen.violated(MIXED, f"{request_id} got another request's answer")
        if kind == "draft":
            whole = events_of(count)
            good = reply.body == whole if reply.whole else whole.startswith(reply.body)
            if not good:
                seen.violated(ORDER, f"{request_id} got a wrong stream")
        elif reply.body != f"record of {request_id}".encode():
            seen.violated(MIXED, f"{request_id} got a wrong body")
        if reply.whole:
            seen.served_at_s.append(asyncio.get_running_loop().time())


def check_servers(world: World, seen: Observed) -> None:
    """Look at what the backend servers saw, once nothing runs any more."""
    runs: Counter[str] = Counter()
    for server in world.servers:
        runs.update(server.runs)
        for problem in server.problems:
            seen.violated(LAYERS, problem)
        since_s = server.draining_since_s
        if since_s is None:
            continue
        late = [at_s for at_s in server.run_at_s if at_s > since_s + DRAIN_S]
        if late and not world.store_was_out_after(since_s):
            seen.violated(DRAIN, f"{server.server_id} got {len(late)} late requests")
    for request_id in seen.unsafe_ids:
        if runs[request_id] > 1:
            seen.violated(TWICE, f"{request_id} ran {runs[request_id]} times")
    for request_id in seen.refused_ids & seen.unsafe_ids:
        if runs[request_id]:
            seen.violated(REFUSED, f"{request_id} was refused and ran")
