"""Backend servers whose answers announce that they leave.

Guards against new requests that are sent to such a server, and are lost when it ends.
The registration of the server may still say that it is ready.
"""

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

# An entry may send no request to a leaving server from this time after it passed on the
# first answer that announces the departure.
DRAIN_S = 2.0


@pytest.mark.parametrize("path", ROUTES)
async def test_server_that_says_it_leaves_gets_new_requests_after_the_drain_time(
    path: str,
) -> None:
    """One of the two servers of a route leaves without changing its registration."""
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
    """Return the ids of requests that reached a leaving server after the drain time."""
    notified_s: dict[int, float] = {}
    for request in load.sent:
        has_announcement = (
            request.reply is not None and "Server-Leaving" in request.reply.headers
        )
        if has_announcement and request.head_received_s is not None:
            earlier_s = notified_s.get(request.entry, float("inf"))
            notified_s[request.entry] = min(earlier_s, request.head_received_s)
    return [
        request.request_id
        for request in load.sent
        if request.request_id in {a.request_id for a in server.arrivals}
        and request.sent_s
        > notified_s.get(entry_of(request.request_id), float("inf")) + DRAIN_S
    ]


async def test_running_streams_of_leaving_server_continue(
    deployment: Deployment,
) -> None:
    connection, engine = await begin_stream(deployment, events=100)
    engine.leaving = True
    for number in range(12):
        assert (await deployment.ask(STREAM, f"n-{number}")).status == 200
    assert len(engine.arrivals) <= 2
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))
    assert not engine.cancelled


async def test_leaving_server_gets_no_requests_during_store_outage(
    deployment: Deployment,
) -> None:
    server = deployment.plain[0]
    deployment.store.mode = "out"
    server.leaving = True
    for number in range(12):
        assert (await deployment.ask(SAFE, f"c-{number}")).status == 200
    assert len(server.arrivals) <= 1


async def test_registration_as_ready_doesnt_cancel_announced_departure(
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


async def test_new_incarnation_of_leaving_server_gets_requests(
    deployment: Deployment,
) -> None:
    server = await keep_one_plain_server(deployment, born=5_000)
    server.leaving = True
    assert (await deployment.ask(SAFE, "c-1")).status == 200
    assert (await deployment.ask(SAFE, "c-2")).status == 503
    await server.restart(born=6_000)
    await until(deployment.all_known)
    assert (await deployment.ask(SAFE, "c-3")).status == 200


async def test_entries_without_calls_to_leaving_later_stage_are_notified(
    two_entries: Deployment,
) -> None:
    """Only one entry gets the announcement, in the answer to its report call."""
    deployment = two_entries
    entries = deployment.entries
    await until(functools.partial(all_know_peers, entries))
    first = deployment.first_stage_engines[0]
    later = later_engine(deployment, first)
    later.leaving = True
    notifying_entry, notified_entry = (
        entry.router.directory.get(later.server_id) for entry in entries
    )
    assert notifying_entry is not None
    assert notified_entry is not None
    await entries[0]._prober.calls.report(*stages_of([notifying_entry]))
    assert not notifying_entry.routable
    await until(lambda: not notified_entry.routable)
    for number in range(12):
        assert (await deployment.ask(STREAM, f"s-{number}")).status == 200
    chains = [
        seen["Railfold-Hop-Count"]
        for e in deployment.engines
        for seen in e.received_headers
    ]
    assert len(chains) == 12
    assert not any(later.address in chain for chain in chains)
    lines = deployment.log_lines()
    changes = [e for e in lines if e["type"] == "engine_changed"]
    announced_ids = [
        e["server_id"] for e in changes if "say that it leaves" in e["cause"]
    ]
    assert set(announced_ids) == {later.server_id}
