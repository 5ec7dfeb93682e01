"""Links refuse what they can't read, and batch what they send."""

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


class Recorder:
    """Records what links do."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.ups: list[str] = []
        self.downs = 0
        self.changed = asyncio.Event()

    def link_up(self, link: Link) -> None:
        self.ups.append(link.peer.name)
        self.changed.set()

    def frame_received(self, link: Link, frame: Frame) -> None:
        self.frames.append(frame)
        self.changed.set()

    def link_down(self, link: Link) -> None:
        self.downs += 1
        self.changed.set()

    async def wait(self, condition) -> None:  # type: ignore[no-untyped-def]
        while not condition():
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), 5.0)


class Server:
    """A link server on a free port."""

    def __init__(self) -> None:
        self.recorder = Recorder()
        server = LinkServer(HELLO, lambda: 3, LIMITS, self.recorder)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        server.add_socket(listener)
        self.server = server
        self.address = Address("127.0.0.1", listener.getsockname()[1])

    async def raw(self) -> IOStream:
        stream = IOStream(socket.socket())
        await stream.connect((self.address.ip, self.address.port))
        return stream


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    """A running link server."""
    running = Server()
    yield running
    running.server.stop()


async def dialled(server: Server) -> Link:
    return await dial(server.address, HELLO, lambda: 5, LIMITS)


async def test_handshake_tells_who_is_there(server: Server) -> None:
    link = await dialled(server)
    assert (link.peer.name, link.peer.incarnation) == ("a1", 7)
    assert link.peer_version == 3
    link.close()
    await server.recorder.wait(lambda: server.recorder.downs == 1)


async def test_messages_of_one_pass_leave_in_one_frame(server: Server) -> None:
    link = await dialled(server)
    for step in range(50):
        link.send(Feedback("r1", 1, step, 9))
    link.send(ConfigurationRequest(0))
    await server.recorder.wait(lambda: server.recorder.frames)
    [frame] = server.recorder.frames
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
async def test_stranger_is_refused(server: Server, data: bytes) -> None:
    stream = await server.raw()
    await stream.write(data)
    await asyncio.wait_for(stream.read_until_close(), 5.0)
    assert server.recorder.ups == []


async def test_silent_peer_is_not_waited_for(server: Server) -> None:
    stream = await server.raw()
    await asyncio.wait_for(stream.read_until_close(), 5.0)
    assert server.recorder.ups == []


async def test_nobody_there() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(LinkClosedError):
        await dial(Address("127.0.0.1", port), HELLO, lambda: 0, LIMITS)


async def test_bad_frame_after_the_handshake_ends_the_link(server: Server) -> None:
    link = await dialled(server)
    await link._stream.write(struct.pack(">I", 3) + b"abc")
    await server.recorder.wait(lambda: server.recorder.downs == 1)
    with pytest.raises(LinkClosedError):
        await link.receive()


async def test_undecodable_frame_has_a_type() -> None:
    with pytest.raises(LinkProtocolError):
        decode_frame(b"\x91\xa1x")
