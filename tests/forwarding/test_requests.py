"""Answers to requests while backend servers work, refuse or fail.

Each client must get the complete answer to its own request, and a request that isn't
repeatable must not run twice.
"""

from __future__ import annotations

import asyncio
import urllib.request
from typing import Any

import pytest

from railfold._internal.decisions.fleet_demand import DemandKey
from railfold._internal.decisions.routing_table import admission_rank
from standins.chaining_engine import SEAL
from tests.lib.forwarding import (
    KEY,
    MODEL_SERVICE,
    Deployment,
    configuration,
    routes,
    run_count,
    stream_body,
    until,
)


async def test_a_stream_passes_through_a_chain(deployment: Deployment) -> None:
    reply = await deployment.ask("/draft/1", "s-1", events=12)
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == stream_body(12)
    assert reply.headers["Railfold-Response-Seal"] == SEAL
    assert run_count(deployment, "s-1") == 1


async def test_a_chain_stays_within_one_failure_domain(deployment: Deployment) -> None:
    await deployment.ask("/draft/1", "s-1")
    (engine,) = [e for e in deployment.engines if e.run_counts["s-1"]]
    chain = engine.received_headers[0]["Railfold-Hop-Count"]
    zones = {deployment.fleet[part.partition("=")[0]].zone for part in chain.split(",")}
    assert zones == {"hall-a"}


async def test_a_plain_call_gets_its_answer(deployment: Deployment) -> None:
    reply = await deployment.ask("/slip/1", "c-1")
    assert (reply.status, reply.body) == (200, b"record of c-1")


async def test_headers_are_translated(deployment: Deployment) -> None:
    client_headers = {
        "Railfold-Tenant": "another",
        "Railfold-Target-Instance": "i-elsewhere",
        "Connection": "keep-alive, X-Hop",
        "X-Hop": "1",
        "X-Kept": "2",
    }
    await deployment.ask("/slip/1", "c-1", headers=client_headers)
    (server,) = [s for s in deployment.plain if s.received_headers]
    seen = server.received_headers[0]
    assert seen["Railfold-Tenant"] == "quality"
    assert seen["Railfold-Target-Instance"] == server.server_id
    assert seen["X-Kept"] == "2"
    assert "X-Hop" not in seen
    assert "Authorization" not in seen
    assert 0 < int(seen["Railfold-Deadline-Ms"]) <= 4000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/nowhere/1", KEY, 404), ("/slip/1", "wrong", 401), ("/slip/1", None, 401)],
)
async def test_unauthorized_and_unknown_requests_are_refused(
    deployment: Deployment, path: str, key: str | None, status: int
) -> None:
    reply = await deployment.ask(path, "c-1", key=key)
    assert reply.status == status
    assert run_count(deployment, "c-1") == 0


async def test_a_request_refused_by_one_server_runs_on_another(
    deployment: Deployment,
) -> None:
    deployment.plain[0].mode = "shed"
    for number in range(6):
        reply = await deployment.ask("/slip/1", f"c-{number}")
        assert reply.status == 200
        assert run_count(deployment, f"c-{number}") == 1


async def test_clients_get_503_if_all_servers_refuse(deployment: Deployment) -> None:
    for server in deployment.plain:
        server.mode = "shed"
    reply = await deployment.ask("/slip/1", "c-1")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert run_count(deployment, "c-1") == 0


async def test_an_unrepeatable_call_whose_answer_is_lost_runs_once(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.mode = "lose"
    reply = await deployment.ask("/slip/1", "c-1")
    assert reply.status == 502
    assert "Retry-After" not in reply.headers
    assert run_count(deployment, "c-1") == 1


async def test_a_safe_call_whose_answer_is_lost_is_repeated(
    deployment: Deployment,
) -> None:
    deployment.plain[0].mode = "lose"
    for number in range(6):
        reply = await deployment.ask("/tray/1", f"c-{number}", method="GET", body=b"")
        assert reply.status == 200


async def test_an_error_answer_is_forwarded_unchanged(deployment: Deployment) -> None:
    for server in deployment.plain:
        server.mode = "error"
    reply = await deployment.ask("/slip/1", "c-1")
    assert (reply.status, reply.body) == (500, b"failed")
    assert reply.headers["Railfold-Response-Seal"] == SEAL


async def test_an_answer_to_another_request_is_skipped(deployment: Deployment) -> None:
    for server in deployment.plain:
        server.mode = "foreign"
    reply = await deployment.ask("/slip/1", "c-1")
    assert reply.body == b"record of c-1"


async def test_a_surplus_answer_is_not_sent_to_the_next_client(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.mode = "surplus"
    first = await deployment.ask("/tray/1", "c-1", method="GET", body=b"")
    for server in deployment.plain:
        server.mode = "ok"
    second = await deployment.ask("/tray/1", "c-2", method="GET", body=b"")
    assert (first.body, second.body) == (b"record of c-1", b"record of c-2")


async def test_a_stream_is_cancelled_when_its_client_disconnects(
    deployment: Deployment,
) -> None:
    connection = await deployment.connect()
    await connection.send("/draft/1", "s-1", events=1000)
    await connection.read_head()
    connection.close()
    (engine,) = [e for e in deployment.engines if e.run_counts["s-1"]]
    await until(lambda: "s-1" in engine.cancelled)


async def test_a_request_is_answered_at_its_routes_timeout(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.event_interval_s = 2.0
    started_s = asyncio.get_running_loop().time()
    reply = await deployment.ask("/brief/1", "c-1", method="GET", body=b"")
    assert reply.status == 504
    assert asyncio.get_running_loop().time() - started_s < 1.0


async def test_connections_are_reused_on_both_sides(deployment: Deployment) -> None:
    connection = await deployment.connect()
    for number in range(5):
        reply = await connection.ask("/tray/1", f"c-{number}", method="GET", body=b"")
        assert reply.body == f"record of c-{number}".encode()
    connection.close()


async def test_a_newer_configuration_applies_at_once_and_an_older_one_is_ignored(
    deployment: Deployment,
) -> None:
    kept = [route for route in routes() if route["name"] != "slip"]
    deployment.store.put("keyed.op", "config", configuration(2, routes=kept))
    await until(lambda: deployment.entry.router.table.version == 2)
    assert (await deployment.ask("/slip/1", "c-1")).status == 404
    deployment.store.put("keyed.op", "config", configuration(1))
    await asyncio.sleep(0.3)
    assert (await deployment.ask("/slip/1", "c-2")).status == 404


async def test_a_configuration_is_read_by_key_if_its_history_was_deleted(
    deployment: Deployment,
) -> None:
    topic = deployment.store.topic("keyed.op")
    for version in range(2, 6):
        deployment.store.put("keyed.op", "config", configuration(version))
    topic.forget()
    await until(lambda: deployment.entry.router.table.version == 5)


async def test_metrics_are_served(deployment: Deployment) -> None:
    await deployment.ask("/draft/1", "s-1")
    metrics = deployment.settings.metrics_address
    assert metrics is not None
    url = f"http://{metrics}/metrics"
    text = await asyncio.to_thread(lambda: urllib.request.urlopen(url).read().decode())
    assert "railfold_outcomes_answered_total 1.0" in text
    assert 'railfold_first_event_seconds_bucket{le="+Inf"} 1.0' in text


@pytest.mark.parametrize(
    ("workspace", "route", "engine"), [(None, 1, "5"), (None, 3, "7"), (0, 3, "4")]
)
async def test_engines_get_the_priority_of_the_workspace_or_else_of_the_route(
    deployment: Deployment, workspace: int | None, route: int, engine: str
) -> None:
    ranked = [{**fields, "priority": route} for fields in routes()]
    owner: dict[str, Any] = {"name": "quality", "api_keys": [KEY]}
    if workspace is not None:
        owner["priority"] = workspace
    deployment.store.put(
        "keyed.op", "config", configuration(2, routes=ranked, tenants=[owner])
    )
    await until(lambda: deployment.entry.router.table.version == 2)
    await deployment.ask("/draft/1", "r-1", events=2)
    (seen,) = [h for e in deployment.first_stage_engines for h in e.received_headers]
    assert seen["Railfold-Request-Priority"] == engine


async def test_token_counts_in_headers_do_not_make_a_plain_service_full(
    deployment: Deployment,
) -> None:
    """Calls to plain services may have token counts in their headers too.

    When these were counted, one call made its server count as full, and about one in
    thirty calls was refused although servers were idle.
    """
    for server in deployment.plain:
        server.event_interval_s = 0.3
    asked = [
        deployment.ask("/tray/1", f"c-{number}", method="GET", body=b"", events=1000)
        for number in range(8)
    ]
    replies = await asyncio.gather(*asked)
    assert [reply.status for reply in replies] == [200] * 8


async def test_a_streams_load_is_counted_until_it_ends(
    deployment: Deployment,
) -> None:
    fleet_load = deployment.entry.router.fleet_load
    connection = await deployment.connect()
    await connection.send("/draft/1", "r-1", events=60)
    await connection.read_head()
    await until(lambda: bool(fleet_load.own))
    await until(
        lambda: all(p.pending_prompt_tokens == 0 for p in fleet_load.own.values())
    )
    assert deployment.entry.router.table is not None
    model = deployment.entry.router.table.services[MODEL_SERVICE].model
    assert model is not None
    assert {p.tokens for p in fleet_load.own.values()} == {
        model.mean_state_tokens(10, 60)
    }
    now_s = asyncio.get_running_loop().time()
    (key,) = deployment.entry.router.fleet_demand.own_per_s(now_s)
    draft = deployment.entry.router.table.routes[0]
    rank = admission_rank(draft, workspace_priority=1)
    assert key == DemandKey(MODEL_SERVICE, rank, "quality")
    connection.close()
    await until(lambda: not fleet_load.own)
