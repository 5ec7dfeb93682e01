"""A server whose answers never end."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from railfold._internal.core import Address
from standins.endless_answers import send_endless

__all__ = ["EndlessServer", "endless_server"]


@dataclass
class EndlessServer:
    """A running server.

    :param taken_bytes: how many bytes of its answers callers have taken.
    """

    address: Address
    taken_bytes: int = 0

    def count(self, sent_bytes: int) -> None:
        """Count bytes of an answer that were sent."""
        self.taken_bytes += sent_bytes


@contextlib.asynccontextmanager
async def endless_server(form: str) -> AsyncIterator[EndlessServer]:
    """Run a server that answers each first request on a connection in this form."""
    sockets = bind_sockets(0, "127.0.0.1")
    running = EndlessServer(Address("127.0.0.1", sockets[0].getsockname()[1]))

    async def serve(stream: IOStream, address: Any) -> None:
        await stream.read_until(b"\r\n\r\n")
        await send_endless(stream, form, "r-1", {}, running.count)

    server = TCPServer()
    server.handle_stream = serve  # type: ignore[method-assign]
    server.add_sockets(sockets)
    yield running
    server.stop()
