"""A planned stop of an entry: until when it accepts, sends and answers requests."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import replace
from typing import Any

import pytest

from railfold._internal.core import Address
from railfold._internal.decisions.memory_quota import MemoryQuota
from railfold._internal.forwarding.requests.front import ClientExchange, ClientServer
from standins.cluster import free_port
from tests.lib.forwarding import (
    HOST,
    KEY,
    Connection,
    Deployment,
    Reply,
    begin_stream,
    read_reply,
    run_count,
    stream_body,
    until,
)

# The load balancer may send new connections until then.
BALANCER_DRAIN_S = 2.8

# How late an event loop on a busy machine may be.
LATENESS_S = 0.25


async def begin_upload(
    deployment: Deployment, path: str, request_id: str, **headers: str
) -> Connection:
    """Send a request whose body lacks its last byte."""
    connection = await deployment.connect()
    fields = {
        "Host": HOST,
        "Railfold-Attempt-Id": request_id,
        "Railfold-Deadline-Ms": "8000",
        "Railfold-Token-Counts": "10,200",
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "4",
        **headers,
    }
    lines = [f"POST {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    connection.writer.write("\r\n".join(lines).encode() + b"\r\n\r\nsli")
    await connection.writer.drain()
    return connection


async def read_reply_if_any(connection: Connection) -> Reply | None:
    """Read an answer; return None if the connection is closed before its head."""
    try:
        return await read_reply(connection)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


async def test_request_that_is_complete_late_in_a_drain_is_refused_unsent(
    deployment: Deployment,
) -> None:
    paths = {"late-1": "/draft/1", "late-2": "/slip/1", "late-3": "/tray/1"}
    uploads = {i: await begin_upload(deployment, p, i) for i, p in paths.items()}
    drain = asyncio.create_task(deployment.entry.drain())
    await asyncio.sleep(BALANCER_DRAIN_S + LATENESS_S)
    deployment.log_lines()
    for request_id, connection in uploads.items():
        connection.writer.write(b"p")
        reply = await read_reply_if_any(connection)
        assert reply is not None, f"{paths[request_id]}: closed without an answer"
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) < 1.0
        assert reply.headers["Connection"] == "close"
        assert run_count(deployment, request_id) == 0
    refused = [e for e in deployment.log_lines() if e["type"] == "request_ended"]
    assert {event["request_id"] for event in refused} == paths.keys()
    await asyncio.wait_for(drain, 5.0)


async def test_silent_store_does_not_delay_the_end_of_acceptance(
    deployment: Deployment,
) -> None:
    kept = await deployment.connect()
    await kept.ask("/tray/1", "c-1", method="GET", body=b"")
    deployment.store.mode = "silent"
    drain = asyncio.create_task(deployment.entry.drain())
    await asyncio.sleep(BALANCER_DRAIN_S + LATENESS_S)
    with pytest.raises(ConnectionError):
        await deployment.connect()
    assert kept.reader.at_eof()
    await asyncio.wait_for(drain, 5.0)


@pytest.mark.parametrize("path", ["/tray/1", "/slip/1", "/draft/1"])
async def test_running_request_gets_a_final_answer_when_the_process_exits(
    deployment: Deployment, path: str
) -> None:
    for server in (*deployment.plain, *deployment.engines):
        server.event_interval_s = 10.0
    connection = await deployment.connect()
    drain = asyncio.create_task(deployment.entry.drain())
    await asyncio.sleep(BALANCER_DRAIN_S - LATENESS_S)
    await connection.send(path, "c-1", headers={"Railfold-Deadline-Ms": "8000"})
    reply = await read_reply_if_any(connection)
    await asyncio.wait_for(drain, 5.0)
    assert run_count(deployment, "c-1") == 1
    assert reply is not None, "closed without an answer"
    assert reply.status == 502
    assert reply.complete


async def test_request_is_not_sent_again_if_its_answer_cannot_end_before_the_exit(
    deployment: Deployment,
) -> None:
    for engine in deployment.engines:
        engine.event_interval_s = 10.0
    connection = await deployment.connect()
    drain = asyncio.create_task(deployment.entry.drain())
    await asyncio.sleep(BALANCER_DRAIN_S - LATENESS_S)
    await connection.send("/draft/1", "c-1", headers={"Railfold-Deadline-Ms": "8000"})
    await asyncio.sleep(3 * LATENESS_S)
    (first,) = [e for e in deployment.engines if e.run_counts["c-1"]]
    first.crash()
    reply = await asyncio.wait_for(read_reply_if_any(connection), LATENESS_S)
    retries = dict(deployment.entry.metrics.counter_increments())
    await asyncio.wait_for(drain, 5.0)
    assert run_count(deployment, "c-1") == 1
    assert reply is not None
    assert reply.status == 502
    assert retries.get("requests.retries", 0) == 0


async def test_head_request_that_is_unfinished_at_the_exit_gets_an_answer(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.event_interval_s = 10.0
    connections = [await deployment.connect() for _ in range(4)]
    methods = ("HEAD", "GET", "HEAD", "GET")
    drain = asyncio.create_task(deployment.entry.drain())
    await asyncio.sleep(BALANCER_DRAIN_S - LATENESS_S)
    for number, connection in enumerate(connections):
        headers = {"Railfold-Deadline-Ms": "8000"}
        await connection.send(
            "/tray/1", f"c-{number}", method=methods[number], headers=headers
        )
    await asyncio.wait_for(drain, 5.0)
    for connection in connections:
        status, _ = await connection.read_head()
        assert status >= 500


async def test_refused_head_request_gets_no_body(deployment: Deployment) -> None:
    connection = await deployment.connect()
    await connection.send("/nothing/1", "c-1", method="HEAD", body=b"")
    status, headers = await connection.read_head()
    assert status == 404
    assert headers["Content-Length"] != "0"
    await connection.send("/nothing/1", "c-2", method="HEAD", body=b"")
    assert (await connection.read_head())[0] == 404


async def test_request_that_was_read_when_acceptance_ends_is_refused(
    deployment: Deployment,
) -> None:
    kept = [await deployment.connect() for _ in range(4)]
    for number, connection in enumerate(kept):
        await connection.ask("/tray/1", f"w-{number}", method="GET", body=b"")
    drain = asyncio.create_task(deployment.entry.drain())
    block_s = 0.3
    await asyncio.sleep(BALANCER_DRAIN_S - block_s + 0.02)
    for number, connection in enumerate(kept):
        await connection.send("/slip/1", f"k-{number}")
    # The event loop is late when the acceptance ends.
    time.sleep(block_s)  # noqa: ASYNC251
    for connection in kept:
        reply = await read_reply_if_any(connection)
        assert reply is not None, "closed without an answer"
        assert reply.status == 503
    assert sum(run_count(deployment, f"k-{n}") for n in range(len(kept))) == 0
    await asyncio.wait_for(drain, 5.0)


async def test_request_that_was_read_behind_a_stream_is_refused_in_a_drain(
    deployment: Deployment,
) -> None:
    for engine in deployment.engines:
        engine.event_interval_s = 0.05
    connection, _ = await begin_stream(deployment, "p-1", events=62)
    drain = asyncio.create_task(deployment.entry.drain())
    await connection.send("/slip/1", "p-2")
    assert (await read_reply(connection)).body == stream_body(62)
    reply = await read_reply_if_any(connection)
    assert reply is not None, "closed without an answer"
    assert reply.status == 503
    assert run_count(deployment, "p-2") == 0
    await asyncio.wait_for(drain, 5.0)


async def test_request_whose_answer_cannot_end_in_a_short_grace_time_is_refused(
    deployment: Deployment,
) -> None:
    entry = deployment.entry
    entry._settings = replace(entry._settings, grace_s=0.5)
    connection = await deployment.connect()
    drain = asyncio.create_task(entry.drain())
    await asyncio.sleep(0.05)
    reply = await connection.ask("/slip/1", "c-1")
    assert reply.status == 503
    assert run_count(deployment, "c-1") == 0
    await asyncio.wait_for(drain, 1.0)


class BulkHandler:
    """Answers each request with more than the kernel buffers for a connection."""

    def __init__(self) -> None:
        self.requests = 0

    def handle_request(self, exchange: ClientExchange, *request: Any) -> None:
        self.requests += 1
        exchange.reply(200, [], b"x" * 7_000_000)

    def client_disconnected(self, exchange: ClientExchange) -> None:
        pass

    def workspace_of(self, headers: Any) -> str:
        return ""


def bulk_server() -> tuple[BulkHandler, ClientServer, Address]:
    """Return a server with large answers, which doesn't listen yet."""
    handler = BulkHandler()
    address = Address("127.0.0.1", free_port())
    server = ClientServer(address, handler, MemoryQuota(100_000_000))  # type: ignore[arg-type]
    server.can_answer.set()
    return handler, server, address


async def connect_to(
    server: ClientServer, address: Address
) -> tuple[asyncio.Task[None], Connection]:
    """Run a server, and open a client's connection to it."""
    listening = asyncio.Event()
    running = asyncio.create_task(server.run(listening))
    await listening.wait()
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    return running, Connection(reader, writer)


async def test_connection_whose_answer_was_unread_at_a_stop_accepts_no_request() -> (
    None
):
    handler, server, address = bulk_server()
    running, connection = await connect_to(server, address)
    await connection.send("/tray/1", "c-1")
    await until(lambda: handler.requests == 1)
    server.stop_accepting()
    assert len((await read_reply(connection)).body) == 7_000_000
    with contextlib.suppress(ConnectionError):
        await connection.send("/tray/1", "c-2")
        assert await read_reply_if_any(connection) is None
    assert handler.requests == 1
    connection.close()
    running.cancel()


async def test_request_behind_an_answer_that_announced_the_close_is_not_run() -> None:
    handler, server, address = bulk_server()
    server.closes_connections = True
    running, connection = await connect_to(server, address)
    await connection.send("/tray/1", "c-1")
    await connection.send("/tray/1", "c-2")
    assert len((await read_reply(connection)).body) == 7_000_000
    await until(lambda: server.open_connections == 0)
    assert handler.requests == 1
    connection.close()
    running.cancel()


async def test_server_that_is_restarted_after_a_stop_does_not_listen_again() -> None:
    _, server, address = bulk_server()
    server.stop_accepting()
    running = asyncio.create_task(server.run(asyncio.Event()))
    await asyncio.sleep(0.05)
    with pytest.raises(ConnectionError):
        await asyncio.open_connection(address.ip, address.port)
    running.cancel()
