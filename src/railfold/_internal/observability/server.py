"""Child that serves a tornado application on one address."""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

from railfold._internal.core import Address

__all__ = ["HttpServerChild"]


class HttpServerChild:
    """Serves ``application`` until cancelled."""

    def __init__(
        self, application: Application, address: Address, **options: Any
    ) -> None:
        self._application = application
        self._address = address
        self._options = options

    async def run(self, ready: asyncio.Event) -> None:
        """Listen and serve."""
        server = HTTPServer(self._application, **self._options)
        server.listen(self._address.port, self._address.ip, reuse_port=False)
        ready.set()
        try:
            await asyncio.Event().wait()
        finally:
            server.stop()
            await server.close_all_connections()
