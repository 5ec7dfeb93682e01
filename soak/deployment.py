"""The store, the backend servers and the entries of one soak run."""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from soak.proxy import Link, SharedBandwidth
from standins.chaining_engine import LAYERS, Engine
from standins.cluster import free_port
from standins.metadata_store import MetadataStore
from tests.lib.crashing_fleet import POISON_BODY
from tests.lib.forwarding import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    ZONES,
    configuration,
    routes,
)

# Retry budget of all entries together.
BUDGET_RATIO = 0.1
BUDGET_SLACK = 12
BUDGET_WINDOW_S = 5.0

# A backend server that a request has crashed is replaced after this time.
_REPLACEMENT_DELAY_S = 1.5

SETTINGS = """
node = "{name}"
ip = "127.0.0.1"
zone = "{zone}"
region = "west"
bootstrap = false
port_range = [{peers}, {peers}]
[listen]
front = "127.0.0.1:{clients}"
ready = "127.0.0.1:{ready}"
[limits]
memory_mb = 10
[bounds]
grace_s = {grace_s}
revoke_ms = 4000
budget_ratio = {budget_ratio}
budget_slack = {budget_slack}
budget_window_s = {budget_window_s}
[platform]
address = "127.0.0.1:{store}"
parts = 12
"""


# Time after which a process that was sent SIGTERM is killed.
GRACE_S = 5.0

# A process that has exited is started again after this time.
_RESTART_DELAY_S = 0.3


@dataclass
class EntryRun:
    """One process of an entry, from its start to its exit.

    :param stopped_at_s: when it was sent its first SIGTERM.
    :param disturbed: whether it was killed or suspended.
    """

    stopped_at_s: float | None = None
    disturbed: bool = False
    stopping: asyncio.Event = field(default_factory=asyncio.Event)
    exited: asyncio.Event = field(default_factory=asyncio.Event)

    def record_signal(self, number: int) -> None:
        """Record a signal that is about to be sent to the process."""
        if number == signal.SIGTERM and self.stopped_at_s is None:
            self.stopped_at_s = asyncio.get_running_loop().time()
            self.stopping.set()
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.disturbed = True


@dataclass
class Entry:
    """One entry process, which is restarted whenever it exits.

    :param command: the interpreter's arguments before the path of the settings.
    """

    name: str
    zone: str
    store_link: Link
    folder: Path
    command: tuple[str, ...] = ("-m", "railfold", "forward")
    clients: int = 0
    ready: int = 0
    peers: int = 0
    process: asyncio.subprocess.Process | None = None
    run: EntryRun = field(default_factory=EntryRun)
    restart_delay_s: float = _RESTART_DELAY_S
    exit_codes: list[int] = field(default_factory=list)
    stopping: bool = False
    _restart_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Choose ports, write the settings and keep the process running."""
        self.clients, self.ready, self.peers = free_port(), free_port(), free_port()
        self.write_settings()
        self._restart_task = asyncio.create_task(self._run_until_stopped())

    def write_settings(self) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            clients=self.clients,
            ready=self.ready,
            peers=self.peers,
            store=self.store_link.listen_port,
            grace_s=GRACE_S,
            budget_ratio=BUDGET_RATIO,
            budget_slack=BUDGET_SLACK,
            budget_window_s=BUDGET_WINDOW_S,
        )
        (self.folder / f"{self.name}.toml").write_text(text)

    async def _run_until_stopped(self) -> None:
        while not self.stopping:
            log = (self.folder / f"{self.name}.log").open("ab")
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.command,
                str(self.folder / f"{self.name}.toml"),
                stdout=log,
                stderr=log,
            )
            self.run = run = EntryRun()
            log.close()
            if self.stopping:  # stop() ran while the process was being started.
                self.process.kill()
            self.exit_codes.append(await self.process.wait())
            run.exited.set()
            await asyncio.sleep(self.restart_delay_s)
            self.restart_delay_s = _RESTART_DELAY_S

    def signal(self, number: int) -> None:
        """Send a signal to the process that this entry started."""
        if self.process is not None and self.process.returncode is None:
            self.run.record_signal(number)
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process and don't restart it."""
        self.stopping = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._restart_task is not None:
            await self._restart_task


@dataclass
class InjectedFault:
    """An injected fault and its end time; infinite while the fault is active."""

    name: str
    ended_at_s: float = math.inf


@dataclass(frozen=True)
class AnnouncedLimit:
    """A rate limit that a server announces from a time on; ``None`` for no limit."""

    server: Engine
    text: str | None
    from_s: float


@dataclass
class Deployment:
    """All parts of one run, with a proxy in front of the store and of each server."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="soak-")))
    store: MetadataStore = field(default_factory=MetadataStore)
    fleet: dict[str, Engine] = field(default_factory=dict)
    engines: list[Engine] = field(default_factory=list)
    plain: list[Engine] = field(default_factory=list)
    replaced: list[Engine] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    links: dict[str, Link] = field(default_factory=dict)
    injected: list[InjectedFault] = field(default_factory=list)
    version: int = 1
    store_outages_s: list[float] = field(default_factory=list)
    crash_body: bytes | None = None
    poison_crashes_s: dict[str, list[float]] = field(default_factory=dict)
    refused_slow_ids: list[str] = field(default_factory=list)
    announced_limits: list[AnnouncedLimit] = field(default_factory=list)
    disturbed_entries: set[str] = field(default_factory=set)
    _replacements: set[asyncio.Task[None]] = field(default_factory=set)
    _count: Counter[str] = field(default_factory=Counter)

    @property
    def servers(self) -> list[Engine]:
        """All backend servers of the run, including replaced ones."""
        return [*self.engines, *self.plain, *self.replaced]

    async def start(
        self, entries: int, entry_command: tuple[str, ...] = Entry.command
    ) -> None:
        """Start the store, the servers and the entries; don't wait for readiness.

        :param entry_command: see :class:`Entry`.
        """
        self.entry_bandwidth = SharedBandwidth(entries)
        sockets = bind_sockets(0, "127.0.0.1")
        self._store_server = HTTPServer(self.store.application())
        self._store_server.add_sockets(sockets)
        store_port = sockets[0].getsockname()[1]
        self.document = configuration(self.version)
        self.store.put("keyed.op", "config", self.document)
        half = LAYERS // 2
        for zone in ZONES:
            for part in range(2):
                layers = (part * half, (part + 1) * half)
                self.engines.append(await self._engine(zone, layers))
            self.plain.append(await self._engine(zone, None))
        for number in range(entries):
            link = Link(store_port, self.entry_bandwidth)
            await link.start()
            name = f"entry-{number}"
            self.links[f"store-{name}"] = link
            entry = Entry(name, ZONES[number % len(ZONES)], link, self.folder)
            entry.command = entry_command
            await entry.start()
            self.entries.append(entry)

    async def _engine(self, zone: str, layers: tuple[int, int] | None) -> Engine:
        self._count[zone] += 1
        server_id = f"i-{zone}-{self._count[zone]}"
        is_model = layers is not None
        engine = Engine(
            server_id,
            MODEL_SERVICE if is_model else PLAIN_SERVICE,
            zone,
            self.store,
            self.fleet,
            model="inspect" if is_model else "",
            kind="l4" if is_model else "",
            layers=layers,
            port=free_port(),
            born=unix_time_ms(),
        )
        link = Link(engine.port, self.entry_bandwidth)
        await link.start()
        self.links[server_id] = link
        engine.advertised_address = f"127.0.0.1:{link.listen_port}"
        self._set_crash_body(engine)
        engine.start()
        return engine

    def enable_poison_crashes(self) -> None:
        """Make all current and future backend servers crash on ``POISON_BODY``."""
        self.crash_body = POISON_BODY
        for server in (*self.engines, *self.plain):
            self._set_crash_body(server)

    def _set_crash_body(self, server: Engine) -> None:
        server.crash_body = self.crash_body
        server.on_crash = self._handle_crash

    def _handle_crash(self, server: Engine) -> None:
        now_s = asyncio.get_running_loop().time()
        self.poison_crashes_s.setdefault(server.crash_path, []).append(now_s)
        task = asyncio.get_running_loop().create_task(self._replace_after_delay(server))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)

    async def _replace_after_delay(self, server: Engine) -> None:
        await asyncio.sleep(_REPLACEMENT_DELAY_S)
        if self.is_current(server):
            await self.replace_server(server)

    async def replace_server(self, engine: Engine) -> Engine:
        """Crash a backend server; return its replacement, which holds no layers."""
        group = self.engines if engine in self.engines else self.plain
        group.remove(engine)
        self.replaced.append(engine)
        engine.mode = "ok"
        await engine.stop()
        engine.deregister()
        replacement = await self._engine(engine.zone, (0, 0) if engine.model else None)
        if engine.model:
            replacement.layers = None
            replacement.register()
        group.append(replacement)
        return replacement

    async def restart_in_place(self, engine: Engine) -> None:
        """Crash a backend server and restart it with the same address and id."""
        engine.mode = "ok"
        await engine.stop()
        if self.is_current(engine):
            engine.start_without_state(unix_time_ms())
            self.announce_limit(engine, None)

    def announce_limit(self, server: Engine, text: str | None) -> None:
        """Make a backend server announce a rate limit, or none, from now on."""
        now_s = asyncio.get_running_loop().time()
        server.rate_limit = text
        self.announced_limits.append(AnnouncedLimit(server, text, now_s))

    def mark_disturbed(self, entry: Entry) -> Entry:
        """Record that an entry is killed, stopped or suspended, and return it."""
        self.disturbed_entries.add(entry.name)
        return entry

    def is_current(self, engine: Engine) -> bool:
        """Return whether a backend server hasn't been replaced."""
        return engine in self.engines or engine in self.plain

    def store_faulty_since(self, since_s: float) -> bool:
        """Return whether requests may have been late because of the store or a pause.

        This holds if the store or a link to it failed, or an entry was suspended, at
        most 4 s before ``since_s`` or later.
        """
        return any(at_s >= since_s - 4.0 for at_s in self.store_outages_s)

    def faults_active_since(self, since_s: float) -> set[str]:
        """Return the names of all faults that were active at or after ``since_s``."""
        return {fault.name for fault in self.injected if fault.ended_at_s >= since_s}

    def configure(self, extra_routes: int = 0) -> None:
        """Publish the next version of the configuration.

        :param extra_routes: number of additional routes that no client uses.
        """
        self.version += 1
        all_routes = routes()
        all_routes += [
            {**all_routes[0], "name": f"further-{n}", "path_prefix": f"/further/{n}/"}
            for n in range(extra_routes)
        ]
        self.document = configuration(self.version, routes=all_routes)
        self.store.put("keyed.op", "config", self.document)

    def rewrite_records(self) -> None:
        """Rewrite the configuration and registrations that the store has lost."""
        self.store.put("keyed.op", "config", self.document)
        servers = {s.server_id: s for s in (*self.engines, *self.plain)}
        for name in set(self.store.topic("keyed.servers").newest) - servers.keys():
            self.store.put("keyed.servers", name, None)
        for server in servers.values():
            server.register()

    async def stop(self) -> None:
        """Stop the entries, servers, links and the store."""
        for task in self._replacements:
            task.cancel()
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        for server in (*self.engines, *self.plain):
            await server.stop()
        for link in self.links.values():
            await link.stop()
        self._store_server.stop()
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self._store_server.close_all_connections(), 2.0)


def unix_time_ms() -> int:
    """Return the Unix time in milliseconds, the format of servers' start times."""
    return time.time_ns() // 1_000_000


def machine_load() -> float:
    """Return the machine's load average of the last minute."""
    return os.getloadavg()[0]
