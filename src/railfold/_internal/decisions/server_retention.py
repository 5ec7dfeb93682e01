"""Decides how long the state of a backend server without a registration is kept.

A registration also lapses if its server misses a few heartbeats. The server then still
runs its requests, and registers again. Its load, and the backoff and rate limit that it
asked for, apply all the while.
"""

from __future__ import annotations

from collections.abc import Iterable

from railfold._internal.decisions.engine_directory import DirectoryEntry, Registration

__all__ = ["ServerRetention"]

# Longest time for which the state of a server is kept after its registration is gone.
# A server that leaves completes its running requests within this time.
_RETENTION_S = 60.0


class ServerRetention:
    """The incarnations of backend servers whose state is kept.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._last_seen_s: dict[str, float] = {}
        self._registrations: dict[str, Registration] = {}

    def update(self, registered: Iterable[DirectoryEntry], now_s: float) -> set[str]:
        """Return the ids of the incarnations whose state is kept.

        An incarnation is forgotten at once if another one has its id or address.

        :param registered: the servers that are registered now.
        """
        current = {entry.server_id: entry.registration for entry in registered}
        self._last_seen_s |= dict.fromkeys(current, now_s)
        self._registrations |= current
        taken_ids = {r.registered_id for r in current.values()}
        taken_addresses = {r.address for r in current.values()}
        for server_id in self._registrations.keys() - current.keys():
            registration = self._registrations[server_id]
            if (
                registration.registered_id in taken_ids
                or registration.address in taken_addresses
                or now_s - self._last_seen_s[server_id] > _RETENTION_S
            ):
                del self._last_seen_s[server_id], self._registrations[server_id]
        return set(self._registrations)
