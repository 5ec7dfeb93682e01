"""An entry that is late itself gives nobody up.

What users saw: while an operator added thousands of routes, streams broke off in
the middle of their answers, though no engine had failed; on another site requests
ran on three engines where their route allows two.

Order of events: each entry read the new configuration (0.6 to 1.1 MB). On the small
ones, with 20 Mbit/s, it filled their link for half a second or more, and decoding it
held the event loop up for 60 to 220 ms. All their streams stood still together. The
entry asked the engines whether they live; the answers queued behind the
configuration and came after 0.2 s, but were waited for 50 ms only where one engine
was asked alone. Engines that had left the store's list and served on weren't asked
at all. So engines that were well were given up, their streams were sent elsewhere,
and those that had no attempt or no retry left were cut. An attempt at an unlisted
engine wasn't counted, so that a third could follow.

Cause: silence was taken for proof, without asking whether this process could have
heard.

Evidence: logs of a calm day on which engines are replaced in turn while routes are
added. All 65 looks at silent chains were on small entries; the engines that were
given time all answered, most after 0.2 s; 18 were given up, and all 18 answered
again within 1.2 s; two streams were cut with "lost" as the cause of both of their
attempts.
"""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import replace

import pytest

from railfold._internal.core import Address
from railfold._internal.errors import EngineUnavailableError
from railfold._internal.forwarding.requests import exchange
from railfold._internal.forwarding.servers.http_client import (
    HttpConnection,
    connect,
    fetch,
)
from standins.chaining_engine import Engine
from tests.lib.forwarding import (
    Connection,
    Deployment,
    begin_stream,
    drain_other_domains,
    later_engine,
    read_reply,
    remove_registration,
    run_count,
    stream_body,
    suspected_servers,
    until,
)

EVENT_S = 0.01


async def hold_answers_up(deployment: Deployment, seconds: float) -> None:
    """Let everything that engines send come late, as behind a full link."""
    for engine in deployment.engines:
        engine.event_s = engine.report_delay_s = seconds
    await asyncio.sleep(2 * seconds)
    for engine in deployment.engines:
        engine.event_s, engine.report_delay_s = EVENT_S, 0.0


async def test_engines_are_kept_while_all_answers_come_late(
    deployment: Deployment,
) -> None:
    begun = [await begin_stream(deployment, f"s-{n}") for n in range(2)]
    await hold_answers_up(deployment, 0.4)
    assert suspected_servers(deployment) == []
    replies = await asyncio.gather(*(read_reply(connection) for connection, _ in begun))
    assert [reply.body for reply in replies] == [stream_body(60)] * 2
    assert [run_count(deployment, f"s-{n}") for n in range(2)] == [1, 1]


async def test_an_engine_that_is_asked_alone_is_kept_while_all_answers_come_late(
    deployment: Deployment,
) -> None:
    connection, engine = await begin_stream(deployment, events=200)
    for other in deployment.engines:
        other.report_delay_s = 0.15
    deployment.entry._prober.doubt(engine.server_id)
    await asyncio.sleep(0.5)
    assert suspected_servers(deployment) == []
    assert run_count(deployment, "s-1") == 1
    connection.close()


async def test_an_engine_that_left_the_list_and_serves_on_is_asked_too(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment)
    later = later_engine(deployment, first)
    remove_registration(deployment, later)
    await hold_answers_up(deployment, 0.15)
    assert (await read_reply(connection)).body == stream_body(60)
    assert run_count(deployment, "s-1") == 1


async def test_a_successor_at_its_address_is_no_sign_of_life(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment)
    (driver,) = deployment.entry.router.active
    stage = driver._destination.chain.stages[0]
    prober = deployment.entry._prober
    directory = deployment.entry.router.directory
    entry = directory.get(first.server_id)
    assert entry is not None
    remove_registration(deployment, first)
    assert await prober.calls.serves_on(stage, 0.5)
    first.layers = (4, 8)
    assert not await prober.calls.serves_on(stage, 0.5)
    first.layers = (0, 4)
    directory.register(replace(entry.registration, registered_id="i-successor"))
    assert not await prober.calls.serves_on(stage, 0.5)
    connection.close()


async def test_an_attempt_counts_though_its_engine_left_the_list(
    deployment: Deployment,
) -> None:
    # The route allows two; one that left the list serves on for seconds.
    deployment.add_engine("i-third", "hall-a", (0, 4))
    await until(deployment.all_known)
    connection, _ = await begin_stream(deployment, events=200)
    router = deployment.entry.router
    for _ in range(2):
        (driver,) = router.active
        (engine,) = [
            e
            for e in deployment.engines
            if e.server_id == driver._destination.server.host
        ]
        remove_registration(deployment, engine)
        router.report_lost(frozenset({engine.server_id}))
        await asyncio.sleep(0.2)
    assert run_count(deployment, "s-1") == 2
    connection.close()


async def check_that_it_waits(
    deployment: Deployment, connection: Connection, first: Engine
) -> None:
    """Let a later engine stand still; the stream of 200 events must outlast it."""
    later = later_engine(deployment, first)
    later.mode = "dead"
    await until(lambda: bool(suspected_servers(deployment)))
    await asyncio.sleep(0.3)
    later.mode = "ok"
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(200))
    assert run_count(deployment, "s-1") == 1


async def test_a_stream_with_nowhere_else_to_go_waits_for_its_engine(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=200)
    await drain_other_domains(deployment, first)
    await check_that_it_waits(deployment, connection, first)


async def test_a_stream_without_a_retry_left_waits_for_its_engine(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=200)
    entry = deployment.entry
    entry._on_settings(replace(entry._settings, retry_share=0.0, retry_slack=0.0))
    await asyncio.sleep(0.3)
    await check_that_it_waits(deployment, connection, first)


async def test_an_engine_is_asked_again_when_a_connection_closes(
    deployment: Deployment,
) -> None:
    # A kept connection that was idle for long may close as a probe is sent on it.
    engine = deployment.engines[0]
    engine.reports_to_drop = 1
    deployment.entry._prober.doubt(engine.server_id)
    await asyncio.sleep(0.2)
    assert engine.reports_to_drop == 0
    assert deployment.entry.metrics.counters["servers.suspected"] == 0


async def test_connections_that_come_up_late_prove_nothing(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def too_late(address: Address, timeout_s: float) -> HttpConnection:
        raise EngineUnavailableError(f"no connection to {address}")

    monkeypatch.setattr(exchange, "connect", too_late)
    reply = await deployment.ask("/draft/1", "s-1")
    assert reply.status == 503
    assert run_count(deployment, "s-1") == 0
    assert suspected_servers(deployment) == []


@pytest.fixture
def answering_server() -> Iterator[Address]:
    """A server in a thread of its own, which answers though the loop is held up."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        peer, _ = listener.accept()
        with peer:
            peer.recv(4096)
            peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            peer.recv(4096)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield Address("127.0.0.1", listener.getsockname()[1])
    listener.close()
    thread.join(2.0)


def hold_the_loop_up(seconds: float) -> None:
    """Do nothing else for some time, as while something large is decoded."""
    time.sleep(seconds)


async def test_an_answer_that_came_while_the_loop_was_held_up_counts(
    answering_server: Address,
) -> None:
    connection = await connect(answering_server, 1.0)
    asking = asyncio.create_task(fetch(connection, "GET", "/", (), b"", 0.05))
    await asyncio.sleep(0)
    hold_the_loop_up(0.2)
    response = await asking
    assert response.body == b"ok"
    connection.abort()
