"""Parts of a small deployment for the scripts of the second review.

Entries are separate processes with the command of the deploy file. The store and the
runners are the project's stand-ins, in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from standins.chaining_engine import Engine
from standins.metadata_store import MetadataStore, Topic

ROOT = Path.cwd()  # ``run.sh`` starts at the root of the repository.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "station.example"
PLAIN_SERVICE = "line-records"
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.3

HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """\
node = "{name}"
role = "entry"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "prairie-west"
port_range = [7340, 7355]
seeds = []
bootstrap = {bootstrap}
counts_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "retry", "recover", "tenants", "platform"]
[zones]
hall-a = "prairie-west"
hall-b = "prairie-west"
[listen]
front = "{ip}:8227"
ready = "{ip}:8220"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_ms = 2000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 202
recover_s = 12
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
ttl_min_ms = 1000
"""


class Record:
    """Writes what happened to ``record.txt``, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line."""
        print(f"{self.now_s():8.3f} {text}", file=self._file, flush=True)


def free_network() -> str:
    """Return the first three numbers of loopback addresses with the ports free."""
    for _ in range(100):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (7340, 7355, 8220, 8227):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback addresses")


@dataclass
class EntryProcess:
    """An entry, which the platform starts again whenever its process ends."""

    name: str
    ip: str
    zone: str
    store: str
    folder: Path
    record: Record
    process: asyncio.subprocess.Process | None = None
    exit_codes: list[int] = field(default_factory=list)
    down_until_s: float = 0.0
    stopping: bool = False
    _task: asyncio.Task[None] | None = None

    def write_settings(self, *, bootstrap: bool) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            store=self.store,
            bootstrap="true" if bootstrap else "false",
        )
        path = self.folder / f"{self.name}.toml"
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").rename(path)

    def start(self) -> None:
        """Start the process and keep it running."""
        self.write_settings(bootstrap=True)
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["RAILFOLD_NODE_FILE"] = str(self.folder / f"{self.name}.toml")
        while not self.stopping:
            with (self.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            self.record.write(f"{self.name} started, process {self.process.pid}")
            self.write_settings(bootstrap=False)
            code = await self.process.wait()
            self.exit_codes.append(code)
            self.record.write(f"{self.name} ended with {code}")
            delay_s = max(RESTART_DELAY_S, self.down_until_s - time.monotonic())
            await asyncio.sleep(delay_s)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def kill(self, down_s: float) -> None:
        """Kill the process; the platform starts it again after ``down_s``."""
        self.down_until_s = time.monotonic() + down_s
        self.signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Kill the process and don't start it again."""
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        if self._task is not None:
            self._task.cancel()


@dataclass
class Answer:
    """What a client got: a status, or 0 if the channel ended without an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Channel:
    """One channel of a client, kept for many requests."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        path: str,
        request_id: str,
        key: str,
        *,
        method: str = "GET",
        deadline_ms: int = 3000,
    ) -> Answer:
        """Send a request and return the answer."""
        try:
            return await asyncio.wait_for(
                self._request(path, request_id, key, method, deadline_ms),
                deadline_ms / 1000.0,
            )
        except (OSError, EOFError, ValueError, TimeoutError):
            self.close()
            return Answer(0)

    async def _request(
        self, path: str, request_id: str, key: str, method: str, deadline_ms: int
    ) -> Answer:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(self._ip, 8227)
        assert self._reader is not None
        self._writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Railfold-Attempt-Id: {request_id}\r\n"
            f"Railfold-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        head = (
            (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        )
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(head[0].split()[1]), headers, body)

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def is_ready(ip: str) -> bool:
    """Return whether an entry answers the platform's readiness question with 200."""
    try:
        reader, writer = await asyncio.open_connection(ip, 8220)
        writer.write(
            b"GET /railfold/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        )
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return b" 200 " in line
    except (OSError, TimeoutError):
        return False


def plain_configuration(version: int, tenants: dict[str, list[str]]) -> dict[str, Any]:
    """Return a configuration with one plain service, as the operator writes it."""

    def route(name: str, kind: str) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "service": PLAIN_SERVICE,
            "timeout_ms": 3000,
            "slo_ms": 300,
            "priority": 1,
            "max_attempts": 2 if kind == "safe" else 1,
            "public": False,
        }

    return {
        "version": version,
        "routes": [
            route("tray", "safe"),
            route("slip", "unsafe"),
            route("note", "stream")
            | {"resumable": True, "gap_aim_ms": 200, "max_attempts": 2},
        ],
        "services": [{"name": PLAIN_SERVICE, "health_path": "/health"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
    }


@dataclass
class Deployment:
    """The store, runners of a plain service, and entries."""

    record: Record
    tenants: dict[str, list[str]]
    entry_count: int = 2
    work_s: float = 0.06
    store: MetadataStore = field(default_factory=MetadataStore)
    runners: list[Engine] = field(default_factory=list)
    entries: list[EntryProcess] = field(default_factory=list)
    version: int = 1
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _ages: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

    async def start(self) -> None:
        """Start everything, and wait until the entries are ready."""
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        sockets = bind_sockets(0, "127.0.0.1")
        self.store_server = HTTPServer(self.store.application())
        self.store_server.add_sockets(sockets)
        store = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.configure(self.tenants)
        for number, zone in enumerate(("hall-a", "hall-b", "hall-a")):
            runner = Engine(f"i-{number}", PLAIN_SERVICE, zone, self.store, {})
            runner.event_interval_s = self.work_s
            runner.start()
            self.runners.append(runner)
        self._tasks.append(asyncio.create_task(self._run_heartbeats()))
        network = free_network()
        for number in range(self.entry_count):
            zone = ("hall-a", "hall-b")[number % 2]
            entry = EntryProcess(
                f"front-{zone}-{number}",
                f"{network}.{number + 1}",
                zone,
                store,
                self.folder,
                self.record,
            )
            entry.start()
            self.entries.append(entry)
        async with asyncio.timeout(15.0):
            for entry in self.entries:
                while not await is_ready(entry.ip):  # noqa: ASYNC110 - polled.
                    await asyncio.sleep(0.1)

    def configure(self, tenants: dict[str, list[str]]) -> None:
        """Write the next version; the store confirms it at once."""
        self.document = plain_configuration(self.version, tenants)
        self.store.put("keyed.op", "config", self.document)
        self.record.write(f"version {self.version} confirmed: {tenants}")
        self.version += 1

    async def _run_heartbeats(self) -> None:
        """Write the runners' entries, and drop records that are 20 s old."""
        while True:
            for runner in self.runners:
                runner.register()
            for name, topic in self.store.topics.items():
                if name.startswith("keyed."):
                    self._drop_old(name, topic)
            await asyncio.sleep(HEARTBEAT_S)

    def _drop_old(self, name: str, topic: Topic) -> None:
        now_s = time.monotonic()
        ages = self._ages.setdefault(name, [])
        ages.append((now_s, topic.end))
        while ages and now_s - ages[0][0] >= 20.0:
            _, end = ages.pop(0)
            dropped = max(0, min(end, topic.end) - topic.first)
            topic.records = topic.records[dropped:]
            topic.first += dropped

    def runs(self, request_id: str) -> int:
        """Return how often a request ran."""
        return sum(runner.run_counts[request_id] for runner in self.runners)

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for entry in self.entries:
            await entry.stop()
        for runner in self.runners:
            await runner.stop()
        self.store_server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder: Path, scenario: Any) -> None:
    """Run a scenario and exit with its result."""

    async def run() -> int:
        record = Record(folder)
        record.write(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(110.0):
                result = await scenario(record)
        except (OSError, TimeoutError) as error:
            record.write(f"could not run: {error!r}")
            result = NOT_RUN
        record.write(("the rule held", "THE RULE IS BROKEN", "not run")[result])
        return result

    sys.exit(asyncio.run(run()))
