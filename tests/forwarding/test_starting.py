"""An entry that is starting while clients already connect to it.

Clients must be served once the entry has read the store, or get an error soon if the
store is unavailable, and a starting process must survive a reload signal.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from railfold._internal.core import Address
from railfold._internal.decisions.memory_quota import MemoryQuota
from railfold._internal.decisions.routing_table import ClientLimits
from railfold._internal.errors import ListenError
from railfold._internal.forwarding.listeners import Listeners, open_listeners
from railfold._internal.forwarding.requests import front
from standins.cluster import free_port
from tests.lib.forwarding import Deployment, stream_body, until

READ_STREAMS = (
    "keyed.op",
    "keyed.servers",
    "keyed.railfold-entries",
    "keyed.railfold-quarantine",
)

READINESS_PROBE = b"GET /ready HTTP/1.1\r\nHost: entry\r\n\r\n"


@pytest.fixture
async def prepared() -> AsyncIterator[Deployment]:
    """A deployment whose entry hasn't been started yet."""
    running = Deployment()
    running.prepare()
    yield running
    await running.stop()


@pytest.fixture
def listeners(prepared: Deployment) -> Listeners:
    """The sockets of the entry, which listen before the entry runs."""
    return open_listeners(prepared.settings)


async def test_a_client_that_connects_before_the_entry_runs_is_served(
    prepared: Deployment, listeners: Listeners
) -> None:
    connection = await prepared.connect()
    await connection.send("/draft/1", "r-1", events=3)
    prepared.run_entry(listeners)
    reply = await asyncio.wait_for(connection.read(), 5.0)
    assert (reply.status, reply.body, reply.complete) == (200, stream_body(3), True)
    connection.close()


async def test_clients_get_503_soon_if_the_store_is_unavailable_at_the_start(
    prepared: Deployment, listeners: Listeners
) -> None:
    prepared.store.mode = "out"
    connection = await prepared.connect()
    await connection.send("/draft/1", "r-1")
    prepared.run_entry(listeners)
    reply = await asyncio.wait_for(connection.read(), front._MAX_STARTUP_WAIT_S + 2.0)
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert sum(engine.run_counts.total() for engine in prepared.engines) == 0
    connection.close()


async def test_an_entry_is_not_ready_until_it_has_read_the_store(
    prepared: Deployment, listeners: Listeners
) -> None:
    prepared.store.mode = "out"
    address = prepared.settings.readiness_address
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(READINESS_PROBE)
    prepared.run_entry(listeners)
    assert b" 503 " in await asyncio.wait_for(reader.readline(), 5.0)
    prepared.store.mode = "ok"
    await until(prepared.entry.ready)
    writer.close()


async def test_the_error_for_an_address_in_use_names_the_address(
    prepared: Deployment, listeners: Listeners
) -> None:
    with pytest.raises(ListenError) as caught:
        open_listeners(prepared.settings)
    assert str(prepared.settings.client_address) in caught.value.what
    for listener in (listeners.clients, listeners.readiness):
        listener.close()
    prepared.run_entry()


SETTINGS = """
node = "front-1"
ip = "127.0.0.1"
zone = "hall-a"
[listen]
front = "127.0.0.1:{clients}"
ready = "127.0.0.1:{readiness}"
[platform]
address = "127.0.0.1:{store}"
parts = 4
"""


def is_listening(port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


async def test_a_reload_signal_does_not_end_a_process_that_is_starting(
    tmp_path: Path,
) -> None:
    clients, readiness, store = free_port(), free_port(), free_port()
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.format(clients=clients, readiness=readiness, store=store))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "railfold", "forward", str(path)),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await until(lambda: is_listening(readiness), 20.0)
        os.kill(process.pid, signal.SIGHUP)
        reader, writer = await asyncio.open_connection("127.0.0.1", readiness)
        writer.write(READINESS_PROBE)
        assert b" 503 " in await asyncio.wait_for(reader.readline(), 20.0)
        assert process.returncode is None
        writer.close()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def test_a_restarted_client_server_keeps_its_limits(
    deployment: Deployment,
) -> None:
    address = Address("127.0.0.1", free_port())
    server = front.ClientServer(address, deployment.entry, MemoryQuota(1_000_000))
    server.set_limits(ClientLimits(max_body_bytes=10))
    server.can_answer.set()
    for _ in range(2):
        run = asyncio.create_task(server.run(asyncio.Event()))
        await until(lambda: is_listening(address.port))
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(b"POST /draft/1 HTTP/1.1\r\nContent-Length: 11\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 5.0)
        assert answer == b"" or b" 400 " in answer
        writer.close()
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)


async def test_entry_starts_beside_records_that_no_decoder_reads(
    prepared: Deployment,
) -> None:
    streams = [prepared.store.topic(name) for name in READ_STREAMS]
    for stream in streams:
        stream.append("i-odd", b'{"service":' + b"[" * 12_000)
    for server in (*prepared.engines, *prepared.plain):
        server.register()
    for stream in streams:
        # An entry that starts reads the newest record of each key.
        stream.forget()
    await prepared.add_entry()
    reply = await prepared.ask("/draft/1", "r-1", events=3)
    assert (reply.status, reply.body) == (200, stream_body(3))
