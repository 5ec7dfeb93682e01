"""Registrations in a whole copy and behind it: the same records, the same knowledge.

A record that couldn't be read removed its backend server if it was met in a whole copy,
and left the earlier registration in force if it was met behind one: entries that read
it at different times differed for good.
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
from railfold._internal.platform.adapter import UsersPlatform
from railfold._internal.store.records import LogRecord

Write = tuple[str, bytes]


def written(port: int, **changes: Any) -> bytes:
    entry = {
        "service": "llm",
        "address": f"10.0.0.1:{port}",
        "zone": "hall-a",
        "slots": 96,
        "state": "ready",
        **changes,
    }
    return json.dumps(entry).encode()


class Reader:
    """An entry's feed and what it knows."""

    def __init__(self) -> None:
        platform = UsersPlatform(Address("127.0.0.1", 1), 1)
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

    def take(self, writes: Iterable[Write], offset: int = 0) -> int:
        """Read records from an offset on; return the offset behind them."""
        for key, value in writes:
            self.feed.record(LogRecord(offset, 0.0, KeyedValue(key, value)))
            offset += 1
        self.feed.caught_up(offset, 0.0)
        return offset

    def known(self) -> dict[str, tuple[str, int | None]]:
        """Return address and start by registered id."""
        registrations = [entry.registration for entry in self.router.directory]
        return {r.registered_id: (r.address, r.started_at_ms) for r in registrations}


def newest(writes: Iterable[Write]) -> list[Write]:
    """Return the newest record of each key, in the order of their writing."""
    kept: dict[str, bytes] = {}
    for key, value in writes:
        kept.pop(key, None)
        if value:
            kept[key] = value
    return list(kept.items())


@pytest.mark.asyncio
@pytest.mark.parametrize("odd", [b"{}", b"\xff", written(1, slots=0)])
async def test_an_odd_record_ends_the_registration_before_it(odd: bytes) -> None:
    reader = Reader()
    offset = reader.take([("i-1", written(1)), ("i-2", written(2))])
    reader.take([("i-1", odd)], offset)
    assert sorted(reader.known()) == ["i-2"]
    reader.take([("i-1", written(1))], offset + 1)
    assert sorted(reader.known()) == ["i-1", "i-2"]


@pytest.mark.asyncio
async def test_a_flood_of_odd_records_is_logged_once_a_change() -> None:
    reader = Reader()
    offset = reader.take([("i-1", written(1))])
    for _ in range(50):
        offset = reader.take([("i-1", b"{}")], offset)
    assert reader.router.metrics.counters["registrations.refused"] == 50
    reader.router.log.flush()
    assert len(reader.feed._refused_ids) == 1


WRITES = st.lists(
    st.tuples(
        st.sampled_from(["i-1", "i-2", "i-3"]),
        st.one_of(
            st.just(b""),
            st.just(b"{}"),
            st.builds(written, st.just(1), born=st.integers(1, 3)),
            st.builds(written, st.just(2), slots=st.sampled_from([0, 96])),
        ),
    ),
    max_size=12,
)


def distinct_addresses(writes: list[Write]) -> list[Write]:
    """Give each id an address of its own: two at one address are another matter."""
    return [
        (key, value.replace(b"10.0.0.1", f"10.0.0.{key[-1]}".encode()))
        for key, value in writes
    ]


@given(WRITES, st.integers(0, 12))
@pytest.mark.asyncio
async def test_whoever_reads_a_copy_knows_what_whoever_read_all_knows(
    writes: list[Write], copied: int
) -> None:
    in_order = []
    last_start: dict[str, int] = {}
    for key, value in distinct_addresses(writes):
        # The store's order is that of the writes: an incarnation never precedes its
        # predecessor there.
        started = json.loads(value).get("born", 0) if value else 0
        if started and started < last_start.get(key, 0):
            continue
        last_start[key] = max(started, last_start.get(key, 0))
        in_order.append((key, value))
    reads_all, reads_a_copy = Reader(), Reader()
    reads_all.take([])
    reads_all.take(in_order)
    behind = len(newest(in_order[:copied]))
    reads_a_copy.take(newest(in_order[:copied]))
    reads_a_copy.take(in_order[copied:], behind)
    only_known = {key: known[0] for key, known in reads_all.known().items()}
    assert {k: known[0] for k, known in reads_a_copy.known().items()} == only_known
