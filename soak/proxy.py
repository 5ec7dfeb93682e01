"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field


@dataclass
class Link:
    """One proxied address and its fault.

    :param mode: ``"ok"``, ``"delay"`` (each chunk waits ``delay_s``),
        ``"silent"`` (nothing passes), ``"deaf"`` (nothing comes back) or
        ``"refuse"`` (new connections are closed).
    """

    port: int
    mode: str = "ok"
    delay_s: float = 0.0
    listen_port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.listen_port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all."""
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
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, answers=False),
                self._pass(far_reader, writer, answers=True),
            )
        finally:
            self._writers -= both
            for one in both:
                one.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                while self.mode == "silent" or (self.mode == "deaf" and answers):  # noqa: ASYNC110
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        # An end is passed on as it is: the far side tells a whole answer by it.
        with contextlib.suppress(OSError, RuntimeError):
            if writer.can_write_eof():
                writer.write_eof()
