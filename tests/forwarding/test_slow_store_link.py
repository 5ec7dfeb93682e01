"""An entry behind a slow link reads the newest configuration after an outage.

These tests guard against an entry that stays on an old configuration because reading
all the versions it missed, or reading one configuration twice, exceeds the capacity of
its link to the store. Until then it must not deny requests by the old one.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from railfold._internal.core import Address
from railfold._internal.errors import LogUnavailableError
from railfold._internal.platform.adapter import MetadataStorePlatform
from railfold._internal.store.records import LogPage
from soak.proxy import Link, SharedBandwidth
from standins.metadata_store import PARTITIONS
from tests.lib.forwarding import (
    KEY,
    Deployment,
    configuration,
    until,
)

LINK_BPS = 8e6
ADDED_KEY = "key-added-while-the-entry-was-away"

# Operators expect a change to be in force everywhere within this time.
IN_FORCE_S = 3.0


@pytest.fixture
async def behind_slow_link() -> AsyncIterator[tuple[Deployment, Link]]:
    """One entry whose link to the store has a capacity of 8 Mbit/s."""
    deployment = Deployment(lease_s=5.0)
    deployment.prepare()
    link = Link(deployment.store_address.port, SharedBandwidth(1, [LINK_BPS]))
    await link.start()
    address = Address("127.0.0.1", link.listen_port)
    deployment._adapter = MetadataStorePlatform(address, PARTITIONS)
    await deployment.add_entry()
    yield deployment, link
    await deployment.stop()
    await link.stop()


def large_configuration(version: int, size_bytes: int) -> dict[str, Any]:
    """Return a configuration of this size with many keys, one of them new."""
    count = size_bytes // 33
    keys = [KEY, ADDED_KEY, *(f"key-{n:026d}" for n in range(count))]
    tenant = {"name": "quality", "api_keys": keys, "priority": 1}
    return configuration(version, tenants=[tenant])


async def lose_store(deployment: Deployment, link: Link) -> None:
    """Make all connections to the store fail until the link's mode is "ok" again."""
    link.mode = "refuse"
    link.reset()
    await until(lambda: not deployment.entry._configuration.reading)


async def test_missed_versions_do_not_delay_the_newest_configuration(
    behind_slow_link: tuple[Deployment, Link],
) -> None:
    deployment, link = behind_slow_link
    await lose_store(deployment, link)
    for version in range(2, 102):
        deployment.store.put("keyed.op", "config", large_configuration(version, 50_000))
    link.mode = "ok"
    router = deployment.entry.router
    await until(lambda: router.table and router.table.version == 101, IN_FORCE_S)


async def test_proof_reads_do_not_compete_with_the_follower_for_the_link(
    behind_slow_link: tuple[Deployment, Link],
) -> None:
    deployment, link = behind_slow_link
    entry = deployment.entry
    await lose_store(deployment, link)
    reads = entry.metrics.counters["proofs.read"]
    loop = asyncio.get_running_loop()
    await until(lambda: not entry.router.lease.valid(loop.time()))
    link.mode = "ok"
    await until(lambda: entry._configuration.reading)
    assert entry.metrics.counters["proofs.read"] == reads


async def test_a_configuration_that_takes_seconds_to_transfer_is_read(
    behind_slow_link: tuple[Deployment, Link],
) -> None:
    deployment, link = behind_slow_link
    await lose_store(deployment, link)
    deployment.store.put("keyed.op", "config", large_configuration(2, 1_500_000))
    link.mode = "ok"
    router = deployment.entry.router
    await until(lambda: router.table and router.table.version == 2, 5.0)


async def test_an_entry_does_not_deny_requests_by_an_unproven_configuration(
    two_entries: Deployment,
) -> None:
    """A credential or route may have been added: 401 and 404 would be wrong."""
    entry = two_entries.entry
    two_entries.store.mode = "out"
    loop = asyncio.get_running_loop()
    await until(lambda: not entry.router.lease.valid(loop.time()))
    replies = [
        await two_entries.ask("/tray/1", "r-key", key=ADDED_KEY),
        await two_entries.ask("/added/1", "r-route"),
    ]
    assert [reply.status for reply in replies] == [503, 503]
    assert all("Retry-After" in reply.headers for reply in replies)


async def test_an_entry_does_not_deny_what_a_newer_configuration_may_allow(
    two_entries: Deployment,
) -> None:
    """Another entry has read it; this one's reads fail, but its last proof is valid."""
    entry_behind, other_entry = two_entries.entries

    async def read(stream: str, offset: int, wait_s: float) -> LogPage:
        raise LogUnavailableError("turned away")

    entry_behind._proofs._log.read = read  # type: ignore[method-assign]
    entry_behind._configuration._log.read = read  # type: ignore[method-assign]
    entry_behind._configuration.cancel_waiting_read()
    two_entries.store.put("keyed.op", "config", large_configuration(2, 1000))
    await until(
        lambda: other_entry.router.table and other_entry.router.table.version == 2
    )
    await until(lambda: entry_behind._configuration_feed.peer_has_newer)
    assert entry_behind.router.lease.valid(asyncio.get_running_loop().time())
    reply = await two_entries.ask("/tray/1", "r-key", key=ADDED_KEY)
    assert reply.status == 503
    await until(lambda: entry_behind.metrics.gauges["configuration.behind_s"] > 1.0)
    await until(lambda: _logs_configuration_behind(two_entries))


def _logs_configuration_behind(deployment: Deployment) -> bool:
    return any(
        line["type"] == "configuration_behind" for line in deployment.log_lines()
    )
