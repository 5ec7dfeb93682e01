"""Admission of requests to one pipeline or service at one entry.

A request starts at once while there is live capacity; otherwise it waits in a fair
queue. It is refused at once if the queue is full or if its predicted end is past its
deadline.

The number of running requests is limited by the live capacity, which falls when backend
servers are lost. Waiting requests that can no longer meet their deadline are then shed,
at the latest when their turn comes: running them would take capacity from requests that
can still be served in time.

A small part of the capacity is reserved: a workspace that uses all the rest can't take
it. So a workspace with few requests doesn't wait behind one that sends very many.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from railfold._internal.decisions.fair_queue import FairQueue
from railfold._internal.decisions.planner import Replica
from railfold._internal.errors import (
    DeadlineExpiredError,
    NoCapacityError,
    OverloadedError,
    QueueFullError,
    RequestError,
)

__all__ = [
    "AdmissionLimits",
    "AdmissionQueue",
    "Admitted",
    "Queued",
    "Refused",
    "Ticket",
    "entry_share",
    "pipeline_capacity",
]


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of one admission queue.

    :param reserved_share: part of the capacity, from 0 to 1, that a workspace which
        uses all the rest can't take.
    """

    max_waiting: int = 2000
    max_waiting_per_workspace: int = 500
    reserved_share: float = 0.05


@dataclass(frozen=True, slots=True, eq=False)
class Ticket:
    """A request that asks for admission; compared by identity.

    :param cost: expected work; tokens for a pipeline, 1 for a service call.
    """

    workspace: str
    weight: float
    max_in_flight: int
    priority: int
    cost: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may start now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in the queue."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused; ``load`` is demand divided by capacity."""

    error: RequestError
    load: float


class AdmissionQueue:
    """Admission control for one pipeline or service."""

    def __init__(self, limits: AdmissionLimits) -> None:
        self._queue: FairQueue[Ticket] = FairQueue(
            limits.max_waiting_per_workspace, limits.max_waiting
        )
        self._reserved_share = limits.reserved_share
        self._running: set[Ticket] = set()
        self._running_by_workspace: Counter[str] = Counter()
        self._in_flight_by_workspace: Counter[str] = Counter()
        self._waiting: dict[Ticket, None] = {}
        self._expired: list[Ticket] = []
        self._mean_service_s = 0.0
        self._service_s_per_cost = 0.0
        self._capacity = 0

    @property
    def running(self) -> int:
        """Number of admitted requests that haven't finished."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def load(self) -> float:
        """Running and waiting requests divided by the capacity."""
        return (self.running + self.waiting) / max(1, self._capacity)

    def offer(self, ticket: Ticket, now_s: float) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a new request."""
        refusal = self._refusal(ticket, now_s)
        if refusal is not None:
            return Refused(refusal, self.load)
        if self.running < self._capacity and self._may_start(ticket.workspace):
            self._mark_running(ticket)
            return Admitted()
        try:
            self._queue.push(
                ticket.workspace, ticket.weight, ticket.priority, ticket.cost, ticket
            )
        except QueueFullError as exc:
            error = OverloadedError(
                exc.what,
                why=f"{self.waiting} requests wait",
                hint="retry after the delay in Retry-After",
            )
            return Refused(error, self.load)
        self._waiting[ticket] = None
        self._in_flight_by_workspace[ticket.workspace] += 1
        return Queued()

    def _refusal(self, ticket: Ticket, now_s: float) -> RequestError | None:
        if self._capacity == 0:
            return NoCapacityError(
                "no live backend servers cover this pipeline or service",
                hint="retry after the delay in Retry-After; "
                "operators: see 'railfold status'",
            )
        if self._in_flight_by_workspace[ticket.workspace] >= ticket.max_in_flight:
            return OverloadedError(
                f"workspace {ticket.workspace} has too many requests in flight",
                why=f"its limit at this entry is {ticket.max_in_flight}",
                hint="retry after the delay in Retry-After, or ask for a higher limit",
            )
        start_s = now_s + self.predicted_wait_s(ticket.workspace)
        if self._misses_deadline(ticket, start_s):
            return DeadlineExpiredError(
                "the request is predicted to end after its deadline",
                why=f"{self.waiting} requests wait for {self._capacity} slots",
                hint="retry after the delay in Retry-After, or allow a longer deadline",
            )
        return None

    def predicted_wait_s(self, workspace: str) -> float:
        """Return the expected wait, in seconds, of a new request of ``workspace``.

        Fair queueing serves the waiting workspaces in turn. While the requests of this
        workspace up to the new one are started, each other waiting workspace starts
        about as many; all of these need a free slot first.
        """
        if self.running < self._capacity and self._may_start(workspace):
            return 0.0
        active_workspaces = len(
            {ticket.workspace for ticket in self._waiting} | {workspace}
        )
        own_position = self._queue.waiting(workspace) + 1
        slots_needed = min(self.waiting + 1, own_position * active_workspaces)
        return slots_needed * self._mean_service_s / max(1, self._capacity)

    def finished(self, ticket: Ticket, service_s: float, now_s: float) -> list[Ticket]:
        """Record that a request ended; return the requests that may start now."""
        if self._release(ticket):
            self._mean_service_s = _update_mean(self._mean_service_s, service_s)
            self._service_s_per_cost = _update_mean(
                self._service_s_per_cost, service_s / ticket.cost
            )
        return self._admit_waiting(now_s)

    def withdrawn_early(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Release the capacity of an admitted request that never ran.

        :return: the requests that may start now.
        """
        self._release(ticket)
        return self._admit_waiting(now_s)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting request; return whether it was in the queue."""
        if ticket not in self._waiting:
            return False
        self._queue.remove(ticket.workspace, ticket)
        del self._waiting[ticket]
        self._decrement_in_flight(ticket)
        return True

    def set_capacity(self, capacity: int, now_s: float) -> list[Ticket]:
        """Set the live capacity; return the requests that may start now."""
        self._capacity = capacity
        return self._admit_waiting(now_s)

    def shed(self, now_s: float, *, awaited_capacity: int = 0) -> list[Ticket]:
        """Remove and return the waiting requests that can't meet their deadline.

        :param awaited_capacity: the capacity with that of silent servers, which may go
            on before the deadlines of the requests.
        """
        if self._capacity == 0:
            late = [] if awaited_capacity else list(self._waiting)
        else:
            earliest_start_s = now_s + self._mean_service_s / self._capacity
            late = [
                t for t in self._waiting if self._misses_deadline(t, earliest_start_s)
            ]
        for ticket in late:
            self.withdraw(ticket)
        late += self._expired
        self._expired = []
        return late

    def _misses_deadline(self, ticket: Ticket, start_s: float) -> bool:
        return start_s + self._service_s_per_cost * ticket.cost > ticket.deadline_s

    def _may_start(self, workspace: str) -> bool:
        reserved = round(self._reserved_share * self._capacity)
        return self._running_by_workspace[workspace] < self._capacity - reserved

    def _admit_waiting(self, now_s: float) -> list[Ticket]:
        admitted: list[Ticket] = []
        while self.running < self._capacity:
            ticket = self._queue.pop(self._may_start)
            if ticket is None:
                break
            del self._waiting[ticket]
            self._decrement_in_flight(ticket)
            if self._misses_deadline(ticket, now_s):
                self._expired.append(ticket)
                continue
            self._mark_running(ticket)
            admitted.append(ticket)
        return admitted

    def _mark_running(self, ticket: Ticket) -> None:
        self._running.add(ticket)
        self._running_by_workspace[ticket.workspace] += 1
        self._in_flight_by_workspace[ticket.workspace] += 1

    def _release(self, ticket: Ticket) -> bool:
        """Release a running request's capacity; return whether it was running."""
        if ticket not in self._running:
            return False
        self._running.discard(ticket)
        self._running_by_workspace[ticket.workspace] -= 1
        self._decrement_in_flight(ticket)
        return True

    def _decrement_in_flight(self, ticket: Ticket) -> None:
        self._in_flight_by_workspace[ticket.workspace] -= 1
        if self._in_flight_by_workspace[ticket.workspace] <= 0:
            del self._in_flight_by_workspace[ticket.workspace]


def _update_mean(mean: float, value: float) -> float:
    return value if mean == 0.0 else 0.9 * mean + 0.1 * value


def pipeline_capacity(replicas: Iterable[Replica], layer_count: int) -> int:
    """Return how many sequences the live replicas can run at once.

    This is the smallest capacity of any layer, since a sequence needs all layers.
    """
    # Changes of the capacity from one layer to the next; their running sum is the
    # capacity per layer, in time linear in replicas plus layers.
    capacity_changes = [0] * (layer_count + 1)
    for replica in replicas:
        layers = replica.stage.layers
        capacity_changes[layers.first] += replica.capacity
        capacity_changes[layers.last + 1] -= replica.capacity
    min_capacity, layer_capacity = None, 0
    for change in capacity_changes[:layer_count]:
        layer_capacity += change
        min_capacity = (
            layer_capacity
            if min_capacity is None
            else min(min_capacity, layer_capacity)
        )
    return max(0, min_capacity or 0)


def entry_share(limit: int, entries: int) -> int:
    """Return one entry's equal share of a limit that applies to all entries together.

    Shares are rounded up, so that their sum exceeds the limit by less than one per
    entry.
    """
    return -(-limit // max(1, entries))
