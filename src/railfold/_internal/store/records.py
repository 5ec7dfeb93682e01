"""Records of a log, in the form that all log clients return."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["NEWEST_OF_EACH_KEY", "LogPage", "LogRecord"]

# As the offset of a read, requests the newest record of each key instead of consecutive
# records.
NEWEST_OF_EACH_KEY = -1


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream, and the Unix time of its append."""

    offset: int
    appended_s: float
    body: Any


class LogPage(msgspec.Struct, frozen=True):
    """The records from one read.

    :param first_offset: offset of the first retained record of the stream.
    :param next_offset: offset at which the stream ends.
    :param transfer_s: time from the arrival of the answer's head to its last byte.
    :param epoch: increases whenever the log is restored from an older copy.
    """

    records: list[LogRecord]
    first_offset: int
    next_offset: int
    transfer_s: float = 0.0
    epoch: int = 0

    def reaches_end(self, offset: int) -> bool:
        """Return whether a read from ``offset`` on has reached the stream's end."""
        if offset < 0:
            return True  # A read of the newest record of each key is always complete.
        last_offset = self.records[-1].offset if self.records else offset - 1
        return last_offset + 1 >= self.next_offset
