"""Which bytes of a backend server count as the whole answer to a request."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

import pytest

from railfold._internal.core import Address
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.servers.http_client import (
    ExchangeFailure,
    connect,
)
from standins.broken_answers import encode_answer

OWN = encode_answer("own", b"mine")
OWN_CLOSING = encode_answer("own", b"mine", "close")
OWN_EMPTY = encode_answer("own", b"", status=204)
OTHER = encode_answer("other", b"foreign")
OTHER_CHUNKED = encode_answer("other", b"foreign", "chunks")
OTHER_CLOSING = encode_answer("other", b"foreign", "close")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nRailfold-Attempt-Id: own\r\n"

# Bytes behind a whole answer.
SURPLUS = [b"\r\n", b"\0\1", b"mine", b"HTTP/1.1 200", INTERIM, OWN, OTHER_CLOSING]

# Answers that end too early, or that don't say where they end.
NOT_WHOLE = [
    HEAD,
    HEAD + b"Content-Length: 4\r\n\r\nmin",
    HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nmine",
    HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nmine",
    HEAD + b"Content-Length: -4\r\n\r\nmine",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\nX: y",
    HEAD + b"Transfer-Encoding: identity\r\n\r\nmine",
    OTHER,
    OTHER_CLOSING,
    INTERIM,
    b"mine",
]


class Sink:
    """Records the answer to the request ``own``."""

    def __init__(self) -> None:
        self.received = b""
        self.outcome: asyncio.Future[bytes | ExchangeFailure] = asyncio.Future()

    def head(self, head: ResponseHead) -> bool:
        return head.get("Railfold-Attempt-Id") == "own"

    def body(self, data: bytes) -> None:
        self.received += data

    def end(self) -> None:
        self.outcome.set_result(self.received)

    def failed(self, reason: ExchangeFailure) -> None:
        self.outcome.set_result(reason)


@dataclass(frozen=True)
class Exchange:
    """The outcome of an exchange.

    :param closed: whether the connection can't be used any more.
    """

    outcome: bytes | ExchangeFailure
    closed: bool
    has_surplus: bool


async def exchange(data: bytes, *, closes: bool, step_bytes: int = 0) -> Exchange:
    """Answer a request with ``data``; return its outcome.

    :param step_bytes: size of the pieces in which it arrives; 0 for one piece.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for start in range(0, len(data), step_bytes or len(data)):
            writer.write(data[start : start + (step_bytes or len(data))])
            await asyncio.sleep(0)
        if not closes:
            with contextlib.suppress(ConnectionError):
                await reader.read()
        writer.close()
        served.set()

    served = asyncio.Event()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    connection = await connect(address, 1.0)
    sink = Sink()
    connection.send("GET", "/", (("Host", "x"),), b"", sink, "own")
    outcome = await asyncio.wait_for(sink.outcome, 2.0)
    was_closed = connection.closed
    connection.abort()
    await served.wait()
    server.close()
    return Exchange(outcome, was_closed, connection.has_surplus)


@pytest.mark.parametrize("step_bytes", [0, 1, 7])
@pytest.mark.parametrize("own", [OWN, OWN_CLOSING])
@pytest.mark.parametrize("surplus", SURPLUS)
async def test_whole_answer_is_not_lost_by_what_follows_it(
    own: bytes, surplus: bytes, step_bytes: int
) -> None:
    result = await exchange(own + surplus, closes=False, step_bytes=step_bytes)
    assert result.outcome == b"mine"


@pytest.mark.parametrize("own", [OWN, OWN_EMPTY])
@pytest.mark.parametrize("surplus", SURPLUS[1:])
async def test_connection_with_surplus_bytes_is_not_used_again(
    own: bytes, surplus: bytes
) -> None:
    result = await exchange(own + surplus, closes=False)
    assert isinstance(result.outcome, bytes)
    assert (result.closed, result.has_surplus) == (True, True)


@pytest.mark.parametrize("step_bytes", [0, 1, 7])
@pytest.mark.parametrize("other", [OTHER, OTHER_CHUNKED, OTHER_CLOSING, INTERIM])
async def test_answer_is_not_lost_behind_another_request_s(
    other: bytes, step_bytes: int
) -> None:
    result = await exchange(other + OWN, closes=False, step_bytes=step_bytes)
    assert result.outcome == b"mine"


@pytest.mark.parametrize("step_bytes", [0, 7])
@pytest.mark.parametrize("data", NOT_WHOLE)
async def test_answer_that_is_not_whole_fails(data: bytes, step_bytes: int) -> None:
    result = await exchange(data, closes=True, step_bytes=step_bytes)
    assert isinstance(result.outcome, ExchangeFailure)
    assert result.closed


async def test_answer_cut_at_any_byte_fails() -> None:
    chunked = encode_answer("own", b"me", "chunks")
    for answer in (OTHER_CHUNKED + INTERIM + OWN, chunked):
        for size_bytes in range(1, len(answer)):
            part = answer[:size_bytes]
            result = await exchange(part, closes=True)
            assert isinstance(result.outcome, ExchangeFailure), part[-20:]
