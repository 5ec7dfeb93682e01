"""Backend servers that pause for about a second and go on.

A pause isn't a failure: the answer of a server that goes on must still reach its
client, even if no other server accepts the request meanwhile.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial

import pytest

from railfold._internal.decisions.rate_limits import PermitGranted
from railfold._internal.forwarding.requests.driver import RequestDriver
from standins import chaining_engine
from standins.chaining_engine import Engine
from tests.lib.forwarding import (
    Connection,
    Deployment,
    begin_stream,
    configuration,
    later_engine,
    read_reply,
    routes,
    run_count,
    running,
    stream_body,
    until,
)

PAUSE_S = 1.1


def other_engines(deployment: Deployment, engine: Engine) -> list[Engine]:
    """Return the engines of the other failure domains."""
    return [other for other in deployment.engines if other.zone != engine.zone]


def fill(engines: list[Engine]) -> None:
    """Make engines refuse all requests, as if they were full."""
    for engine in engines:
        engine.mode = "shed"


async def pause_chain(deployment: Deployment, first: Engine) -> None:
    """Pause both engines of the chain that begins at ``first``."""
    chain = (first, later_engine(deployment, first))
    await asyncio.gather(*(engine.pause(PAUSE_S) for engine in chain))


async def allow_attempts(deployment: Deployment, max_attempts: int) -> None:
    """Configure how many servers may run a request of any route."""
    changed = [{**route, "max_attempts": max_attempts} for route in routes()]
    deployment.store.put("keyed.op", "config", configuration(2, routes=changed))
    router = deployment.entry.router
    await until(lambda: router.table is not None and router.table.version == 2)


async def test_streams_of_paused_chain_are_not_cut_if_other_chain_refuses_them(
    deployment: Deployment,
) -> None:
    begun: list[tuple[Connection, Engine]] = []
    for number in range(4):
        begun.append(await begin_stream(deployment, f"s-{number}", events=120))
    first = begun[0][1]
    fill(other_engines(deployment, first))
    await pause_chain(deployment, first)
    replies = await asyncio.gather(*(read_reply(c) for c, e in begun if e is first))
    assert [reply.complete for reply in replies] == [True] * len(replies)
    assert {reply.body for reply in replies} == {stream_body(120)}


async def test_stream_of_two_attempts_that_both_answer_has_each_event_once(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=100)
    others = other_engines(deployment, first)
    for engine in others:
        engine.event_interval_s = PAUSE_S - 0.2
    await pause_chain(deployment, first)
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))
    assert run_count(deployment, "s-1") == 2
    await until(lambda: any("s-1" in e.cancelled for e in deployment.engines))


async def test_stream_resumes_at_chain_that_was_tried_during_an_earlier_pause(
    deployment: Deployment,
) -> None:
    await allow_attempts(deployment, 3)
    connection, first = await begin_stream(deployment, events=100)
    others = other_engines(deployment, first)
    for engine in others:
        engine.event_interval_s = PAUSE_S + 0.3
    await pause_chain(deployment, first)
    await until(lambda: any("s-1" in e.cancelled for e in others))
    for engine in others:
        engine.event_interval_s = 0.01
    first.crash()
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))


async def test_stream_resumes_elsewhere_while_its_chain_is_paused(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=60)
    pause = asyncio.create_task(pause_chain(deployment, first))
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(60))
    assert not pause.done()
    await pause


async def test_stream_is_answered_if_all_engines_pause_in_turn(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=100)
    others = other_engines(deployment, first)
    await asyncio.gather(
        pause_chain(deployment, first), *(e.pause(PAUSE_S) for e in others)
    )
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))


async def test_stream_without_events_is_answered_after_a_pause(
    deployment: Deployment,
) -> None:
    for engine in deployment.engines:
        engine.event_interval_s = 0.05
    connection = await deployment.connect()
    await connection.send("/draft/1", "s-1", events=10)
    await until(lambda: any(e.run_counts["s-1"] for e in deployment.engines))
    (first,) = [e for e in deployment.engines if e.run_counts["s-1"]]
    fill(other_engines(deployment, first))
    await pause_chain(deployment, first)
    reply = await read_reply(connection)
    assert (reply.status, reply.complete) == (200, True)
    assert run_count(deployment, "s-1") == 1


async def test_safe_request_is_answered_after_a_pause_if_other_server_refuses_it(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.event_interval_s = 0.1
    connection = await deployment.connect()
    await connection.send("/tray/1", "t-1")
    await until(lambda: run_count(deployment, "t-1") == 1)
    (used,) = [p for p in deployment.plain if p.run_counts["t-1"]]
    fill([p for p in deployment.plain if p is not used])
    pause = asyncio.create_task(used.pause(PAUSE_S))
    deployment.entry._prober.record_broken_answer(used.server_id)
    assert (await read_reply(connection)).status == 200
    assert run_count(deployment, "t-1") == 1
    await pause


async def begin_streams_of_one_chain(
    deployment: Deployment, count: int
) -> tuple[list[Connection], Engine]:
    """Begin streams that run over one chain; return them and its first engine."""
    by_engine: defaultdict[str, list[Connection]] = defaultdict(list)
    number = 0
    while True:
        number += 1
        connection, engine = await begin_stream(deployment, f"s-{number}", events=200)
        by_engine[engine.server_id].append(connection)
        if len(by_engine[engine.server_id]) == count:
            return by_engine[engine.server_id], engine


@pytest.fixture
async def first_deployment() -> AsyncIterator[Deployment]:
    """An entry that has its whole share of the retries from its start."""
    new_deployment = Deployment()
    new_deployment.change_settings(partial(replace, first_start=True))
    async for started in running(new_deployment):
        yield started


async def test_pause_leaves_retries_for_streams_whose_server_crashes(
    first_deployment: Deployment,
) -> None:
    deployment = first_deployment
    connections, first = await begin_streams_of_one_chain(deployment, 3)
    (zone,) = {engine.zone for engine in other_engines(deployment, first)}
    deployment.add_engine("i-another", zone, (0, 4))
    await until(deployment.all_known)
    entry = deployment.entry
    # One entry's share of this is 6.
    entry._on_settings(replace(entry._settings, retry_share=0.0, retry_slack=7.5))
    fill(other_engines(deployment, first))
    pause = asyncio.create_task(pause_chain(deployment, first))
    await asyncio.sleep(0.5)
    for layers in ((0, 4), (4, 8)):
        deployment.add_engine(f"i-hall-c-{layers[0]}", "hall-c", layers)
    await until(deployment.all_known)
    first.crash()
    replies = await asyncio.gather(*map(read_reply, connections))
    assert [reply.complete for reply in replies] == [True] * 3
    await pause


@pytest.fixture
def second_part(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Make the first server that runs a plain request send 400 kB in two parts.

    The second part is sent once the returned event is set. Other servers answer at
    once.
    """
    may_send = asyncio.Event()
    first_servers: list[Engine] = []

    async def send_in_parts(handler: chaining_engine._Request, _: str) -> None:
        first_servers.append(handler.engine)
        if handler.engine is first_servers[0]:
            handler.write(b"1" * 200_000)
            await handler.flush()
            await may_send.wait()
            handler.write(b"2" * 100_000)
            await handler.flush()
            await asyncio.sleep(0.3)
        handler.finish(b"3" * 100_000)

    monkeypatch.setattr(chaining_engine._Request, "_plain", send_in_parts)
    return may_send


LARGE_BODY = b"1" * 200_000 + b"2" * 100_000 + b"3" * 100_000


async def begin_plain_answer(
    deployment: Deployment,
) -> tuple[Connection, RequestDriver]:
    """Send a safe request; return once a part of its answer was buffered."""
    connection = await deployment.connect()
    await connection.send("/tray/1", "t-1")
    await until(lambda: run_count(deployment, "t-1") == 1)
    (driver,) = deployment.entry.router.active
    attempt = driver.attempts[0]
    await until(lambda: attempt.buffered and attempt.buffered.size == 200_000)
    return connection, driver


async def test_large_plain_answer_has_no_second_attempt_that_awaited_its_permit(
    deployment: Deployment,
    second_part: asyncio.Event,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    granted = asyncio.Event()

    async def acquire(*_: object) -> PermitGranted:
        await granted.wait()
        return PermitGranted()

    connection, driver = await begin_plain_answer(deployment)
    limits = deployment.entry.router.limits
    monkeypatch.setattr(limits, "limited_servers", list)
    monkeypatch.setattr(limits, "acquire", acquire)
    driver.servers_lost(frozenset({driver.attempts[0].server_id}))
    await asyncio.sleep(0.02)
    second_part.set()
    await until(lambda: driver._answer.head_sent)
    granted.set()
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, LARGE_BODY)
    assert run_count(deployment, "t-1") == 1


async def test_large_plain_answer_has_no_second_attempt_after_another_suspicion(
    deployment: Deployment, second_part: asyncio.Event
) -> None:
    connection, driver = await begin_plain_answer(deployment)
    used = frozenset({driver.attempts[0].server_id})
    directory = deployment.entry.router.directory
    (other,) = [p.server_id for p in deployment.plain if p.server_id not in used]
    directory.mark_suspect(other, 0.0)
    driver.servers_lost(used)
    second_part.set()
    await until(lambda: driver._answer.head_sent)
    directory.clear_suspicion(other)
    await asyncio.sleep(0.02)
    driver.servers_lost(used)
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, LARGE_BODY)
    assert run_count(deployment, "t-1") == 1


async def test_stream_resumes_at_chain_that_refused_it_during_an_earlier_pause(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=100)
    others = other_engines(deployment, first)
    fill(others)
    await pause_chain(deployment, first)
    for engine in others:
        engine.mode = "ok"
    await asyncio.sleep(0.1)
    first.crash()
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))
