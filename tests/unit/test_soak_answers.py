"""How long the soak's clients wait for an answer."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import pytest

from soak.clients import _read_reply
from tests.lib.forwarding import Connection

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def answer(*parts: tuple[float, bytes]) -> Connection:
    """Return a connection on which parts arrive at some times, in seconds."""
    reader = asyncio.StreamReader()
    for at_s, data in parts:
        asyncio.get_running_loop().call_later(at_s, reader.feed_data, data)
    return Connection(reader, Mock())


async def test_answer_that_begins_late_is_awaited_until_its_deadline() -> None:
    reply = await _read_reply(answer((5.0, HEAD), (9.0, b"body")))
    assert (reply.complete, reply.body) == (True, b"body")


@pytest.mark.parametrize(
    "parts", [((6.5, HEAD + b"body"),), ((1.0, HEAD), (7.5, b"body"))]
)
async def test_answer_that_does_not_begin_or_end_in_time_is_given_up(
    parts: tuple[tuple[float, bytes], ...],
) -> None:
    with pytest.raises(TimeoutError):
        await _read_reply(answer(*parts))
