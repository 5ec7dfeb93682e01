"""Requests of this entry that compete for the capacity of engines.

:mod:`railfold._internal.decisions.admission` decides on their order. This module keeps
the waiting requests and searches for capacity in this order.
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

__all__ = ["CapacityQueue", "CapacityWaiter", "Contender"]

# Interval of the searches for capacity while requests wait. Engines free capacity every
# few milliseconds, but each search plans chains in all failure domains.
_RECHECK_INTERVAL_S = 0.02

# A recheck ends after this many requests without capacity. A single one doesn't show
# that there is none for others, since it may exclude engines that rejected it.
_MAX_MISSES = 4

# How long retries count as scarce after a retry budget was empty.
_RETRIES_SCARCE_S = 1.0

# Level of requests whose answer has started. They go before all others.
_STARTED_ANSWER_LEVEL = -2


@dataclass(eq=False, slots=True)
class Contender:
    """A request that competes for capacity.

    :param tokens: size to which the request may grow.
    :param arrived_s: when it arrived, on the event loop's clock.
    :param deadline_s: when its answer must be complete, on the same clock.
    :param objective_s: latency objective of its route.
    :param waited_since_dispatch_s: how long it has waited for capacity since it was
        sent last.
    :param total_waited_s: how long it has waited for capacity in total.
    :param predicted_wait_s: the wait that was predicted when it last began to wait.
    """

    key: DemandKey
    tokens: int
    shedding_decision: SheddingDecision
    arrived_s: float
    deadline_s: float
    objective_s: float
    waited_since_dispatch_s: float = 0.0
    total_waited_s: float = 0.0
    predicted_wait_s: float = 0.0


class CapacityWaiter(Protocol):
    """A search that waits for capacity."""

    def find_capacity(self) -> bool:
        """Search for capacity; return whether the wait is over."""

    def wait_failed(self) -> None:
        """Called when there was no capacity in time."""


class CapacityQueue:
    """All requests of an entry that compete for capacity, by service."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._loop = asyncio.get_running_loop()
        self._shedder = PriorityShedder()
        self._waiting: dict[str, WaitingRequests[CapacityWaiter]] = {}
        self._waits: dict[CapacityWaiter, tuple[Contender, float, float]] = {}
        self._budget_empty_at_s: dict[str, float] = {}
        self._next_recheck: asyncio.TimerHandle | None = None
        self._contended: tuple[int, Set[str]] = (-1, frozenset())

    def register(self, routed: RoutedRequest) -> Contender | None:
        """Register a new request; return ``None`` if no other requests compete."""
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
        shedding_decision = self._shedder.arrived(key, tokens, demand, now_s)
        return Contender(
            key,
            tokens,
            shedding_decision,
            now_s,
            routed.deadline_s,
            routed.route.objective_s,
        )

    def is_shed(self, contender: Contender) -> bool:
        """Return whether to refuse a new request in favour of more urgent ones.

        The result is random.
        """
        return self._router.rng.random() < contender.shedding_decision.shed_probability

    def must_wait(self, contender: Contender) -> bool:
        """Return whether waiting requests go before a new one."""
        waiting = self._waiting.get(contender.key.service)
        return (
            waiting is not None
            and waiting.count_ahead(contender.shedding_decision.level) > 0
        )

    def enqueue(
        self, waiter: CapacityWaiter, contender: Contender, *, answer_started: bool
    ) -> bool:
        """Queue a request; return whether it is likely to find capacity in time.

        :param answer_started: whether the client has received a part of the answer.
        """
        service = contender.key.service
        waiting = self._waiting.setdefault(service, WaitingRequests())
        now_s = self._loop.time()
        limit_s = capacity_wait_limit_s(
            contender.objective_s, answer_started=answer_started
        )
        limit_s = min(limit_s, contender.deadline_s - now_s)
        shedding_decision = (
            SheddingDecision(_STARTED_ANSWER_LEVEL)
            if answer_started
            else contender.shedding_decision
        )
        contender.predicted_wait_s = waiting.predicted_wait_s(shedding_decision.level)
        if contender.waited_since_dispatch_s + contender.predicted_wait_s > limit_s:
            return False
        if not waiting.add(
            waiter, shedding_decision, contender.key.workspace, contender.tokens
        ):
            return False
        until_s = now_s + limit_s - contender.waited_since_dispatch_s
        self._waits[waiter] = (contender, now_s, until_s)
        self._router.metrics.count("admission.waiting")
        self._schedule_recheck()
        return True

    def cancel(self, waiter: CapacityWaiter) -> None:
        """Remove a request that no longer waits."""
        contender = self._end_wait(waiter)
        if contender is not None:
            self._waiting[contender.key.service].remove(waiter)

    def capacity_found(self, waiter: CapacityWaiter) -> None:
        """Remove a waiting request that found capacity."""
        contender = self._end_wait(waiter)
        if contender is not None:
            self._waiting[contender.key.service].served(waiter, self._loop.time())

    def _end_wait(self, waiter: CapacityWaiter) -> Contender | None:
        wait = self._waits.pop(waiter, None)
        if wait is None:
            return None
        contender, since_s, _ = wait
        waited_s = self._loop.time() - since_s
        contender.waited_since_dispatch_s += waited_s
        contender.total_waited_s += waited_s
        return contender

    def dispatched(self, contender: Contender) -> None:
        """Record that a request was sent to a server."""
        now_s = self._loop.time()
        self._shedder.dispatched(contender.key, contender.tokens, now_s)
        if contender.waited_since_dispatch_s:
            self._router.metrics.timing(
                "admission.wait", contender.waited_since_dispatch_s
            )
            contender.waited_since_dispatch_s = 0.0

    def retry_budget_empty(self, service: str) -> None:
        """Record that the retry budget of a service was empty."""
        self._budget_empty_at_s[service] = self._loop.time()

    def yields_retry(self, contender: Contender) -> bool:
        """Return whether a request must leave scarce retries to more urgent ones."""
        empty_at_s = self._budget_empty_at_s.get(contender.key.service, float("-inf"))
        scarce = self._loop.time() - empty_at_s < _RETRIES_SCARCE_S
        return scarce and contender.shedding_decision.preceding_unserved

    def rejected(self, contender: Contender) -> None:
        """Record that an engine rejected a request that was sent to it."""
        self._shedder.rejected(contender.key, contender.tokens, self._loop.time())

    def refusal(self, contender: Contender, error: RoomShortError) -> RoomShortError:
        """Return the error for a request without capacity.

        It includes the share of similar requests that are served and the time left,
        from which the delay for the client's retry is computed.
        """
        now_s = self._loop.time()
        key = contender.key
        served = self._shedder.served.share(key.service, now_s, key.priority)
        return RoomShortError(
            error.what,
            why=error.why,
            hint=error.hint,
            served_share=served,
            left_s=max(0.0, contender.deadline_s - now_s),
        )

    def forget(self) -> None:
        """Forget workspaces and ranks without recent requests."""
        self._shedder.forget(self._loop.time())

    def _schedule_recheck(self) -> None:
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
            self._schedule_recheck()

    def _end_overdue_waits(self) -> None:
        now_s = self._loop.time()
        overdue = [w for w, (_, _, until_s) in self._waits.items() if now_s >= until_s]
        for waiter in overdue:
            self.cancel(waiter)
            waiter.wait_failed()

    def _serve(self, waiting: WaitingRequests[CapacityWaiter]) -> None:
        """Search for capacity for requests in order, until several find none."""
        without_capacity: set[CapacityWaiter] = set()
        while len(without_capacity) < _MAX_MISSES:
            next_waiters = waiting.next_items(_MAX_MISSES)
            unchecked = [
                waiter for waiter in next_waiters if waiter not in without_capacity
            ]
            if not unchecked:
                return
            if not unchecked[0].find_capacity():
                without_capacity.add(unchecked[0])


def _contended_services(table: RoutingTable) -> frozenset[str]:
    """Return the model services whose capacity several ranks or workspaces share."""
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
