"""How the clients of a soak run use their connections."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from tests.lib.forwarding import Connection

__all__ = [
    "Habit",
    "LateUpload",
    "Ordinary",
    "ReuseUntilClosed",
    "SlowReader",
    "Streaming",
    "open_connection",
]

# These make the kernel hold less than one bulk answer of the stand-ins.
_SMALL_SEGMENT_BYTES = 536
_SMALL_BUFFER_BYTES = 4096


@dataclass(frozen=True)
class Ordinary:
    """Sends whole requests, and closes its connection when an answer asks for it."""


@dataclass(frozen=True)
class ReuseUntilClosed:
    """Sends requests on its connection until the entry closes it."""


@dataclass(frozen=True)
class LateUpload:
    """Sends the last byte of its requests up to ``max_end_s`` after a SIGTERM."""

    max_end_s: float = 7.0


@dataclass(frozen=True)
class SlowReader:
    """Leaves a large answer unread for up to ``max_read_delay_s`` after a SIGTERM.

    It then sends a request on the same connection.
    """

    max_read_delay_s: float = 4.5


@dataclass(frozen=True)
class Streaming:
    """Asks for streams only, so that a fault nearly always finds one running."""

    events: int = 60


Habit = Ordinary | ReuseUntilClosed | LateUpload | SlowReader | Streaming


async def open_connection(habit: Habit, port: int) -> Connection:
    """Open a connection to a port on loopback."""
    if not isinstance(habit, SlowReader):
        return Connection(*await asyncio.open_connection("127.0.0.1", port))
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SMALL_SEGMENT_BYTES)
    client.setblocking(False)
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, ("127.0.0.1", port))
    except BaseException:
        client.close()
        raise
    streams = await asyncio.open_connection(sock=client, limit=_SMALL_BUFFER_BYTES)
    return Connection(*streams)
