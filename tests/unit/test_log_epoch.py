"""A reader of a log that goes back holds what the log holds, in any interleaving."""

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
    """A log that keeps the newest record of each key, and goes back."""

    records: list[tuple[str, int]] = field(default_factory=list)
    epoch: int = 0

    def newest(self) -> dict[str, int]:
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
    """Holds the newest value of each key; a whole copy replaces all."""

    held: dict[str, int] = field(default_factory=dict)
    next: int = -1
    copy: dict[str, int] | None = field(default_factory=dict)

    def next_offset(self) -> int:
        return self.next

    def record(self, record: LogRecord) -> None:
        self.next = record.offset + 1
        target = self.held if self.copy is None else self.copy
        target[record.body.key] = record.body.value[0]

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        self.next = next_offset
        if self.copy is not None:
            self.held, self.copy = self.copy, None

    def expired(self, first_offset: int) -> int:
        self.next = -1
        self.copy = {}
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
async def test_what_is_held_is_what_the_log_holds(steps: list[tuple]) -> None:  # type: ignore[type-arg]
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
    assert reader.held == log.newest()


async def test_an_answer_of_an_older_epoch_is_passed_over() -> None:
    log, reader = Log([("a", 1)], epoch=3), Reader()
    follower = StreamFollower(
        log, "stream", reader, Metrics(), FollowerPace(wait_s=0.0)
    )
    await follower._read_once(wait=False)
    log.records, log.epoch = [("a", 2)], 2
    with pytest.raises(LogUnavailableError):
        await follower._read_once(wait=False)
    assert reader.held == {"a": 1}


def test_the_first_epoch_is_no_return() -> None:
    epoch = LogEpoch()
    assert [epoch.observe(n) for n in (4, 4, 5, 4, 5, 7)] == [
        False,
        False,
        True,
        False,
        False,
        True,
    ]


def test_a_token_rises_though_generations_fall() -> None:
    tokens = [
        fencing_token(0, 3),
        fencing_token(0, 9),
        fencing_token(1, 2),
        fencing_token(1, 5),
        fencing_token(2, 0),
    ]
    assert tokens == sorted(set(tokens))
    assert fencing_token(2**16, 2**36 - 1) < 2**53


def test_what_was_proved_before_holds_for_the_rest_of_its_time() -> None:
    lease = FreshnessLease(5.0)
    lease.renew(10.0)
    lease.ignore_sent_before(14.0)
    lease.renew(12.0)
    assert lease.age_s(13.0) == 3.0
    assert lease.valid(14.9)
    assert not lease.valid(15.1)
    lease.renew(14.1)
    assert lease.age_s(14.1) == 0.0


class SilentLog(Log):
    """A log that answers no read that waits."""

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        if wait_s > 0.0:
            await asyncio.Event().wait()
        return await super().read(stream, offset, wait_s)


async def test_a_read_that_waits_on_a_silent_log_can_be_given_up() -> None:
    """Another read has found that the log doesn't answer."""
    log, reader = SilentLog([("a", 1)]), Reader()
    lost: list[LogUnavailableError] = []
    follower = StreamFollower(
        log, "stream", reader, Metrics(), FollowerPace(wait_s=9.0), on_lost=lost.append
    )
    child = asyncio.ensure_future(follower.run(asyncio.Event()))
    await until(lambda: follower._waiting is not None)
    follower.give_up_waiting()
    await until(lambda: bool(lost))
    await until(lambda: follower._waiting is not None)
    child.cancel()
    with pytest.raises(asyncio.CancelledError):
        await child
