"""A backend server whose answers say that it leaves gets no new requests."""

from __future__ import annotations

import asyncio
import random

from standins.chaining_engine import Engine
from tests.lib.forwarding import Deployment, running
from tests.lib.limits import Load, entry_of

STREAM, SAFE, UNSAFE = "/draft/1", "/tray/1", "/slip/1"
ROUTES = (STREAM, SAFE, UNSAFE)

PER_S = 24.0

# From so long after an entry's first answer that says so, it may send nothing there.
DRAIN_S = 2.0


async def test_server_that_says_it_leaves_gets_new_requests_after_the_drain_time() -> (
    None
):
    await asyncio.gather(*(play_one_of_two(path) for path in ROUTES))


async def play_one_of_two(path: str) -> None:
    """Let one of two servers leave that requests of a route begin at.

    Its registration doesn't tell.
    """
    async for deployment in running(Deployment(entry_count=3)):
        servers = deployment.first_engines if path == STREAM else deployment.plain
        server = servers[0]
        load = Load(deployment, path, PER_S, rng=random.Random(5))
        sending = asyncio.create_task(load.send(6.0))
        await asyncio.sleep(1.0)
        server.leaving = True
        leaving_s = asyncio.get_running_loop().time()
        await sending
        await load.ended()
        assert sends_after_drain(load, server) == []
        sent = load.since(leaving_s, leaving_s + 6.0)
        assert sum(1 for r in sent if r.served) >= 0.95 * len(sent)


def sends_after_drain(load: Load, server: Engine) -> list[str]:
    """Return the requests that reached a leaving server too late."""
    told_s: dict[int, float] = {}
    for request in load.sent:
        said = request.reply is not None and "Server-Leaving" in request.reply.headers
        if said and request.first_s is not None:
            before_s = told_s.get(request.entry, float("inf"))
            told_s[request.entry] = min(before_s, request.first_s)
    return [
        request.request_id
        for request in load.sent
        if request.request_id in {a.request_id for a in server.arrivals}
        and request.sent_s
        > told_s.get(entry_of(request.request_id), float("inf")) + DRAIN_S
    ]
