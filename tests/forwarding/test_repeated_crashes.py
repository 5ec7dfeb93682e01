"""Requests that crash each backend server that runs them are held back.

Guards against an outage that one client causes: it resends the same stream under a new
id, at any entry, whenever it failed. Each engine that runs the stream crashes 0.1 s
later, and all other streams on it fail. An entry sends the stream to a second engine at
once, which crashes too; the client's next attempt reaches an entry that knows nothing
about the first. In this way 18 of 38 engines crashed, and for seconds hardly any
request was served.

Limits on attempts and the retry budget don't help, since they count per request id. The
entries must recognize the content and report crashes to each other. In each of twelve
crashes within 8 s, a stream of the same workspace and route was running that had begun
0.09 to 0.32 s before and had no event. The load of the engines wasn't the cause, since
they held between 4 and 29 streams; the stand-ins here crash only on one body, with the
same effect.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncIterator

import pytest
from click.testing import CliRunner

from railfold._internal.cli.main import cli
from railfold._internal.decisions.quarantine import RequestContent
from railfold._internal.forwarding.peers.peer_messages import CrashesNotice, CrashNotice
from railfold._internal.forwarding.quarantine import crash_reports
from railfold._internal.forwarding.quarantine.crash_watch import (
    InterruptedRun,
    RunDetails,
)
from standins.chaining_engine import Engine
from tests.lib.crashing_fleet import (
    POISON_BODY,
    CrashingFleet,
    RequestSender,
    run_poison_requests,
)
from tests.lib.forwarding import Deployment, Reply, running, until

# Within this time after a crash, all entries know of it.
PROPAGATION_S = 3.0

# How often the request may be sent after that time, as trials that show whether it
# still crashes servers.
MAX_LATE_SENDS = 3

DURATION_S = 8.0

STREAM_PATH, SAFE_PATH, UNSAFE_PATH = "/draft/1", "/tray/1", "/slip/1"


@pytest.fixture
async def four_entries() -> AsyncIterator[Deployment]:
    async for deployment in running(Deployment(entry_count=4)):
        yield deployment


async def test_stream_that_crashes_its_engines_is_held_back(
    two_entries: Deployment,
) -> None:
    outcome = await run_poison_requests(two_entries, "/draft/1", DURATION_S)
    assert outcome.late_sends(PROPAGATION_S) <= MAX_LATE_SENDS
    assert outcome.other_served_share(window_s=2.0) >= 0.95


@pytest.mark.parametrize("path", [SAFE_PATH, UNSAFE_PATH])
async def test_call_that_crashes_its_servers_is_held_back(
    two_entries: Deployment, path: str
) -> None:
    # There are two servers, so that the third crash is of one that has restarted.
    outcome = await run_poison_requests(two_entries, path, DURATION_S + 3.0)
    assert outcome.late_sends(PROPAGATION_S) <= MAX_LATE_SENDS
    assert outcome.other_served_share(window_s=2.0) >= 0.95


async def test_few_engines_crash_when_the_client_uses_all_entries(
    four_entries: Deployment,
) -> None:
    """If each entry learned by itself, each would cost two or three engines."""
    outcome = await run_poison_requests(four_entries, STREAM_PATH, 5.0)
    assert len(outcome.fleet.crash_times_s) <= 5


async def test_entries_share_crashes_while_the_store_is_unavailable(
    two_entries: Deployment,
) -> None:
    await wait_until_recognizing(two_entries)
    fleet = CrashingFleet(two_entries)
    fleet.enable_crashes()
    await send_poison(two_entries, STREAM_PATH, "poison-1")
    assert len(fleet.crash_times_s) == 2
    await until(
        lambda: len(fleet.replaced_servers) == 2 and is_placed_again(two_entries), 15.0
    )
    two_entries.store.mode = "silent"
    await send_poison(two_entries, STREAM_PATH, "poison-2")
    assert len(fleet.crash_times_s) == 3
    await until(lambda: all(map(held_back_digests, two_entries.entries)), 1.0)
    await fleet.stop()


def is_placed_again(deployment: Deployment) -> bool:
    """Return whether engines hold the first layers, and all entries know them."""
    known = all(deployment.all_known(entry) for entry in deployment.entries)
    return known and bool(deployment.first_stage_engines)


async def wait_until_recognizing(deployment: Deployment) -> None:
    """Wait until all entries know all others and the shared key."""

    def known() -> bool:
        entries = deployment.entries
        peers = [entry.metrics.gauges.get("peers.known") for entry in entries]
        return all(entry.recognizes_requests for entry in entries) and all(
            count == len(entries) - 1 for count in peers
        )

    await until(known)


def held_back_digests(entry: object) -> list[str]:
    """Return the digests of the contents that an entry holds back."""
    quarantine = entry._peering.quarantine._quarantine  # type: ignore[attr-defined]
    return [change.content.digest for change in quarantine.held_back]


async def crash_until_held_back(
    deployment: Deployment, path: str = SAFE_PATH
) -> CrashingFleet:
    """Crash servers with a request until the first entry holds it back."""
    await wait_until_recognizing(deployment)
    fleet = CrashingFleet(deployment)
    fleet.enable_crashes()
    number = 0
    while not held_back_digests(deployment.entry):
        number += 1
        await send_poison(deployment, path, f"poison-{number}")
        await asyncio.sleep(0.1)
        assert number < 100
    return fleet


async def send_poison(
    deployment: Deployment, path: str, request_id: str, entry: int = 0
) -> Reply | None:
    """Send the poison request; return the answer, or ``None`` if it was interrupted."""
    connection = await deployment.connect(entry)
    try:
        return await connection.ask(path, request_id, body=POISON_BODY, events=50)
    except (OSError, asyncio.IncompleteReadError):
        return None
    finally:
        connection.close()


async def test_client_of_a_held_back_request_gets_an_error_at_once(
    deployment: Deployment,
) -> None:
    """Its status must not suggest that a retry may succeed."""
    fleet = await crash_until_held_back(deployment)
    arrived = len(fleet.arrivals_s("last"))
    began_s = asyncio.get_running_loop().time()
    reply = await send_poison(deployment, SAFE_PATH, "last")
    assert asyncio.get_running_loop().time() - began_s < 0.5
    assert reply is not None
    assert reply.status == 502
    assert "Retry-After" not in reply.headers
    body = json.loads(reply.body)
    assert body["error"] == "repeated_crashes"
    assert len(fleet.arrivals_s("last")) == arrived == 0
    await fleet.stop()


async def test_suspected_request_is_not_refused_for_repeated_crashes(
    deployment: Deployment,
) -> None:
    """Most requests that are running when a server crashes didn't cause the crash."""
    await wait_until_recognizing(deployment)
    fleet = CrashingFleet(deployment)
    fleet.enable_crashes()
    suspected: list[Reply] = []
    while not held_back_digests(deployment.entry):
        reply = await send_poison(deployment, SAFE_PATH, f"suspect-{len(suspected)}")
        if reply is not None and not held_back_digests(deployment.entry):
            suspected.append(reply)
        await asyncio.sleep(0.1)
    errors = {json.loads(reply.body)["error"] for reply in suspected}
    assert "repeated_crashes" not in errors
    assert "request_on_trial" in errors
    assert all("Retry-After" in reply.headers for reply in suspected)
    await fleet.stop()


async def test_other_requests_with_the_same_path_are_served(
    deployment: Deployment,
) -> None:
    fleet = await crash_until_held_back(deployment)
    sender = RequestSender(deployment, SAFE_PATH, random.Random(1))
    # Wait until all servers of the service have restarted and are known.
    await until(lambda: deployment.all_known(), 10.0)
    await sender.send("another", b"another body", 1)
    assert sender.served_at_s
    await fleet.stop()


async def test_entry_that_starts_later_knows_held_back_requests(
    two_entries: Deployment,
) -> None:
    """It reads them from the store, which keeps them even if all entries restart."""
    fleet = await crash_until_held_back(two_entries)
    (content,) = held_back_digests(two_entries.entry)
    store = two_entries.store
    await until(lambda: content in store.topic("keyed.railfold-quarantine").newest)
    two_entries._settings.append(two_entries._entry_settings(2))
    await two_entries.add_entry(2)
    reply = await send_poison(two_entries, SAFE_PATH, "late", entry=2)
    assert reply is not None
    assert reply.status == 502
    assert fleet.arrivals_s("late") == []
    await fleet.stop()


async def test_entries_cut_off_from_each_other_learn_holds_from_the_store(
    two_entries: Deployment,
) -> None:
    for entry in two_entries.entries:
        channel = entry._peering._channel
        assert channel is not None
        channel.set_key(bytes(32) + entry.router.failure_domain.encode())
    fleet = await crash_until_held_back(two_entries)
    await until(lambda: bool(held_back_digests(two_entries.entries[1])))
    await fleet.stop()


async def test_operator_can_list_and_lift_a_hold(
    two_entries: Deployment, tmp_path_factory: pytest.TempPathFactory
) -> None:
    fleet = await crash_until_held_back(two_entries)
    (content,) = held_back_digests(two_entries.entry)
    stream = two_entries.store.topic("keyed.railfold-quarantine")
    await until(lambda: content in stream.newest)
    settings = tmp_path_factory.mktemp("held") / "settings.toml"
    port = two_entries._adapter._store.port
    settings.write_text(
        'node = "operator"\nip = "127.0.0.1"\nzone = "hall-a"\n'
        '[listen]\nfront = "127.0.0.1:1"\nready = "127.0.0.1:2"\n'
        f'[platform]\naddress = "127.0.0.1:{port}"\n'
    )

    async def command(*words: str) -> str:
        run = CliRunner().invoke
        result = await asyncio.to_thread(run, cli, [*words, str(settings)])
        assert result.exception is None, result.output
        return result.output

    assert content in await command("held")
    shown = json.loads(await command("held", "--json"))
    assert [row["content"] for row in shown] == [content]
    assert "lifted" in await command("lift", content)
    await until(lambda: not any(map(held_back_digests, two_entries.entries)))
    assert "nothing is held back" in await command("held")
    await fleet.stop()


async def test_popular_request_is_not_held_back_for_unrelated_crashes(
    two_entries: Deployment,
) -> None:
    """Many clients send it while servers crash one after another for other reasons."""
    await wait_until_recognizing(two_entries)
    fleet = CrashingFleet(two_entries)
    fleet.enable_crashes()
    for server in fleet.servers:
        server.crash_body = None
    senders = [
        RequestSender(two_entries, SAFE_PATH, random.Random(n)) for n in range(6)
    ]

    async def send_popular(sender: RequestSender) -> None:
        for number in range(80):
            await sender.send(f"popular-{number}", b"the same for all", 1)
            await asyncio.sleep(0.02)

    async def crash_in_turn() -> None:
        for _ in range(3):
            await asyncio.sleep(0.4)
            await until(lambda: any(s.is_listening for s in two_entries.plain))
            next(s for s in two_entries.plain if s.is_listening).crash()

    await asyncio.gather(crash_in_turn(), *map(send_popular, senders))
    replies = [reply for sender in senders for reply in sender.replies if reply]
    assert len(fleet.crash_times_s) >= 3
    assert not any(b"repeated_crashes" in reply.body for reply in replies)
    await fleet.stop()


async def test_false_crash_reports_of_an_entry_are_retracted(
    two_entries: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reported crashes of running servers are retracted, and so is the hold."""
    monkeypatch.setattr(crash_reports, "_CONTRADICTION_DELAY_S", 0.5)
    await wait_until_recognizing(two_entries)
    lying_entry, entry = two_entries.entries
    servers: list[Engine] = [*two_entries.engines, *two_entries.plain]
    crashes = [
        CrashNotice(server.server_id, 1000 - 200 * n, 900 - 200 * n)
        for n, server in enumerate(servers[:4])
    ]
    notice = CrashesNotice("0" * 32, "llm", "draft", "quality", crashes)
    lying_entry._peering._broadcast(notice)
    await until(lambda: bool(held_back_digests(entry)))
    await until(lambda: not held_back_digests(entry))
    assert entry.metrics.counters["peers.contradicted"] > 0


async def test_only_the_most_suspicious_contents_are_announced(
    two_entries: Deployment,
) -> None:
    """More contents may have just started on the server than an entry announces."""
    await wait_until_recognizing(two_entries)
    quarantine = two_entries.entry._peering.quarantine
    now_s = asyncio.get_running_loop().time()
    old = RequestContent("f" * 32, "llm", "draft", "quality")
    quarantine._on_crash("gone-1", [interrupted_run(old, now_s - 1.0)])
    runs = [interrupted_run(old, now_s - 0.9)]
    for number in range(30):
        content = RequestContent(f"{number:032x}", "llm", "draft", "quality")
        runs.append(interrupted_run(content, now_s - 0.1))
    quarantine._on_crash("gone-2", runs)
    other = two_entries.entries[1]._peering.quarantine._quarantine
    await until(lambda: len(other.crashes_of(old.digest)) == 2)
    assert len(other) <= 9


def interrupted_run(content: RequestContent, began_s: float) -> InterruptedRun:
    details = RunDetails(
        "llm", ("gone",), began_s, events_duration_s=0.0, after_event=0
    )
    return InterruptedRun(content, details, began_s + 0.05)
