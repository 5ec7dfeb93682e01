"""Faults of one run: drawn from its seed, injected from outside the processes."""

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
from soak.world import Injected, World
from standins.chaining_engine import Engine
from tests.lib.crashing_fleet import POISON_BODY
from tests.lib.forwarding import Connection

# The link of an entry of the smaller kind, and for how long entries have it.
_SLOW_BPS = 20e6
_SLOW_S = 1.5

# 0.5 to 0.75 MB of JSON.
_FURTHER_ROUTES = (2000, 3000)

# A client that doesn't wait: 4 s of it, and how long it reads each answer.
_POISON_SENDS = 27
_POISON_INTERVAL_S = 0.15
_POISON_READ_S = 3.0

# What servers in need take, in requests a second; small next to what clients send.
_LIMITS = ("0", "0.5", "1.4", "2.5", "6", "20")

# What servers that shed load ask for, in seconds.
_RETRY_AFTERS = ("0", "0.3", "1", "1.5", "3", "6")

# False load, for 2 s.
_LIES = 100
_LIE_INTERVAL_S = 0.02

# How the ids of its requests begin.
POISON_ID = "poison-"

# Clients that send and read slowly: their number, their bodies in pieces, the pause
# before each piece and before they read.
_SLOW_CLIENTS = 12
_SLOW_PIECE = b"s" * 50_000
_SLOW_PIECES = 4
_SLOW_PAUSE_S = 0.25
_SLOW_READ_S = 5.0

Fault = Callable[[World, random.Random], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Planned:
    """A fault and when it begins."""

    at_s: float
    name: str


def plan(seed: int, seconds: float, names: list[str]) -> list[Planned]:
    """Return the faults of a seed; they come in series and overlap."""
    rng = random.Random(seed)
    count = max(3, round(seconds / 1.5))
    times = sorted(rng.uniform(0.5, max(1.0, seconds - 2.0)) for _ in range(count))
    return [Planned(round(at_s, 2), rng.choice(names)) for at_s in times]


async def inject(world: World, name: str, rng: random.Random) -> None:
    """Inject a fault, and note when it was active."""
    injected = Injected(name)
    world.injected.append(injected)
    await FAULTS[name](world, rng)
    injected.ended_s = asyncio.get_running_loop().time()


async def entry_kill(world: World, rng: random.Random) -> None:
    """Kill an entry."""
    world.disturb(rng.choice(world.entries)).signal(signal.SIGKILL)


async def entry_stop(world: World, rng: random.Random) -> None:
    """Tell an entry to stop, as for planned work."""
    world.disturb(rng.choice(world.entries)).signal(signal.SIGTERM)


async def entry_pause(world: World, rng: random.Random) -> None:
    """Freeze an entry, and wake it."""
    entry = world.disturb(rng.choice(world.entries))
    entry.signal(signal.SIGSTOP)
    # What a frozen entry had taken before may leave when it wakes.
    world.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    entry.signal(signal.SIGCONT)


async def entry_long_pause(world: World, rng: random.Random) -> None:
    """Freeze an entry for longer than any lease or bound that it holds.

    A suspended host's would be the same to others; its own steady clock would stand.
    """
    entry = world.disturb(rng.choice(world.entries))
    entry.signal(signal.SIGSTOP)
    world.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(4.5, 7.0))
    entry.signal(signal.SIGCONT)


async def entry_reload(world: World, rng: random.Random) -> None:
    """Change an entry's settings file and tell it."""
    entry = rng.choice(world.entries)
    entry.write_settings()
    entry.signal(signal.SIGHUP)


async def store_fault(world: World, rng: random.Random) -> None:
    """Make the store refuse, fall silent or reset."""
    world.store.mode = rng.choice(["out", "silent", "reset"])
    world.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    world.store.mode = "ok"


async def store_forgets(world: World, rng: random.Random) -> None:
    """Drop the store's history."""
    for topic in world.store.topics.values():
        topic.forget()


async def store_goes_back(world: World, rng: random.Random) -> None:
    """Let the store come back from a copy, and others write again what it lost."""
    copy = world.store.copy()
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    world.store.mode = "out"
    world.store_outages_s.append(asyncio.get_running_loop().time())
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    world.store.go_back(copy)
    world.store.mode = "ok"
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    world.write_again()
    world.store_outages_s.append(asyncio.get_running_loop().time())


async def link_fault(world: World, rng: random.Random) -> None:
    """Delay, silence, cut one way or refuse one link, or reset it."""
    name = rng.choice(sorted(world.links))
    link = world.links[name]
    if name.startswith("store"):
        world.store_outages_s.append(asyncio.get_running_loop().time())
    mode = rng.choice(["delay", "silent", "deaf", "refuse", "reset"])
    if mode == "reset":
        link.reset()
        return
    link.mode, link.delay_s = mode, rng.uniform(0.01, 0.3)
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    link.mode = "ok"
    if mode != "delay":
        link.reset()


async def server_fault(world: World, rng: random.Random) -> None:
    """Let a backend server refuse, fail, lose or spoil answers, or fall silent."""
    server = rng.choice([*world.engines, *world.plain])
    modes = ["dead", "shed", "error", "lose"]
    if not server.model:
        modes += ["foreign", "surplus"]
    server.mode = rng.choice(modes)
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    server.mode = "ok"


async def all_servers_refuse(world: World, rng: random.Random) -> None:
    """Let all backend servers refuse for a while, as under too much work."""
    refusing = [s for s in (*world.engines, *world.plain) if s.mode == "ok"]
    for server in refusing:
        server.mode = "shed"
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    for server in refusing:
        server.mode = "ok"


async def server_limits(world: World, rng: random.Random) -> None:
    """Let servers name rate limits, name other ones, and none any more."""
    servers = [*world.engines, *world.plain]
    chosen = rng.sample(servers, rng.randint(1, len(servers)))
    tasks = [_name_limits(world, server, rng) for server in chosen]
    await asyncio.gather(*tasks)


async def _name_limits(world: World, server: Engine, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        world.name_limit(server, rng.choice(_LIMITS))
        await asyncio.sleep(rng.uniform(0.5, 5.0))
    world.name_limit(server, None)


async def servers_shed(world: World, rng: random.Random) -> None:
    """Let servers refuse for a while, and say for how long they want nothing."""
    servers = [*world.engines, *world.plain]
    chosen = rng.sample(servers, rng.randint(1, len(servers)))
    await asyncio.gather(*(_shed(server, rng) for server in chosen))


async def _shed(server: Engine, rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        server.mode, server.retry_after = "shed", rng.choice(_RETRY_AFTERS)
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        server.mode, server.retry_after = "ok", None
        await asyncio.sleep(rng.uniform(0.1, 2.0))


async def server_says_leaving(world: World, rng: random.Random) -> None:
    """Let a server leave that only its answers tell of."""
    server = rng.choice([*world.engines, *world.plain])
    if server.leaving or server.state == "draining":
        return
    server.leaving = True
    server.leaving_since_s = asyncio.get_running_loop().time()
    await asyncio.sleep(rng.uniform(3.0, 6.0))
    if world.runs(server):
        await world.restart(server)


async def server_crash(world: World, rng: random.Random) -> None:
    """Crash a backend server; an empty one takes its place."""
    servers = [*world.engines, *world.plain]
    await world.restart(rng.choice(servers))


async def server_starts_again(world: World, rng: random.Random) -> None:
    """Crash a backend server; it is back at once, under its id and address."""
    await world.restart_under_its_id(rng.choice([*world.engines, *world.plain]))


async def odd_records(world: World, rng: random.Random) -> None:
    """Write registrations that name no backend server, as another writer may.

    Some stand in place of a live server's own, which that one writes again.
    """
    registrations = world.store.topic("keyed.servers")
    server = rng.choice([*world.engines, *world.plain])
    for key in (server.server_id, "i-odd", "i odd", "i-\u00e9"):
        registrations.append(key, odd_record(rng, server.address))
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    if world.runs(server):
        server.register()


def odd_record(rng: random.Random, address: str) -> bytes:
    """Return bytes that a reader may take for a registration."""
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
    whole = json.dumps({**entry, **rng.choice(odd)}).encode()
    return rng.choice([whole, whole, whole[:40], b"\xff\xfe", b"[]"])


async def server_leaves(world: World, rng: random.Random) -> None:
    """Let a backend server drain; then an empty one takes its place."""
    server = rng.choice([*world.engines, *world.plain])
    if server.state == "draining":
        return
    server.state = "draining"
    server.register()
    server.draining_since_s = asyncio.get_running_loop().time()
    await asyncio.sleep(2.5)
    if server in world.engines or server in world.plain:
        await world.restart(server)


async def load_lies(world: World, rng: random.Random) -> None:
    """Send entries false load, as another one that has their key."""
    records = world.store.topic("keyed.railfold-quarantine").newest
    if PEER_KEY_RECORD not in records:
        return
    key = derive_key(decode_peer_key(records[PEER_KEY_RECORD][1]), b"peers")
    codec = PeerMessageCodec(key)
    names = [entry.name for entry in world.entries]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(_LIES):
            message = _load_lie(rng, names, [entry.zone for entry in world.entries])
            sent_ms = int(clock.unix_time_s() * 1000)
            envelope = Envelope("liar", rng.randbytes(8), sent_ms, message, True)
            address = ("127.0.0.1", rng.choice(world.entries).peers)
            with contextlib.suppress(OSError):  # That entry doesn't run now.
                sender.sendto(codec.encode(envelope), address)
            await asyncio.sleep(_LIE_INTERVAL_S)


def _load_lie(
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


async def poison_request(world: World, rng: random.Random) -> None:
    """Send a request that ends who runs it again and again, at any entry."""
    world.poison()
    path = rng.choice(["/draft/1", "/tray/1", "/slip/1"])
    tasks = []
    for number in range(_POISON_SENDS):
        entry = rng.choice(world.entries)
        tasks.append(asyncio.create_task(_send_poison(entry.clients, path, number)))
        await asyncio.sleep(_POISON_INTERVAL_S)
    await asyncio.gather(*tasks)


async def _send_poison(port: int, path: str, number: int) -> None:
    """Send it once; whatever comes of it, its client does it again."""
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


async def slow_clients(world: World, rng: random.Random) -> None:
    """Send large bodies slowly, and read the answers late."""
    entry = rng.choice(world.entries)
    path = rng.choice(["/tray/1", "/slip/1"])
    tasks = []
    for number in range(_SLOW_CLIENTS):
        request_id = f"slow-{entry.clients}-{number}-{rng.random()}"
        tasks.append(_send_slowly(world, entry.clients, path, request_id))
    await asyncio.gather(*tasks)


async def _send_slowly(world: World, port: int, path: str, request_id: str) -> None:
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
                    world.slow_refused.append(request_id)
            finally:
                connection.close()


async def configure(world: World, rng: random.Random) -> None:
    """Publish a new version of the configuration."""
    world.configure()


async def large_configuration(world: World, rng: random.Random) -> None:
    """Publish a large configuration while little bandwidth leads to the entries."""
    world.to_entries.limits_bps.append(_SLOW_BPS)
    world.configure(further_routes=rng.randint(*_FURTHER_ROUTES))
    await asyncio.sleep(_SLOW_S)
    world.to_entries.limits_bps.remove(_SLOW_BPS)
    world.configure()


FAULTS: dict[str, Fault] = {
    "all_servers_refuse": all_servers_refuse,
    "configure": configure,
    "entry_kill": entry_kill,
    "entry_long_pause": entry_long_pause,
    "entry_pause": entry_pause,
    "entry_reload": entry_reload,
    "entry_stop": entry_stop,
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
}

# Beside these all entries reach each other and the store, or one that doesn't is
# started again and reads what the others know.
ENTRIES_IN_TOUCH = frozenset(
    {
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

# Beside these no stream that began may be cut.
HARMLESS_TO_STREAMS = frozenset(
    {
        "configure",
        "entry_reload",
        "large_configuration",
        "load_lies",
        "odd_records",
        "slow_clients",
        "store_forgets",
    }
)
