"""Holding the lease of the duty to place layers."""

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
    "MEMBER_S",
    "LeadershipKeeper",
    "LeaseClient",
    "MembershipKeeper",
]

# How long an entry that is lost counts as one; three renewals fit in.
MEMBER_S = 2.4

# How long a dead holder keeps its successor waiting; three renewals fit in.
LEASE_S = 1.0

_MEMBER_RENEW_S = 0.75
_RENEW_S = 0.25
# A successor finds the lease free by its next renewal.
_STANDBY_RENEW_S = 0.4
_RETRY_S = 0.1
_MEMBER_RETRY_S = 0.3
_CONFIRM_S = 0.03

# The store answers within 0.24 s in its slow times.
_CALL_S = 0.35

# A holder stops after so many failed renewals in a row, or if none that succeeded was
# sent within this share of the lease: a successor can then begin before the lease ends.
_MOST_FAILURES = 2
_STOP_SHARE = 0.5

# Members that stopped, and whose memberships are to be ended; others lapse.
_MOST_STOPPED = 16


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


class MembershipKeeper:
    """Child that keeps this process a member of the group of all.

    :param on_renewed: takes each answer, and when the renewal was sent.
    :param on_epoch: takes the epoch of the store's log that an answer tells.
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
        self._newest_fencing = 0
        self._released = False

    async def run(self, ready: asyncio.Event) -> None:
        """Renew until cancelled."""
        ready.set()
        while True:
            delay_s = _MEMBER_RENEW_S if self._released else await self._renew()
            await asyncio.sleep(delay_s)

    async def _renew(self) -> float:
        sent_s = asyncio.get_running_loop().time()
        try:
            grant = await self._client.renew(self._name, MEMBER_S)
        except LogUnavailableError:
            # The follower of the configuration tells of the store's outages.
            self._metrics.count("members.renewals_failed")
            return _MEMBER_RETRY_S
        self._on_epoch(grant.epoch)
        self._on_renewed(grant, sent_s)
        is_new = grant.fencing_token != self._newest_fencing
        self._newest_fencing = grant.fencing_token
        # A partition passes on once its former holder has named the new deal.
        return _CONFIRM_S if is_new else _MEMBER_RENEW_S

    async def release(self) -> None:
        """Leave, so that the others needn't wait for this one's lapse."""
        self._released = True
        try:
            await self._client.release(self._name)
        except LogUnavailableError:
            self._metrics.count("members.release_failed")  # It lapses by itself.


class LeadershipKeeper:
    """Child that asks for the lease while this process is a candidate, and renews it.

    A holder that can't renew stops at once, tells the others the member id under which
    it held the lease, and asks again under another one. So whoever ends the membership
    of that id, also late, ends one that isn't used any more.

    :param on_epoch: takes the epoch of the store's log that an answer tells.
    :param candidacy: none for a process that always asks.
    :param on_stopped: called with the member id of a holder that stopped.
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
        on_stopped: Callable[[str], None] = lambda member: None,
    ) -> None:
        self._holder = holder
        self._stints = itertools.count(1)
        self._member = self._next_member()
        self._leadership = leadership
        self._on_epoch = on_epoch
        self._candidacy = candidacy
        self._on_stopped = on_stopped
        self._client = client
        self._log = log
        self._metrics = metrics
        self._released = False
        self._joined = False
        self._failures = 0
        self._renewed_s = float("-inf")
        self._stopped: dict[str, float] = {}
        self._wake = asyncio.Event()

    def _next_member(self) -> str:
        # The process may have run before under the same name.
        return f"{self._holder}#{secrets.token_hex(4)}.{next(self._stints)}"

    async def run(self, ready: asyncio.Event) -> None:
        """Renew until cancelled."""
        ready.set()
        while True:
            delay_s = _RENEW_S
            self._wake.clear()
            if not self._released:
                delay_s = await self._step()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), delay_s)

    async def _step(self) -> float:
        now_s = asyncio.get_running_loop().time()
        leads = self._leadership.current_token(now_s) is not None
        asks = self._candidacy is None or self._candidacy.requests_lease(now_s)
        if leads or asks:
            await self._end_stopped()
            return await self._renew()
        if self._joined:
            await self._leave()
        self._stopped.clear()
        return _STANDBY_RENEW_S

    async def _renew(self) -> float:
        sent_s = asyncio.get_running_loop().time()
        self._joined = True
        member = self._member
        call = self._client.renew(member, self._leadership.duration_s)
        try:
            grant = await answer_within(call, _CALL_S)
        except (LogUnavailableError, TimeoutError) as error:
            self._metrics.count("lease.renewals_failed")
            self._failures += 1
            self._stop_if_lapsing(str(error) or f"no answer within {_CALL_S} s")
            return _RETRY_S
        if self._released or member != self._member:
            return _STANDBY_RENEW_S  # What it grants was given back meanwhile.
        self._failures = 0
        self._renewed_s = sent_s
        self._on_epoch(grant.epoch)
        is_new = grant.fencing_token != self._leadership.newest_token
        if self._leadership.record_renewal(grant, sent_s):
            self._log.write(
                LeadershipChanged(
                    grant.is_holder, grant.fencing_token, "the store's answer"
                )
            )
        # A former holder gives the lease up by naming the new term: until all
        # have, nobody holds it.
        if is_new:
            return _CONFIRM_S
        return _RENEW_S if grant.is_holder else _STANDBY_RENEW_S

    def _stop_if_lapsing(self, cause: str) -> None:
        now_s = asyncio.get_running_loop().time()
        fencing = self._leadership.current_token(now_s)
        if fencing is None:
            return
        age_s = now_s - self._renewed_s
        is_old = age_s >= _STOP_SHARE * self._leadership.duration_s
        if self._failures < _MOST_FAILURES and not is_old:
            return
        self._leadership.record_refused_token(fencing)
        self._leadership.revoke()
        self._metrics.count("lease.stopped")
        why = f"not renewed for {age_s:.2f} s: {cause}"
        self._log.write(LeadershipChanged(leading=False, fencing=fencing, cause=why))
        stopped, self._member = self._member, self._next_member()
        self._note_stopped(stopped)
        self._on_stopped(stopped)

    def holder_stopped(self, member: str) -> None:
        """Another process led under this member id, and doesn't any more."""
        if member == self._member:
            return
        self._note_stopped(member)
        self._wake.set()

    def _note_stopped(self, member: str) -> None:
        if len(self._stopped) < _MOST_STOPPED:
            self._stopped[member] = asyncio.get_running_loop().time()

    async def _end_stopped(self) -> None:
        """End memberships of holders that stopped; the lease passes on by that."""
        loop = asyncio.get_running_loop()
        for member, stopped_s in list(self._stopped.items()):
            has_lapsed = loop.time() - stopped_s >= self._leadership.duration_s
            if not has_lapsed and not await self._end(member):
                return  # The store doesn't answer; it is asked again.
            self._stopped.pop(member, None)

    async def _end(self, member: str) -> bool:
        try:
            await answer_within(self._client.release(member), _CALL_S)
        except (LogUnavailableError, TimeoutError):
            self._metrics.count("lease.release_failed")  # It lapses by itself.
            return False
        return True

    async def _leave(self) -> None:
        """Stop to ask; another candidate took this one's place."""
        self._joined = False
        left, self._member = self._member, self._next_member()
        newest = self._leadership.newest_token
        self._leadership.record_renewal(
            LeaseGrant(is_holder=False, fencing_token=newest), 0.0
        )
        await self._end(left)

    async def release(self) -> None:
        """Give the lease back, so that a successor needn't wait."""
        self._released = True
        if self._joined:
            await self._leave()
