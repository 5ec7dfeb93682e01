"""Stand-in for the users' metadata store, as its documentation describes it.

Topics whose names begin with ``keyed.`` keep the newest record of each key.
Tests inject faults by setting attributes: ``mode`` is ``"ok"``, ``"out"`` (answers
503), ``"silent"`` (no response) or ``"reset"`` (closes the connection),
``ignored_members`` holds the members whose joins get no response, and
``max_page_items`` limits the keys in one page of newest records.
:meth:`MetadataStore.restore_copy` restores an older copy: later writes are lost, and
the era increases by one.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import struct
import time
from dataclasses import dataclass, field, replace
from typing import Any

from tornado.web import Application, RequestHandler

PARTITIONS = 12

# The platform's store assigns partitions of at most this many topics of a group.
MAX_ASSIGNED_TOPICS = 20

# Default size limit of a read, which returns at least one record even if it is larger.
MAX_READ_KB = 1024

# Default limit of the keys in one page of newest records.
MAX_PAGE_ITEMS = 500


@dataclass
class Topic:
    """One partition of (key, value) records; an empty value deletes the key."""

    first: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    append_event: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.newest[key] = (self.end, value)
        if not value:
            del self.newest[key]
        self.records.append((key, value))
        self.append_event.set()
        self.append_event = asyncio.Event()

    def forget(self) -> None:
        """Drop the history but keep the newest record of each key."""
        self.first = self.end
        self.records = []


@dataclass
class Group:
    """A consumer group: its members, their last joins and acknowledged generations."""

    generation: int = 0
    last_heartbeat_s: dict[str, float] = field(default_factory=dict)
    ttl_s: float = 1.0
    acknowledged: dict[str, int] = field(default_factory=dict)

    def join(self, member: str, ttl_s: float, generation: int) -> None:
        """Add a member or renew it, and drop members whose time to live is over.

        :param generation: the generation that the member acknowledges.
        """
        now_s = time.monotonic()
        self.ttl_s = ttl_s
        members_before = set(self.last_heartbeat_s)
        self.last_heartbeat_s = {
            m: at
            for m, at in self.last_heartbeat_s.items()
            if now_s - at < ttl_s or m == member
        }
        self.last_heartbeat_s[member] = now_s
        if set(self.last_heartbeat_s) != members_before:
            self.generation += 1
        self.acknowledged[member] = generation

    def leave(self, member: str) -> None:
        """Remove a member."""
        if self.last_heartbeat_s.pop(member, None) is not None:
            self.generation += 1

    def rows(self, member: str, topics: list[str]) -> list[list[Any]]:
        """Return the partitions of a member once the others know the generation.

        Empty until all other members have acknowledged it, so that no partition has
        two owners.
        """
        members = sorted(self.last_heartbeat_s)
        behind = [m for m in members if self.acknowledged.get(m) != self.generation]
        assigned = topics[:MAX_ASSIGNED_TOPICS]
        parts = [[topic, part, 0] for topic in assigned for part in range(PARTITIONS)]
        own_partitions = parts[members.index(member) :: len(members)]
        return own_partitions if not behind or behind == [member] else []


@dataclass
class StoreCopy:
    """A copy of a store's contents."""

    topics: dict[str, Topic]
    groups: dict[str, Group]


@dataclass
class MetadataStore:
    """The contents of the store, its era and its fault mode."""

    topics: dict[str, Topic] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    mode: str = "ok"
    ignored_members: set[str] = field(default_factory=set)
    calls: int = 0
    era: int = 0
    max_page_items: int = MAX_PAGE_ITEMS

    def topic(self, name: str) -> Topic:
        """Return a topic; create it if it doesn't exist."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, document: Any) -> None:
        """Append a JSON record, or a deletion if ``document`` is ``None``."""
        value = b"" if document is None else json.dumps(document).encode()
        self.topic(topic).append(key, value)

    def copy(self) -> StoreCopy:
        """Return a copy of the topics and groups."""
        topics = {
            name: Topic(topic.first, list(topic.records), dict(topic.newest))
            for name, topic in self.topics.items()
        }
        groups = {
            name: replace(
                group,
                last_heartbeat_s=dict(group.last_heartbeat_s),
                acknowledged=dict(group.acknowledged),
            )
            for name, group in self.groups.items()
        }
        return StoreCopy(topics, groups)

    def restore_copy(self, copy: StoreCopy) -> None:
        """Restore a copy and increment the era; waiting reads get its records."""
        waiting = [topic.append_event for topic in self.topics.values()]
        self.topics = copy.topics
        self.groups = copy.groups
        self.era += 1
        for append_event in waiting:
            append_event.set()

    def application(self) -> Application:
        """Return the HTTP application."""
        arguments = {"store": self}
        return Application(
            [
                ("/railfold/log-read", _Read, arguments),
                ("/railfold/log-newest", _Newest, arguments),
                ("/railfold/log-append", _Append, arguments),
                ("/railfold/log-join", _Join, arguments),
                ("/railfold/log-leave", _Leave, arguments),
            ],
            log_function=lambda handler: None,
        )


class _Handler(RequestHandler):
    def initialize(self, store: MetadataStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        self.set_era_header()
        await self.apply_fault()

    def set_era_header(self) -> None:
        """Set the header with the era that the response belongs to."""
        self.set_header("Store-Era", str(self.store.era))

    async def apply_fault(self) -> None:
        """Apply the fault mode to the request."""
        match self.store.mode:
            case "out":
                self.set_status(503)
                self.finish()
            case "silent":
                await asyncio.Event().wait()
            case "reset":
                self.request.connection.detach().close()
                self._finished = True


class _Read(_Handler):
    async def get(self) -> None:
        topic = self.store.topic(self.get_query_argument("topic"))
        start = int(self.get_query_argument("from"))
        wait_s = float(self.get_query_argument("wait_ms", "0")) / 1000.0
        if start >= topic.end and wait_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.append_event.wait(), wait_s)
            await self.apply_fault()
            if self._finished:
                return
            self.set_era_header()
            topic = self.store.topic(self.get_query_argument("topic"))
        if not topic.first <= start <= topic.end:
            self.set_status(410)
            self.finish({"first": topic.first})
            return
        max_bytes = 1024 * int(self.get_query_argument("max_kb", str(MAX_READ_KB)))
        body = struct.pack(">QQ", topic.end, topic.first)
        body_has_record = False
        for key, value in topic.records[start - topic.first :]:
            record = bytes([len(key)]) + key.encode() + value
            if body_has_record and len(body) + len(record) > max_bytes:
                break
            body += struct.pack(">I", len(record)) + record
            body_has_record = True
        self.finish(body)


class _Newest(_Handler):
    def get(self) -> None:
        topic = self.store.topic(self.get_query_argument("topic"))
        after = self.get_query_argument("after_rev", "")
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(topic.newest.items())
            if key > after
        ]
        limit = self.store.max_page_items
        more_pages = len(items) > limit
        self.finish(
            {"items": items[:limit], "more_pages": more_pages, "end": topic.end}
        )


class _Append(_Handler):
    def post(self) -> None:
        topic = self.store.topic(self.get_query_argument("topic"))
        expected = self.get_query_argument("current_rev", None)
        if expected is not None and int(expected) != topic.end:
            self.set_status(412)
            self.finish({"end": topic.end})
            return
        offset, body = topic.end, self.request.body
        while body:
            (length,) = struct.unpack_from(">I", body)
            record, body = body[4 : 4 + length], body[4 + length :]
            key = record[1 : 1 + record[0]].decode()
            topic.append(key, record[1 + record[0] :])
        self.finish({"offset": offset, "end": topic.end})


class _Join(_Handler):
    async def post(self) -> None:
        body = json.loads(self.request.body)
        member = body["member"]
        if member in self.store.ignored_members:
            await asyncio.Event().wait()
        group = self.store.groups.setdefault(body["group"], Group())
        group.join(member, body["ttl_ms"] / 1000.0, body["generation"])
        rows = group.rows(member, body["topics"])
        self.finish({"generation": group.generation, "parts": rows})


class _Leave(_Handler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        self.store.groups.setdefault(body["group"], Group()).leave(body["member"])
        self.finish({})
