"""An entry whose host was suspended must not act on outdated state after it resumes.

During the suspension credentials may be revoked, another entry may become the leader
that places layers, and deadlines of clients pass. The entry runs on the event loop that
it uses in production. Only the clocks of its host are moved; the effect of a suspension
on the kernel's sockets isn't simulated.
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


def suspending_while_connecting(
    host: Host, suspended_s: float, connection_number: int = 1
) -> Connect:
    """Return a ``connect`` function during which the host is suspended once.

    :param connection_number: which connection to the same address, counted from 1, is
        the one during which it happens.
    """
    counts: Counter[Address] = Counter()

    async def connect_and_suspend(address: Address, timeout_s: float) -> HttpConnection:
        connection = await connect(address, timeout_s)
        counts[address] += 1
        if counts[address] == connection_number and not host.suspended_s:
            host.suspend(suspended_s)
        return connection

    return connect_and_suspend


def run_scenario(
    scenario: Callable[[Deployment], Awaitable[None]], *, placed: bool
) -> None:
    """Run a scenario on the event loop that entries use in production.

    :param placed: whether the engines have layers at the start.
    """

    async def run() -> None:
        deployment = Deployment(layers_placed=placed)
        await deployment.start()
        try:
            await scenario(deployment)
        finally:
            await deployment.stop()

    clock.run(run())


@pytest.mark.parametrize("path", ["/draft/1", "/slip/1", "/tray/1"])
def test_a_request_is_not_sent_with_a_credential_checked_before_the_suspension(
    host: Host, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """The credential may have been revoked for longer than an entry may use it."""

    async def scenario(deployment: Deployment) -> None:
        suspending_connect = suspending_while_connecting(host, deployment.lease_s + 1.0)
        monkeypatch.setattr(exchange, "connect", suspending_connect)
        deployment.entry.router.pool.close()
        reply = await deployment.ask(path, headers={"Railfold-Deadline-Ms": "20000"})
        assert reply.status == 503
        servers = (*deployment.engines, *deployment.plain)
        assert [server.arrivals for server in servers] == [[]] * len(servers)

    run_scenario(scenario, placed=True)


def test_a_request_is_not_sent_after_its_deadline(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(deployment: Deployment) -> None:
        monkeypatch.setattr(exchange, "connect", suspending_while_connecting(host, 2.0))
        reply = await deployment.ask(
            "/tray/1", headers={"Railfold-Deadline-Ms": "1500"}
        )
        assert reply.status in (503, 504)
        assert not any(server.arrivals for server in deployment.plain)

    run_scenario(scenario, placed=True)


def test_the_time_left_sent_to_a_server_excludes_the_suspension(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(deployment: Deployment) -> None:
        monkeypatch.setattr(exchange, "connect", suspending_while_connecting(host, 1.5))
        reply: Reply = await deployment.ask("/tray/1")
        assert reply.status == 200
        (seen,) = [
            seen for server in deployment.plain for seen in server.received_headers
        ]
        assert int(seen["Railfold-Deadline-Ms"]) <= 4000 - 1500

    run_scenario(scenario, placed=True)


def test_an_order_is_not_sent_under_a_lease_that_expired_in_the_suspension(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first connection is for the engine's report, the second for the order."""

    async def scenario(deployment: Deployment) -> None:
        monkeypatch.setattr(ConnectionPool, "take", lambda *_, **__: None)
        suspending_connect = suspending_while_connecting(
            host, 10.0, connection_number=2
        )
        monkeypatch.setattr(engine_calls, "connect", suspending_connect)
        outcomes: list[str] = []

        def ordered() -> bool:
            for line in deployment.log_lines():
                if line["type"] == "layers_ordered":
                    outcomes.append(line["outcome"])
            return bool(outcomes)

        # The timeout includes the time for which the host is suspended.
        await until(ordered, 30.0)
        assert outcomes[0].startswith("refused: the lease was lost")
        # The entry sends orders again once it holds the lease again.
        await until(
            lambda: any(engine.received_orders for engine in deployment.engines), 30.0
        )

    run_scenario(scenario, placed=False)


def test_connections_idle_during_the_suspension_are_not_reused(host: Host) -> None:
    async def scenario(deployment: Deployment) -> None:
        assert (await deployment.ask("/tray/1")).status == 200
        pool = deployment.entry.router.pool
        used = [e.server_id for e in deployment.plain if e.arrivals]
        now_s = asyncio.get_running_loop().time()
        assert pool.has_idle(used[0], now_s)
        host.suspend(60.0)
        await asyncio.sleep(0.05)
        assert not pool.has_idle(used[0], asyncio.get_running_loop().time())

    run_scenario(scenario, placed=True)


def test_a_resumed_entry_is_not_ready_until_the_store_answers(host: Host) -> None:
    async def scenario(deployment: Deployment) -> None:
        assert deployment.entry.ready()
        deployment.store.mode = "silent"
        host.suspend(deployment.lease_s + 1.0)
        assert not deployment.entry.ready()
        assert (await deployment.ask("/tray/1")).status == 503
        deployment.store.mode = "ok"
        await until(lambda: deployment.entry.ready(), 10.0)

    run_scenario(scenario, placed=True)


def test_a_drain_ends_at_once_if_its_time_passed_in_the_suspension(host: Host) -> None:
    """The platform kills the process after the grace period by its own clock."""

    async def scenario(deployment: Deployment) -> None:
        connection = await deployment.connect()
        await connection.send("/draft/1", "s-1", events=2000)
        loop = asyncio.get_running_loop()
        drain = loop.create_task(deployment.entry.drain())
        await asyncio.sleep(0.2)
        started_s = loop.time()
        host.suspend(30.0)
        await asyncio.wait_for(drain, 5.0)
        assert loop.time() - started_s < 32.0
        connection.close()

    run_scenario(scenario, placed=True)


def test_the_duration_of_a_suspension_is_logged(host: Host) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.log_lines()
        host.suspend(7.0)
        await asyncio.sleep(0.3)
        lines = [
            line for line in deployment.log_lines() if line["type"] == "process_resumed"
        ]
        assert [round(line["suspended_ms"], -2) for line in lines] == [7000.0]

    run_scenario(scenario, placed=True)


def test_the_suspension_counts_towards_a_requested_backoff(host: Host) -> None:
    """The server gets no request too early, and isn't avoided for longer than asked."""

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

    run_scenario(scenario, placed=True)
