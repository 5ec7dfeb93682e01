"""A backend server that starts again under its id is another one.

Its successor answers at the same address under the same id, and knows nothing of the
work before. Entries went by the id alone: a probe that the successor answered was a
sign of life of the dead one, whose streams then waited until their clients left.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from railfold._internal.core import LayerRange
from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.decisions.orders import LoadOrder
from railfold._internal.forwarding.dialect import OrderUnsettled
from standins.chaining_engine import Engine
from tests.lib.forwarding import (
    Deployment,
    begin_stream,
    read_reply,
    run_count,
    stream_body,
    until,
)

FIRST_START = 1_764_716_400_000
SECOND_START = FIRST_START + 5_000


@pytest.fixture
async def dated(deployment: Deployment) -> AsyncIterator[Deployment]:
    """A deployment whose backend servers tell when they started."""
    for server in (*deployment.engines, *deployment.plain):
        server.born = FIRST_START
        server.register()
    await until(deployment.all_known)
    yield deployment


def entry_of(deployment: Deployment, engine: Engine) -> DirectoryEntry:
    entry = deployment.entry.router.directory.get_by_registered_id(engine.server_id)
    assert entry is not None
    return entry


async def test_a_stream_goes_on_elsewhere_when_its_engine_starts_again(
    dated: Deployment,
) -> None:
    connection, engine = await begin_stream(dated)
    await engine.restart(SECOND_START)
    reply = await read_reply(connection)
    assert reply.body == stream_body(60)
    assert reply.complete


@pytest.mark.parametrize("kind", ["engines", "plain"])
async def test_an_answer_of_its_successor_is_no_sign_of_life(
    dated: Deployment, kind: str
) -> None:
    """Neither an engine's report nor a plain service's health answer."""
    server: Engine = getattr(dated, kind)[0]
    server.born = SECOND_START  # Its registration isn't read yet.
    before = entry_of(dated, server)
    dated.entry._prober.doubt(before.server_id)
    await until(lambda: before.suspect_since_s is not None)


async def test_a_successor_is_used_whatever_was_known_of_the_one_before(
    dated: Deployment,
) -> None:
    engine = dated.engines[0]
    before = entry_of(dated, engine)
    before.slowness = 9.0
    dated.entry.router.directory.mark_suspect(before.server_id, 0.0)
    engine.born = SECOND_START
    engine.register()
    await until(dated.all_known)
    after = entry_of(dated, engine)
    assert after.routable
    assert after.slowness == 1.0
    assert dated.entry.metrics.counters["servers.replaced"] == 1


async def test_an_unrepeatable_request_is_told_at_once_that_its_server_is_gone(
    dated: Deployment,
) -> None:
    for server in dated.plain:
        server.event_s = 3.0
    asked = asyncio.create_task(dated.ask("/slip/1", "r-1"))
    await until(lambda: run_count(dated, "r-1") == 1)
    (server,) = [s for s in dated.plain if s.runs["r-1"]]
    started_s = asyncio.get_running_loop().time()
    # A host that lost power says nothing: the connection stays silent.
    server.born = SECOND_START
    server.register()
    reply = await asked
    # The next read of the registrations tells; the answer would have taken 3 s.
    assert asyncio.get_running_loop().time() - started_s < 2.5
    assert reply.status == 502
    assert "Retry-After" not in reply.headers
    assert run_count(dated, "r-1") == 1


async def test_a_successors_pace_isnt_that_of_the_one_before(dated: Deployment) -> None:
    engine = dated.engines[0]
    entry = entry_of(dated, engine)
    engine.born, engine.pace = SECOND_START, 8.0
    await dated.entry._prober.calls.ask_slowness(entry)
    assert entry.slowness == 1.0


async def test_an_order_for_the_one_before_isnt_given_to_its_successor(
    dated: Deployment,
) -> None:
    engine = dated.engines[0]
    entry = entry_of(dated, engine)
    engine.born = SECOND_START
    order = LoadOrder("inspect", "", LayerRange(0, 3), fencing_token=1)
    outcome = await dated.entry._placement._orders._send(entry, order)
    assert outcome == OrderUnsettled("the engine has started again")
    assert not engine.given


async def test_one_that_left_the_list_and_started_again_doesnt_serve_on(
    dated: Deployment,
) -> None:
    engine = dated.engines[0]
    stage = entry_of(dated, engine).stage(LayerRange(0, 3))
    engine.deregister()
    directory = dated.entry.router.directory
    await until(lambda: directory.get_by_registered_id(engine.server_id) is None)
    prober = dated.entry._prober
    assert await prober.calls.serves_on(stage, 0.5)
    engine.born = SECOND_START
    assert not await prober.calls.serves_on(stage, 0.5)
