"""One entry's share of the limits that apply to all entries together."""

from __future__ import annotations

import asyncio

from railfold._internal.decisions.fleet_size import FleetSize, PartitionAssignment
from railfold._internal.decisions.retry_budget import RetryLimits
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.settings import ForwardingSettings

__all__ = ["FleetLimits"]

# Part of the retry slack that is divided among the running entries, see
# :class:`FleetSize`. The rest remains for entries that have just joined. An entry that
# doesn't know its share yet may use none.
_RETRY_SAFETY = 0.8

# Part of the retries per first attempt that is used. These retries need no division,
# since each entry counts its own first attempts. The rest allows for windows that begin
# and end at other times than this entry's.
_SHARE_SAFETY = 0.95


class FleetLimits:
    """Tracks the number of entries and updates this entry's limits.

    :param fleet: estimate of the number of entries.
    """

    def __init__(
        self, settings: ForwardingSettings, fleet: FleetSize, router: Router
    ) -> None:
        self.settings = settings
        self._fleet = fleet
        self._router = router
        self._loop = asyncio.get_running_loop()
        self.update_limits()

    @property
    def share(self) -> float:
        """The share of a common limit that this entry may use, from 0 to 1."""
        return self._fleet.share(self._loop.time())

    def assignment_received(
        self, assignment: PartitionAssignment, sent_s: float
    ) -> None:
        """Process the assignment from the response to a renewal sent at ``sent_s``."""
        self._fleet.assignment_received(assignment, sent_s)
        members = self._fleet.members
        if members is not None:
            self._router.entries = self._router.limits.entry_count = members
        self._router.metrics.gauge("entries", members or 0)
        self.update_limits()

    def set_listed_entries(self, entries: int) -> None:
        """Set the number of entries listed in the store, including this one."""
        self._fleet.set_listed_entries(entries)
        self.update_limits()

    def update_limits(self) -> None:
        """Limit the retries to this entry's current share."""
        settings = self.settings
        slack = settings.retry_slack * _RETRY_SAFETY * self.share
        limits = RetryLimits(
            settings.retry_share * _SHARE_SAFETY, slack, settings.retry_window_s
        )
        self._router.budgets.set_limits(limits)
