"""A resumed stream misses nothing and repeats nothing."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.event_cursor import EventCursor


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d\ndata: token %d" % (number, number) + end


def test_only_whole_events_are_passed_on() -> None:
    cursor = EventCursor()
    assert cursor.feed(event(1) + b"id: 2\nda") == event(1)
    assert cursor.partial
    assert cursor.last_id == 1
    assert cursor.feed(b"ta: token 2\n\n") == event(2)
    assert (cursor.last_id, cursor.events) == (2, 2)


def test_an_event_that_was_broken_off_comes_whole_from_the_next_attempt() -> None:
    cursor = EventCursor()
    cursor.feed(event(1) + b"id: 2\nda")
    cursor.resume()
    assert cursor.feed(event(2) + event(3)) == event(2) + event(3)


def test_events_that_the_client_has_are_dropped_after_a_resumption() -> None:
    cursor = EventCursor(last_id=4)
    cursor.resume()
    assert cursor.feed(event(3) + event(4)) == b""
    assert cursor.feed(event(5)) == event(5)
    assert cursor.feed(event(4)) == event(4)  # Only a new attempt's beginning.


def test_lines_may_end_with_carriage_returns() -> None:
    cursor = EventCursor()
    whole = event(1, b"\r\n\r\n")
    assert cursor.feed(whole[:-1]) == b""
    assert cursor.feed(whole[-1:]) == whole


@given(
    breaks=st.lists(st.integers(1, 400), max_size=6),
    cut=st.integers(0, 400),
    repeats=st.integers(0, 3),
)
def test_any_cut_and_any_repeat_give_the_same_stream(
    breaks: list[int], cut: int, repeats: int
) -> None:
    whole = b"".join(event(n) for n in range(1, 21))
    cursor = EventCursor()
    got = _feed(cursor, whole[: min(cut, len(whole))], breaks)
    cursor.resume()
    next_id = (cursor.last_id or 0) + 1
    rest = b"".join(event(n) for n in range(max(1, next_id - repeats), 21))
    got += _feed(cursor, rest, breaks)
    assert got == whole


def _feed(cursor: EventCursor, data: bytes, breaks: list[int]) -> bytes:
    points = sorted({0, *(b for b in breaks if b < len(data)), len(data)})
    parts = itertools.pairwise(points)
    return b"".join(cursor.feed(data[a:b]) for a, b in parts)
