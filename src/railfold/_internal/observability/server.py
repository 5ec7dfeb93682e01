"""Supervised child that serves HTTP on one address."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from absl import logging
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets

from railfold._internal.core import Address

if TYPE_CHECKING:
    from tornado.web import Application  # Costly to import; not every role needs it.

__all__ = ["HttpServerChild"]

_BACKLOG = 1024

# How long to wait for an address that another process uses. A child that fails after
# this time is restarted only as often as its supervisor allows.
_BIND_TIMEOUT_S = 1.0

_BIND_RETRY_S = 0.05


class HttpServerChild:
    """Serves HTTP on an address until cancelled.

    :param delegate: an application, or a delegate that handles the requests of each
        connection.
    :param listener: a socket that listens on the address already; if not given, the
        child opens one.
    :param start_event: connections wait in the kernel's queue until this event is set;
        if not given, they are accepted at once.
    :param start_timeout_s: longest wait for ``start_event``; no limit if not given.
    :param configure_server: called with each new server before it serves.
    :param server_class: the class of the servers.
    :param options: keyword arguments for tornado's server.
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
        server_class: type[HTTPServer] = HTTPServer,
        **options: Any,
    ) -> None:
        self._delegate = delegate
        self._address = address
        self._listener = listener
        self._start_event = start_event
        self._start_timeout_s = start_timeout_s
        self._configure_server = configure_server
        self._server_class = server_class
        self._options = options
        self._listening_sockets: list[socket.socket] = []
        self.server: HTTPServer | None = None

    async def run(self, ready: asyncio.Event) -> None:
        """Listen on the address and serve until cancelled."""
        # tornado's servers can't be used again after they were stopped.
        server = self._server_class(self._delegate, **self._options)
        self.server = server
        if self._configure_server is not None:
            self._configure_server(server)
        self._listening_sockets = await self._listen()
        ready.set()
        try:
            await self._wait_for_start()
            server.add_sockets(self._listening_sockets)
            await asyncio.Event().wait()
        finally:
            self.stop_listening()
            await server.close_all_connections()

    def stop_listening(self) -> None:
        """Accept no new connections; the kernel resets those that wait in its queue."""
        if self.server is not None:
            self.server.stop()
        for listener in self._listening_sockets:
            listener.close()
        self._listening_sockets = []

    async def _listen(self) -> list[socket.socket]:
        # A child that is restarted has already closed the socket that it was given.
        listener, self._listener = self._listener, None
        if listener is not None:
            return [listener]
        try:
            return self._bind()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        logging.warning(
            "address %s is in use; trying for %g s", self._address, _BIND_TIMEOUT_S
        )
        return await self._bind_when_free()

    async def _bind_when_free(self) -> list[socket.socket]:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + _BIND_TIMEOUT_S
        while True:
            await asyncio.sleep(_BIND_RETRY_S)
            try:
                return self._bind()
            except OSError as error:
                if error.errno != errno.EADDRINUSE or loop.time() >= deadline_s:
                    raise

    def _bind(self) -> list[socket.socket]:
        return bind_sockets(self._address.port, self._address.ip, backlog=_BACKLOG)

    async def _wait_for_start(self) -> None:
        if self._start_event is None:
            return
        try:
            async with asyncio.timeout(self._start_timeout_s):
                await self._start_event.wait()
        except TimeoutError:
            return  # Accept connections, so that each request gets a refusal.
