"""A resumed stream neither loses nor repeats events."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.event_cursor import EventCursor


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d\ndata: token %d" % (number, number) + end


def test_only_complete_events_are_forwarded() -> None:
    cursor = EventCursor()
    assert cursor.feed(event(1) + b"id: 2\nda").events == event(1)
    assert cursor.partial
    assert cursor.last_id == 1
    assert cursor.feed(b"ta: token 2\n\n").events == event(2)
    assert (cursor.last_id, cursor.events) == (2, 2)


def test_incomplete_event_is_replaced_by_that_of_the_next_attempt() -> None:
    cursor = EventCursor()
    cursor.feed(event(1) + b"id: 2\nda")
    cursor = cursor.resumed()
    assert cursor.feed(event(2) + event(3)).events == event(2) + event(3)


def test_events_that_the_client_has_are_dropped_after_a_resume() -> None:
    cursor = EventCursor(last_id=4)
    cursor = cursor.resumed()
    assert cursor.feed(event(3) + event(4)).events == b""
    assert cursor.feed(event(5)).events == event(5)
    assert cursor.feed(event(4) + event(5)).events == b""
    assert cursor.feed(event(4) + event(6)).events == event(6)


def test_lines_may_end_with_carriage_returns() -> None:
    cursor = EventCursor()
    complete = event(1, b"\r\n\r\n")
    assert cursor.feed(complete[:-1]).events == b""
    assert cursor.feed(complete[-1:]).events == complete


def test_comments_wait_for_the_event_that_follows_them() -> None:
    cursor = EventCursor()
    progress = cursor.feed(b": a comment\n\n" + event(1)[:-3])
    assert (progress.events, progress.advanced) == (b"", False)
    assert cursor.feed(event(1)[-3:]).events == b": a comment\n\n" + event(1)
    assert cursor.feed(b": the end\n\n").events == b""
    assert not cursor.partial
    assert cursor.take_trailing_blocks() == b": the end\n\n"


def test_bytes_that_do_not_continue_the_answer_are_counted() -> None:
    cursor = EventCursor()
    cursor.feed(event(1))
    assert cursor.bytes_without_event == 0
    for data in (event(1), b": a comment\n\n", b"id: 2\n"):
        cursor.feed(data)
    assert cursor.bytes_without_event == len(event(1) + b": a comment\n\nid: 2\n")
    assert cursor.feed(b"data: token 2\n\n").advanced
    assert cursor.bytes_without_event == 0


def test_repeated_events_of_a_resumed_stream_show_that_it_goes_on() -> None:
    cursor = EventCursor(last_id=4).resumed()
    progress = cursor.feed(event(1) + event(2))
    assert (progress.events, progress.advanced) == (b"", True)


@given(
    read_boundaries=st.lists(st.integers(1, 400), max_size=6),
    interruption=st.integers(0, 400),
    repeats=st.integers(0, 3),
)
def test_stream_is_the_same_for_any_interruption_and_repetition(
    read_boundaries: list[int], interruption: int, repeats: int
) -> None:
    complete = b"".join(event(n) for n in range(1, 21))
    cursor = EventCursor()
    received = _feed(
        cursor, complete[: min(interruption, len(complete))], read_boundaries
    )
    cursor = cursor.resumed()
    next_id = (cursor.last_id or 0) + 1
    rest = b"".join(event(n) for n in range(max(1, next_id - repeats), 21))
    received += _feed(cursor, rest, read_boundaries)
    assert received == complete


def _feed(cursor: EventCursor, data: bytes, read_boundaries: list[int]) -> bytes:
    offsets = sorted({0, *(b for b in read_boundaries if b < len(data)), len(data)})
    parts = itertools.pairwise(offsets)
    return b"".join(cursor.feed(data[a:b]).events for a, b in parts)
