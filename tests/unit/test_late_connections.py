"""A process that was paused takes a connection as made, however late it looks.

The engine or service beside it has done nothing wrong, and the step or call goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import msgspec
import pytest

from railfold._internal.engines.http_engine import HttpEngine
from railfold._internal.engines.http_service import HttpService, ServiceAnswer
from railfold._internal.engines.interface import HiddenState, PrefillInput, StepItem
from railfold._internal.store.http import HttpClient, new_http_client

PAUSE_S = 1.3
STEP = StepItem("r-1@1", 0, True, PrefillInput("unit 7", ()))


@contextlib.asynccontextmanager
async def server(body: bytes) -> AsyncIterator[tuple[str, HttpClient]]:
    """A server that answers each request with ``body``, and a client for it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    http = new_http_client()
    yield f"http://127.0.0.1:{listener.sockets[0].getsockname()[1]}", http
    http.close()
    listener.close()


async def pause_while_connecting(iterations: int) -> None:
    """Block the loop after it has run a few iterations."""
    for _ in range(iterations):
        await asyncio.sleep(0)
    time.sleep(PAUSE_S)  # noqa: ASYNC251 - blocks the loop.


@pytest.mark.parametrize("iterations", range(1, 6))
async def test_pause_while_a_step_connects_fails_no_step(iterations: int) -> None:
    results = [{"activation": b"state"}]
    async with server(msgspec.msgpack.encode(results)) as (url, http):
        engine = HttpEngine(url, http, http, 10.0)
        step = asyncio.create_task(engine.step([STEP]))
        await pause_while_connecting(iterations)
        assert await step == [HiddenState(b"state")]


@pytest.mark.parametrize("iterations", range(1, 6))
async def test_pause_while_a_call_connects_fails_no_call(iterations: int) -> None:
    async with server(b"record") as (url, http):
        service = HttpService(url, "/", http, http)
        call = asyncio.create_task(service.call("r-1", "GET", "slips", "", b"", 10.0))
        await pause_while_connecting(iterations)
        assert await call == ServiceAnswer(200, "", b"record")
