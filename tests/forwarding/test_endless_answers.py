"""Backend servers in trouble send bytes without end that are no answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from railfold._internal.errors import EngineUnavailableError, LogUnavailableError
from railfold._internal.platform.adapter import MetadataStorePlatform
from standins.chaining_engine import Engine
from standins.endless_answers import CALL_FORMS, PLAIN_FORMS, STREAM_FORMS
from standins.metadata_store import PARTITIONS
from tests.lib.endless import endless_server
from tests.lib.forwarding import Deployment, run_count, stream_body

# Half of the time that clients of these routes wait.
MAX_ANSWER_S = 2.0

# A tenth of the memory of a small host. What is held was taken from a server.
MAX_TAKEN_BYTES = 20 * 1024 * 1024

# Other streams are held up for no longer than the pause that their clients expect.
MAX_HELD_UP_S = 0.2


def first_servers_send(servers: list[Engine], form: str) -> None:
    """Make all servers but one send endless answers."""
    for server in servers[:-1]:
        server.mode = f"endless {form}"


def taken_bytes(deployment: Deployment) -> int:
    """Return how many bytes of endless answers were taken from all servers."""
    servers = (*deployment.engines, *deployment.plain)
    return sum(server.endless_bytes for server in servers)


async def longest_turn_s() -> float:
    """Return the most processor time of one turn of the loop, until cancelled."""
    longest_s = 0.0
    try:
        while True:
            started_s = time.process_time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, time.process_time() - started_s)
            await asyncio.sleep(0.005)
    except asyncio.CancelledError:
        return longest_s


async def numbers_of_quick_requests(deployment: Deployment) -> AsyncIterator[int]:
    """Yield the numbers of some requests, and check what they cost the entry."""
    turn = asyncio.create_task(longest_turn_s())
    for number in range(4):
        started_s = time.monotonic()
        yield number
        assert time.monotonic() - started_s < MAX_ANSWER_S
    turn.cancel()
    assert await turn < MAX_HELD_UP_S
    assert taken_bytes(deployment) < MAX_TAKEN_BYTES


@pytest.mark.parametrize("form", PLAIN_FORMS)
async def test_safe_request_is_answered_elsewhere_if_its_answer_never_ends(
    deployment: Deployment, form: str
) -> None:
    first_servers_send(deployment.plain, form)
    async for number in numbers_of_quick_requests(deployment):
        reply = await deployment.ask(f"/tray/{number}", f"t-{number}", method="GET")
        assert reply.status == 200


@pytest.mark.parametrize("form", STREAM_FORMS)
async def test_stream_goes_on_elsewhere_if_its_answer_contains_no_events(
    deployment: Deployment, form: str
) -> None:
    first_servers_send(deployment.first_stage_engines, form)
    async for number in numbers_of_quick_requests(deployment):
        reply = await deployment.ask(f"/draft/{number}", f"s-{number}", events=5)
        assert (reply.complete, reply.body) == (True, stream_body(5))


@pytest.mark.parametrize("form", [f for f in PLAIN_FORMS if f != "refusal"])
async def test_unrepeatable_request_fails_at_once_if_its_answer_never_ends(
    deployment: Deployment, form: str
) -> None:
    for server in deployment.plain:
        server.mode = f"endless {form}"
    started_s = time.monotonic()
    reply = await deployment.ask("/slip/1", "u-1")
    assert reply.status == 502
    assert time.monotonic() - started_s < MAX_ANSWER_S
    assert run_count(deployment, "u-1") == 1


@pytest.mark.parametrize("form", CALL_FORMS)
async def test_call_to_a_server_fails_if_its_answer_never_ends(
    deployment: Deployment, form: str
) -> None:
    entry = deployment.entry
    engine = deployment.engines[0]
    engine.endless_call_form = form
    registered = entry.router.directory.get(engine.server_id)
    assert registered is not None
    call = entry.router.dialect.report_call()
    started_s = time.monotonic()
    with pytest.raises(EngineUnavailableError):
        await entry._prober.calls.order(registered, call, 3.0)
    assert time.monotonic() - started_s < MAX_ANSWER_S
    assert taken_bytes(deployment) < MAX_TAKEN_BYTES


async def test_plain_answer_without_a_length_is_aborted_if_it_never_ends(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.mode = "endless body"
    connection = await deployment.connect()
    await connection.send("/tray/1", "t-1", method="GET", body=b"")
    received = b""
    while data := await asyncio.wait_for(connection.reader.read(65536), MAX_ANSWER_S):
        received = data
    assert not received.endswith(b"0\r\n\r\n")
    assert taken_bytes(deployment) < 64 * 1024 * 1024 + MAX_TAKEN_BYTES


@pytest.mark.parametrize("form", CALL_FORMS)
async def test_read_of_the_store_fails_if_its_answer_never_ends(form: str) -> None:
    async with endless_server(form) as server:
        log = MetadataStorePlatform(server.address, PARTITIONS).new_log()
        with pytest.raises(LogUnavailableError):
            await log.read("keyed.op", -1, 0.0)
    assert server.taken_bytes < 2 * MAX_TAKEN_BYTES


async def test_answer_that_never_ends_does_not_end_a_rate_limit(
    deployment: Deployment,
) -> None:
    server = deployment.plain[0]
    limits = deployment.entry.router.limits
    server.rate_limit = "50"
    for number in range(20):
        await deployment.ask("/tray/1", f"before-{number}", method="GET")
    assert limits.limited_servers((server.server_id,))
    server.rate_limit, server.mode = None, "endless error"
    for number in range(20):
        await deployment.ask("/tray/1", f"during-{number}", method="GET")
    assert server.endless_bytes > 0
    assert limits.limited_servers((server.server_id,))
