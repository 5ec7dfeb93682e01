"""Stand-in for the platform's log service and host list.

Faults are set with ``POST /faults``: ``{"mode": "ok"}``, ``"out"`` (answers
503), ``"hang"`` (no response), ``"slow"`` (responds after ``delay_s``),
``"lose_answer"`` (appends take effect, but the response is lost),
``"lose_append"`` (the connection closes before an append takes effect) and
``"log_out"`` (the log answers 503, the host list works).
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

RETAINED_FOREVER = 1 << 62


@dataclass
class Stream:
    """One append-only stream."""

    first_offset: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)
    append_event: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, bodies: list[Any]) -> list[int]:
        """Append records and return their offsets."""
        offsets = []
        for body in bodies:
            offsets.append(self.next_offset)
            record = {
                "offset": self.next_offset,
                "appended_s": time.time(),
                "body": body,
            }
            self.records.append(record)
        self.append_event.set()
        self.append_event = asyncio.Event()
        return offsets

    def truncate(self, first_offset: int) -> None:
        """Drop the records before ``first_offset``."""
        dropped_count = max(0, min(first_offset, self.next_offset) - self.first_offset)
        self.records = self.records[dropped_count:]
        self.first_offset += dropped_count


@dataclass
class Platform:
    """State of the log service and the host list, and the fault mode."""

    streams: dict[str, Stream] = field(default_factory=dict)
    hosts: list[dict[str, str]] = field(default_factory=list)
    mode: str = "ok"
    delay_s: float = 0.0
    fault_cleared: asyncio.Event = field(default_factory=asyncio.Event)
    appends: int = 0
    hosts_reads: int = 0

    def stream(self, name: str) -> Stream:
        """Return a stream; create it if it doesn't exist."""
        return self.streams.setdefault(name, Stream())


class _Handler(RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    async def prepare(self) -> None:
        platform = self.platform
        match platform.mode:
            case "out":
                self.send_error(503)
            case "hang":
                await platform.fault_cleared.wait()
            case "slow":
                await asyncio.sleep(platform.delay_s)

    def break_connection(self) -> None:
        """Close the connection without a response."""
        self.request.connection.detach().close()
        self._finished = True

    def answer(self, value: Any) -> None:
        """Respond with JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class RecordsHandler(_Handler):
    """Reads and appends records of a stream."""

    async def prepare(self) -> None:
        """Apply the fault mode."""
        if self.platform.mode == "log_out":
            self.send_error(503)
            return
        await super().prepare()

    async def get(self, name: str) -> None:
        """Return records; wait up to ``wait_s`` if there is none yet."""
        stream = self.platform.stream(name)
        offset = int(self.get_query_argument("from"))
        limit = int(self.get_query_argument("limit"))
        wait_s = float(self.get_query_argument("wait_s"))
        if 0 <= offset < stream.first_offset:
            self.set_status(410)
            self.finish("expired")
            return
        offset = max(offset, stream.first_offset)
        if offset >= stream.next_offset and wait_s > 0:
            append_event = stream.append_event
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(append_event.wait(), wait_s)
            if self.platform.mode in ("out", "log_out"):
                self.send_error(503)
                return
        start = max(0, offset - stream.first_offset)
        self.answer(
            {
                "records": stream.records[start : start + limit],
                "first_offset": stream.first_offset,
                "next_offset": stream.next_offset,
            }
        )

    def post(self, name: str) -> None:
        """Append records."""
        if self.platform.mode == "lose_append":
            self.break_connection()
            return
        bodies = msgspec.json.decode(self.request.body)["records"]
        self.platform.appends += 1
        offsets = self.platform.stream(name).append(bodies)
        if self.platform.mode == "lose_answer":
            self.break_connection()
            return
        self.answer({"offsets": offsets})


class HostsHandler(_Handler):
    """Serves the host list."""

    def get(self) -> None:
        """Return the hosts."""
        self.platform.hosts_reads += 1
        self.answer({"hosts": self.platform.hosts})


class ControlHandler(RequestHandler):
    """Lets tests set and read state; fault modes don't affect it."""

    def initialize(self, platform: Platform) -> None:
        """Keep the platform's state."""
        self.platform = platform

    def get(self, what: str) -> None:
        """Return the counters and the next offset of each stream."""
        self.finish(
            {
                "appends": self.platform.appends,
                "hosts_reads": self.platform.hosts_reads,
                "streams": {n: s.next_offset for n, s in self.platform.streams.items()},
            }
        )

    def post(self, what: str) -> None:
        """Set the hosts or the fault mode, or truncate a stream."""
        body = msgspec.json.decode(self.request.body)
        platform = self.platform
        match what:
            case "hosts":
                platform.hosts = body["hosts"]
            case "faults":
                platform.mode = body["mode"]
                platform.delay_s = body.get("delay_s", 0.0)
                platform.fault_cleared.set()
                platform.fault_cleared = asyncio.Event()
                self._wake_readers()
            case "truncate":
                platform.stream(body["stream"]).truncate(body["first_offset"])
        self.finish({})

    def _wake_readers(self) -> None:
        for stream in self.platform.streams.values():
            stream.append_event.set()
            stream.append_event = asyncio.Event()


def make_application(platform: Platform) -> Application:
    """Return the stand-in's application."""
    arguments = {"platform": platform}
    return Application(
        [
            (r"/streams/([a-z0-9-]+)/records", RecordsHandler, arguments),
            (r"/hosts", HostsHandler, arguments),
            (r"/control/([a-z]+)", ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
