"""Child that serves HTTP on one address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets

from railfold._internal.core import Address

if TYPE_CHECKING:
    from tornado.web import Application  # Costly to import; not every role needs it.

__all__ = ["HttpServerChild"]

_BACKLOG = 1024


class HttpServerChild:
    """Serves until cancelled.

    :param delegate: an application, or what takes each connection's requests.
    :param listener: a socket that listens on the address already; else one is
        opened.
    :param start_event: connections wait in the kernel's queue until it is set; if it
        isn't given, none wait.
    :param start_timeout_s: they wait this long at most.
    :param configure_server: called with each server that is made, before it serves.
    :param options: given to tornado's server.
    """

    def __init__(
        self,
        delegate: Application | HTTPServerConnectionDelegate,
        address: Address,
        *,
        listener: socket.socket | None = None,
        start_event: asyncio.Event | None = None,
        start_timeout_s: float | None = None,
        configure_server: Callable[[HTTPServer], None] | None = None,
        **options: Any,
    ) -> None:
        self._delegate = delegate
        self._address = address
        self._listener = listener
        self._start_event = start_event
        self._start_timeout_s = start_timeout_s
        self._configure_server = configure_server
        self._options = options
        self._listening_sockets: list[socket.socket] = []
        self.server: HTTPServer | None = None

    async def run(self, ready: asyncio.Event) -> None:
        """Listen and serve."""
        # A server that was stopped can't be used again.
        server = HTTPServer(self._delegate, **self._options)
        self.server = server
        if self._configure_server is not None:
            self._configure_server(server)
        self._listening_sockets = self._listen()
        ready.set()
        try:
            await self._wait_for_start()
            server.add_sockets(self._listening_sockets)
            await asyncio.Event().wait()
        finally:
            self.stop_listening()
            await server.close_all_connections()

    def stop_listening(self) -> None:
        """Take no new connections; those that wait are reset unread."""
        if self.server is not None:
            self.server.stop()
        for listener in self._listening_sockets:
            listener.close()
        self._listening_sockets = []

    def _listen(self) -> list[socket.socket]:
        # A child that is started anew has closed the socket it was given.
        listener, self._listener = self._listener, None
        if listener is not None:
            return [listener]
        return bind_sockets(self._address.port, self._address.ip, backlog=_BACKLOG)

    async def _wait_for_start(self) -> None:
        if self._start_event is None:
            return
        try:
            async with asyncio.timeout(self._start_timeout_s):
                await self._start_event.wait()
        except TimeoutError:
            return  # Requests are refused one by one from now on.
