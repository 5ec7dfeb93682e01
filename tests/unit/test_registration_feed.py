"""Entries that read the same registrations at different times know the same servers.

These tests guard against a permanent difference between entries: a record that couldn't
be decoded removed its backend server if it was part of a snapshot, but left the earlier
registration in force if it followed the snapshot.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.core import Address
from railfold._internal.decisions.engine_directory import EngineDirectory
from railfold._internal.decisions.freshness import FreshnessLease
from railfold._internal.decisions.retry_budget import RetryBudgets, RetryLimits
from railfold._internal.forwarding.adapter import KeyedValue
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.pool import ConnectionPool
from railfold._internal.forwarding.store.feeds import RegistrationFeed
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.metrics import Metrics
from railfold._internal.platform.adapter import MetadataStorePlatform
from railfold._internal.store.records import LogRecord

Write = tuple[str, bytes]


def registration_value(port: int, **changes: Any) -> bytes:
    entry = {
        "service": "llm",
        "address": f"10.0.0.1:{port}",
        "zone": "hall-a",
        "slots": 96,
        "state": "ready",
        **changes,
    }
    return json.dumps(entry).encode()


class EntryReader:
    """The registration feed and the directory of an entry."""

    def __init__(self) -> None:
        platform = MetadataStorePlatform(Address("127.0.0.1", 1), 1)
        self.router = Router(
            dialect=platform.dialect,
            directory=EngineDirectory(),
            pool=ConnectionPool(),
            lease=FreshnessLease(5.0),
            budgets=RetryBudgets(RetryLimits()),
            metrics=Metrics(),
            log=DecisionLog("entry", 1),
            failure_domain="hall-a",
            region="west",
            rng=random.Random(1),
        )
        self.feed = RegistrationFeed(
            self.router, platform.decode_registration, lambda: None
        )

    def read(self, writes: Iterable[Write], offset: int = 0) -> int:
        """Read records that begin at ``offset``; return the offset after the last."""
        for key, value in writes:
            self.feed.record(LogRecord(offset, 0.0, KeyedValue(key, value)))
            offset += 1
        self.feed.caught_up(offset, 0.0)
        return offset

    def known_servers(self) -> dict[str, tuple[str, int | None]]:
        """Return the address and start time of each server by registered id."""
        registrations = [entry.registration for entry in self.router.directory]
        return {r.registered_id: (r.address, r.started_at_ms) for r in registrations}


def newest_of_each_key(writes: Iterable[Write]) -> list[Write]:
    """Return the newest record of each key, in the order in which they were written."""
    kept: dict[str, bytes] = {}
    for key, value in writes:
        kept.pop(key, None)
        if value:
            kept[key] = value
    return list(kept.items())


@pytest.mark.asyncio
@pytest.mark.parametrize("unusable", [b"{}", b"\xff", registration_value(1, slots=0)])
async def test_an_unusable_record_ends_the_earlier_registration(
    unusable: bytes,
) -> None:
    reader = EntryReader()
    offset = reader.read(
        [("i-1", registration_value(1)), ("i-2", registration_value(2))]
    )
    reader.read([("i-1", unusable)], offset)
    assert sorted(reader.known_servers()) == ["i-2"]
    reader.read([("i-1", registration_value(1))], offset + 1)
    assert sorted(reader.known_servers()) == ["i-1", "i-2"]


@pytest.mark.asyncio
async def test_many_unusable_records_are_logged_once_per_change() -> None:
    reader = EntryReader()
    offset = reader.read([("i-1", registration_value(1))])
    for _ in range(50):
        offset = reader.read([("i-1", b"{}")], offset)
    assert reader.router.metrics.counters["registrations.refused"] == 50
    reader.router.log.flush()
    assert len(reader.feed._refused_ids) == 1


WRITES = st.lists(
    st.tuples(
        st.sampled_from(["i-1", "i-2", "i-3"]),
        st.one_of(
            st.just(b""),
            st.just(b"{}"),
            st.builds(registration_value, st.just(1), born=st.integers(1, 3)),
            st.builds(registration_value, st.just(2), slots=st.sampled_from([0, 96])),
        ),
    ),
    max_size=12,
)


def distinct_addresses(writes: list[Write]) -> list[Write]:
    """Give each id its own address; shared addresses aren't tested here."""
    return [
        (key, value.replace(b"10.0.0.1", f"10.0.0.{key[-1]}".encode()))
        for key, value in writes
    ]


@given(WRITES, st.integers(0, 12))
@pytest.mark.asyncio
async def test_reading_a_snapshot_gives_the_same_servers_as_reading_all_records(
    writes: list[Write], snapshot_end: int
) -> None:
    in_order = []
    last_start: dict[str, int] = {}
    for key, value in distinct_addresses(writes):
        # The store keeps the order of the writes, so that the record of an incarnation
        # never precedes the one of its predecessor.
        started = json.loads(value).get("born", 0) if value else 0
        if started and started < last_start.get(key, 0):
            continue
        last_start[key] = max(started, last_start.get(key, 0))
        in_order.append((key, value))
    full_reader, snapshot_reader = EntryReader(), EntryReader()
    full_reader.read([])
    full_reader.read(in_order)
    snapshot_length = len(newest_of_each_key(in_order[:snapshot_end]))
    snapshot_reader.read(newest_of_each_key(in_order[:snapshot_end]))
    snapshot_reader.read(in_order[snapshot_end:], snapshot_length)
    expected_addresses = {
        key: server[0] for key, server in full_reader.known_servers().items()
    }
    assert {
        registered_id: server[0]
        for registered_id, server in snapshot_reader.known_servers().items()
    } == expected_addresses
