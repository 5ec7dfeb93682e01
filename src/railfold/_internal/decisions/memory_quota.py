"""Quota of an entry's memory for request bodies and answers, shared by workspaces.

The body of a request stays in memory until the request ends, and an answer until its
client has read it, so that clients that send large bodies or read slowly could fill the
memory of a small host. Each workspace may use as much as is still free, as network
switches share their buffers by dynamic thresholds: one workspace alone gets at most
half of the memory, ten that all need more get an eleventh each, and a new workspace on
a full host finds as much free memory as each of the others uses. No limits per
workspace have to be configured.
"""

from __future__ import annotations

from collections import Counter

__all__ = ["MemoryQuota", "MemoryReservation"]


class MemoryQuota:
    """Bytes reserved by each workspace.

    :param limit_bytes: limit of all workspaces together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._reserved_bytes: Counter[str] = Counter()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """The bytes reserved by all workspaces together."""
        return self._total_bytes

    def reserved_bytes(self, workspace: str) -> int:
        """Return the bytes reserved by a workspace."""
        return self._reserved_bytes[workspace]

    def fits(self, workspace: str, size_bytes: int) -> bool:
        """Return whether a workspace may reserve ``size_bytes`` more."""
        free_bytes = self.limit_bytes - self._total_bytes
        return self._reserved_bytes[workspace] + size_bytes <= free_bytes

    def add(self, workspace: str, size_bytes: int) -> None:
        """Add reserved bytes of a workspace, even if they exceed the limit."""
        self._reserved_bytes[workspace] += size_bytes
        self._total_bytes += size_bytes

    def subtract(self, workspace: str, size_bytes: int) -> None:
        """Subtract released bytes of a workspace."""
        self._reserved_bytes[workspace] -= size_bytes
        self._total_bytes -= size_bytes
        if self._reserved_bytes[workspace] <= 0:
            del self._reserved_bytes[workspace]


class MemoryReservation:
    """Memory reserved by one request of a workspace."""

    def __init__(self, quota: MemoryQuota, workspace: str) -> None:
        self._quota = quota
        self._workspace = workspace
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """The bytes that the request has reserved now."""
        return self._size_bytes

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve ``size_bytes`` more if they fit; return whether they did."""
        if not self._quota.fits(self._workspace, size_bytes):
            return False
        self.reserve_unchecked(size_bytes)
        return True

    def reserve_unchecked(self, size_bytes: int) -> None:
        """Reserve bytes that are in memory already, even if they exceed the limit."""
        self._quota.add(self._workspace, size_bytes)
        self._size_bytes += size_bytes

    def release_bytes(self, size_bytes: int) -> None:
        """Release up to ``size_bytes``, but no more than the request has reserved."""
        size_bytes = max(0, min(size_bytes, self._size_bytes))
        self._quota.subtract(self._workspace, size_bytes)
        self._size_bytes -= size_bytes

    def release(self) -> None:
        """Release all bytes of the request."""
        self.release_bytes(self._size_bytes)
