"""Child that borrows retries from other entries, and lends them.

Entries have equal parts of the common budget, and needs that differ: failures come to
the entries whose requests ran on what has failed. One whose part runs low asks some
others; what it doesn't spend goes back.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict

from railfold._internal.decisions.retry_budget import LOAN_S
from railfold._internal.forwarding.fleet_limits import FleetLimits
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import (
    RetryAsked,
    RetryLent,
    RetrySettled,
)
from railfold._internal.forwarding.router import Router

__all__ = ["RetryLoans", "RetryMessage"]

RetryMessage = RetryAsked | RetryLent | RetrySettled

_STEP_S = 0.05

# An entry whose part runs low asks so many others, and no more often than that: 60
# datagrams of 130 bytes a second at most.
_LENDERS_ASKED = 4
_ASK_INTERVAL_S = 0.2

# Loans whose lenders are remembered: those of some seconds.
_LENDERS_KEPT = 256


class RetryLoans:
    """Asks other entries for retries, and answers them.

    :param name: this entry's.
    """

    def __init__(
        self, name: str, router: Router, limits: FleetLimits, channel: PeerChannel
    ) -> None:
        self._name = name
        self._router = router
        self._limits = limits
        self._channel = channel
        self._loop = asyncio.get_running_loop()
        self._lenders: OrderedDict[int, str] = OrderedDict()
        self._asked_s: dict[str, float] = {}

    async def run(self, ready: asyncio.Event) -> None:
        """Borrow until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(_STEP_S)
            now_s = self._loop.time()
            for service, budget in self._router.budgets.items():
                for loan, used in budget.due(now_s).items():
                    lender = self._lenders.pop(loan, "")
                    self._channel.tell_one(lender, RetrySettled(loan, service, used))
                    self._router.metrics.count("retries.borrowed_spent", used)
                wanted = budget.wanted(now_s)
                if wanted:
                    self._ask(service, wanted, now_s)

    def _ask(self, service: str, count: int, now_s: float) -> None:
        if now_s - self._asked_s.get(service, float("-inf")) < _ASK_INTERVAL_S:
            return
        self._asked_s[service] = now_s
        peers = self._channel.peers
        lenders = self._router.rng.sample(peers, min(_LENDERS_ASKED, len(peers)))
        for lender in lenders:
            loan = secrets.randbits(32)
            self._router.budgets.of(service).ask(loan, now_s)
            self._lenders[loan] = lender
            self._channel.tell_one(lender, RetryAsked(self._name, loan, service, count))
            self._router.metrics.count("retries.loans_asked")
        while len(self._lenders) > _LENDERS_KEPT:
            self._lenders.popitem(last=False)

    def received(self, message: RetryMessage) -> None:
        """Take a message of another entry."""
        table = self._router.table
        if table is None or message.service not in table.services:
            return
        now_s = self._loop.time()
        budget = self._router.budgets.of(message.service)
        match message:
            case RetryAsked(name=name, loan=loan, service=service, count=count):
                # The part must last for as long as the borrower may spend it.
                if self._limits.part_at(now_s + LOAN_S) < self._limits.part:
                    return
                lent = budget.lend(loan, count, now_s)
                if lent:
                    self._channel.tell_one(name, RetryLent(loan, service, lent))
                    self._router.metrics.count("retries.lent", lent)
            case RetryLent(loan=loan, count=count):
                if budget.borrow(loan, count):
                    self._router.metrics.count("retries.borrowed", count)
            case RetrySettled(loan=loan, used=used):
                budget.settled(loan, used, now_s)
