"""An entry whose host is suspended at some step, and wakes with old beliefs.

What others decided meanwhile holds: credentials may be revoked, another entry may place
layers, clients don't wait any more. The entry runs here on the loop that it has as a
program; the host's clocks are moved, all else goes on as it was. What the kernel does
to sockets of a suspended host isn't played.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from railfold._internal import clock
from railfold._internal.core import Address
from railfold._internal.forwarding.requests import exchange
from railfold._internal.forwarding.servers import engine_calls
from railfold._internal.forwarding.servers.http_client import HttpConnection, connect
from railfold._internal.forwarding.servers.pool import ConnectionPool
from tests.lib.forwarding import Deployment, Reply, until
from tests.lib.hosts import Host

Connect = Callable[[Address, float], Awaitable[HttpConnection]]


def suspended_while_connecting(host: Host, for_s: float, at: int = 1) -> Connect:
    """Return a way to connect during which the host is suspended once.

    :param at: the number of the connection to the same address.
    """
    counts: Counter[Address] = Counter()

    async def connect_slowly(address: Address, timeout_s: float) -> HttpConnection:
        connection = await connect(address, timeout_s)
        counts[address] += 1
        if counts[address] == at and not host.suspended_s:
            host.suspend(for_s)
        return connection

    return connect_slowly


def play(scenario: Callable[[Deployment], Awaitable[None]], *, placed: bool) -> None:
    """Run a scenario on the loop that entries have as programs."""

    async def run() -> None:
        deployment = Deployment(layers_placed=placed)
        await deployment.start()
        try:
            await scenario(deployment)
        finally:
            await deployment.stop()

    clock.run(run())


@pytest.mark.parametrize("path", ["/draft/1", "/slip/1", "/tray/1"])
def test_a_request_isnt_sent_by_a_credential_of_before(
    host: Host, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Its key may have been revoked for longer than the entry may go on with it."""

    async def scenario(deployment: Deployment) -> None:
        slowly = suspended_while_connecting(host, deployment.lease_s + 1.0)
        monkeypatch.setattr(exchange, "connect", slowly)
        deployment.entry.router.pool.close()
        reply = await deployment.ask(path, headers={"Railfold-Deadline-Ms": "20000"})
        assert reply.status == 503
        servers = (*deployment.engines, *deployment.plain)
        assert [server.arrivals for server in servers] == [[]] * len(servers)

    play(scenario, placed=True)


def test_a_request_that_its_client_gave_up_isnt_sent(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(deployment: Deployment) -> None:
        monkeypatch.setattr(exchange, "connect", suspended_while_connecting(host, 2.0))
        reply = await deployment.ask(
            "/tray/1", headers={"Railfold-Deadline-Ms": "1500"}
        )
        assert reply.status in (503, 504)
        assert not any(server.arrivals for server in deployment.plain)

    play(scenario, placed=True)


def test_a_backend_server_is_told_the_time_that_is_left_after_waking(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(deployment: Deployment) -> None:
        monkeypatch.setattr(exchange, "connect", suspended_while_connecting(host, 1.5))
        reply: Reply = await deployment.ask("/tray/1")
        assert reply.status == 200
        (seen,) = [seen for server in deployment.plain for seen in server.seen]
        assert int(seen["Railfold-Deadline-Ms"]) <= 4000 - 1500

    play(scenario, placed=True)


def test_an_order_doesnt_leave_under_a_lease_of_before(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first connection is for the engine's report, the second for the order."""

    async def scenario(deployment: Deployment) -> None:
        monkeypatch.setattr(ConnectionPool, "take", lambda *_, **__: None)
        slowly = suspended_while_connecting(host, 10.0, at=2)
        monkeypatch.setattr(engine_calls, "connect", slowly)
        outcomes: list[str] = []

        def ordered() -> bool:
            for line in deployment.log_lines():
                if line["type"] == "layers_ordered":
                    outcomes.append(line["outcome"])
            return bool(outcomes)

        # The wait ages with the host.
        await until(ordered, 30.0)
        assert outcomes[0].startswith("refused: the lease was lost")
        # It goes on once it has the lease again.
        await until(lambda: any(engine.given for engine in deployment.engines), 30.0)

    play(scenario, placed=False)


def test_connections_that_rested_over_the_suspension_arent_used(host: Host) -> None:
    async def scenario(deployment: Deployment) -> None:
        assert (await deployment.ask("/tray/1")).status == 200
        pool = deployment.entry.router.pool
        used = [e.server_id for e in deployment.plain if e.arrivals]
        now_s = asyncio.get_running_loop().time()
        assert pool.has_idle(used[0], now_s)
        host.suspend(60.0)
        await asyncio.sleep(0.05)
        assert not pool.has_idle(used[0], asyncio.get_running_loop().time())

    play(scenario, placed=True)


def test_an_entry_that_wakes_is_unready_until_the_store_answers(host: Host) -> None:
    async def scenario(deployment: Deployment) -> None:
        assert deployment.entry.ready()
        deployment.store.mode = "silent"
        host.suspend(deployment.lease_s + 1.0)
        assert not deployment.entry.ready()
        assert (await deployment.ask("/tray/1")).status == 503
        deployment.store.mode = "ok"
        await until(lambda: deployment.entry.ready(), 10.0)

    play(scenario, placed=True)


def test_a_planned_stop_ends_at_once_when_its_time_has_passed(host: Host) -> None:
    """The kill that follows comes by the platform's clock."""

    async def scenario(deployment: Deployment) -> None:
        connection = await deployment.connect()
        await connection.send("/draft/1", "s-1", events=2000)
        loop = asyncio.get_running_loop()
        drain = loop.create_task(deployment.entry.drain())
        await asyncio.sleep(0.2)
        began_s = loop.time()
        host.suspend(30.0)
        await asyncio.wait_for(drain, 5.0)
        assert loop.time() - began_s < 32.0
        connection.close()

    play(scenario, placed=True)


def test_waking_is_logged_with_what_it_met(host: Host) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.log_lines()
        host.suspend(7.0)
        await asyncio.sleep(0.3)
        lines = [
            line for line in deployment.log_lines() if line["type"] == "process_resumed"
        ]
        assert [round(line["suspended_ms"], -2) for line in lines] == [7000.0]

    play(scenario, placed=True)


def test_a_suspension_counts_for_the_time_that_a_server_asked_for(host: Host) -> None:
    """Neither sent to too soon, nor kept away from for seconds more."""

    async def scenario(deployment: Deployment) -> None:
        server, other = deployment.plain
        other.state = "draining"
        other.register()
        await until(deployment.all_known)
        server.mode, server.retry_after = "shed", "20"
        assert (await deployment.ask("/tray/1", "c-1")).status == 503
        server.mode = "ok"
        host.suspend(2.0)
        assert (await deployment.ask("/tray/1", "c-2")).status == 503
        host.suspend(18.0)
        await until(lambda: deployment.entry.ready())
        left_s = deployment.entry.router.backoffs.left_s(server.server_id)
        assert left_s == 0.0
        assert len(server.arrivals) == 1

    play(scenario, placed=True)
