"""Requests in flight while a configuration moves their route to another service."""

from __future__ import annotations

import pytest

from tests.lib.forwarding import (
    PLAIN_SERVICE,
    WAIT_S,
    Connection,
    Deployment,
    configuration,
    read_reply,
    routes,
    run_count,
    until,
    until_version,
)


def moved_configuration() -> dict[str, object]:
    """Return a configuration in which another service has the plain routes."""
    moved = [
        {**route, "service": "archive"} if route["service"] == PLAIN_SERVICE else route
        for route in routes()
    ]
    services = [
        {**service, "name": "archive"} if service["name"] == PLAIN_SERVICE else service
        for service in configuration()["services"]
    ]
    return configuration(version=2, routes=moved, services=services)


async def move_routes(deployment: Deployment) -> None:
    deployment.store.put("keyed.op", "config", moved_configuration())
    await until_version(deployment, 2)


async def running_request(deployment: Deployment, path: str) -> Connection:
    """Send a request that runs until its server crashes."""
    for server in deployment.plain:
        server.event_interval_s = WAIT_S
    connection = await deployment.connect()
    await connection.send(path, "r-1")
    await until(lambda: run_count(deployment, "r-1") == 1)
    return connection


@pytest.mark.parametrize("path", ["/tray/1", "/slip/1"])
async def test_request_lost_behind_a_move_of_its_route_is_not_denied(
    deployment: Deployment, path: str
) -> None:
    connection = await running_request(deployment, path)
    await move_routes(deployment)
    for server in deployment.plain:
        server.crash()
    reply = await read_reply(connection)
    assert reply.status == 502


async def test_request_refused_behind_a_move_of_its_route_may_come_back(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.mode = "paused"
    connection = await deployment.connect()
    await connection.send("/slip/1", "r-1")
    await until(lambda: any(server.arrivals for server in deployment.plain))
    await move_routes(deployment)
    for server in deployment.plain:
        server.mode = "shed"
    reply = await read_reply(connection)
    assert reply.status == 503
    assert "Retry-After" in reply.headers
    assert run_count(deployment, "r-1") == 0


async def test_route_to_a_service_that_was_never_configured_is_not_found(
    deployment: Deployment,
) -> None:
    lost = [{**route, "service": "nowhere"} for route in routes()]
    deployment.store.put("keyed.op", "config", configuration(version=2, routes=lost))
    await until_version(deployment, 2)
    assert (await deployment.ask("/tray/1", "r-1")).status == 404
