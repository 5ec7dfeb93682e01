"""Pool of idle connections to backend servers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from railfold._internal.forwarding.servers.http_client import HttpConnection

__all__ = ["ConnectionPool"]

# Servers that send no Keep-Alive header keep idle connections at least this long.
_DEFAULT_MAX_IDLE_S = 4.0

# Share of the timeout in a Keep-Alive header for which a connection is used. The server
# closes it at the end of the timeout; a request sent at that moment would fail.
_KEEP_ALIVE_SHARE = 0.6


class ConnectionPool:
    """Idle connections of each backend server.

    The connection that was used last is used first.
    """

    def __init__(self) -> None:
        self._idle: dict[str, deque[HttpConnection]] = {}
        # Called with a server's id and the id of the last request on the connection
        # when the server sends more than the answer to it.
        self.on_surplus: Callable[[str, str], None] = lambda server_id, request_id: None

    def take(
        self, server_id: str, now_s: float, max_idle_s: float = _DEFAULT_MAX_IDLE_S
    ) -> HttpConnection | None:
        """Remove and return a usable connection to a server, if there is one.

        :param max_idle_s: longest time that the connection may have been idle.
        """
        idle = self._idle.get(server_id)
        while idle:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.closed:
                continue
            if idle_s > min(max_idle_s, _max_idle_s(connection)):
                idle.append(connection)
                return None  # All others have been idle for longer.
            return connection
        return None

    def has_idle(self, server_id: str, now_s: float) -> bool:
        """Return whether there is a usable connection to a server."""
        idle = self._idle.get(server_id)
        if not idle:
            return False
        newest = idle[-1]
        return not newest.closed and now_s - newest.idle_since_s <= _max_idle_s(newest)

    def give_back(
        self, server_id: str, connection: HttpConnection, now_s: float
    ) -> None:
        """Return a connection to the pool if it can be used again."""
        if connection.has_surplus:
            self.on_surplus(server_id, connection.last_request_id)
        if connection.closed or connection.busy:
            return
        connection.idle_since_s = now_s
        connection.on_surplus = partial(self.on_surplus, server_id)
        self._idle.setdefault(server_id, deque()).append(connection)

    def drop(self, server_id: str) -> None:
        """Close all idle connections to a backend server."""
        for connection in self._idle.pop(server_id, ()):
            connection.abort()

    def prune(self, now_s: float) -> None:
        """Close the connections of all servers that have been idle for too long."""
        for server_id in list(self._idle):
            idle = self._idle[server_id]
            while idle and (
                idle[0].closed or now_s - idle[0].idle_since_s > _max_idle_s(idle[0])
            ):
                idle.popleft().abort()
            if not idle:
                del self._idle[server_id]

    def close(self) -> None:
        """Close all idle connections."""
        for server_id in list(self._idle):
            self.drop(server_id)


def _max_idle_s(connection: HttpConnection) -> float:
    if connection.keep_alive_s is None:
        return _DEFAULT_MAX_IDLE_S
    return connection.keep_alive_s * _KEEP_ALIVE_SHARE
