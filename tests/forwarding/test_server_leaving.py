"""A backend server whose answers say that it leaves gets no new requests."""

from __future__ import annotations

import asyncio
import functools
import random

import pytest

from railfold._internal.forwarding.servers.engine_calls import stages_of
from standins.chaining_engine import Engine
from tests.lib.forwarding import (
    Deployment,
    begin_stream,
    keep_one_plain_server,
    later_engine,
    read_reply,
    remove_registration,
    running,
    stream_body,
    until,
)
from tests.lib.limits import ClientLoad, all_know_peers, entry_of

STREAM, SAFE, UNSAFE = "/draft/1", "/tray/1", "/slip/1"
ROUTES = (STREAM, SAFE, UNSAFE)

PER_S = 24.0

# From so long after an entry's first answer that says so, it may send nothing there.
DRAIN_S = 2.0


@pytest.mark.parametrize("path", ROUTES)
async def test_server_that_says_it_leaves_gets_new_requests_after_the_drain_time(
    path: str,
) -> None:
    """One of two servers of a route leaves, and its registration doesn't tell."""
    async for deployment in running(Deployment(entry_count=3)):
        servers = deployment.first_stage_engines if path == STREAM else deployment.plain
        server = servers[0]
        load = ClientLoad(deployment, path, PER_S, rng=random.Random(5))
        sending = asyncio.create_task(load.send(6.0))
        await asyncio.sleep(1.0)
        server.leaving = True
        leaving_s = asyncio.get_running_loop().time()
        await sending
        await load.wait_for_replies()
        assert sends_after_drain(load, server) == []
        sent = load.sent_between(leaving_s, leaving_s + 6.0)
        assert sum(1 for r in sent if r.served) >= 0.95 * len(sent)


def sends_after_drain(load: ClientLoad, server: Engine) -> list[str]:
    """Return the requests that reached a leaving server too late."""
    told_s: dict[int, float] = {}
    for request in load.sent:
        said = request.reply is not None and "Server-Leaving" in request.reply.headers
        if said and request.head_received_s is not None:
            before_s = told_s.get(request.entry, float("inf"))
            told_s[request.entry] = min(before_s, request.head_received_s)
    return [
        request.request_id
        for request in load.sent
        if request.request_id in {a.request_id for a in server.arrivals}
        and request.sent_s
        > told_s.get(entry_of(request.request_id), float("inf")) + DRAIN_S
    ]


async def test_its_running_streams_go_on(deployment: Deployment) -> None:
    connection, engine = await begin_stream(deployment, events=100)
    engine.leaving = True
    for number in range(12):
        assert (await deployment.ask(STREAM, f"n-{number}")).status == 200
    assert len(engine.arrivals) <= 2
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))
    assert not engine.cancelled


async def test_it_gets_none_while_the_store_is_away(deployment: Deployment) -> None:
    server = deployment.plain[0]
    deployment.store.mode = "out"
    server.leaving = True
    for number in range(12):
        assert (await deployment.ask(SAFE, f"c-{number}")).status == 200
    assert len(server.arrivals) <= 1


async def test_a_registration_that_says_ready_doesnt_take_it_back(
    deployment: Deployment,
) -> None:
    server = deployment.plain[0]
    server.leaving = True
    directory = deployment.entry.router.directory
    while not server.arrivals:
        await deployment.ask(SAFE, "c-1")
    server.register()
    remove_registration(deployment, server)
    server.store.put("keyed.servers", "i-other", None)
    server.register()
    await until(lambda: directory.get(server.server_id) is not None)
    for number in range(12):
        assert (await deployment.ask(SAFE, f"d-{number}")).status == 200
    assert len(server.arrivals) == 1


async def test_another_incarnation_gets_new_requests(deployment: Deployment) -> None:
    server = await keep_one_plain_server(deployment, born=5_000)
    server.leaving = True
    assert (await deployment.ask(SAFE, "c-1")).status == 200
    assert (await deployment.ask(SAFE, "c-2")).status == 503
    await server.restart(born=6_000)
    await until(deployment.all_known)
    assert (await deployment.ask(SAFE, "c-3")).status == 200


async def test_entries_that_dont_talk_to_a_later_stage_hear_that_it_leaves(
    two_entries: Deployment,
) -> None:
    """Only answers to reports tell it, which one entry asks for."""
    deployment = two_entries
    entries = deployment.entries
    await until(functools.partial(all_know_peers, entries))
    first = deployment.first_stage_engines[0]
    later = later_engine(deployment, first)
    later.leaving = True
    asking, hearing = (entry.router.directory.get(later.server_id) for entry in entries)
    assert asking is not None
    assert hearing is not None
    await entries[0]._prober.calls.report(*stages_of([asking]))
    assert not asking.routable
    await until(lambda: not hearing.routable)
    for number in range(12):
        assert (await deployment.ask(STREAM, f"s-{number}")).status == 200
    chains = [seen["Railfold-Hop-Count"] for e in deployment.engines for seen in e.seen]
    assert len(chains) == 12
    assert not any(later.address in chain for chain in chains)
    lines = deployment.log_lines()
    changes = [e for e in lines if e["type"] == "engine_changed"]
    said = [e["server_id"] for e in changes if "say that it leaves" in e["cause"]]
    assert set(said) == {later.server_id}
