"""Answers that backend servers send twice, or of which they send only a part."""

from __future__ import annotations

import asyncio
import http.client
import random
import socket
import struct
from dataclasses import dataclass, field

from tornado.iostream import IOStream, StreamClosedError

__all__ = [
    "COPY_FORMS",
    "RESUMED_FORMS",
    "SEAL",
    "AnswerFaults",
    "encode_answer",
    "reset",
    "resumed_answer",
]

SEAL = "3e1b.07.5a2"

# How a copy of an answer is framed.
COPY_FORMS = ("length", "chunks", "close")

# Answers to a request that resumes a stream, other than a stream of events: there are
# no more events, the stream can't be resumed, an answer of another kind, and a large
# one.
RESUMED_FORMS = ("204", "404", "200", "200 large")

# Size of a large answer. Entries don't hold back so much of an answer.
_LARGE_BYTES = 400_000

_EMPTY_STATUSES = (204, 304)


@dataclass
class AnswerFaults:
    """What a backend server does wrong with its answers.

    :param copied_share: share of its answers that it sends a second time.
    :param copy_delay_s: range of the time until then. The copy is never sent within
        another answer.
    :param cut_share: share of its answers of which it sends a part of the head, and
        closes or resets the connection.
    """

    copied_share: float = 0.0
    copy_delay_s: tuple[float, float] = (0.0, 0.5)
    cut_share: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    # Connections on which a request is in progress, a stream, or a part of a copy.
    _requested: set[IOStream] = field(default_factory=set)
    _streaming: set[IOStream] = field(default_factory=set)
    _copying: set[IOStream] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def request_received(self, stream: IOStream) -> None:
        """Wait until no part of a copy is sent on a request's connection."""
        self._requested.add(stream)
        while stream in self._copying:  # noqa: ASYNC110 - ends with the copy.
            await asyncio.sleep(0.001)

    def stream_started(self, stream: IOStream) -> None:
        """Send no copy on a connection until its request has ended."""
        self._streaming.add(stream)

    def request_ended(self, stream: IOStream) -> None:
        """Record the end of a request on a connection."""
        self._requested.discard(stream)
        self._streaming.discard(stream)

    def draws_cut(self) -> bool:
        """Return whether the next answer is cut within its head."""
        return self.rng.random() < self.cut_share

    async def send_part_of_head(self, stream: IOStream, answer: bytes) -> None:
        """Send a part of an answer's head, and close or reset the connection."""
        head_bytes = answer.index(b"\r\n\r\n") + 4
        try:
            await stream.write(answer[: self.rng.randrange(1, head_bytes)])
        except StreamClosedError:
            return
        if self.rng.random() < 0.5:
            reset(stream)
        else:
            stream.close()

    def schedule_copy(self, stream: IOStream, request_id: str, body: bytes) -> None:
        """Send an answer again later, if this is drawn."""
        if self.rng.random() >= self.copied_share:
            return
        answer = encode_answer(request_id, body, self.rng.choice(COPY_FORMS))
        task = asyncio.create_task(self._send_copy(stream, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_copy(self, stream: IOStream, answer: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(*self.copy_delay_s))
        while stream in self._streaming:  # noqa: ASYNC110 - ends with the stream.
            await asyncio.sleep(0.002)
        if stream.closed():
            return
        split = len(answer)
        if stream not in self._requested and self.rng.random() < 0.5:
            split = self.rng.randrange(1, len(answer))
        self._copying.add(stream)
        try:
            stream.write(answer[:split])
            if split < len(answer):
                await asyncio.sleep(self.rng.uniform(0.0, 0.005))
                stream.write(answer[split:])
        except StreamClosedError:
            return
        finally:
            self._copying.discard(stream)
        if b"Connection: close" in answer:
            stream.close()


def encode_answer(
    request_id: str,
    body: bytes,
    form: str = "length",
    *,
    status: int = 200,
) -> bytes:
    """Return an answer to a request as it is sent.

    :param form: one of ``COPY_FORMS``.
    """
    head = (
        f"HTTP/1.1 {status} {http.client.responses[status]}\r\n"
        f"Railfold-Attempt-Id: {request_id}\r\nRailfold-Response-Seal: {SEAL}\r\n"
    )
    if status in _EMPTY_STATUSES:
        return f"{head}\r\n".encode()
    if form == "chunks":
        size = f"{len(body):x}".encode()
        chunk = size + b"\r\n" + body + b"\r\n" if body else b""
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + (
            chunk + b"0\r\n\r\n"
        )
    if form == "close":
        head += "Connection: close\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def resumed_answer(request_id: str, form: str) -> bytes:
    """Return an answer to a request that resumes a stream, other than a stream.

    :param form: one of ``RESUMED_FORMS``.
    """
    status, _, size = form.partition(" ")
    body = b"not a stream".ljust(_LARGE_BYTES if size else 0, b".")
    return encode_answer(request_id, body, status=int(status))


def reset(stream: IOStream) -> None:
    """Reset a connection, unless it is closed."""
    if stream.closed():
        return
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    stream.close()
