"""An entry that gets most new connections must serve what it reads.

Without admission of connections, an entry that gets three times what it can serve reads
all of it, and answers nearly everything after its clients have given up.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from railfold._internal.core import Address
from railfold._internal.decisions.memory_quota import MemoryQuota
from railfold._internal.forwarding.requests.front import ClientExchange, ClientServer
from soak.deployment import Deployment
from standins.cluster import free_port
from tests.lib.forwarding import Connection
from tests.lib.uneven_connections import (
    Clients,
    overload_changes,
    served_share,
    slow_fleet,
)

ENTRIES = 6
REQUEST_COST_S = 0.05
# Half of what all entries together can serve.
RATE_PER_S = 60.0
PAUSE_S = 0.3
# The rule holds from then on.
REACTION_S = 3.0


@contextlib.asynccontextmanager
async def balanced(deployment: Deployment) -> AsyncIterator[Clients]:
    clients = Clients(deployment, RATE_PER_S)
    probes = asyncio.create_task(clients.probe_readiness())
    yield clients
    probes.cancel()
    clients.close()


@pytest.mark.parametrize("uses", [1, 3])
async def test_entry_with_most_new_connections_serves_what_it_reads(uses: int) -> None:
    async with (
        slow_fleet(ENTRIES, REQUEST_COST_S) as deployment,
        balanced(deployment) as clients,
    ):
        before = await clients.run(3.0)
        clients.busy_entry, clients.busy_share, clients.uses = 0, 0.9, uses
        await clients.run(REACTION_S)
        during = await clients.run(5.0)
        clients.busy_entry, clients.uses = None, 5
        await clients.run(5.0)
        after = await clients.run(2.0)
        assert served_share(before) > 0.9
        assert served_share(during) >= 0.75 * served_share(before)
        unserved = [result for result in during if result.entry is None]
        assert len(unserved) <= 0.02 * len(during)
        # Afterwards it serves as before.
        assert served_share(after) >= 0.75 * served_share(before)
        assert overload_changes(deployment, deployment.entries[0]) == [True, False]
        assert sum(result.unread for result in after) <= 0.02 * len(after)


async def test_usual_load_and_short_pauses_close_no_connection() -> None:
    async with (
        slow_fleet(2, REQUEST_COST_S / 2, PAUSE_S) as deployment,
        balanced(deployment) as clients,
    ):
        clients.rate_per_s, clients.uses = 30.0, 1
        results = await clients.run(8.0)
        assert sum(result.unread for result in results) == 0
        for entry in deployment.entries:
            assert overload_changes(deployment, entry) == []


class CountingHandler:
    """Counts the requests that were read."""

    def __init__(self) -> None:
        self.requests = 0

    def handle_request(self, exchange: ClientExchange, *request: Any) -> None:
        self.requests += 1
        exchange.reply(200, [], b"")

    def client_disconnected(self, exchange: ClientExchange) -> None:
        pass

    def workspace_of(self, headers: Any) -> str:
        return ""


class ClosingMonitor:
    """Admits no connection."""

    turns = 0

    def admits(self, awaited: int) -> bool:
        return False


async def test_connection_that_is_not_admitted_is_closed_unread() -> None:
    handler = CountingHandler()
    address = Address("127.0.0.1", free_port())
    server = ClientServer(address, handler, MemoryQuota(1_000_000))  # type: ignore[arg-type]
    server.can_answer.set()
    server.loop_monitor = ClosingMonitor()  # type: ignore[assignment]
    listening = asyncio.Event()
    running = asyncio.create_task(server.run(listening))
    await listening.wait()
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await Connection(reader, writer).ask("/tray/1", "c-1")
    assert handler.requests == 0
    assert server.open_connections == 0
    writer.close()
    running.cancel()
