"""Structured log lines on standard output, written without blocking.

Each line is a JSON object with the time, the host, and the type and fields of an event.
Lines wait in a bounded buffer until the reader of the output takes them. Lines that
don't fit are dropped, and a later line reports how many.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque

import msgspec

from railfold._internal import clock
from railfold._internal.observability.events import Event, LinesDropped, LogLine

__all__ = ["DecisionLog"]

# Lines that an entry writes in about two seconds under its design load.
_MAX_BUFFERED_BYTES = 512 * 1024

# Limit for lines of successful requests; further ones are only counted. Lines of failed
# requests have no limit.
_MAX_ROUTINE_LINES_PER_S = 40.0

_FLUSH_INTERVAL_S = 0.1
_MAX_WRITE_BYTES = 64 * 1024


class DecisionLog:
    """Writes events to a file descriptor.

    :param host: the name of the host, which each line contains.
    """

    def __init__(self, host: str, fd: int = 1) -> None:
        self._host = host
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._encoder = msgspec.json.Encoder()
        self._dropped_lines = 0
        self._skipped_routine_lines = 0
        self._routine_credit = _MAX_ROUTINE_LINES_PER_S
        self._credit_updated_at_s = clock.now_s()

    def write(self, event: Event) -> None:
        """Add a line for an event to the buffer, or count it as dropped."""
        line = self._encoder.encode(
            LogLine(round(clock.unix_time_s(), 3), self._host, event)
        )
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        self._lines.append(line + b"\n")
        self._buffered_bytes += len(line) + 1

    def write_routine(self, event: Event) -> None:
        """Log an event that explains no failure, within the limit for such lines."""
        now_s = clock.now_s()
        earned_credit = (now_s - self._credit_updated_at_s) * _MAX_ROUTINE_LINES_PER_S
        self._routine_credit = min(
            _MAX_ROUTINE_LINES_PER_S, self._routine_credit + earned_credit
        )
        self._credit_updated_at_s = now_s
        if self._routine_credit < 1.0:
            self._skipped_routine_lines += 1
            return
        self._routine_credit -= 1.0
        self.write(event)

    async def run(self, ready: asyncio.Event) -> None:
        """Write buffered lines at intervals until cancelled, and once more then."""
        os.set_blocking(self._fd, False)
        ready.set()
        try:
            while True:
                await asyncio.sleep(_FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the reader takes without blocking.

        If none are buffered, first adds a line with the numbers of lines that were
        dropped or skipped.
        """
        if (self._dropped_lines or self._skipped_routine_lines) and not self._lines:
            dropped_lines, skipped_lines = (
                self._dropped_lines,
                self._skipped_routine_lines,
            )
            self._dropped_lines = self._skipped_routine_lines = 0
            self.write(LinesDropped(dropped_lines, skipped_lines))
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) < _MAX_WRITE_BYTES:
                chunk += self._lines.popleft()
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader closed its end, so that the lines can't be delivered.
                self._buffered_bytes = 0
                self._lines.clear()
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return
