"""Shared parts of the review's scripts: platform, plain servers, clients and entries.

The store is the project's own stand-in. Servers and clients are small new ones that
follow the users' pages. Entries are separate processes, started with the command of
the deploy file. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httptools
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from standins.metadata_store import MetadataStore

ROOT = Path(os.environ.get("REVIEW_ROOT", ".")).resolve()
HOST = "ficu95.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


class Record:
    """What was sent, answered and run, in order, with the time since the start."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{time.monotonic() - self._started_s:9.4f} {text}")

    def write(self, path: Path, verdict: list[str]) -> None:
        """Write the verdict and all lines."""
        path.write_text("\n".join([*verdict, "", *self.lines]) + "\n")


# Plain servers


@dataclass
class Garble:
    """Wrong bytes that a server hands out.

    :param share: share of its answers that are sent a second time, late, in the place
        of the answer due next on that connection.
    :param cut_share: the part of this share that is cut short instead.
    """

    share: float
    rng: random.Random
    cut_share: float = 0.0
    active: bool = False

    def draw(self) -> str:
        """Return what happens to the next answer."""
        if not self.active or self.rng.random() >= self.share:
            return ""
        return "cut" if self.rng.random() < self.cut_share else "second"


@dataclass
class PlainServer:
    """A server of a plain service: ``slots`` requests at a time, a few more queued."""

    server_id: str
    service: str
    zone: str
    store: MetadataStore
    record: Record
    slots: int = 6
    queue: int = 4
    work_s: float = 0.06
    max_connections: int = 110
    garble: Garble | None = None
    port: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    tenants: dict[str, str] = field(default_factory=dict)
    answers: int = 0
    garbled: Counter[str] = field(default_factory=Counter)
    health: Counter[int] = field(default_factory=Counter)
    connections: set[ServerConnection] = field(default_factory=set)
    _working: int = 0
    _waiting: deque[asyncio.Future[None]] = field(default_factory=deque)
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen, and register."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.register("ready")

    def register(self, state: str) -> None:
        """Write its entry to the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        }
        self.store.put("keyed.servers", self.server_id, entry)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def take_slot(self) -> bool:
        """Wait for a slot; return False if the queue is full."""
        if self._working < self.slots:
            self._working += 1
            return True
        if len(self._waiting) >= self.queue:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.free_slot()
            else:
                with contextlib.suppress(ValueError):
                    self._waiting.remove(turn)
            raise
        return True

    def free_slot(self) -> None:
        """Give the slot to the next request that waits."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._working -= 1


class ServerConnection(asyncio.Protocol):
    """One connection to a plain server, which serves one request at a time."""

    def __init__(self, server: PlainServer) -> None:
        self.server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[str, str] = {}
        self._task: asyncio.Task[None] | None = None
        # A second copy of an earlier answer, sent in the place of the next one.
        self._second = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection; reset it if there are too many, or the queue is long.

        A long queue is a full one here.
        """
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        server = self.server
        is_full = len(server._waiting) >= server.queue
        if is_full or len(server.connections) >= server.max_connections:
            self.abort()
            return
        self.server.connections.add(self)

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the request that is in work: its caller is gone."""
        self.server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse a request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._target, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        """Store a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.decode().lower()] = value.decode()

    def on_message_complete(self) -> None:
        """Work on the request."""
        answer = self._answer(self._target.decode(), dict(self._headers))
        self._task = asyncio.get_running_loop().create_task(answer)

    async def _answer(self, target: str, headers: dict[str, str]) -> None:
        server = self.server
        request_id = headers.get("railfold-attempt-id", "")
        if target == "/health":
            await self._answer_health()
            return
        if headers.get("railfold-target-instance") != server.server_id:
            self._send(421, request_id, b"", not_executed=True)
            return
        if not await server.take_slot():
            server.record.note(f"{server.server_id} rejects {request_id}")
            self._send(503, request_id, b"", not_executed=True)
            return
        try:
            server.runs[request_id] += 1
            server.tenants[request_id] = headers.get("railfold-tenant", "")
            server.record.note(f"{server.server_id} runs {request_id}")
            await asyncio.sleep(server.work_s)
            self._send(200, request_id, f"record of {request_id}".encode())
        finally:
            server.free_slot()

    async def _answer_health(self) -> None:
        """Answer a health check, which waits for a slot or is rejected as a request."""
        server = self.server
        if not await server.take_slot():
            server.health[503] += 1
            self._send(503, "", b"", not_executed=True)
            return
        try:
            await asyncio.sleep(0.001)
            server.health[200] += 1
            self._send(200, "", b"ok", seal=False)
        finally:
            server.free_slot()

    def _send(
        self,
        status: int,
        request_id: str,
        body: bytes,
        *,
        not_executed: bool = False,
        seal: bool = True,
    ) -> None:
        transport, server = self._transport, self.server
        if transport is None or transport.is_closing():
            return
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if request_id:
            lines.append(f"Railfold-Attempt-Id: {request_id}")
        if not_executed:
            lines.append("Railfold-Not-Executed: 1")
        elif seal:
            lines.append(f"Railfold-Response-Seal: {SEAL}")
        else:
            lines.append(f"Railfold-Instance-Id: {server.server_id}")
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        server.answers += 1
        second, self._second = self._second, b""
        if second:
            what = second.split(b"\r\n", 1)[0].decode()
            server.record.note(
                f"{server.server_id} sends an earlier answer again ({what}) "
                f"before that to {request_id or 'a health check'}"
            )
        kind = server.garble.draw() if server.garble is not None else ""
        if kind:
            server.garbled[kind] += 1
        if kind == "cut":
            transport.write(second + answer[: len(answer) // 2])
            transport.close()
            return
        transport.write(second + answer)
        if kind == "second":
            self._second = answer


# Clients


@dataclass
class Reply:
    """An answer as its client receives it; status 0 if the connection broke."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Client:
    """A client that keeps its connection for many requests."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip, self._port = ip, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def ask(
        self,
        path: str,
        request_id: str,
        key: str,
        *,
        method: str = "POST",
        deadline_s: float = 3.0,
        body: bytes = b"slip",
    ) -> Reply:
        """Send a request, and return its answer."""
        try:
            async with asyncio.timeout(deadline_s):
                return await self._ask(path, request_id, key, method, deadline_s, body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            self.close()
            return Reply(0)

    async def _ask(
        self,
        path: str,
        request_id: str,
        key: str,
        method: str,
        deadline_s: float,
        body: bytes,
    ) -> Reply:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._ip, self._port
            )
        assert self._reader is not None
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Railfold-Attempt-Id: {request_id}",
            f"Railfold-Deadline-Ms: {int(deadline_s * 1000)}",
            f"Authorization: Bearer {key}",
            f"Content-Length: {len(body)}",
        ]
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *fields = head.strip().split("\r\n")
        headers = {
            name.lower(): value for name, value in (f.split(": ", 1) for f in fields)
        }
        answer = await self._reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Reply(int(first.split()[1]), headers, answer)


# Entries

# The metrics port in the command of the deploy file. It is the same for all entries, so
# that each of them has a loopback address of its own.
METRICS_PORT = 7340

SETTINGS = """\
node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "prairie-west"
port_range = [7340, 7355]
bootstrap = {bootstrap}
heartbeat_ms = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
[bounds]
drain_ms = 2000
grace_s = 8
config_ms = 2000
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 202
[platform]
address = "127.0.0.1:{store}"
form = "log"
parts = 12
"""


@dataclass
class Entry:
    """One entry process, started with the command of the deploy file."""

    name: str
    zone: str
    store_port: int
    folder: Path
    ip: str
    bootstrap: bool = True
    front: int = 0
    ready: int = 0
    process: asyncio.subprocess.Process | None = None

    def _settings_path(self) -> Path:
        return self.folder / f"{self.name}.toml"

    async def start(self) -> None:
        """Write the settings and start the process."""
        if not self.front:
            self.front, self.ready = free_port(self.ip), free_port(self.ip)
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            bootstrap=str(self.bootstrap).lower(),
            front=self.front,
            ready=self.ready,
            store=self.store_port,
        )
        self._settings_path().write_text(text)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "RAILFOLD_NODE_FILE": str(self._settings_path()),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Ask the readiness address, as the balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /railfold/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the balancer would send clients here."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():  # noqa: ASYNC110 - a poll, as the balancer's.
                await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        """Send a signal to the process that this entry started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Platform:
    """The store, and the entries' processes."""

    def __init__(self) -> None:
        self.store = MetadataStore()
        self.folder = Path(tempfile.mkdtemp(prefix="railfold-review-"))
        self.entries: list[Entry] = []
        sockets = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(self.store.application())
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        block = random.SystemRandom().randrange(16, 250)
        self._ips = (f"127.{block}.{n}.1" for n in range(1, 250))

    def _free_ip(self) -> str:
        """Return a loopback address that no other run uses."""
        for ip in self._ips:
            with contextlib.suppress(OSError), socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((ip, METRICS_PORT))
                return ip
        raise RuntimeError("no loopback address is free")

    async def add_entry(self, zone: str, **fields: Any) -> Entry:
        """Start an entry without waiting for it."""
        name = f"front-{zone}-{len(self.entries) + 1}"
        entry = Entry(name, zone, self.port, self.folder, self._free_ip(), **fields)
        self.entries.append(entry)
        await entry.start()
        return entry

    async def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            await entry.kill()
        self._server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    main: Callable[[Platform, Record], Any], folder: Path, limit_s: float = 115.0
) -> None:
    """Run a case, write its record, and exit with the code of its verdict.

    :param main: returns the code and the verdict's lines.
    """
    record = Record()

    async def run() -> tuple[int, list[str]]:
        platform = Platform()
        try:
            async with asyncio.timeout(limit_s):
                return await main(platform, record)
        finally:
            await platform.stop()

    try:
        code, verdict = asyncio.run(run())
    except Exception as error:  # Any fault of the case itself.
        code, verdict = COULD_NOT_RUN, [f"the case couldn't run: {error!r}"]
    verdict = [f"exit {code}, TROUBLE={int(TROUBLE)}", *verdict]
    record.write(folder / "record.txt", verdict)
    print("\n".join(verdict))
    sys.exit(code)
