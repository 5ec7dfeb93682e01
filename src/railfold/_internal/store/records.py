"""Records of a log, as every client of one returns them."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["NEWEST_OF_EACH_KEY", "LogPage", "LogRecord"]

# The offset that asks for the newest record of each key, in place of a part of the log.
NEWEST_OF_EACH_KEY = -1


class LogRecord(msgspec.Struct, frozen=True):
    """One record as the service gives it."""

    offset: int
    appended_s: float
    body: Any


class LogPage(msgspec.Struct, frozen=True):
    """Records from one read; ``next_offset`` is the stream's end.

    ``transfer_s`` is how long the answer took from its head to its last byte.
    ``epoch`` rises whenever the log comes back from an older copy.
    """

    records: list[LogRecord]
    first_offset: int
    next_offset: int
    transfer_s: float = 0.0
    epoch: int = 0

    def reaches_end(self, offset: int) -> bool:
        """Return whether a read from ``offset`` on got all there is."""
        if offset < 0:
            return True  # The newest record of each key.
        last_offset = self.records[-1].offset if self.records else offset - 1
        return last_offset + 1 >= self.next_offset
