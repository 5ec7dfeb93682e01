"""Accepts and dials links, and passes their frames to a handler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from absl import logging
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from railfold._internal.core.addresses import Address
from railfold._internal.errors import LinkClosedError, LinkProtocolError
from railfold._internal.links.connection import Link, LinkLimits
from railfold._internal.links.messages import Frame, Hello
from railfold._internal.waiting import answer_within

__all__ = ["LinkDialer", "LinkHandler", "LinkServer", "dial", "serve_link"]


class LinkHandler(Protocol):
    """Callbacks of a process for the events of its links."""

    def link_up(self, link: Link) -> None:
        """Process a link that completed its handshake."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Process one frame from the peer."""

    def link_down(self, link: Link) -> None:
        """Process the end of a link; called once after each :meth:`link_up`."""


async def serve_link(link: Link, handler: LinkHandler) -> None:
    """Pass the events of a link to the handler until the link is closed.

    :param link: a link that completed its handshake.
    """
    handler.link_up(link)
    try:
        while True:
            handler.frame_received(link, await link.receive())
    except LinkClosedError:
        pass
    except LinkProtocolError as error:
        logging.warning("closing the link to %s: %s", link.peer.name, error)
    finally:
        link.close()
        handler.link_down(link)


class LinkServer(TCPServer):
    """Accepts links from peers."""

    def __init__(
        self,
        hello: Hello,
        configuration_version: Callable[[], int],
        limits: LinkLimits,
        handler: LinkHandler,
    ) -> None:
        super().__init__(max_buffer_size=limits.max_queued_bytes)
        self._hello = hello
        self._configuration_version = configuration_version
        self._limits = limits
        self._handler = handler
        self._links: set[Link] = set()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Complete the handshake on an accepted connection and serve its link."""
        link = Link(stream, self._hello, self._configuration_version, self._limits)
        try:
            await link.handshake()
        except (LinkClosedError, LinkProtocolError) as error:
            logging.log_every_n(
                logging.WARNING,
                "link handshake with %s failed: %s",
                100,
                address,
                error,
            )
            return
        self._links.add(link)
        try:
            await serve_link(link, self._handler)
        finally:
            self._links.discard(link)

    def close_links(self) -> None:
        """Write the queued messages of all accepted links, and close the links."""
        for link in list(self._links):
            link.flush()
            link.close()


async def dial(
    address: Address,
    hello: Hello,
    configuration_version: Callable[[], int],
    limits: LinkLimits,
) -> Link:
    """Connect to ``address`` and return the link after its handshake.

    :raises LinkClosedError: the connection or the handshake failed or timed out.
    :raises LinkProtocolError: the peer speaks another protocol.
    """
    try:
        stream = await answer_within(
            TCPClient().connect(
                address.ip, address.port, max_buffer_size=limits.max_queued_bytes
            ),
            limits.handshake_timeout_s,
        )
    except (OSError, StreamClosedError, TimeoutError) as error:
        raise LinkClosedError(
            f"can't connect to {address}", why=str(error) or type(error).__name__
        ) from error
    link = Link(stream, hello, configuration_version, limits)
    await link.handshake()
    return link


class LinkDialer:
    """Keeps a link to one address open, and dials again when it is closed.

    :param delay_s: returns the delay before the next dial, in seconds, by the number
        of failures in a row. After a link was closed, the number is 1.
    """

    def __init__(
        self,
        address: Address,
        hello: Hello,
        configuration_version: Callable[[], int],
        limits: LinkLimits,
        handler: LinkHandler,
        delay_s: Callable[[int], float],
    ) -> None:
        self.address = address
        self._hello = hello
        self._configuration_version = configuration_version
        self._limits = limits
        self._handler = handler
        self._delay_s = delay_s
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that dials the address."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop dialling and close the link."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        failures = 0
        while True:
            try:
                link = await dial(
                    self.address, self._hello, self._configuration_version, self._limits
                )
            except (LinkClosedError, LinkProtocolError):
                failures += 1
                await asyncio.sleep(self._delay_s(failures))
                continue
            failures = 0
            await serve_link(link, self._handler)
            await asyncio.sleep(self._delay_s(1))
