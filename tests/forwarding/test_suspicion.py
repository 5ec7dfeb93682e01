"""What a suspicion may do to requests that are under way.

What users would see: answers cut off, or run once more for nothing, though their
engines were well and sent on. Cause: evidence that a stream moves wasn't weighed
against a suspicion that began earlier, and some suspicions ended work that nothing
else could finish. Evidence: each test fails without the line that it is about.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from railfold._internal.core import Address, Chain
from railfold._internal.errors import EngineUnavailableError, NoCapacityError
from railfold._internal.forwarding.requests import exchange
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.requests.destinations import DestinationChooser
from railfold._internal.forwarding.requests.stream_watch import Silence
from railfold._internal.forwarding.servers.http_client import HttpConnection
from railfold._internal.forwarding.servers.liveness import Verdict
from standins import chaining_engine
from tests.lib.forwarding import (
    PLAIN_SERVICE,
    Deployment,
    begin_stream,
    configuration,
    drain_other_domains,
    later_engine,
    read_reply,
    remove_registration,
    routes,
    run_count,
    stream_body,
    suspected_servers,
    until,
)


def chain_in_use(deployment: Deployment) -> Chain:
    """Return the chain of the only request under way."""
    (driver,) = deployment.entry.router.active
    return driver._destination.chain


async def test_a_slow_way_to_one_failure_domain_is_no_loss(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=200)
    chain = chain_in_use(deployment)
    for engine in deployment.engines:
        engine.report_delay_s = 0.12 if engine.zone == first.zone else 0.0
    silence = Silence(0.1, chain.hosts)
    deployment.entry._prober.probe_suspects(chain, silence, "s-1")
    await asyncio.sleep(0.5)
    assert suspected_servers(deployment) == []
    assert run_count(deployment, "s-1") == 1
    connection.close()


async def test_a_stream_that_moves_outweighs_a_probe_without_an_answer(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=150)
    first.report_delay_s = 10.0
    deployment.entry._prober.doubt(first.server_id)
    await asyncio.sleep(0.4)
    assert suspected_servers(deployment) == []
    assert run_count(deployment, "s-1") == 1
    connection.close()


async def test_a_stream_that_moves_outweighs_an_order_without_an_answer(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    for zone in ("hall-a", "hall-b"):
        deployment.add_engine(f"i-{zone}-stand-in", zone, (4, 8))
    await until(deployment.all_known)
    connection, _ = await begin_stream(deployment, events=150)
    carry_out = chaining_engine._Order.post

    async def late(order: chaining_engine._Order) -> None:
        await asyncio.sleep(0.4)
        carry_out(order)

    monkeypatch.setattr(chaining_engine._Order, "post", late)
    lost = chain_in_use(deployment).hosts[1]
    deployment.entry.router.report_lost(frozenset({lost}))
    await asyncio.sleep(0.6)
    assert run_count(deployment, "s-1") == 1
    connection.close()


async def test_a_stall_that_is_over_when_probes_return_moves_nothing(
    deployment: Deployment,
) -> None:
    connection, _ = await begin_stream(deployment, events=200)
    chain = chain_in_use(deployment)
    for engine in deployment.engines:
        engine.report_delay_s = 0.3
    stalled = Silence(0.1, chain.hosts, stalled=True)
    prober = deployment.entry._prober
    await prober._probe_suspects(chain, stalled, "s-1", moved=False)
    await asyncio.sleep(0.1)
    assert run_count(deployment, "s-1") == 1
    connection.close()


async def test_an_engine_off_the_list_that_dies_is_found(
    deployment: Deployment,
) -> None:
    for engine in deployment.engines:
        engine.event_s = 0.5
    connection = await deployment.connect()
    await connection.send("/draft/1", "s-1", events=3)
    await until(lambda: any(e.runs["s-1"] for e in deployment.engines))
    (first,) = [e for e in deployment.engines if e.runs["s-1"]]
    remove_registration(deployment, first)
    first.mode = "dead"
    await until(lambda: run_count(deployment, "s-1") == 2, 1.0)
    connection.close()


async def test_a_stream_is_kept_for_as_long_as_its_client_waits(
    deployment: Deployment,
) -> None:
    connection, first = await begin_stream(deployment, events=80)
    await drain_other_domains(deployment, first)
    later = later_engine(deployment, first)
    later.mode = "dead"
    await asyncio.sleep(1.6)
    later.mode = "ok"
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(80))


async def test_the_place_that_was_found_is_the_one_that_is_taken(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    # As with a route whose other service has no room.
    connection, first = await begin_stream(deployment, events=100)
    choose = DestinationChooser.choose
    asked = 0

    def every_other(
        chooser: DestinationChooser, *request: Any, **terms: Any
    ) -> Destination:
        nonlocal asked
        asked += 1
        if asked % 2 == 0:
            raise NoCapacityError("the other service is full")
        return choose(chooser, *request, **terms)

    monkeypatch.setattr(DestinationChooser, "choose", every_other)
    deployment.entry.router.report_lost(frozenset({first.server_id}))
    assert (await read_reply(connection)).complete


async def stream_plainly(handler: chaining_engine._Request, request_id: str) -> None:
    """Stream events, as a plain service does that has no chain."""
    handler.set_header("Content-Type", "text/event-stream")
    first = int(handler.request.headers.get("Last-Event-Id", "0")) + 1
    for number in range(first, 61):
        await asyncio.sleep(0.01)
        if handler.engine.mode == "dead":
            await asyncio.Event().wait()
        handler.write(f"id: {number}\ndata: token {number}\n\n")
        await handler.flush()
    handler.finish()


async def test_a_plain_services_stream_goes_on_once_there_is_a_place(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(chaining_engine._Request, "_plain", stream_plainly)
    tape = {**routes()[0], "name": "tape", "path_prefix": "/tape/"}
    tape["service"] = PLAIN_SERVICE
    changed = configuration(2, routes=[*routes(), tape])
    deployment.store.put("keyed.op", "config", changed)
    await until(lambda: deployment.entry.router.table.version == 2)
    used, other = deployment.plain
    other.state = "draining"
    other.register()
    await until(deployment.all_known)
    connection = await deployment.connect()
    await connection.send("/tape/1", "p-1")
    await until(lambda: used.runs["p-1"] == 1)
    await asyncio.sleep(0.1)
    used.mode = "dead"
    deployment.entry._prober.doubt(used.server_id)
    await until(lambda: used.server_id in suspected_servers(deployment))
    other.state = "ready"
    other.register()
    assert (await read_reply(connection)).body == stream_body(60)


async def test_a_full_service_that_resets_connections_finishes_what_runs(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def wait_for_a_slot(check: chaining_engine._Health) -> None:
        await asyncio.sleep(0.4)
        check.finish("ok")

    monkeypatch.setattr(chaining_engine._Health, "get", wait_for_a_slot)
    for service in deployment.plain:
        service.event_s = 1.5
    no_tokens = {"Railfold-Token-Counts": "0,0"}
    connection = await deployment.connect()
    await connection.send("/slip/1", "u-1", headers=no_tokens)
    await until(lambda: any(p.runs["u-1"] for p in deployment.plain))
    (full,) = [p for p in deployment.plain if p.runs["u-1"]]
    (other,) = [p for p in deployment.plain if p is not full]
    other.state = "draining"
    other.register()
    connect = exchange.connect

    async def reset_by_full(address: Address, timeout_s: float) -> HttpConnection:
        if address.port == full.port:
            raise EngineUnavailableError("no connection", why="it was reset")
        return await connect(address, timeout_s)

    await until(deployment.all_known)
    monkeypatch.setattr(exchange, "connect", reset_by_full)
    refused = await deployment.ask("/tray/1", "t-1", headers=no_tokens)
    assert refused.status == 503
    assert (await read_reply(connection)).status == 200


async def test_a_request_that_may_not_run_again_is_left_to_its_engine(
    deployment: Deployment,
) -> None:
    for service in deployment.plain:
        service.event_s = 0.3
    connection = await deployment.connect()
    await connection.send("/slip/1", "u-1")
    await until(lambda: run_count(deployment, "u-1") == 1)
    (used,) = [p for p in deployment.plain if p.runs["u-1"]]
    deployment.entry.router.report_lost(frozenset({used.server_id}))
    assert (await read_reply(connection)).status == 200
    assert run_count(deployment, "u-1") == 1


async def test_engines_that_nobody_answers_for_are_unheard_and_not_lost(
    deployment: Deployment,
) -> None:
    """A host whose link is dead hears nobody.

    Probes timed out after the same second as the look that waits for them. Looks that
    ended just behind them took the time-outs for refusals: one in three, by chance.
    """
    for server in (*deployment.engines, *deployment.plain):
        server.mode = "dead"
    prober = deployment.entry._prober
    engine = next(
        e for e in deployment.entry.router.directory if e.registration.is_model_engine
    )
    assert engine.registration.layers is not None
    stage = engine.stage(engine.registration.layers)

    async def look_after(delay_s: float) -> Verdict:
        await asyncio.sleep(delay_s)
        return await prober._look_at([stage])

    # A look goes on in parts of 12.5 ms: these end at moments all over such a part.
    looks = [look_after(0.0015 * n) for n in range(10)]
    verdicts = await asyncio.gather(*looks)
    assert {verdict.lost for verdict in verdicts} == {frozenset()}
    assert {verdict.unheard for verdict in verdicts} == {frozenset({engine.server_id})}
