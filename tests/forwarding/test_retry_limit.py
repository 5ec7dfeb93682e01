"""The limit on retries applies to all entries together, in any window."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from tests.lib.forwarding import Deployment, running

ENTRIES = 2
SLACK = 200.0
RESTARTS = 4
REQUESTS_PER_LIFE = 150


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Entries with a limit on retries that doesn't depend on the first attempts."""
    new_deployment = Deployment(entry_count=ENTRIES)
    new_deployment.change_settings(
        lambda settings: replace(
            settings, retry_share=0.0, retry_slack=SLACK, first_start=True
        )
    )
    async for started in running(new_deployment):
        yield started


async def test_restarts_in_one_window_do_not_multiply_the_retries(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.mode = "error"
    await spend_retries(deployment, 0)
    deployment.change_settings(lambda settings: replace(settings, first_start=False))
    for restart in range(1, RESTARTS + 1):
        await deployment.restart_entries()
        await spend_retries(deployment, restart)
    window_s = deployment.settings.retry_window_s
    retried_at_s = retry_times_s(deployment)
    for end_s in retried_at_s:
        in_window = [at_s for at_s in retried_at_s if end_s - window_s < at_s <= end_s]
        assert len(in_window) <= SLACK


async def spend_retries(deployment: Deployment, life: int) -> None:
    """Send requests that fail at every backend server, to each entry."""

    async def send_all(number: int) -> None:
        connection = await deployment.connect(number)
        for request in range(REQUESTS_PER_LIFE):
            request_id = f"r-{life}-{number}-{request}"
            await connection.ask("/tray/1", request_id, method="GET", body=b"")
        connection.close()

    await asyncio.gather(*(send_all(number) for number in range(ENTRIES)))


def retry_times_s(deployment: Deployment) -> list[float]:
    """Return when requests arrived at plain servers that had arrived at one before."""
    arrivals = sorted(
        (arrival for server in deployment.plain for arrival in server.arrivals),
        key=lambda arrival: arrival.at_s,
    )
    known: set[str] = set()
    retried_at_s = []
    for arrival in arrivals:
        if arrival.request_id in known:
            retried_at_s.append(arrival.at_s)
        known.add(arrival.request_id)
    return retried_at_s
