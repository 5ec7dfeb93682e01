"""Read a log stream continuously, and append records with confirmation by reading back.

:class:`StreamFollower` is a supervised child that reads a stream until it is cancelled.
An append through :class:`SettlingAppender` counts as done only when its write id has
been read in the stream, so that its effect is known even if an answer is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from absl import logging

from railfold._internal.decisions.backoff import Backoff
from railfold._internal.errors import (
    LogUnavailableError,
    RecordsExpiredError,
    WriteUnsettledError,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.records import NEWEST_OF_EACH_KEY, LogPage, LogRecord
from railfold._internal.waiting import answer_within

__all__ = ["SettlingAppender", "StreamFollower", "StreamReader"]


# How long a follower waits for another one's reads to succeed before it retries.
_UNREACHABLE_RETRY_S = 2.0

# A longer time from the head of an answer to its last byte means that the answer has
# saturated the link, or that the event loop was blocked. Clients' streams are delayed
# by the same time.
_LONG_TRANSFER_S = 0.05

# A continuing outage is logged again after this time, and then each time its duration
# has doubled.
_FIRST_REMINDER_S = 2.0


class StreamReader(Protocol):
    """Processes the records of a followed stream."""

    def next_offset(self) -> int:
        """Return the offset to read from.

        A negative offset requests the newest record of each key, from a log that keeps
        those.
        """

    def record(self, record: LogRecord) -> None:
        """Process the next record of the stream."""

    def caught_up(self, next_offset: int, sent_s: float) -> None:
        """Called after each successful read that reached the stream's end.

        :param next_offset: offset at which the stream ends.
        :param sent_s: loop time at which the read was sent; all records that were in
            the stream at this time have been passed to :meth:`record`.
        """

    def expired(self, first_offset: int) -> int:
        """Called when records have expired; return the offset to continue from.

        :param first_offset: offset of the first retained record.
        """


class ReadableLog(Protocol):
    """A log whose streams can be read."""

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return records from ``offset`` on.

        :param wait_s: for how long to wait for a record if there is none.
        :raises RecordsExpiredError: ``offset`` is before the first retained record.
        :raises LogUnavailableError: the log can't be read now.
        """


@dataclass(frozen=True, slots=True)
class FollowerPace:
    """How often a stream is read.

    :param wait_s: how long one read waits for a record.
    :param min_interval_s: minimum time between two reads, so that a busy stream is read
        in batches.
    :param max_backoff_s: maximum time between two retries while the log is
        unavailable.
    """

    wait_s: float
    min_interval_s: float = 0.0
    max_backoff_s: float = 5.0


class StreamFollower:
    """Supervised child that follows one stream.

    ``pace`` may be changed at any time; a change takes effect with the next read.

    :param on_lost: called when reads begin to fail.
    :param on_regained: called when a read succeeds after failures, before its records
        are passed to the reader.
    :param reachable: set while another follower's reads of the same log succeed. After
        a failure this follower waits for it, so that not all followers probe the log
        during an outage.
    :param on_epoch: called with the log's epoch after the first read and whenever it
        has changed, before records of that epoch are passed to the reader.
    :param keeps_newest: whether the log keeps the newest record of each key. If one
        read doesn't reach the end of the stream, the follower skips to those records:
        the records in between may be many times larger, and may grow faster than a
        slow link transfers them.
    """

    def __init__(
        self,
        log: ReadableLog,
        stream: str,
        reader: StreamReader,
        metrics: Metrics,
        pace: FollowerPace,
        on_lost: Callable[[LogUnavailableError], None] | None = None,
        on_regained: Callable[[], None] | None = None,
        reachable: asyncio.Event | None = None,
        on_epoch: Callable[[int], None] | None = None,
        *,
        keeps_newest: bool = False,
    ) -> None:
        self._log = log
        self._keeps_newest = keeps_newest
        self._stream = stream
        self._on_epoch = on_epoch
        self._epoch: int | None = None
        self._reader = reader
        self._metrics = metrics
        self.pace = pace
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._reachable = reachable
        self._backoff = Backoff(max_s=pace.max_backoff_s)
        self._last_read_s = 0.0
        self._waiting_read: asyncio.Future[LogPage] | None = None
        self._reading = False
        self._resume_offset = -1
        self._is_behind = False
        self._outage_began_s: float | None = None
        self._next_reminder_s = 0.0

    @property
    def reading(self) -> bool:
        """Whether the last read succeeded."""
        return self._reading

    @property
    def epoch(self) -> int | None:
        """The log's epoch as of the last read, which the reader's offset belongs to."""
        return self._epoch

    async def run(self, ready: asyncio.Event) -> None:
        """Follow the stream until cancelled."""
        ready.set()
        failures = 0
        while True:
            try:
                await self._read_once(wait=self._reading)
                failures = 0
            except RecordsExpiredError as error:
                await self._skip_expired(error)
            except LogUnavailableError as error:
                failures += 1
                self._set_reading(False, error)
                self._metrics.count(f"log.{self._stream}.read_failures")
                self._report_outage(failures, error)
                await self._wait_after_failure(failures)

    async def _wait_after_failure(self, failures: int) -> None:
        await asyncio.sleep(self._backoff.delay_s(failures))
        if self._reachable is None or self._reachable.is_set():
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._reachable.wait(), _UNREACHABLE_RETRY_S)

    async def _read_once(self, *, wait: bool) -> None:
        offset = max(self._reader.next_offset(), self._resume_offset)
        wait_s = self.pace.wait_s if wait else 0.0
        await self._wait_min_interval()
        sent_s = asyncio.get_running_loop().time()
        page = await self._read(offset, wait_s)
        is_same_history = self._check_epoch(page.epoch)
        self._set_reading(True, None)
        self._report_transfer(page.transfer_s)
        if not is_same_history and offset >= 0:
            # The restored log assigns offsets again, so the records of this page may
            # not follow those that were read before.
            self._resume_offset = self._reader.expired(page.first_offset)
            return
        self._is_behind = bool(page.records) and not page.reaches_end(offset)
        if self._keeps_newest and not page.reaches_end(offset):
            self._metrics.count(f"log.{self._stream}.skipped_records")
            self._resume_offset = self._reader.expired(page.first_offset)
            return
        for record in page.records:
            if record.offset < offset:
                continue  # The log service may repeat records.
            self._reader.record(record)
        if not page.records or page.reaches_end(offset):
            self._reader.caught_up(page.next_offset, sent_s)

    async def _read(self, offset: int, wait_s: float) -> LogPage:
        read = asyncio.ensure_future(self._log.read(self._stream, offset, wait_s))
        self._waiting_read = read if wait_s > 0.0 else None
        try:
            return await read
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise  # The whole child is cancelled, not only the read.
            raise LogUnavailableError(
                "the read was cancelled while it waited for records"
            ) from None
        finally:
            self._waiting_read = None

    def cancel_waiting_read(self) -> None:
        """Cancel a read that waits for records; it counts as a failed read.

        For callers that have found the log unavailable by other means.
        """
        waiting_read, self._waiting_read = self._waiting_read, None
        if waiting_read is not None:
            waiting_read.cancel()

    def _check_epoch(self, epoch: int) -> bool:
        """Return whether the log hasn't been restored since the previous read.

        :raises LogUnavailableError: the answer is of an older epoch.
        """
        previous_epoch, self._epoch = self._epoch, epoch
        if previous_epoch == epoch:
            return True
        if previous_epoch is not None and epoch < previous_epoch:
            self._epoch = previous_epoch
            raise LogUnavailableError("the log's answer has an outdated epoch")
        if previous_epoch is not None:
            self._metrics.count(f"log.{self._stream}.went_back")
            logging.warning(
                "stream %s: the log was restored from an older copy", self._stream
            )
        if self._on_epoch is not None:
            self._on_epoch(epoch)
        return previous_epoch is None

    def _report_transfer(self, transfer_s: float) -> None:
        self._metrics.timing(f"log.{self._stream}.transfer", transfer_s)
        if transfer_s > _LONG_TRANSFER_S:
            logging.info("stream %s: a read took %.3f s", self._stream, transfer_s)

    async def _wait_min_interval(self) -> None:
        loop = asyncio.get_running_loop()
        next_read_s = self._last_read_s + self.pace.min_interval_s
        if next_read_s > loop.time() and not self._is_behind:
            await asyncio.sleep(next_read_s - loop.time())
        self._last_read_s = loop.time()

    async def _skip_expired(self, error: RecordsExpiredError) -> None:
        self._metrics.count(f"log.{self._stream}.expired_reads")
        logging.warning("stream %s: %s", self._stream, error.what)
        try:
            first_offset = await self._first_offset()
        except LogUnavailableError:
            await asyncio.sleep(self._backoff.delay_s(1))
            return
        self._resume_offset = self._reader.expired(first_offset)

    async def _first_offset(self) -> int:
        page = await self._log.read(self._stream, NEWEST_OF_EACH_KEY, 0.0)
        return page.first_offset

    def _set_reading(self, reading: bool, error: LogUnavailableError | None) -> None:
        if reading == self._reading:
            return
        self._reading = reading
        if reading:
            outage_s = self._outage_s()
            self._outage_began_s = None
            self._metrics.gauge(f"log.{self._stream}.out_s", 0.0)
            logging.info(
                "stream %s: the log is available again after %.1f s",
                self._stream,
                outage_s,
            )
            if self._on_regained is not None:
                self._on_regained()
            return
        logging.warning("stream %s: the log is unavailable: %s", self._stream, error)
        if self._on_lost is not None and error is not None:
            self._on_lost(error)

    def _outage_s(self) -> float:
        """Return for how long reads have failed; 0 if they succeed."""
        if self._outage_began_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._outage_began_s

    def _report_outage(self, failures: int, error: LogUnavailableError) -> None:
        """Report the duration of an outage, and log it at increasing intervals."""
        if self._outage_began_s is None:
            self._outage_began_s = asyncio.get_running_loop().time()
            self._next_reminder_s = _FIRST_REMINDER_S
        outage_s = self._outage_s()
        self._metrics.gauge(f"log.{self._stream}.out_s", outage_s)
        if outage_s < self._next_reminder_s:
            return
        self._next_reminder_s *= 2.0
        logging.warning(
            "stream %s: log unavailable for %.1f s, %d consecutive failures: %s",
            self._stream,
            outage_s,
            failures,
            error,
        )


class AppendableLog(Protocol):
    """A log whose streams can be appended to."""

    async def append(self, stream: str, bodies: Sequence[Any]) -> list[int]:
        """Append records in one call; return their offsets.

        :raises LogUnavailableError: the records were not appended.
        :raises WriteUnsettledError: the records may have been appended; reading the
            stream shows whether they were.
        """


class SettlingAppender:
    """Supervised child that appends in batches and confirms appends by reading back.

    The reader of the same stream must call :meth:`settle` with each write id.

    :param linger_s: how long to collect records for a batch.
    """

    def __init__(
        self, log: AppendableLog, stream: str, metrics: Metrics, linger_s: float
    ) -> None:
        self._log = log
        self._stream = stream
        self._metrics = metrics
        self._linger_s = linger_s
        self._queue: list[tuple[str, Any]] = []
        self._wake = asyncio.Event()
        self._settled: dict[str, asyncio.Future[None]] = {}
        self._sending = False

    @property
    def idle(self) -> bool:
        """Whether no record waits to be sent, and none is being sent."""
        return not self._queue and not self._sending

    async def run(self, ready: asyncio.Event) -> None:
        """Send batches until cancelled."""
        ready.set()
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._linger_s)
            self._wake.clear()
            batch, self._queue = self._queue, []
            self._sending = True
            try:
                await self._send(batch)
            finally:
                self._sending = False

    async def append(self, write_id: str, body: Any, timeout_s: float) -> None:
        """Append a record and return once it has been read back.

        :raises LogUnavailableError: the record was certainly not appended.
        :raises WriteUnsettledError: it wasn't read back in time, and may have been
            appended or may still be.
        """
        future = asyncio.get_running_loop().create_future()
        self._settled[write_id] = future
        self._queue.append((write_id, body))
        self._wake.set()
        try:
            await answer_within(future, timeout_s)
        except TimeoutError as error:
            raise WriteUnsettledError(
                "an append wasn't read back in time",
                hint="whether it was appended is known once the log can be read again",
            ) from error
        finally:
            self._settled.pop(write_id, None)

    def append_nowait(self, write_id: str, body: Any) -> None:
        """Queue a record to append without waiting for the result; it may be lost."""
        self._queue.append((write_id, body))
        self._wake.set()

    def settle(self, write_id: str) -> None:
        """Confirm the append with this write id, which was read in the stream."""
        future = self._settled.get(write_id)
        if future is not None and not future.done():
            future.set_result(None)

    def stop_waiting(self) -> None:
        """End the wait for all appends that haven't been read back."""
        for future in self._settled.values():
            if not future.done():
                future.set_exception(
                    WriteUnsettledError("an append wasn't read back before the exit")
                )

    async def _send(self, batch: list[tuple[str, Any]]) -> None:
        self._metrics.count(f"log.{self._stream}.appends")
        self._metrics.count(f"log.{self._stream}.records", len(batch))
        try:
            await self._log.append(self._stream, [body for _, body in batch])
        except WriteUnsettledError:
            self._metrics.count(f"log.{self._stream}.appends_unsettled")
        except LogUnavailableError as error:
            self._metrics.count(f"log.{self._stream}.append_failures")
            for write_id, _ in batch:
                future = self._settled.get(write_id)
                if future is not None and not future.done():
                    future.set_exception(error)
