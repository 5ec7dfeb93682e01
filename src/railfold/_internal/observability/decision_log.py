"""Structured log lines on standard output, bounded and never blocking.

Each line is one JSON object: a time, the process, the kind of event and its
fields. Lines wait in a bounded buffer and leave when the reader takes them; what
doesn't fit is dropped and counted, and the number told in a later line.
"""

from __future__ import annotations

import asyncio
import os
from collections import deque

import msgspec

from railfold._internal import clock
from railfold._internal.observability.events import Event, LinesDropped, LogLine

__all__ = ["DecisionLog"]

# About two seconds of lines of an entry under the load that it is designed for.
_MAX_BUFFERED_BYTES = 512 * 1024

# Lines of requests that went well, a second; the rest are counted only. Lines
# of requests that did not are never left out.
_MAX_ROUTINE_LINES_PER_S = 40.0

_FLUSH_INTERVAL_S = 0.1
_MAX_WRITE_BYTES = 64 * 1024


class DecisionLog:
    """Writes events to a file descriptor."""

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
        """Log an event."""
        line = self._encoder.encode(
            LogLine(round(clock.unix_time_s(), 3), self._host, event)
        )
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        self._lines.append(line + b"\n")
        self._buffered_bytes += len(line) + 1

    def write_routine(self, event: Event) -> None:
        """Log an event that explains no failure, unless there are many."""
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
        """Write lines out until cancelled, and once more then."""
        os.set_blocking(self._fd, False)
        ready.set()
        try:
            while True:
                await asyncio.sleep(_FLUSH_INTERVAL_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
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
                # The reader is gone: there is nobody to tell.
                self._buffered_bytes = 0
                self._lines.clear()
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(bytes(chunk[written:]))
                return
