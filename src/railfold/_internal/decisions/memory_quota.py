"""Memory that an entry holds for clients and backend servers, divided by workspace.

Bodies of requests stay until their requests end, and answers until their clients have
read them, so that clients who send much or read slowly could fill a small host. Each
workspace may hold as much as is still free (dynamic thresholds, as switches divide
their buffers): one alone takes half of the memory at most, ten that all want more get
an eleventh each, and one that comes to a host full of others' bytes finds as much as
each of them has. Nobody has to be told who is greedy.
"""

from __future__ import annotations

from collections import Counter

__all__ = ["MemoryQuota", "MemoryReservation"]


class MemoryQuota:
    """Bytes that are held, by workspace.

    :param limit_bytes: for all workspaces together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._reserved_bytes: Counter[str] = Counter()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """All that is held."""
        return self._total_bytes

    def reserved_bytes(self, workspace: str) -> int:
        """Return what is held for a workspace."""
        return self._reserved_bytes[workspace]

    def fits(self, workspace: str, size_bytes: int) -> bool:
        """Return whether a workspace may hold so much more."""
        free_bytes = self.limit_bytes - self._total_bytes
        return self._reserved_bytes[workspace] + size_bytes <= free_bytes

    def add(self, workspace: str, size_bytes: int) -> None:
        """Count bytes that are held, whether they fit or not."""
        self._reserved_bytes[workspace] += size_bytes
        self._total_bytes += size_bytes

    def subtract(self, workspace: str, size_bytes: int) -> None:
        """Count bytes that aren't held any more."""
        self._reserved_bytes[workspace] -= size_bytes
        self._total_bytes -= size_bytes
        if self._reserved_bytes[workspace] <= 0:
            del self._reserved_bytes[workspace]


class MemoryReservation:
    """What is held for one request of a workspace."""

    def __init__(self, quota: MemoryQuota, workspace: str) -> None:
        self._quota = quota
        self._workspace = workspace
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """What is held for it now."""
        return self._size_bytes

    def try_reserve(self, size_bytes: int) -> bool:
        """Hold so much more, if the workspace may; return whether it may."""
        if not self._quota.fits(self._workspace, size_bytes):
            return False
        self.reserve_unchecked(size_bytes)
        return True

    def reserve_unchecked(self, size_bytes: int) -> None:
        """Hold bytes that are there already."""
        self._quota.add(self._workspace, size_bytes)
        self._size_bytes += size_bytes

    def release_bytes(self, size_bytes: int) -> None:
        """Hold so much less; nothing more once all was released."""
        size_bytes = max(0, min(size_bytes, self._size_bytes))
        self._quota.subtract(self._workspace, size_bytes)
        self._size_bytes -= size_bytes

    def release(self) -> None:
        """Hold nothing any more."""
        self.release_bytes(self._size_bytes)
