"""Answers without end, as a backend server in trouble sends them.

Each form breaks off the protocol at another place of an answer. It begins with its
prefix, and its unit is repeated until the caller closes the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

__all__ = ["CALL_FORMS", "ENDLESS_FORMS", "PLAIN_FORMS", "STREAM_FORMS", "send_endless"]

# Bytes that are written at once.
_BLOCK_BYTES = 64 * 1024

# Bytes per second, so that a test that fails doesn't fill the memory of the machine.
_BYTES_PER_S = 100_000_000


@dataclass(frozen=True, slots=True)
class EndlessForm:
    """How an endless answer looks.

    :param status_line: the first line of the answer; empty if there is none.
    :param head: further lines of the head; ``None`` if the head doesn't end.
    :param start: what follows the head.
    :param unit: what is repeated.
    """

    status_line: str
    head: str | None
    start: str
    unit: str


_OK = "HTTP/1.1 200 OK\r\n"
_EVENTS = "Content-Type: text/event-stream\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n"

ENDLESS_FORMS = {
    "head fields": EndlessForm(_OK, None, "", "X-Field: value\r\n"),
    "head line": EndlessForm(_OK, None, "X-Field: ", "v" * 64),
    "interim answers": EndlessForm("", None, "", "HTTP/1.1 102 Processing\r\n\r\n"),
    "status line": EndlessForm("", None, "HTTP/1.1 200 ", "OK " * 20),
    "no answer": EndlessForm("", None, "", "\x16\x03\x01 no answer "),
    "chunk extension": EndlessForm(_OK, _CHUNKED, "5;", "extension" * 8),
    "trailers": EndlessForm(
        _OK, _CHUNKED, "5\r\nwhole\r\n0\r\n", "X-Trailer: value\r\n"
    ),
    "error": EndlessForm("HTTP/1.1 500 Error\r\n", "", "", "error " * 10),
    "refusal": EndlessForm(
        "HTTP/1.1 503 Busy\r\n", "Railfold-Not-Executed: 1\r\n", "", "busy " * 10
    ),
    "another answer": EndlessForm(
        _OK, "Railfold-Attempt-Id: another-request\r\n", "", "not yours " * 8
    ),
    "event line": EndlessForm(_OK, _EVENTS, "id: 1\ndata: ", "token " * 10),
    "comments": EndlessForm(_OK, _EVENTS, "", ": comment\n\n"),
    "repeated event": EndlessForm(_OK, _EVENTS, "", "id: 1\ndata: token 1\n\n"),
    "no events": EndlessForm(_OK, _EVENTS, "", "no event\n" * 8),
    "body": EndlessForm(_OK, "", "", "part of a body " * 8),
}

_HEAD_AND_FRAMING = (
    "head fields",
    "head line",
    "interim answers",
    "status line",
    "no answer",
    "chunk extension",
    "trailers",
    "error",
    "refusal",
    "another answer",
)

# Forms that can be told from an answer to a request for a stream.
STREAM_FORMS = (
    *_HEAD_AND_FRAMING,
    "event line",
    "comments",
    "repeated event",
    "no events",
)
# Forms that can be told from an answer to a request to a plain service.
PLAIN_FORMS = _HEAD_AND_FRAMING
# Forms that can be told from an answer to a call with a short answer.
CALL_FORMS = (*_HEAD_AND_FRAMING, "body")


async def send_endless(
    stream: IOStream,
    form_name: str,
    request_id: str,
    headers: Mapping[str, str],
    on_sent: Callable[[int], None],
) -> None:
    """Send an endless answer until the caller closes the connection.

    :param headers: what the head contains besides, if it ends.
    :param on_sent: called with the number of bytes each time some have been sent.
    """
    form = ENDLESS_FORMS[form_name]
    prefix = form.status_line
    if form.head is not None:
        if "Railfold-Attempt-Id" not in form.head:
            prefix += f"Railfold-Attempt-Id: {request_id}\r\n"
        prefix += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        prefix += f"{form.head}\r\n"
    block = form.unit.encode("latin-1") * (_BLOCK_BYTES // len(form.unit))
    with contextlib.suppress(StreamClosedError):
        await stream.write((prefix + form.start).encode("latin-1"))
        while True:
            await stream.write(block)
            on_sent(len(block))
            await asyncio.sleep(len(block) / _BYTES_PER_S)
