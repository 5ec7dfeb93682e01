"""A persistent connection to a service, for sequential calls."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from railfold._internal.core import Address
from railfold._internal.errors import EngineUnavailableError
from railfold._internal.forwarding.messages import Header
from railfold._internal.forwarding.servers.http_client import (
    HttpConnection,
    Response,
    connect,
    fetch,
)

__all__ = ["PersistentConnection"]

_CONNECT_TIMEOUT_S = 0.6

# Servers close idle connections. A call that is sent at the moment of closing gets no
# answer, so connections are replaced earlier.
_MAX_IDLE_S = 5.0


class PersistentConnection:
    """Makes calls to one address, one at a time, and reconnects when needed.

    The connection is discarded after a call without a complete answer, since later
    bytes on it would belong to that call.
    """

    def __init__(self, address: Address, max_body_bytes: int) -> None:
        self.address = address
        self._max_body_bytes = max_body_bytes
        self._connection: HttpConnection | None = None

    async def call(
        self,
        method: str,
        target: str,
        headers: Sequence[Header],
        body: bytes,
        timeout_s: float,
        stall_timeout_s: float | None = None,
    ) -> Response:
        """Make a call and return its answer.

        :param stall_timeout_s: as in :func:`fetch`.
        :raises EngineUnavailableError: no complete answer arrived in time.
        """
        try:
            connection = await self._get_connection()
            response = await fetch(
                connection,
                method,
                target,
                headers,
                body,
                timeout_s,
                stall_timeout_s,
                self._max_body_bytes,
            )
        except EngineUnavailableError:
            self._connection = None
            raise
        connection.idle_since_s = asyncio.get_running_loop().time()
        return response

    async def _get_connection(self) -> HttpConnection:
        now_s = asyncio.get_running_loop().time()
        connection = self._connection
        if connection is not None:
            is_usable = not connection.closed and not connection.busy
            if is_usable and now_s - connection.idle_since_s < _MAX_IDLE_S:
                return connection
            connection.abort()
        self._connection = await connect(self.address, _CONNECT_TIMEOUT_S)
        return self._connection
