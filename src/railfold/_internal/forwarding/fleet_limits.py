"""One entry's part of what all entries may do together."""

from __future__ import annotations

import asyncio

from railfold._internal.decisions.fleet_size import FleetSize, PartitionAssignment
from railfold._internal.decisions.retry_budget import RetryLimits
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.settings import ForwardingSettings

__all__ = ["FleetLimits"]

# Of the retries that all entries may make, entries that run take this share, each its
# part (:class:`FleetSize`); one that doesn't know its part yet has none.
_RETRY_SAFETY = 0.8

# The share of first attempts needs no division: each entry counts its own. The rest is
# for windows that begin and end elsewhere than this entry's.
_SHARE_SAFETY = 0.95


class FleetLimits:
    """Keeps the number of entries, and this one's limits by it.

    :param fleet: how many entries there are, as far as is known.
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
        """The part that the entry has, from 0 to 1."""
        return self._fleet.share(self._loop.time())

    def assignment_received(
        self, assignment: PartitionAssignment, sent_s: float
    ) -> None:
        """Take what a renewal of the lease tells of the number of entries."""
        self._fleet.assignment_received(assignment, sent_s)
        members = self._fleet.members
        if members is not None:
            self._router.entries = self._router.limits.members = members
        self._router.metrics.gauge("entries", members or 0)
        self.update_limits()

    def set_listed_entries(self, entries: int) -> None:
        """Take how many entries the store lists, with this one."""
        self._fleet.set_listed_entries(entries)
        self.update_limits()

    def update_limits(self) -> None:
        """Take this entry's part of the retries that all may make."""
        settings = self.settings
        slack = settings.retry_slack * _RETRY_SAFETY * self.share
        limits = RetryLimits(
            settings.retry_share * _SHARE_SAFETY, slack, settings.retry_window_s
        )
        self._router.budgets.set_limits(limits)
