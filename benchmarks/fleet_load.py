"""Cost of the load exchange per entry: bytes and processor time per second.

Runs the load exchange of many entries in one process. A channel encodes and counts the
datagrams and delivers them in memory.

    .venv/bin/python -m benchmarks.fleet_load [seconds]
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from railfold._internal import clock
from railfold._internal.decisions.fleet_demand import DemandKey, FleetDemand
from railfold._internal.decisions.fleet_load import EntryLoad, FleetLoad
from railfold._internal.forwarding.peers.load_exchange import LoadExchange
from railfold._internal.forwarding.peers.peer_messages import (
    Envelope,
    PeerMessage,
    PeerMessageCodec,
)
from railfold._internal.observability.metrics import Metrics

# Numbers of entries, failure domains, engines, requests in flight per entry, and
# workspaces.
_SIZES = (
    (4, 2, 12, 20, 8),
    (11, 3, 52, 30, 24),
    (21, 3, 52, 20, 24),
    (68, 5, 130, 8, 60),
    (380, 10, 600, 14, 610),
)
_STAGES = 8
# IP and UDP headers of a datagram.
_HEADER_BYTES = 28


@dataclass
class InMemoryChannel:
    """An in-memory channel of one entry to the other entries in the process."""

    name: str
    codec: PeerMessageCodec
    fleet: dict[str, InMemoryChannel]
    names_by_domain: dict[str, list[str]]
    exchange: Any = None
    sent_bytes: int = 0
    received_bytes: int = 0
    largest_bytes: int = 0
    rng: random.Random = field(default_factory=random.Random)

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of all entries."""
        return tuple(self.fleet)

    def send_to(self, name: str, message: PeerMessage) -> None:
        """Send a message to one entry."""
        self.send_to_each((name,), message)

    def send_to_each(self, names: Any, message: PeerMessage) -> None:
        """Send a message to several entries as one encoded datagram each."""
        sent_ms = int(clock.unix_time_s() * 1000)
        envelope = Envelope(self.name, self.rng.randbytes(8), sent_ms, message, True)
        datagram = self.codec.encode(envelope)
        self.largest_bytes = max(self.largest_bytes, len(datagram))
        for name in names:
            self.sent_bytes += len(datagram) + _HEADER_BYTES
            asyncio.get_running_loop().call_soon(self.fleet[name].receive, datagram)

    def receive(self, datagram: bytes) -> None:
        """Decode a datagram and pass it to the exchange."""
        self.received_bytes += len(datagram) + _HEADER_BYTES
        envelope = self.codec.decode(datagram, clock.unix_time_s())
        self.exchange.message_received(envelope.message)


def _router(domain: str, entries: int, engines: list[Any], rng: random.Random) -> Any:
    return SimpleNamespace(
        failure_domain=domain,
        rng=rng,
        metrics=Metrics(),
        entries=entries,
        fleet_load=FleetLoad(2.0),
        fleet_demand=FleetDemand(2.0),
        directory=engines,
        table=None,
        log=SimpleNamespace(write=lambda event: None),
    )


async def measure(
    size: tuple[int, int, int, int, int], seconds: float
) -> dict[str, float]:
    """Run a fleet for 1.5 times ``seconds`` and measure the last ``seconds``.

    Returns the bytes per second of an entry, the processor share, and the state of
    the exchange.
    """
    entries, domains, engine_count, in_flight, workspaces = size
    rng = random.Random(1)
    servers = [f"i-{rng.randbytes(4).hex()}@{n}" for n in range(engine_count)]
    engines = [SimpleNamespace(server_id=server) for server in servers]
    members: dict[str, list[str]] = {}
    for n in range(entries):
        members.setdefault(f"domain-{n % domains}", []).append(f"front-hall-{n}")
    codec = PeerMessageCodec(b"k" * 32)
    fleet: dict[str, InMemoryChannel] = {}
    routers = []
    for domain, names in members.items():
        for name in names:
            router = _router(domain, entries, engines, rng)
            channel = InMemoryChannel(name, codec, fleet, members)
            channel.exchange = LoadExchange(name, router, channel)  # type: ignore[arg-type]
            fleet[name] = channel
            routers.append(router)
            for _ in range(in_flight):
                for server in rng.sample(servers, min(_STAGES, len(servers))):
                    router.fleet_load.add(server, EntryLoad(970, 1, 400))
            now_s = asyncio.get_running_loop().time()
            for _ in range(in_flight):
                workspace = f"workspace-{rng.randrange(workspaces)}"
                key = DemandKey("llm", rng.randrange(3), workspace)
                router.fleet_demand.arrived(key, 970.0, now_s)
    tasks = [
        asyncio.create_task(channel.exchange.run(asyncio.Event()))
        for channel in fleet.values()
    ]
    await asyncio.sleep(seconds / 2)
    before = [(c.sent_bytes, c.received_bytes) for c in fleet.values()]
    started_s, cpu_s = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - cpu_s
    for task in tasks:
        task.cancel()
    rates = [
        (c.sent_bytes - sent + c.received_bytes - received) / elapsed_s
        for c, (sent, received) in zip(fleet.values(), before, strict=True)
    ]
    now_s = asyncio.get_running_loop().time()
    return {
        "bytes_per_s": sum(rates) / len(rates),
        "most_bytes_per_s": max(rates),
        "core_share": cpu_s / elapsed_s / entries,
        "interval_s": routers[0].metrics.gauges["load.interval_s"],
        "known_share": min(r.fleet_load.known_entries(now_s) for r in routers)
        / entries,
        "largest_bytes": max(c.largest_bytes for c in fleet.values()),
    }


def main() -> None:
    """Print one line per fleet size."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    for size in _SIZES:
        cost = asyncio.run(measure(size, seconds))
        print(
            f"{size[0]:4d} entries, {size[1]:2d} domains, {size[2]:3d} engines: "
            f"{cost['bytes_per_s']:6.0f} B/s (most {cost['most_bytes_per_s']:6.0f}), "
            f"{100 * cost['core_share']:.2f}% of a core, interval "
            f"{cost['interval_s']:.2f} s, known {cost['known_share']:.2f}, largest "
            f"datagram {cost['largest_bytes']:.0f} B"
        )


if __name__ == "__main__":
    main()
