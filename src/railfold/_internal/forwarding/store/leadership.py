"""Holding the lease of the duty to place layers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from railfold._internal.decisions.fleet_size import Deal
from railfold._internal.decisions.leadership import Leadership, LeaseGrant
from railfold._internal.errors import LogUnavailableError
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import LeadershipChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["LEASE_S", "LeadershipKeeper", "LeaseClient"]

# How long a dead holder keeps its successor waiting; three renewals fit in.
LEASE_S = 2.4

_RENEW_S = 0.75
_RETRY_S = 0.3
_CONFIRM_S = 0.03


class LeaseClient(Protocol):
    """Grants the lease of the duty to one process at a time."""

    async def renew(self, holder: str, duration_s: float) -> LeaseGrant:
        """Ask for the lease, or keep it.

        :raises LogUnavailableError: no answer came.
        """

    async def release(self, holder: str) -> None:
        """Give the lease back.

        :raises LogUnavailableError: no answer came.
        """


class LeadershipKeeper:
    """Child that renews the lease.

    :param on_deal: takes what a renewal tells of the number of members, and when the
        renewal was sent.
    :param on_epoch: takes the epoch of the store's log that an answer tells.
    """

    def __init__(
        self,
        holder: str,
        leadership: Leadership,
        client: LeaseClient,
        log: DecisionLog,
        metrics: Metrics,
        on_deal: Callable[[Deal, float], None],
        on_epoch: Callable[[int], None],
    ) -> None:
        self._holder = holder
        self._leadership = leadership
        self._on_deal = on_deal
        self._on_epoch = on_epoch
        self._client = client
        self._log = log
        self._metrics = metrics
        self._released = False

    async def run(self, ready: asyncio.Event) -> None:
        """Renew until cancelled."""
        ready.set()
        while True:
            delay_s = _RENEW_S
            if not self._released:
                delay_s = await self._renew()
            await asyncio.sleep(delay_s)

    async def _renew(self) -> float:
        sent_s = asyncio.get_running_loop().time()
        try:
            grant = await self._client.renew(self._holder, self._leadership.duration_s)
        except LogUnavailableError:
            # The follower of the configuration tells of the store's outages.
            self._metrics.count("lease.renewals_failed")
            return _RETRY_S
        self._on_epoch(grant.epoch)
        if grant.deal is not None:
            self._on_deal(grant.deal, sent_s)
        is_new = grant.fencing != self._leadership.newest_fencing
        if self._leadership.renewed(grant, sent_s):
            self._log.write(
                LeadershipChanged(grant.holding, grant.fencing, "the store's answer")
            )
        # A former holder gives the lease up by naming the new term: until all
        # have, nobody holds it.
        return _CONFIRM_S if is_new else _RENEW_S

    async def release(self) -> None:
        """Give the lease back, so that a successor needn't wait."""
        self._released = True
        newest = self._leadership.newest_fencing
        self._leadership.renewed(LeaseGrant(holding=False, fencing=newest), 0.0)
        try:
            await self._client.release(self._holder)
        except LogUnavailableError:
            self._metrics.count("lease.release_failed")  # It lapses by itself.
