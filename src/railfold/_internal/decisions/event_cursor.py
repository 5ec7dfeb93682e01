"""Forwarding of a stream of server-sent events that can be resumed.

Only complete events are forwarded. If a backend server's answer ends within an event,
that event is dropped, and the next attempt starts after the last event that the client
has received.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EventCursor", "Progress"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Longer numbers, which no answer needs, would take long to parse.
_EVENT_ID = re.compile(rb"^id: ?(\d{1,18})", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Progress:
    """What received bytes have completed.

    :param events: what is forwarded to the client, which doesn't have it yet.
    :param advanced: whether there was an event with a higher id than all before it in
        this attempt. The client may have it from an earlier attempt.
    """

    events: bytes
    advanced: bool


class EventCursor:
    """Position of the client in one answer, over all attempts.

    The ids of events rise. An event without a higher id than all before it doesn't
    continue the answer and is dropped. Blocks without an id, such as comments, are
    forwarded together with the event that follows them, or at the end of the answer.

    :param last_id: id of the last event that the client has received, if any.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._partial = b""
        # Complete blocks without an id since the last event.
        self._pending = b""
        self._highest_id = -1
        self.events = 0
        # Bytes received since the last event with a higher id than all before it in
        # this attempt.
        self.bytes_without_event = 0

    @property
    def last_id(self) -> int | None:
        """The id of the last event that was forwarded."""
        return self._last_id

    def resumed(self) -> EventCursor:
        """Return a cursor for another attempt's answer, which may repeat events."""
        cursor = EventCursor(self._last_id)
        cursor.events = self.events
        return cursor

    @property
    def partial(self) -> bool:
        """Whether an incomplete event has been received."""
        return bool(self._partial)

    def feed(self, data: bytes) -> Progress:
        """Add received bytes; return what they complete."""
        self.bytes_without_event += len(data)
        data = self._partial + data if self._partial else data
        end = _end_of_last_event(data)
        complete, self._partial = data[:end], data[end:]
        forwarded = []
        advanced = False
        for block in _blocks(complete):
            match = _EVENT_ID.search(block)
            if match is None:
                self._pending += block
                continue
            event_id = int(match[1])
            if event_id > self._highest_id:
                self._highest_id = event_id
                advanced = True
            if self._last_id is None or event_id > self._last_id:
                self._last_id = event_id
                self.events += 1
                forwarded += [self._pending, block]
            self._pending = b""
        if advanced:
            self.bytes_without_event = len(self._pending) + len(self._partial)
        return Progress(b"".join(forwarded), advanced)

    def take_trailing_blocks(self) -> bytes:
        """Return the blocks after the last event of a complete answer."""
        pending, self._pending = self._pending, b""
        return pending


def _blocks(complete: bytes) -> Iterator[bytes]:
    """Split complete events and comments after each blank line."""
    start = 0
    for match in _EVENT_END.finditer(complete):
        yield complete[start : match.end()]
        start = match.end()


def _end_of_last_event(data: bytes) -> int:
    """Return the offset after the last blank line; 0 if there is none."""
    end = data.rfind(b"\n\n") + 2
    crlf_end = data.rfind(b"\n\r\n") + 3
    offset = max(end if end > 1 else 0, crlf_end if crlf_end > 2 else 0)
    return offset
