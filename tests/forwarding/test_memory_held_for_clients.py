"""The memory that an entry holds for its clients is bounded.

Many large request bodies, or answers to clients that read slowly, could otherwise use
up the memory of the host. One workspace could also take the memory from all others.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from standins import chaining_engine
from standins.chaining_engine import SEAL
from tests.lib.forwarding import (
    KEY,
    Connection,
    Deployment,
    configuration,
    read_reply,
    running,
    until,
    until_version,
)

# A fifth of the memory may be held for clients: 2 MiB.
MEMORY_BYTES = 10 * 1024 * 1024
MAX_HELD_BYTES = MEMORY_BYTES // 5
BODY = b"x" * 300_000
ANSWER_BYTES = 12_000_000

FLOOD_KEY = "key-of-flood"


@pytest.fixture
async def small_host() -> AsyncIterator[Deployment]:
    """Start a deployment whose entry has little memory, with a second workspace."""
    async for deployment in running(Deployment(memory_bytes=MEMORY_BYTES)):
        tenants = [
            {"name": "quality", "api_keys": [KEY], "priority": 1},
            {"name": "flood", "api_keys": [FLOOD_KEY], "priority": 1},
        ]
        changed = configuration(2, tenants=tenants)
        deployment.store.put("keyed.op", "config", changed)
        await until_version(deployment, 2)
        yield deployment


def held_bytes(deployment: Deployment) -> int:
    return deployment.entry._memory_quota.total_bytes


async def flood(deployment: Deployment, count: int) -> list[Connection]:
    """Send requests of one workspace with large bodies to servers that don't answer."""
    for server in deployment.plain:
        server.mode = "dead"
    connections = [await deployment.connect() for _ in range(count)]
    for number, connection in enumerate(connections):
        await connection.send("/slip/1", f"f-{number}", key=FLOOD_KEY, body=BODY)
    return connections


async def test_bodies_of_one_workspace_leave_memory_for_another(
    small_host: Deployment,
) -> None:
    connections = await flood(small_host, 10)
    await until(lambda: held_bytes(small_host) > MAX_HELD_BYTES / 3)
    for server in small_host.plain:
        server.mode = "ok"
    reply = await small_host.ask("/slip/1", "c-1", body=BODY)
    assert reply.status == 200
    assert held_bytes(small_host) <= MAX_HELD_BYTES
    for connection in connections:
        connection.close()
    await until(lambda: held_bytes(small_host) == 0)


async def test_body_beyond_the_memory_limit_is_refused_as_not_run(
    small_host: Deployment,
) -> None:
    connections = await flood(small_host, 3)
    await until(lambda: held_bytes(small_host) >= 3 * len(BODY))
    reply = await small_host.ask("/slip/1", "f-9", key=FLOOD_KEY, body=BODY)
    assert reply.status == 503
    assert b"memory_short" in reply.body
    assert float(reply.headers["Retry-After"]) > 0
    assert not any(server.run_counts["f-9"] for server in small_host.plain)
    for connection in connections:
        connection.close()


async def test_connection_stays_usable_after_a_refused_body(
    small_host: Deployment,
) -> None:
    connections = await flood(small_host, 3)
    await until(lambda: held_bytes(small_host) >= 3 * len(BODY))
    refused = await small_host.connect()
    reply = await refused.ask("/slip/1", "f-9", key=FLOOD_KEY, body=BODY)
    assert reply.status == 503
    for connection in connections:
        connection.close()
    for server in small_host.plain:
        server.mode = "ok"
    await until(lambda: held_bytes(small_host) == 0)
    assert (await refused.ask("/slip/1", "f-10", key=FLOOD_KEY)).status == 200


async def write_long_answer(handler: chaining_engine._Request, request_id: str) -> None:
    handler.set_header("Railfold-Response-Seal", SEAL)
    handler.set_header("Railfold-Attempt-Id", request_id)
    handler.set_header("Content-Length", str(ANSWER_BYTES))
    for _ in range(ANSWER_BYTES // 100_000):
        handler.write(b"y" * 100_000)
        await handler.flush()
    handler.finish()


async def test_answer_is_read_from_the_server_at_the_pace_of_the_client(
    small_host: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An answer must not be read from its server faster than its client reads it.

    Otherwise the entry holds the rest of the answer, and has to cut the client off once
    8 MiB of it are held.
    """
    monkeypatch.setattr(chaining_engine._Request, "_plain", write_long_answer)
    connection = await small_host.connect()
    await connection.send("/tray/1", "c-1")
    await until(lambda: small_host.entry.metrics.counters["answers.paused"] > 0)
    await asyncio.sleep(0.3)
    assert held_bytes(small_host) <= MAX_HELD_BYTES
    reply = await read_reply(connection)
    assert (reply.complete, len(reply.body)) == (True, ANSWER_BYTES)
    await until(lambda: held_bytes(small_host) == 0)


async def test_large_answer_to_a_slow_client_is_not_cut_where_memory_is_free(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(chaining_engine._Request, "_plain", write_long_answer)
    connection = await deployment.connect()
    await connection.send("/slip/1", "c-1")
    await asyncio.sleep(0.5)
    assert held_bytes(deployment) <= MAX_HELD_BYTES
    reply = await read_reply(connection)
    assert (reply.complete, len(reply.body)) == (True, ANSWER_BYTES)
    await until(lambda: held_bytes(deployment) == 0)
