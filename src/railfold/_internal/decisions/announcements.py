"""What other entries announce, each announcement with an age and a lifetime."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Announcement", "Announcements"]

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Announcement(Generic[T]):
    """What an entry announced, true at ``at_s``.

    :param entries: how many entries' parts it is the sum of.
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
        """Take an announcement, unless it is older than the known one or too old.

        Of two that are as old, the one over more entries counts.
        """
        known = self._newest.get(entry)
        is_outdated = known is not None and (known.at_s, known.entries) >= (
            announcement.at_s,
            announcement.entries,
        )
        if not is_outdated and now_s - announcement.at_s < lifetime_s:
            self._newest[entry] = announcement

    def fresh(self, lifetime_s: float, now_s: float) -> list[Announcement[T]]:
        """Return those that count."""
        return [a for a in self._newest.values() if now_s - a.at_s < lifetime_s]

    def forget(self, lifetime_s: float, now_s: float) -> None:
        """Forget those that don't count any more."""
        for entry, announcement in list(self._newest.items()):
            if now_s - announcement.at_s >= lifetime_s:
                del self._newest[entry]
