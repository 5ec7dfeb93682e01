"""Keeps the lease for placing layers, and the membership in the group of entries."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
from collections.abc import Callable
from typing import Protocol

from railfold._internal.decisions.leadership import Candidacy, Leadership, LeaseGrant
from railfold._internal.errors import LogUnavailableError
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import LeadershipChanged
from railfold._internal.observability.metrics import Metrics
from railfold._internal.waiting import answer_within

__all__ = [
    "LEASE_S",
    "MEMBER_LEASE_S",
    "LeadershipController",
    "LeaseClient",
    "MembershipRenewer",
]

# How long the store counts an entry as a member after its last renewal: at least
# three renewal intervals.
MEMBER_LEASE_S = 2.4

# How long a successor waits for the lease of a holder that crashed: at least three
# renewal intervals.
LEASE_S = 1.0

_MEMBER_RENEWAL_INTERVAL_S = 0.75
_RENEWAL_INTERVAL_S = 0.25
# How often a candidate without the lease requests it, and so learns whether it is free.
_STANDBY_INTERVAL_S = 0.4
_RETRY_DELAY_S = 0.1
_MEMBER_RETRY_DELAY_S = 0.3
_CONFIRMATION_DELAY_S = 0.03

# The store answers within 0.24 s when it is slow.
_CALL_TIMEOUT_S = 0.35

# A holder stops after this many failed renewals in a row, or when its last successful
# renewal was sent longer ago than this share of the lease. A successor can then start
# before the lease expires.
_MAX_FAILED_RENEWALS = 2
_MAX_RENEWAL_AGE_SHARE = 0.5

# Limits how many stopped holders' memberships are ended; others expire.
_MAX_STOPPED_MEMBERS = 16


class LeaseClient(Protocol):
    """Grants a lease to one process at a time."""

    async def renew(self, holder: str, duration_s: float) -> LeaseGrant:
        """Request the lease, or renew it if ``holder`` holds it.

        :raises LogUnavailableError: no answer arrived.
        """

    async def release(self, holder: str) -> None:
        """Release the lease.

        :raises LogUnavailableError: no answer arrived.
        """


class MembershipRenewer:
    """Child that renews this entry's membership in the group of all entries.

    :param on_renewed: called with each answer and the time at which its renewal was
        sent.
    :param on_epoch: called with the epoch of the store's log in each answer.
    """

    def __init__(
        self,
        name: str,
        client: LeaseClient,
        metrics: Metrics,
        on_renewed: Callable[[LeaseGrant, float], None],
        on_epoch: Callable[[int], None],
    ) -> None:
        self._name = name
        self._client = client
        self._metrics = metrics
        self._on_renewed = on_renewed
        self._on_epoch = on_epoch
        self._newest_token = 0
        self._released = False

    async def run(self, ready: asyncio.Event) -> None:
        """Renew the membership until cancelled."""
        ready.set()
        while True:
            delay_s = (
                _MEMBER_RENEWAL_INTERVAL_S if self._released else await self._renew()
            )
            await asyncio.sleep(delay_s)

    async def _renew(self) -> float:
        sent_s = asyncio.get_running_loop().time()
        try:
            grant = await self._client.renew(self._name, MEMBER_LEASE_S)
        except LogUnavailableError:
            # Not logged: the follower of the configuration logs outages of the store.
            self._metrics.count("members.renewals_failed")
            return _MEMBER_RETRY_DELAY_S
        self._on_epoch(grant.epoch)
        self._on_renewed(grant, sent_s)
        is_new = grant.fencing_token != self._newest_token
        self._newest_token = grant.fencing_token
        # A partition moves to its new member only after its former member has renewed
        # with the new generation, so the next renewal follows soon.
        return _CONFIRMATION_DELAY_S if is_new else _MEMBER_RENEWAL_INTERVAL_S

    async def release(self) -> None:
        """End the membership, so that the others needn't wait until it expires."""
        self._released = True
        try:
            await self._client.release(self._name)
        except LogUnavailableError:
            self._metrics.count("members.release_failed")  # The membership expires.


class LeadershipController:
    """Child that requests the lease while this process is a candidate, and renews it.

    A holder that can't renew the lease stops leading at once, reports the member id
    under which it held the lease to the other entries, and requests the lease again
    under a new id. The others end the membership of the reported id; they can't end a
    current one by mistake, however late they do so.

    :param holder: name of this process.
    :param on_epoch: called with the epoch of the store's log in each answer.
    :param candidacy: None for a process that is always a candidate.
    :param on_stopped: called with the member id under which this process has stopped
        leading.
    """

    def __init__(
        self,
        holder: str,
        leadership: Leadership,
        client: LeaseClient,
        log: DecisionLog,
        metrics: Metrics,
        on_epoch: Callable[[int], None],
        candidacy: Candidacy | None = None,
        on_stopped: Callable[[str], None] = lambda member_id: None,
    ) -> None:
        self._holder = holder
        self._member_numbers = itertools.count(1)
        self._member_id = self._new_member_id()
        self._leadership = leadership
        self._on_epoch = on_epoch
        self._candidacy = candidacy
        self._on_stopped = on_stopped
        self._client = client
        self._log = log
        self._metrics = metrics
        self._released = False
        self._joined = False
        self._failed_renewals = 0
        self._renewed_s = float("-inf")
        self._stopped_members: dict[str, float] = {}
        self._wake = asyncio.Event()

    def _new_member_id(self) -> str:
        # The random part distinguishes earlier processes with the same name.
        return f"{self._holder}#{secrets.token_hex(4)}.{next(self._member_numbers)}"

    async def run(self, ready: asyncio.Event) -> None:
        """Request and renew the lease until cancelled."""
        ready.set()
        while True:
            delay_s = _RENEWAL_INTERVAL_S
            self._wake.clear()
            if not self._released:
                delay_s = await self._step()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), delay_s)

    async def _step(self) -> float:
        now_s = asyncio.get_running_loop().time()
        leads = self._leadership.current_token(now_s) is not None
        is_candidate = self._candidacy is None or self._candidacy.requests_lease(now_s)
        if leads or is_candidate:
            await self._end_stopped_memberships()
            return await self._renew()
        if self._joined:
            await self._stand_down()
        self._stopped_members.clear()
        return _STANDBY_INTERVAL_S

    async def _renew(self) -> float:
        sent_s = asyncio.get_running_loop().time()
        self._joined = True
        member_id = self._member_id
        call = self._client.renew(member_id, self._leadership.duration_s)
        try:
            grant = await answer_within(call, _CALL_TIMEOUT_S)
        except (LogUnavailableError, TimeoutError) as error:
            self._metrics.count("lease.renewals_failed")
            self._failed_renewals += 1
            self._stop_if_lapsing(str(error) or f"no answer within {_CALL_TIMEOUT_S} s")
            return _RETRY_DELAY_S
        if self._released or member_id != self._member_id:
            return _STANDBY_INTERVAL_S  # The granted lease was released meanwhile.
        self._failed_renewals = 0
        self._renewed_s = sent_s
        self._on_epoch(grant.epoch)
        is_new = grant.fencing_token != self._leadership.newest_token
        if self._leadership.record_renewal(grant, sent_s):
            self._log.write(
                LeadershipChanged(
                    grant.is_holder, grant.fencing_token, "the store's answer"
                )
            )
        # Members confirm a new generation by their next renewal. Nobody holds the lease
        # until the former holder has confirmed it, so the next renewal follows soon.
        if is_new:
            return _CONFIRMATION_DELAY_S
        return _RENEWAL_INTERVAL_S if grant.is_holder else _STANDBY_INTERVAL_S

    def _stop_if_lapsing(self, cause: str) -> None:
        """Stop leading if renewals have failed for too long."""
        now_s = asyncio.get_running_loop().time()
        token = self._leadership.current_token(now_s)
        if token is None:
            return
        age_s = now_s - self._renewed_s
        is_old = age_s >= _MAX_RENEWAL_AGE_SHARE * self._leadership.duration_s
        if self._failed_renewals < _MAX_FAILED_RENEWALS and not is_old:
            return
        self._leadership.record_refused_token(token)
        self._leadership.revoke()
        self._metrics.count("lease.stopped")
        why = f"not renewed for {age_s:.2f} s: {cause}"
        self._log.write(LeadershipChanged(leading=False, fencing=token, cause=why))
        stopped_id, self._member_id = self._member_id, self._new_member_id()
        self._record_stopped(stopped_id)
        self._on_stopped(stopped_id)

    def holder_stopped(self, member_id: str) -> None:
        """End the membership of another process, which stopped leading."""
        if member_id == self._member_id:
            return
        self._record_stopped(member_id)
        self._wake.set()

    def _record_stopped(self, member_id: str) -> None:
        if len(self._stopped_members) < _MAX_STOPPED_MEMBERS:
            self._stopped_members[member_id] = asyncio.get_running_loop().time()

    async def _end_stopped_memberships(self) -> None:
        """End the memberships of stopped holders, so that the lease becomes free."""
        loop = asyncio.get_running_loop()
        for member_id, stopped_s in list(self._stopped_members.items()):
            has_lapsed = loop.time() - stopped_s >= self._leadership.duration_s
            if not has_lapsed and not await self._end_membership(member_id):
                return  # The store doesn't answer; retried in the next step.
            self._stopped_members.pop(member_id, None)

    async def _end_membership(self, member_id: str) -> bool:
        try:
            await answer_within(self._client.release(member_id), _CALL_TIMEOUT_S)
        except (LogUnavailableError, TimeoutError):
            self._metrics.count("lease.release_failed")  # The lease expires.
            return False
        return True

    async def _stand_down(self) -> None:
        """Stop requesting the lease, and release it if this process holds it."""
        self._joined = False
        former_id, self._member_id = self._member_id, self._new_member_id()
        newest = self._leadership.newest_token
        self._leadership.record_renewal(
            LeaseGrant(is_holder=False, fencing_token=newest), 0.0
        )
        await self._end_membership(former_id)

    async def release(self) -> None:
        """Release the lease, so that a successor needn't wait until it expires."""
        self._released = True
        if self._joined:
            await self._stand_down()
