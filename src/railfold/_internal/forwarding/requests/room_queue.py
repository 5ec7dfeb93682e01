"""Requests of this entry that compete for room at engines.

The order is decided in :mod:`railfold._internal.decisions.admission`; this keeps those
that wait, and looks for room for them in turn.
"""

from __future__ import annotations

import asyncio
from collections.abc import Set
from dataclasses import dataclass
from typing import Protocol

from railfold._internal.decisions.admission import (
    PriorityShedder,
    SheddingDecision,
    WaitingRequests,
    capacity_wait_limit_s,
)
from railfold._internal.decisions.fleet_demand import DemandKey
from railfold._internal.decisions.routing_table import RoutingTable
from railfold._internal.errors import RoomShortError
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.router import Router

__all__ = ["Contender", "RoomQueue", "RoomWaiter"]

# How often room is looked for while requests wait: engines free some of it every few
# milliseconds, and a recheck plans chains in all failure domains.
_RECHECK_INTERVAL_S = 0.02

# A request that finds no room may lack it by itself, since engines rejected it before:
# so many others are looked at after it.
_MOST_MISSED = 4

# For how long retries count as scarce after there was none.
_SCARCE_RETRIES_S = 1.0

# Answers that have begun go on before new ones begin.
_BEGUN_LEVEL = -2


@dataclass(eq=False, slots=True)
class Contender:
    """A request that competes for room.

    :param arrived_s: when it came, on the loop's clock.
    :param waited_s: how long it has waited for room since it was sent last.
    :param waited_in_all_s: how long it has waited for room.
    :param predicted_wait_s: what was reckoned when it last began to wait.
    """

    key: DemandKey
    tokens: int
    standing: SheddingDecision
    arrived_s: float
    deadline_s: float
    objective_s: float
    waited_s: float = 0.0
    waited_in_all_s: float = 0.0
    predicted_wait_s: float = 0.0


class RoomWaiter(Protocol):
    """Waits for room."""

    def find_room(self) -> bool:
        """Look for room; return whether the wait is over."""

    def wait_ended(self) -> None:
        """There is no room in time."""


class RoomQueue:
    """All requests of an entry that compete for room, by service."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._loop = asyncio.get_running_loop()
        self._shares = PriorityShedder()
        self._waiting: dict[str, WaitingRequests[RoomWaiter]] = {}
        self._waits: dict[RoomWaiter, tuple[Contender, float, float]] = {}
        self._no_retry_s: dict[str, float] = {}
        self._next_recheck: asyncio.TimerHandle | None = None
        self._contended: tuple[int, Set[str]] = (-1, frozenset())

    def enter(self, routed: RoutedRequest) -> Contender | None:
        """Take a request that came; nothing if no others compete with it for room."""
        table = self._router.table
        if table is None:
            return None
        if self._contended[0] != table.version:
            self._contended = (table.version, _contended_services(table))
        services = routed.route.services
        if not services:
            return None
        service = max(services, key=lambda choice: choice.weight).service
        if service not in self._contended[1]:
            return None
        now_s = self._loop.time()
        key = DemandKey(service, routed.admission_rank, routed.workspace)
        demand = self._router.fleet_demand.per_s(service, self._router.entries, now_s)
        tokens = max(1, routed.request.size.total)
        standing = self._shares.arrived(key, tokens, demand, now_s)
        return Contender(
            key,
            tokens,
            standing,
            now_s,
            routed.deadline_s,
            routed.route.objective_s,
        )

    def is_shed(self, contender: Contender) -> bool:
        """Return whether a new request is to be refused for those that go before."""
        return self._router.rng.random() < contender.standing.shed_probability

    def must_wait(self, contender: Contender) -> bool:
        """Return whether others that wait go before a request."""
        waiting = self._waiting.get(contender.key.service)
        return waiting is not None and waiting.count_ahead(contender.standing.level) > 0

    def wait(self, waiter: RoomWaiter, contender: Contender, *, begun: bool) -> bool:
        """Let a request wait for room; return whether it may have its turn in time."""
        service = contender.key.service
        waiting = self._waiting.setdefault(service, WaitingRequests())
        now_s = self._loop.time()
        limit_s = capacity_wait_limit_s(contender.objective_s, started=begun)
        limit_s = min(limit_s, contender.deadline_s - now_s)
        standing = SheddingDecision(_BEGUN_LEVEL) if begun else contender.standing
        contender.predicted_wait_s = waiting.predicted_wait_s(standing.level)
        if contender.waited_s + contender.predicted_wait_s > limit_s:
            return False
        if not waiting.add(waiter, standing, contender.key.workspace, contender.tokens):
            return False
        until_s = now_s + limit_s - contender.waited_s
        self._waits[waiter] = (contender, now_s, until_s)
        self._router.metrics.count("admission.waiting")
        self._plan_recheck()
        return True

    def cancel(self, waiter: RoomWaiter) -> None:
        """A request waits no more."""
        contender = self._end_wait(waiter)
        if contender is not None:
            self._waiting[contender.key.service].remove(waiter)

    def found(self, waiter: RoomWaiter) -> None:
        """There is room for a request that waited."""
        contender = self._end_wait(waiter)
        if contender is not None:
            self._waiting[contender.key.service].served(waiter, self._loop.time())

    def _end_wait(self, waiter: RoomWaiter) -> Contender | None:
        wait = self._waits.pop(waiter, None)
        if wait is None:
            return None
        contender, since_s, _ = wait
        waited_s = self._loop.time() - since_s
        contender.waited_s += waited_s
        contender.waited_in_all_s += waited_s
        return contender

    def dispatched(self, contender: Contender) -> None:
        """A request was sent where there is room."""
        now_s = self._loop.time()
        self._shares.dispatched(contender.key, contender.tokens, now_s)
        if contender.waited_s:
            self._router.metrics.timing("admission.wait", contender.waited_s)
            contender.waited_s = 0.0

    def no_retry(self, service: str) -> None:
        """The retry budget of a service was empty."""
        self._no_retry_s[service] = self._loop.time()

    def leaves_retry(self, contender: Contender) -> bool:
        """Return whether a request leaves scarce retries to those that go before."""
        empty_s = self._no_retry_s.get(contender.key.service, float("-inf"))
        scarce = self._loop.time() - empty_s < _SCARCE_RETRIES_S
        return scarce and contender.standing.preceding_unserved

    def rejected(self, contender: Contender) -> None:
        """An engine rejected a request that was sent."""
        self._shares.rejected(contender.key, contender.tokens, self._loop.time())

    def refusal(self, contender: Contender, error: RoomShortError) -> RoomShortError:
        """Return what a caller is told for whose request there is no room."""
        now_s = self._loop.time()
        key = contender.key
        served = self._shares.served.share(key.service, now_s, key.priority)
        return RoomShortError(
            error.what,
            why=error.why,
            hint=error.hint,
            served_share=served,
            left_s=max(0.0, contender.deadline_s - now_s),
        )

    def forget(self) -> None:
        """Forget what hardly arrives any more."""
        self._shares.forget(self._loop.time())

    def _plan_recheck(self) -> None:
        if self._next_recheck is None and self._waits:
            self._next_recheck = self._loop.call_later(
                _RECHECK_INTERVAL_S, self._recheck
            )

    def _recheck(self) -> None:
        self._next_recheck = None
        try:
            self._end_overdue_waits()
            for waiting in list(self._waiting.values()):
                self._serve(waiting)
        finally:
            self._plan_recheck()

    def _end_overdue_waits(self) -> None:
        now_s = self._loop.time()
        overdue = [w for w, (_, _, until_s) in self._waits.items() if now_s >= until_s]
        for waiter in overdue:
            self.cancel(waiter)
            waiter.wait_ended()

    def _serve(self, waiting: WaitingRequests[RoomWaiter]) -> None:
        """Look for room for those that wait, until some find none."""
        missed: set[RoomWaiter] = set()
        while len(missed) < _MOST_MISSED:
            in_turn = waiting.next_items(_MOST_MISSED)
            left = [waiter for waiter in in_turn if waiter not in missed]
            if not left:
                return
            if not left[0].find_room():
                missed.add(left[0])


def _contended_services(table: RoutingTable) -> frozenset[str]:
    """Return the model services that several ranks or workspaces use."""
    ranks: dict[str, set[int]] = {}
    for route in table.routes:
        for choice in route.services:
            ranks.setdefault(choice.service, set()).add(route.priority)
    owners = (table.credentials or {}).values()
    workspaces = {owner.workspace for owner in owners}
    own_ranks = {owner.priority for owner in owners if owner.priority is not None}
    return frozenset(
        spec.name
        for spec in table.model_services()
        if len(workspaces) > 1
        or len(ranks.get(spec.name, set())) > 1
        or len(own_ranks) > 1
    )
