"""Links reject malformed input and batch the messages that they send.

A peer that speaks another protocol, sends a malformed frame or stays silent must not
keep a connection open. One frame per message would waste time on each token.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import pytest
from tornado.iostream import IOStream

from railfold._internal.core import Address
from railfold._internal.errors import LinkClosedError, LinkProtocolError
from railfold._internal.links.connection import Link, LinkLimits
from railfold._internal.links.endpoint import LinkServer, dial
from railfold._internal.links.messages import (
    ConfigurationRequest,
    Feedback,
    Frame,
    Hello,
    decode_frame,
)

pytestmark = pytest.mark.asyncio

HELLO = Hello(1, "agent", "a1", 7, "hall-a", "west")
LIMITS = LinkLimits(max_frame_bytes=1000, handshake_timeout_s=0.5)


class RecordingHandler:
    """A link handler that records the events of its links."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.opened_peers: list[str] = []
        self.closed_count = 0
        self.changed = asyncio.Event()

    def link_up(self, link: Link) -> None:
        self.opened_peers.append(link.peer.name)
        self.changed.set()

    def frame_received(self, link: Link, frame: Frame) -> None:
        self.frames.append(frame)
        self.changed.set()

    def link_down(self, link: Link) -> None:
        self.closed_count += 1
        self.changed.set()

    async def wait(self, condition) -> None:  # type: ignore[no-untyped-def]
        while not condition():
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), 5.0)


class Server:
    """A link server on a free port of the loopback interface."""

    def __init__(self) -> None:
        self.handler = RecordingHandler()
        server = LinkServer(HELLO, lambda: 3, LIMITS, self.handler)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        server.add_socket(listener)
        self.server = server
        self.address = Address("127.0.0.1", listener.getsockname()[1])

    async def connect_raw(self) -> IOStream:
        stream = IOStream(socket.socket())
        await stream.connect((self.address.ip, self.address.port))
        return stream


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    """A running link server."""
    link_server = Server()
    yield link_server
    link_server.server.stop()


async def dial_server(server: Server) -> Link:
    return await dial(server.address, HELLO, lambda: 5, LIMITS)


async def test_handshake_identifies_the_peer(server: Server) -> None:
    link = await dial_server(server)
    assert (link.peer.name, link.peer.incarnation) == ("a1", 7)
    assert link.peer_configuration_version == 3
    link.close()
    await server.handler.wait(lambda: server.handler.closed_count == 1)


async def test_messages_of_one_loop_pass_share_one_frame(server: Server) -> None:
    link = await dial_server(server)
    for step in range(50):
        link.send(Feedback("r1", 1, step, 9))
    link.send(ConfigurationRequest(0))
    await server.handler.wait(lambda: server.handler.frames)
    [frame] = server.handler.frames
    assert [f.step for f in frame.feedback] == list(range(50))
    assert frame.messages == [ConfigurationRequest(0)]
    assert frame.configuration_version == 5
    link.close()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", 5) + b"\xc1\xc1\xc1\xc1\xc1",
        struct.pack(">I", 1 << 30),
        struct.pack(">I", 2) + b"\x92\x01",
    ],
)
async def test_connection_with_an_invalid_first_frame_is_closed(
    server: Server, data: bytes
) -> None:
    stream = await server.connect_raw()
    await stream.write(data)
    await asyncio.wait_for(stream.read_until_close(), 5.0)
    assert server.handler.opened_peers == []


async def test_connection_without_a_hello_is_closed(server: Server) -> None:
    stream = await server.connect_raw()
    await asyncio.wait_for(stream.read_until_close(), 5.0)
    assert server.handler.opened_peers == []


async def test_dialling_a_closed_port_raises() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(LinkClosedError):
        await dial(Address("127.0.0.1", port), HELLO, lambda: 0, LIMITS)


async def test_invalid_frame_after_the_handshake_closes_the_link(
    server: Server,
) -> None:
    link = await dial_server(server)
    await link._stream.write(struct.pack(">I", 3) + b"abc")
    await server.handler.wait(lambda: server.handler.closed_count == 1)
    with pytest.raises(LinkClosedError):
        await link.receive()


async def test_undecodable_frame_raises_a_protocol_error() -> None:
    with pytest.raises(LinkProtocolError):
        decode_frame(b"\x91\xa1x")
