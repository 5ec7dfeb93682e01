"""Exchange of load between entries.

Guards against an entry that plans without the requests that others have in flight, and
against load that is still announced after its requests have ended.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from functools import partial

import pytest

from railfold._internal.decisions.fleet_load import FleetLoad
from tests.lib.forwarding import MODEL_SERVICE, Deployment, running, until


@pytest.fixture
async def three_entries() -> AsyncIterator[Deployment]:
    async for deployment in running(Deployment(entry_count=3)):
        yield deployment


def now_s(deployment: Deployment) -> float:
    return deployment.entry._loop.time()


def is_known_full(load: FleetLoad, server_id: str, three_entries: Deployment) -> bool:
    return load.is_full(server_id, now_s(three_entries))


async def test_each_entry_knows_the_load_of_the_others(
    three_entries: Deployment,
) -> None:
    loads = [entry.router.fleet_load for entry in three_entries.entries]
    await until(
        lambda: all(load.known_entries(now_s(three_entries)) == 3 for load in loads)
    )
    connection = await three_entries.connect(0)
    await connection.send("/draft/1", "r-1", events=600)
    await connection.read_head()
    await until(lambda: bool(loads[0].own))
    (server_id, *_) = loads[0].own
    await until(
        lambda: all(
            load.load(server_id, 3, now_s(three_entries)).known_sequences == 1
            for load in loads
        )
    )
    demands = [entry.router.fleet_demand for entry in three_entries.entries]
    await until(
        lambda: all(d.per_s(MODEL_SERVICE, 3, now_s(three_entries)) for d in demands)
    )
    loads[0].rejected(server_id, now_s(three_entries) + 5.0)
    for load in loads:
        await until(partial(is_known_full, load, server_id, three_entries))
    connection.close()
    await until(
        lambda: all(
            not load.load(server_id, 3, now_s(three_entries)).known_sequences
            for load in loads
        )
    )


async def test_single_entry_publishes_no_load(deployment: Deployment) -> None:
    await deployment.ask("/draft/1", "r-1")
    metrics = deployment.entry.metrics
    assert "load.sums_published" not in metrics.counters
