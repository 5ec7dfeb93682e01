"""One link: a long-lived TCP connection that carries frames in both directions.

Messages that are sent in the same iteration of the event loop share one frame, so that
the number of frames grows with the engine steps and not with the sequences in a step.
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
    """Limits of one link.

    :param max_frame_bytes: the longest frame that is accepted from the peer.
    :param max_queued_bytes: the most bytes that wait to be written; if they exceed
        it, the link is closed.
    """

    max_frame_bytes: int = 16 * 1024 * 1024
    max_queued_bytes: int = 64 * 1024 * 1024
    handshake_timeout_s: float = 2.0


@dataclass(frozen=True, slots=True)
class LinkPeer:
    """Identity of the peer, from its :class:`Hello`."""

    role: str
    name: str
    incarnation: int
    failure_domain: str
    region: str


class Link:
    """A link to one peer; :meth:`handshake` must complete before it is used.

    :param stream: the connected stream; its buffer must hold ``max_queued_bytes``.
    :param hello: the first message, which identifies this process.
    :param configuration_version: returns this process's configuration version, which
        each frame carries.
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
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def has_unsent_data(self) -> bool:
        """Whether messages are queued that the system hasn't taken over yet."""
        if self.closed:
            return False
        return self._flush_scheduled or self._stream.writing()

    async def handshake(self) -> None:
        """Exchange :class:`Hello` messages with the peer, and set :attr:`peer`.

        :raises LinkProtocolError: the peer speaks another protocol.
        :raises LinkClosedError: the peer closed the connection or didn't answer in
            time.
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
                    "the first message of a peer isn't a valid hello message",
                    hint=f"both sides must speak protocol {PROTOCOL_VERSION}",
                )

    def send(self, message: LinkMessage) -> None:
        """Queue a message for the frame that the next flush writes."""
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
        """Write all queued messages as one frame; do nothing if there are none."""
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
            # The peer doesn't read: more queued bytes would only use up memory.
            self.close()
            return
        self.bytes_sent += _LENGTH_PREFIX.size + len(data)

    async def receive(self) -> Frame:
        """Return the peer's next frame.

        :raises LinkClosedError: the link is closed.
        :raises LinkProtocolError: the frame is too long or malformed.
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
                f"a peer sent a frame of {length} bytes, which is too long",
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
        """Return how many consecutive calls, including this one, found no new frame.

        The one task that monitors this link calls it at regular intervals. The calls
        are counted instead of the time since the last frame, because the first call
        after the event loop was blocked may run before the sockets are read. It then
        counts as a single silent interval, however long the loop was blocked.
        """
        if self.last_received_s > self._last_received_at_check_s:
            self._last_received_at_check_s = self.last_received_s
            self._silent_checks = 0
        else:
            self._silent_checks += 1
        return self._silent_checks

    def close(self) -> None:
        """Close the link; this is idempotent."""
        self._stream.close()


def owner_name(link: Link) -> str:
    """Return the name that identifies one incarnation of an entry as owner of work."""
    return f"{link.peer.name}#{link.peer.incarnation}"
