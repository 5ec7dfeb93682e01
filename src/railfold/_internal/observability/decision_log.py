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
_BUFFER_BYTES = 512 * 1024

# Lines of requests that went well, a second; the rest are counted only. Lines
# of requests that did not are never left out.
_ROUTINE_LINES_PER_S = 40.0

_FLUSH_S = 0.1
_WRITE_BYTES = 64 * 1024


class DecisionLog:
    """Writes events to a file descriptor."""

    def __init__(self, host: str, fd: int = 1) -> None:
        self._host = host
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._encoder = msgspec.json.Encoder()
        self._dropped = 0
        self._skipped = 0
        self._allowance = _ROUTINE_LINES_PER_S
        self._allowance_at_s = clock.now_s()

    def write(self, event: Event) -> None:
        """Log an event."""
        line = self._encoder.encode(
            LogLine(round(clock.unix_time_s(), 3), self._host, event)
        )
        if self._buffered_bytes + len(line) > _BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(line + b"\n")
        self._buffered_bytes += len(line) + 1

    def write_routine(self, event: Event) -> None:
        """Log an event that explains no failure, unless there are many."""
        now_s = clock.now_s()
        earned = (now_s - self._allowance_at_s) * _ROUTINE_LINES_PER_S
        self._allowance = min(_ROUTINE_LINES_PER_S, self._allowance + earned)
        self._allowance_at_s = now_s
        if self._allowance < 1.0:
            self._skipped += 1
            return
        self._allowance -= 1.0
        self.write(event)

    async def run(self, ready: asyncio.Event) -> None:
        """Write lines out until cancelled, and once more then."""
        os.set_blocking(self._fd, False)
        ready.set()
        try:
            while True:
                await asyncio.sleep(_FLUSH_S)
                self.flush()
        finally:
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        if (self._dropped or self._skipped) and not self._lines:
            dropped, skipped = self._dropped, self._skipped
            self._dropped = self._skipped = 0
            self.write(LinesDropped(dropped, skipped))
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) < _WRITE_BYTES:
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
