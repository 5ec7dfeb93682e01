"""Admission control for requests at this entry, per pipeline or service."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from railfold._internal.decisions.admission import (
    AdmissionLimits,
    AdmissionQueue,
    Admitted,
    Queued,
    Refused,
    Ticket,
    entry_share,
    pipeline_capacity,
)
from railfold._internal.decisions.configuration import Pipeline, Service, Workspace
from railfold._internal.decisions.membership import MembershipView
from railfold._internal.decisions.planner import Replica
from railfold._internal.decisions.retry_budget import jittered_retry_after_s
from railfold._internal.errors import (
    AdmissionRefusedError,
    DeadlineExpiredError,
    RequestError,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["Admission", "Target"]

Target = Pipeline | Service


@dataclass(slots=True)
class _TargetQueue:
    target: Target
    queue: AdmissionQueue


class Admission:
    """Admits requests within live capacity; queues or refuses others.

    :param rng: spreads the Retry-After values of refused requests.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        view: MembershipView,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._view = view
        self._metrics = metrics
        self._rng = rng
        self._target_queues: dict[tuple[str, str], _TargetQueue] = {}
        self._waiters: dict[Ticket, asyncio.Future[None]] = {}

    @asynccontextmanager
    async def admitted(
        self,
        target: Target,
        workspace: Workspace,
        *,
        priority: int,
        cost: float,
        deadline_s: float,
        entry_count: int,
    ) -> AsyncIterator[None]:
        """Reserve capacity for a request while the context is open.

        The request waits in the queue first if there is no free capacity.

        :param cost: expected work; tokens for a pipeline, 1 for a service call.
        :param deadline_s: loop time at which the request expires.
        :param entry_count: number of entries that share the capacity.
        :raises AdmissionRefusedError: immediately if there is no live capacity, the
            queue is full, or the request can't finish before its deadline; later if
            its deadline passes in the queue or it is shed because capacity was lost.
        """
        ticket = Ticket(
            workspace.name,
            workspace.weight,
            entry_share(workspace.max_in_flight, entry_count),
            priority,
            cost,
            deadline_s,
        )
        target_queue = self._target_queue(target, entry_count)
        loop = asyncio.get_running_loop()
        match target_queue.queue.offer(ticket, loop.time()):
            case Refused(error=error, load=load):
                raise self._refusal(error, load)
            case Queued():
                await self._wait(target_queue, ticket)
            case Admitted():
                pass
        started_s = loop.time()
        try:
            yield
        finally:
            service_s = loop.time() - started_s
            self._notify_admitted(
                target_queue.queue.finished(ticket, service_s, loop.time())
            )

    async def _wait(self, target_queue: _TargetQueue, ticket: Ticket) -> None:
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._waiters[ticket] = future
        started_s = loop.time()
        try:
            await asyncio.wait_for(future, max(0.0, ticket.deadline_s - started_s))
        except TimeoutError as error:
            expired = DeadlineExpiredError("the request's deadline passed in the queue")
            raise self._refusal(expired, target_queue.queue.load) from error
        finally:
            self._waiters.pop(ticket, None)
            if not target_queue.queue.withdraw(ticket) and not _succeeded(future):
                # The queue admitted the request just as its wait ended with a
                # time-out, an error or a cancellation: return its capacity.
                self._notify_admitted(
                    target_queue.queue.withdrawn_early(ticket, loop.time())
                )
            self._metrics.timing("admission.wait", loop.time() - started_s)

    def refresh_capacity(self, entry_count: int) -> None:
        """Apply the live capacity of each target and shed excess waiting requests.

        Waiting requests that can't meet their deadline with the new capacity are
        refused.
        """
        now_s = asyncio.get_running_loop().time()
        for target_queue in self._target_queues.values():
            capacity = self._capacity(target_queue.target, entry_count)
            self._notify_admitted(target_queue.queue.set_capacity(capacity, now_s))
            load = target_queue.queue.load
            awaited = self._capacity(target_queue.target, entry_count, awaited=True)
            for ticket in target_queue.queue.shed(now_s, awaited_capacity=awaited):
                self._metrics.count("admission.shed")
                error = DeadlineExpiredError(
                    "the request was shed: live capacity fell while it waited",
                    hint="retry after the delay in Retry-After",
                )
                future = self._waiters.get(ticket)
                if future is not None and not future.done():
                    future.set_exception(self._refusal(error, load))

    def refuse_waiting(self, error: RequestError, retry_after_s: float) -> None:
        """Refuse all waiting requests."""
        for future in self._waiters.values():
            if not future.done():
                self._metrics.count(f"admission.refused.{error.code}")
                future.set_exception(AdmissionRefusedError(error, retry_after_s))

    def queues(self) -> Iterator[tuple[str, AdmissionQueue]]:
        """Yield ``<kind>/<name>`` and the queue of each target."""
        for (kind, name), target_queue in self._target_queues.items():
            yield f"{kind}/{name}", target_queue.queue

    def _target_queue(self, target: Target, entry_count: int) -> _TargetQueue:
        key = (type(target).__name__.lower(), target.name)
        target_queue = self._target_queues.get(key)
        if target_queue is None or target_queue.target is not target:
            queue = target_queue.queue if target_queue else AdmissionQueue(self._limits)
            target_queue = self._target_queues[key] = _TargetQueue(target, queue)
            now_s = asyncio.get_running_loop().time()
            capacity = self._capacity(target, entry_count)
            self._notify_admitted(queue.set_capacity(capacity, now_s))
        return target_queue

    def _capacity(
        self, target: Target, entry_count: int, *, awaited: bool = False
    ) -> int:
        match target:
            case Pipeline():
                replicas = self._view.stages(
                    target.model, target.version, target.placements, awaited=awaited
                )
                capacity = pipeline_capacity(replicas, target.layer_count)
            case Service():
                replicas = self._view.service_replicas(
                    target.name, target.hosts, awaited=awaited
                )
                capacity = _total_capacity(replicas)
        return entry_share(capacity, entry_count)

    def _notify_admitted(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            future = self._waiters.get(ticket)
            if future is not None and not future.done():
                future.set_result(None)

    def _refusal(self, error: RequestError, load: float) -> AdmissionRefusedError:
        self._metrics.count(f"admission.refused.{error.code}")
        return AdmissionRefusedError(
            error, jittered_retry_after_s(load, self._rng.random())
        )


def _total_capacity(replicas: list[Replica]) -> int:
    return sum(replica.capacity for replica in replicas)


def _succeeded(future: asyncio.Future[None]) -> bool:
    return future.done() and not future.cancelled() and future.exception() is None
