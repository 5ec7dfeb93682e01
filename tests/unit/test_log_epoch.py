"""A reader agrees with a log that is restored from an older copy at any time.

After a restore the log assigns offsets again, so a reader that only continued at its
offset would miss records and keep lost ones.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.freshness import FreshnessLease
from railfold._internal.decisions.log_epoch import LogEpoch, fencing_token
from railfold._internal.errors import LogUnavailableError, RecordsExpiredError
from railfold._internal.forwarding.adapter import KeyedValue
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.follower import FollowerPace, StreamFollower
from railfold._internal.store.records import LogPage, LogRecord
from tests.lib.forwarding import until
from tests.lib.properties import examples


@dataclass
class Log:
    """A log of values per key that can be restored from an older copy."""

    records: list[tuple[str, int]] = field(default_factory=list)
    epoch: int = 0

    def newest_values(self) -> dict[str, int]:
        return dict(self.records)

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        end = len(self.records)
        if offset > end:
            raise RecordsExpiredError("no such offset")
        found = [
            LogRecord(n, 0.0, KeyedValue(key, bytes([value])))
            for n, (key, value) in enumerate(self.records)
        ]
        return LogPage(found[max(0, offset) :], 0, end, epoch=self.epoch)


@dataclass
class Reader:
    """Keeps the newest value of each key; a complete snapshot replaces all values."""

    values: dict[str, int] = field(default_factory=dict)
    read_offset: int = -1
    snapshot: dict[str, int] | None = field(default_factory=dict)

    def next_offset(self) -> int:
        return self.read_offset

    def record(self, record: LogRecord) -> None:
        self.read_offset = record.offset + 1
        target = self.values if self.snapshot is None else self.snapshot
        target[record.body.key] = record.body.value[0]

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        self.read_offset = next_offset
        if self.snapshot is not None:
            self.values, self.snapshot = self.snapshot, None

    def expired(self, first_offset: int) -> int:
        self.read_offset = -1
        self.snapshot = {}
        return -1


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from("abc"), st.integers(0, 255)),
        st.tuples(st.just("back"), st.integers(0, 6)),
        st.tuples(st.just("read")),
    ),
    max_size=25,
)


@examples(300)
@given(STEPS)
async def test_reader_state_matches_the_log_after_rollbacks(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    log, reader = Log(), Reader()
    pace = FollowerPace(wait_s=0.0)
    follower = StreamFollower(log, "stream", reader, Metrics(), pace)

    async def read() -> None:
        try:
            await follower._read_once(wait=False)
        except RecordsExpiredError as error:
            await follower._skip_expired(error)

    for step in steps:
        match step:
            case ("write", key, value):
                log.records.append((key, value))
            case ("back", count):
                log.records = log.records[: max(0, len(log.records) - count)]
                log.epoch += 1
            case _:
                await read()
    for _ in range(3):
        await read()
    assert reader.values == log.newest_values()


async def test_read_with_an_older_epoch_is_rejected() -> None:
    log, reader = Log([("a", 1)], epoch=3), Reader()
    follower = StreamFollower(
        log, "stream", reader, Metrics(), FollowerPace(wait_s=0.0)
    )
    await follower._read_once(wait=False)
    log.records, log.epoch = [("a", 2)], 2
    with pytest.raises(LogUnavailableError):
        await follower._read_once(wait=False)
    assert reader.values == {"a": 1}


def test_first_observed_epoch_is_not_a_rollback() -> None:
    epoch = LogEpoch()
    assert [epoch.observe(n) for n in (4, 4, 5, 4, 5, 7)] == [
        False,
        False,
        True,
        False,
        False,
        True,
    ]


def test_fencing_token_increases_when_generations_restart() -> None:
    tokens = [
        fencing_token(0, 3),
        fencing_token(0, 9),
        fencing_token(1, 2),
        fencing_token(1, 5),
        fencing_token(2, 0),
    ]
    assert tokens == sorted(set(tokens))
    assert fencing_token(2**16, 2**36 - 1) < 2**53


def test_hold_off_ignores_renewals_and_keeps_the_earlier_proof() -> None:
    lease = FreshnessLease(5.0)
    lease.renew(10.0)
    lease.ignore_sent_before(14.0)
    lease.renew(12.0)
    assert lease.age_s(13.0) == 3.0
    assert lease.valid(14.9)
    assert not lease.valid(15.1)
    lease.renew(14.1)
    assert lease.age_s(14.1) == 0.0


class UnresponsiveLog(Log):
    """A log that never answers a read that may wait for new records."""

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        if wait_s > 0.0:
            await asyncio.Event().wait()
        return await super().read(stream, offset, wait_s)


async def test_waiting_read_of_an_unresponsive_log_can_be_abandoned() -> None:
    """When another read finds the log unresponsive, the waiting read ends at once.

    Otherwise the reader would notice the outage only after the read's whole timeout.
    """
    log, reader = UnresponsiveLog([("a", 1)]), Reader()
    lost: list[LogUnavailableError] = []
    follower = StreamFollower(
        log, "stream", reader, Metrics(), FollowerPace(wait_s=9.0), on_lost=lost.append
    )
    child = asyncio.ensure_future(follower.run(asyncio.Event()))
    await until(lambda: follower._waiting_read is not None)
    follower.cancel_waiting_read()
    await until(lambda: bool(lost))
    await until(lambda: follower._waiting_read is not None)
    child.cancel()
    with pytest.raises(asyncio.CancelledError):
        await child
