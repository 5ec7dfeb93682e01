"""Answers of plain services and engines that end with their connection."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.orders import LoadOrder
from railfold._internal.engines.http_engine import HttpEngine
from railfold._internal.engines.http_service import HttpService, ServiceAnswer
from railfold._internal.errors import (
    EngineError,
    EngineUnavailableError,
    WriteUnsettledError,
)
from railfold._internal.store.http import new_http_client
from railfold._internal.store.log import LogClient
from standins.endless_answers import CALL_FORMS
from tests.lib.endless import endless_server

# A third of the memory that a daemon may use for control.
MAX_CALL_BYTES = 40 * 1024 * 1024

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"


@contextlib.asynccontextmanager
async def service(answer: bytes, *, reset: bool = False) -> AsyncIterator[HttpService]:
    """A service that sends an answer as it is and ends the connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.05)  # The sent part arrives first.
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    http, call_http = new_http_client(), new_http_client()
    yield HttpService(f"http://127.0.0.1:{port}", "/health", http, call_http)
    http.close()
    call_http.close()
    server.close()


def engine_at(service: HttpService) -> HttpEngine:
    """Return a client of the engine at the service's address."""
    return HttpEngine(service.url, service.http, service.call_http, step_timeout_s=2.0)


async def call(service: HttpService) -> ServiceAnswer:
    return await service.call("r-1", "GET", "slips", "", b"", 2.0)


async def test_answer_without_length_or_chunks_is_complete_at_the_end() -> None:
    async with service(HEAD + b"\r\nrecord") as http_service:
        assert await call(http_service) == ServiceAnswer(200, "text/plain", b"record")


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"\r\nrec",
        HEAD + b"Content-Length: 6\r\n\r\nrec",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nrec\r\n",
    ],
    ids=["unframed", "length", "chunks"],
)
async def test_answer_that_is_reset_is_not_complete(answer: bytes) -> None:
    async with service(answer, reset=True) as http_service:
        with pytest.raises(EngineUnavailableError):
            await call(http_service)


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 6\r\n\r\nrec",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nrec\r\n",
    ],
    ids=["length", "chunks"],
)
async def test_answer_that_is_closed_before_its_end_is_not_complete(
    answer: bytes,
) -> None:
    async with service(answer) as http_service:
        with pytest.raises(EngineUnavailableError):
            await call(http_service)


@pytest.mark.parametrize("form", CALL_FORMS)
async def test_call_without_an_end_of_its_answer_fails_after_a_limited_size(
    form: str,
) -> None:
    http, call_http = new_http_client(), new_http_client()
    async with endless_server(form) as server:
        url = f"http://{server.address}"
        http_service = HttpService(url, "/health", http, call_http)
        with pytest.raises(EngineUnavailableError):
            await call(http_service)
        assert not await http_service.healthy()
        engine = HttpEngine(url, http, call_http, step_timeout_s=2.0)
        with pytest.raises(EngineUnavailableError):
            await engine.status()
    # Extensions of a chunk aren't kept.
    if form != "chunk extension":
        assert server.taken_bytes < 3 * MAX_CALL_BYTES
    http.close()
    call_http.close()


async def accepted_calls(http_service: HttpService) -> list[str]:
    """Make a call of each kind; return those whose answer counts as complete."""
    engine = engine_at(http_service)
    accepted = ["health"] if await http_service.healthy() else []
    calls = {
        "call": lambda: call(http_service),
        "load": lambda: engine.load(LoadOrder("m", "v1", LayerRange(0, 3), 1)),
        "close": lambda: engine.close(["s-1"]),
        "status": lambda: engine.status(),
    }
    for name, make_call in calls.items():
        with contextlib.suppress(EngineError):
            await make_call()
            accepted.append(name)
    return accepted


async def test_answer_cut_within_its_head_is_not_complete() -> None:
    answer = (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        + HEAD
        + b"X-Long: folded\r\nContent-Length: 0\r\n\r\n"
    )
    accepted = {}
    for size_bytes in range(0, len(answer)):
        async with service(answer[:size_bytes]) as http_service:
            if calls := await accepted_calls(http_service):
                accepted[answer[:size_bytes][-12:]] = calls
    assert not accepted


@pytest.mark.parametrize("end", [b"\r\n", b"\n"])
async def test_answer_whose_lines_end_in_any_way_is_complete(end: bytes) -> None:
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: 6", b"", b"record"]
    async with service(end.join(lines)) as http_service:
        assert (await call(http_service)).body == b"record"


async def test_error_cut_within_its_head_is_no_refusal() -> None:
    async with service(b"HTTP/1.1 409 Conflict\r\nContent-Le") as http_service:
        log = LogClient(
            http_service.url, http_service.http, http_service.call_http, 2.0
        )
        with pytest.raises(WriteUnsettledError):
            await log.append("s", [1])


@contextlib.asynccontextmanager
async def numbering_server(copy_delay_s: float) -> AsyncIterator[str]:
    """A server that numbers its answers, and sends each a second time.

    Yields its URL.
    """
    numbers = itertools.count(1)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                number = next(numbers)
                body = b'{"engine_id": "%d", "records": [], "next": %d}' % (
                    number,
                    number,
                )
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(answer + body)
                await asyncio.sleep(copy_delay_s)
                writer.write(answer + body)
                await writer.drain()
        writers.remove(writer)
        writer.close()

    writers = list[asyncio.StreamWriter]()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()
    for open_writer in list(writers):
        open_writer.close()
    await asyncio.sleep(0.01)  # The handlers end.


async def test_second_answer_to_one_call_is_never_taken_for_the_next_call_s() -> None:
    foreign = Counter[float]()
    for copy_delay_s in (0.0, 0.001, 0.005):
        http = new_http_client()
        async with numbering_server(copy_delay_s) as url:
            engine = HttpEngine(url, http, new_http_client(), step_timeout_s=2.0)
            for number in range(1, 21):
                status = await engine.status()
                foreign[copy_delay_s] += status.engine_id != str(number)
        http.close()
    assert not foreign.total(), foreign
