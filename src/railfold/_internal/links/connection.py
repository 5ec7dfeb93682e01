"""One link: a long-lived TCP stream that carries frames both ways.

Messages sent in the same pass of the loop leave in one frame, so that the
number of frames follows the engine steps and not the number of sequences.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from railfold._internal.errors import LinkClosedError, LinkProtocolError
from railfold._internal.links.messages import (
    PROTOCOL_VERSION,
    Activation,
    EmittedToken,
    Feedback,
    Frame,
    Hello,
    Message,
    decode_frame,
    encode_frame,
)
from railfold._internal.waiting import answer_within

__all__ = ["Link", "LinkLimits", "LinkMessage", "LinkPeer", "owner_name"]

LinkMessage = Message | Activation | Feedback | EmittedToken

_LENGTH_PREFIX = struct.Struct(">I")


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Bounds of one link."""

    max_frame_bytes: int = 16 * 1024 * 1024
    max_queued_bytes: int = 64 * 1024 * 1024
    handshake_timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class LinkPeer:
    """Who is at the other end, from its :class:`Hello`."""

    role: str
    name: str
    incarnation: int
    failure_domain: str
    region: str


class Link:
    """A handshaken link to one peer.

    :param stream: the connected stream; it must allow ``max_queued_bytes``.
    :param hello: what this process says of itself.
    :param version: returns this process's configuration version.
    """

    def __init__(
        self,
        stream: IOStream,
        hello: Hello,
        configuration_version: Callable[[], int],
        limits: LinkLimits,
    ) -> None:
        self._stream = stream
        self._hello = hello
        self._configuration_version = configuration_version
        self._limits = limits
        self._messages: list[Message] = []
        self._activations: list[Activation] = []
        self._feedback: list[Feedback] = []
        self._tokens: list[EmittedToken] = []
        self._flush_scheduled = False
        self.peer = LinkPeer("", "", 0, "", "")
        self.peer_configuration_version = 0
        self.last_received_s = 0.0
        self._last_received_at_check_s = 0.0
        self._silent_checks = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.closed()

    async def handshake(self) -> None:
        """Exchange :class:`Hello` with the peer.

        :raises LinkProtocolError: the peer speaks another protocol.
        :raises LinkClosedError: the peer closed or didn't answer in time.
        """
        self._stream.set_nodelay(True)
        self.send(self._hello)
        timeout_s = self._limits.handshake_timeout_s
        try:
            frame = await answer_within(self._read_frame(), timeout_s)
        except LinkProtocolError:
            self.close()
            raise
        except (TimeoutError, StreamClosedError) as error:
            self.close()
            raise LinkClosedError(
                "a peer didn't complete the handshake", why=str(error)
            ) from error
        match frame.messages:
            case [Hello(protocol=protocol) as hello, *_] if (
                protocol == PROTOCOL_VERSION
            ):
                self.peer = LinkPeer(
                    hello.role,
                    hello.name,
                    hello.incarnation,
                    hello.failure_domain,
                    hello.region,
                )
            case _:
                self.close()
                raise LinkProtocolError(
                    "a peer's first message isn't a valid hello",
                    hint=f"both sides must speak protocol {PROTOCOL_VERSION}",
                )

    def send(self, message: LinkMessage) -> None:
        """Queue a message; it leaves with the next flush."""
        match message:
            case Activation():
                self._activations.append(message)
            case EmittedToken():
                self._tokens.append(message)
            case Feedback():
                self._feedback.append(message)
            case _:
                self._messages.append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write all queued messages as one frame."""
        if not self._flush_scheduled:
            return
        self._flush_scheduled = False
        frame = Frame(
            self._configuration_version(),
            self._messages,
            self._activations,
            self._feedback,
            self._tokens,
        )
        data = encode_frame(frame)
        self._messages, self._activations = [], []
        self._feedback, self._tokens = [], []
        try:
            self._stream.write(_LENGTH_PREFIX.pack(len(data)) + data)
        except StreamClosedError:
            return
        except StreamBufferFullError:
            # A peer that doesn't read is as good as gone.
            self.close()
            return
        self.bytes_sent += _LENGTH_PREFIX.size + len(data)

    async def receive(self) -> Frame:
        """Return the peer's next frame.

        :raises LinkClosedError: the link is closed.
        :raises LinkProtocolError: the frame is too long or can't be read.
        """
        try:
            return await self._read_frame()
        except StreamClosedError as error:
            raise LinkClosedError(
                f"the link to {self.peer.name} is closed", why=str(error)
            ) from error
        except LinkProtocolError:
            self.close()
            raise

    async def _read_frame(self) -> Frame:
        header = await self._stream.read_bytes(_LENGTH_PREFIX.size)
        (length,) = _LENGTH_PREFIX.unpack(header)
        if length > self._limits.max_frame_bytes:
            raise LinkProtocolError(
                f"a peer announced a frame of {length} bytes",
                why=f"the limit is {self._limits.max_frame_bytes}",
            )
        frame = decode_frame(await self._stream.read_bytes(length))
        self.peer_configuration_version = max(
            self.peer_configuration_version, frame.configuration_version
        )
        self.last_received_s = asyncio.get_running_loop().time()
        self.bytes_received += _LENGTH_PREFIX.size + length
        return frame

    def check_silence(self) -> int:
        """Look whether the peer was heard; return how many looks in a row found no.

        For the one child that watches this link, at its intervals. Looks are
        counted and not time, since the first look after a hold-up of the loop may
        come before the sockets are read: it counts as one, however long it lasted.
        """
        if self.last_received_s > self._last_received_at_check_s:
            self._last_received_at_check_s = self.last_received_s
            self._silent_checks = 0
        else:
            self._silent_checks += 1
        return self._silent_checks

    def close(self) -> None:
        """Close the link; safe to call again."""
        self._stream.close()


def owner_name(link: Link) -> str:
    """Return the name under which a linked entry owns work at an agent."""
    return f"{link.peer.name}#{link.peer.incarnation}"
