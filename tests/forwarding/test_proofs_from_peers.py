"""Entries that get the proof of their configuration from other entries.

Guards against an entry that refuses all requests since it alone can't read the store,
and against one that serves by a configuration that is no longer in force.
"""

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


def fail_store_reads(entry: ForwardingEntry) -> None:
    """Make an entry's reads of the configuration fail."""

    async def read(stream: str, offset: int, wait_s: float) -> LogPage:
        raise LogUnavailableError("unavailable in this test")

    entry._proofs._log.read = read  # type: ignore[method-assign]
    entry._configuration._log.read = read  # type: ignore[method-assign]
    entry._configuration.cancel_waiting_read()


async def ask(deployment: Deployment, number: int, request_id: str) -> Reply:
    """Send a request to one of the entries; return its answer."""
    connection: Connection = await deployment.connect(number)
    try:
        return await connection.ask("/tray/1", request_id)
    finally:
        connection.close()


async def test_entry_without_the_store_serves_by_proofs_of_its_peers(
    two_entries: Deployment,
) -> None:
    """Otherwise it refuses all requests with credentials once its lease expires."""
    fail_store_reads(two_entries.entry)
    for number in range(int(2.5 * LEASE_S / 0.1)):
        assert (await ask(two_entries, 0, f"r-{number}")).status == 200
        await asyncio.sleep(0.1)


async def test_entry_stops_serving_when_a_peer_has_a_newer_configuration(
    two_entries: Deployment,
) -> None:
    """It can't read that configuration, which may revoke a credential."""
    fail_store_reads(two_entries.entry)
    two_entries.store.put("keyed.op", "config", configuration(2))
    loop = asyncio.get_running_loop()
    lease = two_entries.entry.router.lease
    written_s = loop.time()
    await until(lambda: not lease.valid(loop.time()))
    assert loop.time() - written_s < LEASE_S + 0.5
    reply = await ask(two_entries, 0, "late")
    assert reply.status == 503
    # The other entry serves, so that clients may retry there at once.
    assert float(reply.headers["Retry-After"]) <= 0.1
    assert (await ask(two_entries, 1, "elsewhere")).status == 200


async def test_no_entry_serves_beyond_its_lease_when_the_store_is_lost_for_all(
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


async def test_late_reply_counts_from_when_its_question_was_sent(
    two_entries: Deployment,
) -> None:
    """The proof in it may be too old, as when this entry's host was suspended."""
    entry = two_entries.entry
    proofs = entry._proofs
    fail_store_reads(entry)
    loop = asyncio.get_running_loop()
    replies: list[ProofReply] = []
    process_reply, proofs.reply_received = proofs.reply_received, replies.append  # type: ignore[method-assign, assignment]
    await until(lambda: bool(replies))
    first_reply = replies[0]
    await asyncio.sleep(LEASE_S + 0.3)
    # Later questions may have fresh replies; only the first one is processed now.
    process_reply(first_reply)
    assert not entry.router.lease.valid(loop.time())
    assert entry.router.lease.age_s(loop.time()) >= LEASE_S + 0.3


async def test_entry_learns_from_peers_that_the_store_went_back(
    two_entries: Deployment,
) -> None:
    """Proofs from before that no longer count, whichever entry reports them."""
    entry = two_entries.entry
    fail_store_reads(entry)
    two_entries.store.restore_copy(two_entries.store.copy())
    await until(lambda: entry.metrics.counters["store.went_back"] > 0)


async def test_entry_that_refuses_a_newer_configuration_limits_its_store_reads(
    two_entries: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each question of a peer that accepted it could lead to another read."""
    entry = two_entries.entry

    def refuse(value: bytes) -> RoutingTable:
        raise ConfigurationRefusedError("config", ["written by a later version"])

    monkeypatch.setattr(entry._configuration_feed, "_decode", refuse)
    two_entries.store.put("keyed.op", "config", configuration(2))
    await until(lambda: entry.metrics.counters["proofs.behind"] > 0)
    before = entry.metrics.counters["proofs.read"]
    await asyncio.sleep(3.0)
    assert entry.metrics.counters["proofs.read"] - before <= 6


async def test_entry_that_falls_behind_closes_client_connections(
    two_entries: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise clients keep their connections to it, and all requests are refused."""
    monkeypatch.setattr(process, "_BALANCER_PROBE_S", 0.3)
    entry = two_entries.entry
    connection: Connection = await two_entries.connect(0)
    assert (await connection.ask("/tray/1", "before")).headers.get(
        "Connection"
    ) != "close"
    fail_store_reads(entry)
    two_entries.store.put("keyed.op", "config", configuration(2))
    loop = asyncio.get_running_loop()
    await until(lambda: not entry.ready())
    assert entry.router.lease.valid(loop.time())
    assert two_entries.entries[1].ready()
    await until(lambda: not entry.router.lease.valid(loop.time()))
    reply = await connection.ask("/tray/1", "late")
    connection.close()
    assert reply.status == 503
    assert reply.headers["Connection"] == "close"


async def test_refusals_of_an_entry_alone_without_proof_close_connections_at_once(
    two_entries: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(process, "_BALANCER_PROBE_S", 10.0)
    connection: Connection = await two_entries.connect(0)
    await connection.ask("/tray/1", "before")
    fail_store_reads(two_entries.entry)
    two_entries.store.put("keyed.op", "config", configuration(2))
    lease = two_entries.entry.router.lease
    loop = asyncio.get_running_loop()
    await until(lambda: not lease.valid(loop.time()))
    reply = await connection.ask("/tray/1", "late")
    connection.close()
    assert (reply.status, reply.headers.get("Connection")) == (503, "close")


async def test_all_entries_stay_ready_while_the_store_is_lost_for_all(
    two_entries: Deployment,
) -> None:
    two_entries.store.mode = "out"
    loop = asyncio.get_running_loop()
    entry = two_entries.entry
    while entry.router.lease.valid(loop.time()):
        assert entry.ready()
        await asyncio.sleep(0.02)
