"""Announcements of other entries, which are used for a limited lifetime."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Announcement", "Announcements"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Announcement(Generic[T]):
    """Content that an entry announced.

    :param at_s: when the content was measured.
    :param entries: of how many entries it is the sum.
    """

    at_s: float
    content: T
    entries: int = 1


class Announcements(Generic[T]):
    """The newest announcement of each other entry.

    Times are on the monotonic clock.
    """

    def __init__(self) -> None:
        self._newest: dict[str, Announcement[T]] = {}

    def add(
        self, entry: str, announcement: Announcement[T], lifetime_s: float, now_s: float
    ) -> None:
        """Store an announcement, unless it is expired or older than the known one.

        Of two with the same time, the one that covers more entries is kept.
        """
        known = self._newest.get(entry)
        is_outdated = known is not None and (known.at_s, known.entries) >= (
            announcement.at_s,
            announcement.entries,
        )
        if not is_outdated and now_s - announcement.at_s < lifetime_s:
            self._newest[entry] = announcement

    def fresh(self, lifetime_s: float, now_s: float) -> list[Announcement[T]]:
        """Return the announcements that haven't expired."""
        return [a for a in self._newest.values() if now_s - a.at_s < lifetime_s]

    def forget(self, lifetime_s: float, now_s: float) -> None:
        """Drop expired announcements."""
        for entry, announcement in list(self._newest.items()):
            if now_s - announcement.at_s >= lifetime_s:
                del self._newest[entry]
