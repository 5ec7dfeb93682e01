"""Faults of a run: drawn from its seed and injected from outside the processes."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import random
import signal
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from railfold._internal import clock
from railfold._internal.forwarding.peers.peer_messages import (
    DomainLoadNotice,
    Envelope,
    LoadContributionNotice,
    LoadRows,
    LoadSumNotice,
    PeerMessageCodec,
)
from railfold._internal.forwarding.quarantine.content_digest import derive_key
from railfold._internal.forwarding.store.shared_records import (
    PEER_KEY_RECORD,
    decode_peer_key,
)
from soak.answer_faults import ANSWER_FAULTS
from soak.configuration_faults import SLOW_S, configure, large_configuration
from soak.deployment import Deployment, EntryRun, InjectedFault
from soak.endless_answers import ENDLESS_FAULTS
from soak.pauses import PAUSE_FAULTS
from standins.chaining_engine import Engine
from tests.lib.crashing_fleet import POISON_BODY
from tests.lib.forwarding import Connection

# A client that sends crashing requests for 4 s without waiting for responses, and how
# long it waits to read each response.
_POISON_SENDS = 27
_POISON_INTERVAL_S = 0.15
_POISON_READ_S = 3.0

# Rate limits that overloaded servers announce, in requests per second; all are small
# relative to what clients send.
_RATE_LIMITS = ("0", "0.5", "1.4", "2.5", "6", "20")

# Retry-After values of servers that shed load, in seconds.
_RETRY_AFTERS = ("0", "0.3", "1", "1.5", "3", "6")

# Number and interval of false load messages; they take 2 s.
_FALSE_LOAD_MESSAGES = 100
_FALSE_LOAD_INTERVAL_S = 0.02

# Prefix of the ids of requests that crash servers.
POISON_ID = "poison-"

# Clients that send and read slowly: their number, the pieces of their bodies, the
# pause before each piece and before reading, and the timeout of the whole exchange.
_SLOW_CLIENTS = 12
_SLOW_PIECE = b"s" * 50_000
_SLOW_PIECES = 4
_SLOW_PAUSE_S = 0.25
_SLOW_READ_S = 5.0

Fault = Callable[[Deployment, random.Random], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class PlannedFault:
    """A fault and its start time, relative to the start of the run."""

    at_s: float
    name: str


def plan_faults(seed: int, seconds: float, names: list[str]) -> list[PlannedFault]:
    """Return the faults that a seed draws, ordered by start; they may overlap."""
    rng = random.Random(seed)
    count = max(3, round(seconds / 1.5))
    times = sorted(rng.uniform(0.5, max(1.0, seconds - 2.0)) for _ in range(count))
    return [PlannedFault(round(at_s, 2), rng.choice(names)) for at_s in times]


async def inject(deployment: Deployment, name: str, rng: random.Random) -> None:
    """Inject a fault and record when it ended."""
    injected = InjectedFault(name)
    deployment.injected.append(injected)
    await FAULTS[name](deployment, rng)
    injected.ended_at_s = asyncio.get_running_loop().time()


async def entry_kill(deployment: Deployment, rng: random.Random) -> None:
    """Kill an entry."""
    deployment.mark_disturbed(rng.choice(deployment.entries)).signal(signal.SIGKILL)


async def entry_stop(deployment: Deployment, rng: random.Random) -> None:
    """Stop an entry with SIGTERM, as for planned maintenance."""
    deployment.mark_disturbed(rng.choice(deployment.entries)).signal(signal.SIGTERM)


async def entry_stop_twice(deployment: Deployment, rng: random.Random) -> None:
    """Stop an entry and send it SIGTERM again while it drains."""
    entry = deployment.mark_disturbed(rng.choice(deployment.entries))
    run = entry.run
    entry.signal(signal.SIGTERM)
    await _sleep_unless_exited(run, rng.uniform(0.05, 4.0))
    if not run.exited.is_set():
        entry.signal(signal.SIGTERM)
        await run.exited.wait()


async def entry_stop_reload(deployment: Deployment, rng: random.Random) -> None:
    """Stop an entry with SIGHUP beside the SIGTERM, in any order, and after it."""
    entry = deployment.mark_disturbed(rng.choice(deployment.entries))
    run = entry.run
    beside = [signal.SIGTERM, signal.SIGHUP]
    rng.shuffle(beside)
    entry.write_settings()
    for number in beside:
        entry.signal(number)
    for _ in range(rng.randint(1, 3)):
        await _sleep_unless_exited(run, rng.uniform(0.05, 2.0))
        if run.exited.is_set():
            return
        entry.write_settings()
        entry.signal(signal.SIGHUP)
    await run.exited.wait()


async def entry_stop_store_silent(deployment: Deployment, rng: random.Random) -> None:
    """Stop an entry while the store doesn't answer."""
    deployment.store.mode = "silent"
    deployment.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await entry_stop(deployment, rng)
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    deployment.store.mode = "ok"


async def entry_stop_large_configuration(
    deployment: Deployment, rng: random.Random
) -> None:
    """Stop an entry while a large configuration arrives."""
    arrival = asyncio.create_task(large_configuration(deployment, rng))
    await asyncio.sleep(rng.uniform(0.0, SLOW_S))
    await entry_stop(deployment, rng)
    await arrival


async def entry_stops_overlap(deployment: Deployment, rng: random.Random) -> None:
    """Stop two entries, the second while the first still drains."""
    for entry in rng.sample(deployment.entries, 2):
        deployment.mark_disturbed(entry).signal(signal.SIGTERM)
        await asyncio.sleep(rng.uniform(0.1, 4.0))


async def entry_stop_restart(deployment: Deployment, rng: random.Random) -> None:
    """Stop an entry, restart it at once when it has exited, and stop it again."""
    entry = deployment.mark_disturbed(rng.choice(deployment.entries))
    run = entry.run
    entry.restart_delay_s = 0.0
    entry.signal(signal.SIGTERM)
    await run.exited.wait()
    await asyncio.sleep(rng.uniform(1.0, 2.5))
    entry.signal(signal.SIGTERM)


async def _sleep_unless_exited(run: EntryRun, duration_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(run.exited.wait(), duration_s)


async def entries_kill_series(deployment: Deployment, rng: random.Random) -> None:
    """Kill all entries several times in a row while all backend servers fail."""
    failing = [s for s in (*deployment.engines, *deployment.plain) if s.mode == "ok"]
    for server in failing:
        server.mode = "error"
    for _ in range(rng.randint(2, 4)):
        for entry in deployment.entries:
            deployment.mark_disturbed(entry).signal(signal.SIGKILL)
        await asyncio.sleep(rng.uniform(1.0, 2.5))
    for server in failing:
        server.mode = "ok"


async def entry_pause(deployment: Deployment, rng: random.Random) -> None:
    """Suspend an entry with SIGSTOP and resume it."""
    entry = deployment.mark_disturbed(rng.choice(deployment.entries))
    entry.signal(signal.SIGSTOP)
    # An entry that resumes may send requests that it accepted before it was suspended,
    # so the drain check treats this like a store outage.
    deployment.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    entry.signal(signal.SIGCONT)


async def entry_long_pause(deployment: Deployment, rng: random.Random) -> None:
    """Suspend an entry for longer than all its leases and time bounds.

    To others a suspended host looks the same, but there the entry's own monotonic
    clock would stop too.
    """
    entry = deployment.mark_disturbed(rng.choice(deployment.entries))
    entry.signal(signal.SIGSTOP)
    deployment.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(4.5, 7.0))
    entry.signal(signal.SIGCONT)


async def entry_reload(deployment: Deployment, rng: random.Random) -> None:
    """Rewrite an entry's settings file and reload it with SIGHUP."""
    entry = rng.choice(deployment.entries)
    entry.write_settings()
    entry.signal(signal.SIGHUP)


async def store_fault(deployment: Deployment, rng: random.Random) -> None:
    """Make the store refuse requests, stop answering, or reset connections."""
    deployment.store.mode = rng.choice(["out", "silent", "reset"])
    deployment.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    deployment.store.mode = "ok"


async def store_forgets(deployment: Deployment, rng: random.Random) -> None:
    """Drop the history of all topics of the store."""
    for topic in deployment.store.topics.values():
        topic.forget()


async def store_goes_back(deployment: Deployment, rng: random.Random) -> None:
    """Restore the store from an old copy, then rewrite the records that it lost."""
    copy = deployment.store.copy()
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    deployment.store.mode = "out"
    deployment.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    deployment.store.restore_copy(copy)
    deployment.store.mode = "ok"
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    deployment.rewrite_records()
    deployment.store_outages_s.append(asyncio.get_running_loop().time())


async def link_fault(deployment: Deployment, rng: random.Random) -> None:
    """Delay, block, block one direction of, refuse, or reset one link."""
    name = rng.choice(sorted(deployment.links))
    link = deployment.links[name]
    if name.startswith("store"):
        deployment.store_outages_s.append(asyncio.get_running_loop().time())
    mode = rng.choice(["delay", "silent", "deaf", "refuse", "reset"])
    if mode == "reset":
        link.reset()
        return
    link.mode, link.delay_s = mode, rng.uniform(0.01, 0.3)
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    link.mode = "ok"
    if mode != "delay":
        link.reset()


async def server_fault(deployment: Deployment, rng: random.Random) -> None:
    """Make a backend server refuse, fail, lose or mix up responses, or hang."""
    server = rng.choice([*deployment.engines, *deployment.plain])
    modes = ["dead", "shed", "error", "lose"]
    if not server.model:
        modes += ["foreign", "surplus"]
    server.mode = rng.choice(modes)
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    server.mode = "ok"


async def all_servers_refuse(deployment: Deployment, rng: random.Random) -> None:
    """Make all backend servers refuse requests for a while, as under overload."""
    refusing = [s for s in (*deployment.engines, *deployment.plain) if s.mode == "ok"]
    for server in refusing:
        server.mode = "shed"
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    for server in refusing:
        server.mode = "ok"


async def server_limits(deployment: Deployment, rng: random.Random) -> None:
    """Make servers announce rate limits, change them, and withdraw them."""
    servers = [*deployment.engines, *deployment.plain]
    chosen = rng.sample(servers, rng.randint(1, len(servers)))
    tasks = [_announce_limits(deployment, server, rng) for server in chosen]
    await asyncio.gather(*tasks)


async def _announce_limits(
    deployment: Deployment, server: Engine, rng: random.Random
) -> None:
    for _ in range(rng.randint(1, 3)):
        deployment.announce_limit(server, rng.choice(_RATE_LIMITS))
        await asyncio.sleep(rng.uniform(0.5, 5.0))
    deployment.announce_limit(server, None)


async def servers_shed(deployment: Deployment, rng: random.Random) -> None:
    """Make servers refuse requests for a while, with a Retry-After."""
    servers = [*deployment.engines, *deployment.plain]
    chosen = rng.sample(servers, rng.randint(1, len(servers)))
    await asyncio.gather(*(_shed(server, rng) for server in chosen))


async def _shed(server: Engine, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        server.mode, server.retry_after = "shed", rng.choice(_RETRY_AFTERS)
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        server.mode, server.retry_after = "ok", None
        await asyncio.sleep(rng.uniform(0.1, 2.0))


async def server_says_leaving(deployment: Deployment, rng: random.Random) -> None:
    """Make a server leave that announces this only in its responses."""
    server = rng.choice([*deployment.engines, *deployment.plain])
    if server.leaving or server.state == "draining":
        return
    server.leaving = True
    server.leaving_since_s = asyncio.get_running_loop().time()
    await asyncio.sleep(rng.uniform(3.0, 6.0))
    if deployment.is_current(server):
        await deployment.replace_server(server)


async def server_crash(deployment: Deployment, rng: random.Random) -> None:
    """Crash a backend server and replace it by one without layers."""
    servers = [*deployment.engines, *deployment.plain]
    await deployment.replace_server(rng.choice(servers))


async def server_starts_again(deployment: Deployment, rng: random.Random) -> None:
    """Crash a backend server and restart it at once with the same id and address."""
    await deployment.restart_in_place(
        rng.choice([*deployment.engines, *deployment.plain])
    )


async def odd_records(deployment: Deployment, rng: random.Random) -> None:
    """Write malformed registrations, as a faulty writer may.

    One replaces the record of a live server, which that server writes again later.
    """
    registrations = deployment.store.topic("keyed.servers")
    server = rng.choice([*deployment.engines, *deployment.plain])
    for key in (server.server_id, "i-odd", "i odd", "i-\u00e9"):
        registrations.append(key, malformed_registration(rng, server.address))
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    if deployment.is_current(server):
        server.register()


def malformed_registration(rng: random.Random, address: str) -> bytes:
    """Return a malformed registration record."""
    entry = {
        "service": "inspect-llm",
        "address": address,
        "zone": "hall-a",
        "slots": 8,
        "state": "ready",
        "models": [{"name": "inspect"}],
        "kind": "l4",
        "layers": {"from": 0, "target_version": 8},
        "born": 1,
    }
    odd = [
        {"layers": {"from": -4, "target_version": 4000}},
        {"layers": {"from": 0, "target_version": 10**9}},
        {"address": "127.0.0.1:99999"},
        {"address": ""},
        {"slots": 0},
        {"state": "elsewhere"},
        {"born": "yesterday"},
        {"models": "inspect"},
    ]
    record = json.dumps({**entry, **rng.choice(odd)}).encode()
    return rng.choice([record, record, record[:40], b"\xff\xfe", b"[]"])


async def server_leaves(deployment: Deployment, rng: random.Random) -> None:
    """Drain a backend server, then replace it by one without layers."""
    server = rng.choice([*deployment.engines, *deployment.plain])
    if server.state == "draining":
        return
    server.state = "draining"
    server.register()
    server.draining_since_s = asyncio.get_running_loop().time()
    await asyncio.sleep(2.5)
    if server in deployment.engines or server in deployment.plain:
        await deployment.replace_server(server)


async def load_lies(deployment: Deployment, rng: random.Random) -> None:
    """Send false load messages to entries, signed with the key that entries share."""
    records = deployment.store.topic("keyed.railfold-quarantine").newest
    if PEER_KEY_RECORD not in records:
        return
    key = derive_key(decode_peer_key(records[PEER_KEY_RECORD][1]), b"peers")
    codec = PeerMessageCodec(key)
    names = [entry.name for entry in deployment.entries]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(_FALSE_LOAD_MESSAGES):
            message = _false_load_notice(
                rng, names, [entry.zone for entry in deployment.entries]
            )
            sent_ms = int(clock.unix_time_s() * 1000)
            envelope = Envelope("liar", rng.randbytes(8), sent_ms, message, True)
            address = ("127.0.0.1", rng.choice(deployment.entries).peers)
            with contextlib.suppress(OSError):  # The entry isn't running now.
                sender.sendto(codec.encode(envelope), address)
            await asyncio.sleep(_FALSE_LOAD_INTERVAL_S)


def _false_load_notice(
    rng: random.Random, names: list[str], zones: list[str]
) -> LoadContributionNotice | LoadSumNotice | DomainLoadNotice:
    number = rng.choice([rng.randrange(200), 2 ** rng.randrange(62)])
    amounts = [rng.randrange(2**32) for _ in range(rng.randint(1, 4))]
    rows = LoadRows([[rng.randrange(2**32), *amounts] for _ in range(60)])
    name = rng.choice(names)
    digests = [
        int.from_bytes(hashlib.blake2b(n.encode(), digest_size=4).digest())
        for n in names
    ]
    return rng.choice(
        [
            LoadContributionNotice(name, number, rows),
            LoadSumNotice(name, number, digests, rng.randint(1, 2000), rows),
            DomainLoadNotice(rng.choice(zones), number, 9, rows, {zones[0]: number}),
        ]
    )


async def poison_request(deployment: Deployment, rng: random.Random) -> None:
    """Repeatedly send a request that crashes the servers that run it."""
    deployment.enable_poison_crashes()
    path = rng.choice(["/draft/1", "/tray/1", "/slip/1"])
    tasks = []
    for number in range(_POISON_SENDS):
        entry = rng.choice(deployment.entries)
        tasks.append(asyncio.create_task(_send_poison(entry.clients, path, number)))
        await asyncio.sleep(_POISON_INTERVAL_S)
    await asyncio.gather(*tasks)


async def _send_poison(port: int, path: str, number: int) -> None:
    """Send the crashing request once and ignore the result; clients send it again."""
    request_id = f"{POISON_ID}{port}-{number}-{path}"
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        async with asyncio.timeout(_POISON_READ_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            connection = Connection(reader, writer)
            try:
                await connection.send(path, request_id, body=POISON_BODY, events=50)
                await connection.read()
            finally:
                connection.close()


async def slow_clients(deployment: Deployment, rng: random.Random) -> None:
    """Send large request bodies slowly and read the responses late."""
    entry = rng.choice(deployment.entries)
    path = rng.choice(["/tray/1", "/slip/1"])
    tasks = []
    for number in range(_SLOW_CLIENTS):
        request_id = f"slow-{entry.clients}-{number}-{rng.random()}"
        tasks.append(_send_slowly(deployment, entry.clients, path, request_id))
    await asyncio.gather(*tasks)


async def _send_slowly(
    deployment: Deployment, port: int, path: str, request_id: str
) -> None:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        async with asyncio.timeout(_SLOW_READ_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            connection = Connection(reader, writer)
            length = {"Content-Length": str(_SLOW_PIECES * len(_SLOW_PIECE))}
            try:
                await connection.send(path, request_id, headers=length, body=b"")
                for _ in range(_SLOW_PIECES):
                    await asyncio.sleep(_SLOW_PAUSE_S)
                    writer.write(_SLOW_PIECE)
                    await writer.drain()
                await asyncio.sleep(_SLOW_PAUSE_S)
                if (await connection.read()).status == 503:
                    deployment.refused_slow_ids.append(request_id)
            finally:
                connection.close()


FAULTS: dict[str, Fault] = {
    "all_servers_refuse": all_servers_refuse,
    "configure": configure,
    "entries_kill_series": entries_kill_series,
    "entry_kill": entry_kill,
    "entry_long_pause": entry_long_pause,
    "entry_pause": entry_pause,
    "entry_reload": entry_reload,
    "entry_stop": entry_stop,
    "entry_stop_large_configuration": entry_stop_large_configuration,
    "entry_stop_reload": entry_stop_reload,
    "entry_stop_restart": entry_stop_restart,
    "entry_stop_store_silent": entry_stop_store_silent,
    "entry_stop_twice": entry_stop_twice,
    "entry_stops_overlap": entry_stops_overlap,
    "large_configuration": large_configuration,
    "link_fault": link_fault,
    "load_lies": load_lies,
    "odd_records": odd_records,
    "poison_request": poison_request,
    "server_crash": server_crash,
    "server_fault": server_fault,
    "server_leaves": server_leaves,
    "server_limits": server_limits,
    "server_says_leaving": server_says_leaving,
    "server_starts_again": server_starts_again,
    "servers_shed": servers_shed,
    "slow_clients": slow_clients,
    "store_fault": store_fault,
    "store_forgets": store_forgets,
    "store_goes_back": store_goes_back,
    **ANSWER_FAULTS,
    **ENDLESS_FAULTS,
    **PAUSE_FAULTS,
}

# During these faults all entries reach each other and the store, or an entry that
# doesn't is restarted and reads the shared state of the others.
CONNECTIVITY_PRESERVING_FAULTS = frozenset(
    {
        *ANSWER_FAULTS,
        *ENDLESS_FAULTS,
        *PAUSE_FAULTS,
        "all_servers_refuse",
        "configure",
        "entry_reload",
        "large_configuration",
        "load_lies",
        "odd_records",
        "poison_request",
        "server_crash",
        "server_fault",
        "server_leaves",
        "server_limits",
        "server_says_leaving",
        "server_starts_again",
        "servers_shed",
        "slow_clients",
    }
)

# Planned stops: they cut only answers that are still running when the process exits
# at the end of its grace time.
PLANNED_STOP_FAULTS = frozenset(
    {
        "entry_stop",
        "entry_stop_large_configuration",
        "entry_stop_reload",
        "entry_stop_restart",
        "entry_stop_store_silent",
        "entry_stop_twice",
        "entry_stops_overlap",
    }
)

# These faults must not cut any other stream that has started: servers that pause or
# refuse requests are sound, and go on with those that they run.
STREAM_PRESERVING_FAULTS: frozenset[str] = PLANNED_STOP_FAULTS | frozenset(
    {
        *PAUSE_FAULTS,
        "all_servers_refuse",
        "configure",
        "entry_reload",
        "large_configuration",
        "load_lies",
        "odd_records",
        "servers_shed",
        "slow_clients",
        "store_forgets",
    }
)
