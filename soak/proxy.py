"""A loopback proxy that can delay, reset, refuse or block its connections."""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import dataclass, field

_CHUNK_BYTES = 16384

# A sender continues once its chunk is due within this time, which models data in
# flight.
_MAX_QUEUE_S = 0.1

# Minimum transfer time of a chunk. It keeps chunks in order: callbacks that are due at
# the same time may run in any order.
_MIN_TRANSFER_S = 1e-6


@dataclass
class SharedBandwidth:
    """Bandwidth that several links share; it delivers chunks first in, first out.

    :param hosts: number of destination hosts; each adds the same bandwidth.
    :param limits_bps: limits of the bandwidth per host; the lowest applies.
    """

    hosts: int
    limits_bps: list[float] = field(default_factory=list)
    _available_at_s: float = 0.0

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Schedule a chunk for delivery; return when the sender may continue.

        :param data: the chunk, or empty for the end of the stream. The call returns
            only after the end has been delivered.
        """
        loop = asyncio.get_running_loop()
        rate_bps = self.hosts * min(self.limits_bps, default=math.inf)
        transfer_s = max(_MIN_TRANSFER_S, len(data) * 8 / rate_bps)
        self._available_at_s = max(self._available_at_s, loop.time()) + transfer_s
        loop.call_at(self._available_at_s, _deliver, writer, data)
        resume_at_s = (
            self._available_at_s - _MAX_QUEUE_S
            if data
            else self._available_at_s + _MIN_TRANSFER_S
        )
        await asyncio.sleep(resume_at_s - loop.time())


@dataclass
class Link:
    """A proxy for one address, with its fault mode.

    :param mode: ``"ok"``, ``"delay"`` (each chunk waits ``delay_s``),
        ``"silent"`` (no data passes), ``"deaf"`` (no response data passes) or
        ``"refuse"`` (new connections are closed).
    :param bandwidth: limits the response data of this and other links.
    """

    port: int
    bandwidth: SharedBandwidth
    mode: str = "ok"
    delay_s: float = 0.0
    listen_port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.listen_port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.reset()
        if self._server is not None:
            self._server.close()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, upstream_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, is_response=False),
                self._forward(upstream_reader, writer, is_response=True),
            )
        finally:
            self._writers -= writers
            for each in writers:
                each.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                while self.mode == "silent" or (self.mode == "deaf" and is_response):  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                if is_response:
                    await self.bandwidth.send(writer, data)
                else:
                    _deliver(writer, data)
                await writer.drain()
        # The end of the stream is forwarded too, since it marks a complete response.
        if is_response:
            await self.bandwidth.send(writer, b"")
        else:
            _deliver(writer, b"")


def _deliver(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a chunk, or EOF if it is empty, unless the connection is closing."""
    if writer.transport.is_closing():
        return
    with contextlib.suppress(OSError, RuntimeError):
        if data:
            writer.write(data)
        elif writer.can_write_eof():
            writer.write_eof()
