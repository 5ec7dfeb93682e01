"""An entry that alone is without the store serves on by what the others have read."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.errors import ConfigurationRefusedError, LogUnavailableError
from railfold._internal.forwarding import process
from railfold._internal.forwarding.peers.peer_messages import ProofReply
from railfold._internal.forwarding.process import ForwardingEntry
from railfold._internal.store.records import LogPage
from tests.lib.forwarding import (
    Connection,
    Deployment,
    Reply,
    configuration,
    running,
    until,
)

LEASE_S = 1.5


@pytest.fixture
async def two_entries() -> AsyncIterator[Deployment]:
    async for deployment in running(Deployment(entry_count=2, lease_s=LEASE_S)):
        channels = [entry._peering._channel for entry in deployment.entries]
        await until(lambda: all(channel and channel.peers for channel in channels))  # noqa: B023
        yield deployment


def turn_away(entry: ForwardingEntry) -> None:
    """Let the store not answer an entry that reads the configuration."""

    async def read(stream: str, offset: int, wait_s: float) -> LogPage:
        raise LogUnavailableError("turned away")

    entry._proofs._log.read = read  # type: ignore[method-assign]
    entry._configuration._log.read = read  # type: ignore[method-assign]
    entry._configuration.cancel_waiting_read()


async def ask(deployment: Deployment, number: int, request_id: str) -> Reply:
    """Ask one of the entries."""
    connection: Connection = await deployment.connect(number)
    try:
        return await connection.ask("/tray/1", request_id)
    finally:
        connection.close()


async def test_an_entry_that_is_turned_away_serves_on(two_entries: Deployment) -> None:
    """It refused all that have a credential once its lease had lapsed."""
    turn_away(two_entries.entry)
    for number in range(int(2.5 * LEASE_S / 0.1)):
        assert (await ask(two_entries, 0, f"r-{number}")).status == 200
        await asyncio.sleep(0.1)


async def test_it_stops_when_another_knows_of_a_newer_configuration(
    two_entries: Deployment,
) -> None:
    """Which it can't read: a credential may have been taken away."""
    turn_away(two_entries.entry)
    two_entries.store.put("keyed.op", "config", configuration(2))
    loop = asyncio.get_running_loop()
    lease = two_entries.entry.router.lease
    written_s = loop.time()
    await until(lambda: not lease.valid(loop.time()))
    assert loop.time() - written_s < LEASE_S + 0.5
    reply = await ask(two_entries, 0, "late")
    assert reply.status == 503
    # The other one serves: its clients needn't wait.
    assert float(reply.headers["Retry-After"]) <= 0.1
    assert (await ask(two_entries, 1, "elsewhere")).status == 200


async def test_nobody_serves_for_longer_when_the_store_is_lost_for_all(
    two_entries: Deployment,
) -> None:
    two_entries.store.mode = "out"
    loop = asyncio.get_running_loop()
    lost_s = loop.time()
    for entry in two_entries.entries:
        await until(lambda e=entry: not e.router.lease.valid(loop.time()))  # type: ignore[misc]
    assert loop.time() - lost_s <= LEASE_S + 0.1
    await asyncio.sleep(0.5)
    replies = [await ask(two_entries, number, f"r-{number}") for number in range(2)]
    assert [reply.status for reply in replies] == [503, 503]
    assert float(replies[0].headers["Retry-After"]) >= 0.15


async def test_an_answer_that_comes_late_proves_what_held_when_it_was_asked(
    two_entries: Deployment,
) -> None:
    """Also if this host stood still meanwhile."""
    entry = two_entries.entry
    proofs = entry._proofs
    turn_away(entry)
    loop = asyncio.get_running_loop()
    told: list[ProofReply] = []
    take, proofs.told = proofs.told, told.append  # type: ignore[method-assign, assignment]
    await until(lambda: bool(told))
    first = told[0]
    await asyncio.sleep(LEASE_S + 0.3)
    # Later questions may have fresh answers; only the first one is taken now.
    take(first)
    assert not entry.router.lease.valid(loop.time())
    assert entry.router.lease.age_s(loop.time()) >= LEASE_S + 0.3


async def test_a_store_that_went_back_is_learned_of_from_others(
    two_entries: Deployment,
) -> None:
    """Proofs of the history before don't count, whoever tells them."""
    entry = two_entries.entry
    turn_away(entry)
    two_entries.store.go_back(two_entries.store.copy())
    await until(lambda: entry.metrics.counters["store.went_back"] > 0)


async def test_an_entry_that_stays_behind_reads_the_store_no_more_often(
    two_entries: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It refuses what the others accept, and each question told it of the newer one."""
    entry = two_entries.entry

    def refuse(value: bytes) -> RoutingTable:
        raise ConfigurationRefusedError("config", ["of a later software"])

    monkeypatch.setattr(entry._configuration_feed, "_decode", refuse)
    two_entries.store.put("keyed.op", "config", configuration(2))
    await until(lambda: entry.metrics.counters["proofs.behind"] > 0)
    before = entry.metrics.counters["proofs.read"]
    await asyncio.sleep(3.0)
    assert entry.metrics.counters["proofs.read"] - before <= 6


async def test_an_entry_that_falls_behind_sends_its_clients_elsewhere(
    two_entries: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They kept their connections to it, and were refused until they gave up."""
    monkeypatch.setattr(process, "_BALANCER_PROBE_S", 0.3)
    entry = two_entries.entry
    kept: Connection = await two_entries.connect(0)
    assert (await kept.ask("/tray/1", "before")).headers.get("Connection") != "close"
    turn_away(entry)
    two_entries.store.put("keyed.op", "config", configuration(2))
    loop = asyncio.get_running_loop()
    await until(lambda: not entry.ready())
    assert entry.router.lease.valid(loop.time())
    assert two_entries.entries[1].ready()
    await until(lambda: not entry.router.lease.valid(loop.time()))
    reply = await kept.ask("/tray/1", "late")
    kept.close()
    assert reply.status == 503
    assert reply.headers["Connection"] == "close"


async def test_all_entries_stay_ready_while_the_store_is_lost_for_all(
    two_entries: Deployment,
) -> None:
    two_entries.store.mode = "out"
    loop = asyncio.get_running_loop()
    entry = two_entries.entry
    while entry.router.lease.valid(loop.time()):
        assert entry.ready()
        await asyncio.sleep(0.02)
