"""Backend servers that advertise a rate limit in their answers.

Guards against entries that together send a server more requests than its limit allows.
This happens if entries pass the limit on to clients without reading it: a server with a
limit of 1.4 requests a second got 23 requests within 4 s, and one entry alone sends
twice the limit. It also happens if each entry keeps the limit on its own, since the
limit applies to the sum over all entries and is small compared with their number.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from standins.chaining_engine import Engine
from tests.lib.forwarding import (
    Deployment,
    begin_stream,
    read_reply,
    running,
    stream_body,
    until,
)
from tests.lib.limits import (
    OBJECTIVE_S,
    ClientLoad,
    allowed_requests,
    knows_peers,
    run_limit_scenario,
)

STREAM, SAFE = "/draft/1", "/tray/1"

PER_S = 24.0

# Minimum share of a limit that is used while there is enough demand.
USED_SHARE = 0.7


def known_limit_per_s(
    deployment: Deployment, number: int, server: Engine
) -> float | None:
    """Return the limit of a server as an entry knows it."""
    limits = deployment.entries[number].router.limits
    return limits._limits.limit_per_s(server.server_id)


async def stop_messages_between_entries(deployment: Deployment) -> None:
    """Stop all messages between entries, once all know each other."""
    await until(lambda: all(map(knows_peers, deployment.entries)))
    for entry in deployment.entries:
        channel = entry._peering._channel
        assert channel is not None
        channel._send_datagram = lambda datagram, peers: None  # type: ignore[method-assign]


@pytest.mark.parametrize("entries", [1, 5])
async def test_limit_of_one_of_two_first_engines_is_kept(entries: int) -> None:
    async for deployment in running(Deployment(entry_count=entries)):
        server = deployment.first_stage_engines[0]
        load = ClientLoad(deployment, STREAM, PER_S)
        outcome = await run_limit_scenario(deployment, load, {server.server_id: "1.4"})
        assert outcome.max_in_window(server) <= allowed_requests(1.4)
        since_s, until_s = outcome.limits_began_s + 1.0, outcome.limits_ended_s
        assert outcome.received_per_s(server, since_s, until_s) >= USED_SHARE * 1.4
        assert outcome.served_share(outcome.limits_began_s, until_s) >= 0.95


async def test_limits_of_both_first_engines_are_kept() -> None:
    """Requests beyond the limits are refused at once, with a time for the retry."""
    async for deployment in running(Deployment(entry_count=3)):
        servers = deployment.first_stage_engines
        load = ClientLoad(deployment, STREAM, PER_S)
        outcome = await run_limit_scenario(
            deployment, load, {s.server_id: "2.5" for s in servers}
        )
        since_s, until_s = outcome.limits_began_s + 1.0, outcome.limits_ended_s
        for server in servers:
            assert outcome.max_in_window(server) <= allowed_requests(2.5)
            assert outcome.received_per_s(server, since_s, until_s) >= USED_SHARE * 2.5
        sent = load.sent_between(since_s, until_s)
        refused = [r for r in sent if r.refused]
        assert all(r.served or r.refused for r in sent)
        assert max(r.ended_s - r.sent_s for r in refused) <= 0.5 * OBJECTIVE_S
        replies = [r.reply for r in refused if r.reply is not None]
        waits_s = [float(reply.headers["Retry-After"]) for reply in replies]
        assert min(waits_s) > 0.0
        assert max(waits_s) <= 2.0
        # The retries are spread over time.
        assert len({round(wait_s, 1) for wait_s in waits_s}) >= 5


async def test_limit_of_one_of_two_plain_servers_is_kept() -> None:
    async for deployment in running(Deployment(entry_count=3)):
        server = deployment.plain[0]
        load = ClientLoad(deployment, SAFE, PER_S, rng=random.Random(2))
        outcome = await run_limit_scenario(deployment, load, {server.server_id: "1.4"})
        assert outcome.max_in_window(server) <= allowed_requests(1.4)
        assert (
            outcome.served_share(outcome.limits_began_s, outcome.limits_ended_s) >= 0.95
        )


async def test_limit_is_kept_without_messages_between_entries() -> None:
    async for deployment in running(Deployment(entry_count=5)):
        server = deployment.first_stage_engines[0]
        load = ClientLoad(deployment, STREAM, PER_S)
        await stop_messages_between_entries(deployment)
        outcome = await run_limit_scenario(deployment, load, {server.server_id: "1.4"})
        assert outcome.max_in_window(server) <= allowed_requests(1.4)
        assert (
            outcome.served_share(outcome.limits_began_s, outcome.limits_ended_s) >= 0.95
        )


async def test_server_gets_usual_rate_within_six_seconds_after_its_limit() -> None:
    async for deployment in running(Deployment(entry_count=3)):
        server = deployment.first_stage_engines[0]
        load = ClientLoad(deployment, STREAM, PER_S)
        outcome = await run_limit_scenario(
            deployment, load, {server.server_id: "1.4"}, duration_s=5.0, after_s=10.0
        )
        usual_per_s = outcome.received_per_s(
            server, outcome.limits_began_s - 2.0, outcome.limits_began_s
        )
        recovered_s = outcome.limits_ended_s + 6.0
        assert (
            outcome.received_per_s(server, recovered_s, recovered_s + 4.0)
            >= 0.6 * usual_per_s
        )
        assert (
            outcome.received_per_s(
                server, outcome.limits_ended_s, outcome.limits_ended_s + 1.0
            )
            < usual_per_s
        )
        assert outcome.served_share(outcome.limits_began_s, recovered_s + 4.0) >= 0.95


async def test_entry_that_sends_nothing_learns_limit_from_others(
    two_entries: Deployment,
) -> None:
    deployment = two_entries
    server = deployment.first_stage_engines[0]
    load = ClientLoad(deployment, STREAM, PER_S, shares=(1.0, 0.0))
    scenario = asyncio.create_task(
        run_limit_scenario(
            deployment, load, {server.server_id: "1.4"}, duration_s=3.0, after_s=3.0
        )
    )
    await until(lambda: known_limit_per_s(deployment, 1, server) == 1.4)
    await until(lambda: known_limit_per_s(deployment, 1, server) is None, 10.0)
    await scenario


async def test_limit_doesnt_apply_to_new_incarnation(deployment: Deployment) -> None:
    server = deployment.plain[0]
    other = deployment.plain[1]
    server.born = 5_000
    server.register()
    other.state = "draining"
    other.register()
    await until(deployment.all_known)
    server.rate_limit = "0"
    assert (await deployment.ask(SAFE, "c-1")).status == 200
    assert (await deployment.ask(SAFE, "c-2")).status in (200, 503)
    assert (await deployment.ask(SAFE, "c-3")).status == 503
    server.rate_limit = None
    await server.restart(born=6_000)
    await until(deployment.all_known)
    replies = [await deployment.ask(SAFE, f"c-{n}") for n in range(4, 8)]
    assert {reply.status for reply in replies} == {200}


async def test_begun_stream_continues_on_server_with_limit(
    deployment: Deployment,
) -> None:
    connection, engine = await begin_stream(deployment, events=100)
    (other,) = [e for e in deployment.first_stage_engines if e is not engine]
    other.rate_limit = "4"
    for number in range(6):
        reply = await deployment.ask(STREAM, f"n-{number}")
        assert reply.status == 200
    engine.crash()
    reply = await read_reply(connection)
    assert (reply.complete, reply.body) == (True, stream_body(100))


async def test_malformed_limit_has_no_effect(deployment: Deployment) -> None:
    for server in deployment.plain:
        server.rate_limit = "nan"
    replies = [await deployment.ask(SAFE, f"c-{n}") for n in range(6)]
    assert {reply.status for reply in replies} == {200}
    lines = [e for e in deployment.log_lines() if e["type"] == "rate_limit_changed"]
    assert {line["state"] for line in lines} == {"unreadable"}
    assert len(lines) <= len(deployment.plain)


async def test_logs_name_the_servers_whose_limits_refused_a_request(
    deployment: Deployment,
) -> None:
    for server in deployment.plain:
        server.rate_limit = "0.5"
    replies = [await deployment.ask(SAFE, f"c-{n}") for n in range(8)]
    assert replies[-1].status == 503
    assert b"rate_limited" in replies[-1].body
    lines = deployment.log_lines()
    limit_events = [e for e in lines if e["type"] == "rate_limit_changed"]
    assert {(e["state"], e["per_s"], e["source"]) for e in limit_events} == {
        ("named", 0.5, "the server")
    }
    refused = [e for e in lines if e["type"] == "request_ended" and e["status"] == 503]
    assert all(limit_events[0]["server_id"] in e["cause"] for e in refused)
    metrics = deployment.entry.metrics
    assert metrics.gauges["rate_limits.in_force"] == 2
    assert metrics.counters["rate_limits.refused"] == len(refused)


async def test_whole_answer_or_begun_stream_without_a_limit_ends_it(
    deployment: Deployment,
) -> None:
    for server, path in (
        (deployment.plain[0], SAFE),
        (deployment.first_stage_engines[0], STREAM),
    ):
        server.rate_limit = "50"
        for number in range(20):
            await deployment.ask(path, f"{path[1]}-{number}")
        assert known_limit_per_s(deployment, 0, server) == 50
        server.rate_limit = None
        for number in range(20):
            await deployment.ask(path, f"{path[1]}-{number}-later")
        assert known_limit_per_s(deployment, 0, server) is None
