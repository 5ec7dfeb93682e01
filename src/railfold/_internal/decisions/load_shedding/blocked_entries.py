"""Which entries are barred from all servers of a service.

A server that sheds load answers one entry. A client that this entry has to refuse may
be served by another entry at once, unless that one is barred too.
"""

from __future__ import annotations

from dataclasses import dataclass

from railfold._internal.decisions.peers import FANOUT

__all__ = ["NOTICE_INTERVAL_S", "BlockedEntries"]

# A refused client meets another entry by chance. With fewer of them able to serve it is
# more likely refused again than served.
_MIN_SERVING_SHARE = 0.5

# An entry that is barred, and has to refuse clients, tells others so often.
NOTICE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class _Notice:
    until_s: float
    received_s: float


class BlockedEntries:
    """The other entries that can't send to any server of a service now.

    Each tells as many others as a message goes to, drawn by chance. Where entries are
    few all hear of each; of many, how many notices come tells the share that is barred.
    """

    def __init__(self) -> None:
        self._notices: dict[tuple[str, str], _Notice] = {}

    def record_notice(
        self, entry: str, service: str, until_s: float, now_s: float
    ) -> None:
        """Take an entry's notice that it is barred until then."""
        self._notices[entry, service] = _Notice(until_s, now_s)

    def others_can_serve(self, service: str, other_count: int, now_s: float) -> bool:
        """Return whether a client does better to ask another entry at once.

        :param other_count: how many other entries there are.
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
        # So many notices come within the interval if all are barred.
        expected_notices = min(other_count, FANOUT)
        return (
            other_count > 0
            and blocked_count <= (1.0 - _MIN_SERVING_SHARE) * expected_notices
        )

    def forget(self, now_s: float) -> None:
        """Forget notices that have run out."""
        live = {
            key: notice
            for key, notice in self._notices.items()
            if notice.until_s > now_s
        }
        self._notices = live
