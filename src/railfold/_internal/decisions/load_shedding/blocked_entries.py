"""Entries that are blocked from all backend servers of a service by backoffs.

A backoff applies only to the entry that received the Retry-After header. If this entry
has to refuse a client, another entry may serve the client at once, unless it is blocked
as well.
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.decisions.peers import FANOUT

__all__ = ["NOTICE_INTERVAL_S", "BlockedEntries"]

# Minimum share of the other entries that must be able to serve. A refused client
# reaches a random entry: below this share it is more likely to be refused again than
# served.
_MIN_SERVING_SHARE = 0.5

# Interval at which a blocked entry that refuses clients notifies other entries.
NOTICE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class _Notice:
    until_s: float
    received_s: float


class BlockedEntries:
    """The other entries that can't send to any server of a service now.

    A blocked entry notifies up to ``FANOUT`` random entries. If there are no more other
    entries than that, each of them receives every notice. If there are more, the number
    of notices received in one interval shows which share of the entries is blocked.
    """

    def __init__(self) -> None:
        self._notices: dict[tuple[str, str], _Notice] = {}

    def record_notice(
        self, entry: str, service: str, until_s: float, now_s: float
    ) -> None:
        """Record the notice of an entry that it is blocked until ``until_s``."""
        self._notices[entry, service] = _Notice(until_s, now_s)

    def others_can_serve(self, service: str, other_count: int, now_s: float) -> bool:
        """Return whether a refused client should retry at another entry at once.

        :param other_count: number of other entries.
        """
        all_notified = other_count <= FANOUT
        since_s = float("-inf") if all_notified else now_s - NOTICE_INTERVAL_S
        blocked_count = sum(
            1
            for (_, blocked_service), notice in self._notices.items()
            if blocked_service == service
            and notice.until_s > now_s
            and notice.received_s >= since_s
        )
        # Number of notices received within the interval if all others are blocked.
        expected_notices = min(other_count, FANOUT)
        return (
            other_count > 0
            and blocked_count <= (1.0 - _MIN_SERVING_SHARE) * expected_notices
        )

    def forget(self, now_s: float) -> None:
        """Forget the notices whose backoffs have ended."""
        live = {
            key: notice
            for key, notice in self._notices.items()
            if notice.until_s > now_s
        }
        self._notices = live
