"""Following a log stream, and appending with the effect read back.

:class:`StreamFollower` is a child that reads a stream for ever. Appends through
:class:`SettlingAppender` count as done only when the follower has met their
write id in the stream, so that a lost answer does no harm.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from absl import logging

from railfold._internal.decisions.backoff import Backoff
from railfold._internal.errors import (
    LogUnavailableError,
    RecordsExpiredError,
    WriteUnsettledError,
)
from railfold._internal.observability.metrics import Metrics
from railfold._internal.platform.log import LogClient, LogRecord

__all__ = ["SettlingAppender", "StreamFollower", "StreamReader"]


class StreamReader(Protocol):
    """What is done with a followed stream."""

    def next_offset(self) -> int:
        """Return the offset to read from."""

    def record(self, record: LogRecord) -> None:
        """Take one record, in order."""

    def caught_up(self, next_offset: int) -> None:
        """Called after each successful read that reached the stream's end."""

    def expired(self, first_offset: int) -> int:
        """Records were lost to retention; return the offset to go on from."""


class StreamFollower:
    """Child that follows one stream."""

    def __init__(
        self,
        log: LogClient,
        stream: str,
        reader: StreamReader,
        metrics: Metrics,
        wait_s: float,
    ) -> None:
        self._log = log
        self._stream = stream
        self._reader = reader
        self._metrics = metrics
        self._wait_s = wait_s
        self._backoff = Backoff()
        self._reading = False
        self._resume_at = 0

    @property
    def reading(self) -> bool:
        """Whether the last read succeeded."""
        return self._reading

    async def run(self, ready: asyncio.Event) -> None:
        """Follow until cancelled."""
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
                await asyncio.sleep(self._backoff.delay_s(failures))

    async def _read_once(self, *, wait: bool) -> None:
        offset = max(self._reader.next_offset(), self._resume_at)
        wait_s = self._wait_s if wait else 0.0
        page = await self._log.read(self._stream, offset, wait_s)
        for record in page.records:
            if record.offset < offset:
                continue  # The service may repeat records.
            self._reader.record(record)
        if not page.records or page.records[-1].offset + 1 >= page.next_offset:
            self._reader.caught_up(page.next_offset)
        self._set_reading(True, None)

    async def _skip_expired(self, error: RecordsExpiredError) -> None:
        self._metrics.count(f"log.{self._stream}.expired_reads")
        logging.warning("stream %s: %s", self._stream, error.what)
        try:
            first_offset = await self._first_offset()
        except LogUnavailableError:
            await asyncio.sleep(self._backoff.delay_s(1))
            return
        self._resume_at = self._reader.expired(first_offset)

    async def _first_offset(self) -> int:
        page = await self._log.read(self._stream, -1, 0.0)
        return page.first_offset

    def _set_reading(self, reading: bool, error: LogUnavailableError | None) -> None:
        if reading == self._reading:
            return
        self._reading = reading
        if reading:
            logging.info("stream %s: the log answers", self._stream)
        else:
            logging.warning("stream %s: the log is out: %s", self._stream, error)


class SettlingAppender:
    """Child that batches appends; each is settled by reading it back.

    The reader of the same stream must call :meth:`settle` with each write id.

    :param linger_s: how long a batch gathers.
    """

    def __init__(
        self, log: LogClient, stream: str, metrics: Metrics, linger_s: float
    ) -> None:
        self._log = log
        self._stream = stream
        self._metrics = metrics
        self._linger_s = linger_s
        self._queue: list[tuple[str, Any]] = []
        self._wake = asyncio.Event()
        self._settled: dict[str, asyncio.Future[None]] = {}

    async def run(self, ready: asyncio.Event) -> None:
        """Send batches until cancelled."""
        ready.set()
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._linger_s)
            self._wake.clear()
            batch, self._queue = self._queue, []
            await self._send(batch)

    async def append(self, write_id: str, body: Any, timeout_s: float) -> None:
        """Append a record and return once it was read back.

        :raises LogUnavailableError: it surely wasn't appended.
        :raises WriteUnsettledError: its effect wasn't known in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._settled[write_id] = future
        self._queue.append((write_id, body))
        self._wake.set()
        try:
            await asyncio.wait_for(future, timeout_s)
        except TimeoutError as error:
            raise WriteUnsettledError(
                "an append wasn't read back in time",
                hint="its effect is known once the log can be read again",
            ) from error
        finally:
            self._settled.pop(write_id, None)

    def append_later(self, write_id: str, body: Any) -> None:
        """Append a record without waiting for it; it may be lost."""
        self._queue.append((write_id, body))
        self._wake.set()

    def settle(self, write_id: str) -> None:
        """The record with this write id stands in the stream."""
        future = self._settled.get(write_id)
        if future is not None and not future.done():
            future.set_result(None)

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
