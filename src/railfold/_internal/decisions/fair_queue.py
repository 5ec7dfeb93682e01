"""Weighted fair queueing of requests between workspaces.

Uses start-time fair queueing: the requests of each workspace get start tags that
advance by cost divided by weight, and the request with the lowest tag is served first.
A workspace that sends very many requests only delays its own. A request of higher
priority goes before others of the same workspace, never before another workspace's fair
share.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from railfold._internal.errors import QueueFullError

__all__ = ["FairQueue"]

T = TypeVar("T")


@dataclass(slots=True)
class _Flow(Generic[T]):
    weight: float
    next_start_tag: float = 0.0
    in_ready_heap: bool = False
    waiting: list[tuple[int, int, float, T]] = field(default_factory=list)


class FairQueue(Generic[T]):
    """Requests that wait for capacity, ordered by weighted fair queueing.

    Adding and taking a request cost the logarithm of the number of workspaces.

    :param max_per_flow: maximum number of waiting requests per workspace.
    :param max_total: maximum number of waiting requests.
    """

    def __init__(self, max_per_flow: int, max_total: int) -> None:
        self._max_per_flow = max_per_flow
        self._max_total = max_total
        self._flows: dict[str, _Flow[T]] = {}
        # Heaps of flows by start tag: those that may have waiting requests, and those
        # that are idle.
        self._ready: list[tuple[float, int, str]] = []
        self._idle: list[tuple[float, int, str]] = []
        self._virtual_time = 0.0
        self._sequence_numbers = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self, workspace: str) -> int:
        """Return how many requests of ``workspace`` wait."""
        flow = self._flows.get(workspace)
        return len(flow.waiting) if flow else 0

    def push(
        self, workspace: str, weight: float, priority: int, cost: float, item: T
    ) -> None:
        """Add a request.

        :param cost: its expected work, in any unit common to all requests.
        :raises QueueFullError: a limit on waiting requests is reached.
        """
        if self._length >= self._max_total:
            raise QueueFullError("the queue of waiting requests is full")
        flow = self._flows.setdefault(workspace, _Flow(weight))
        if len(flow.waiting) >= self._max_per_flow:
            raise QueueFullError(f"workspace {workspace} has too many waiting requests")
        flow.weight = weight
        if not flow.waiting:
            flow.next_start_tag = max(flow.next_start_tag, self._virtual_time)
        heapq.heappush(
            flow.waiting, (-priority, next(self._sequence_numbers), cost, item)
        )
        self._length += 1
        self._schedule(workspace, flow)

    def pop(self, eligible: Callable[[str], bool] | None = None) -> T | None:
        """Take the request to serve next; ``None`` if there is none.

        :param eligible: returns whether requests of a workspace may be served now.
        """
        skipped: list[tuple[float, int, str]] = []
        try:
            return self._pop(eligible, skipped)
        finally:
            for entry in skipped:
                heapq.heappush(self._ready, entry)

    def _pop(
        self,
        eligible: Callable[[str], bool] | None,
        skipped: list[tuple[float, int, str]],
    ) -> T | None:
        while self._ready:
            entry = heapq.heappop(self._ready)
            workspace = entry[2]
            flow = self._flows[workspace]
            if flow.waiting and eligible is not None and not eligible(workspace):
                skipped.append(entry)
                continue
            flow.in_ready_heap = False
            if not flow.waiting:
                self._add_idle(workspace, flow)  # All its requests were removed.
                continue
            _, _, cost, item = heapq.heappop(flow.waiting)
            self._virtual_time = max(self._virtual_time, flow.next_start_tag)
            flow.next_start_tag += cost / flow.weight
            self._length -= 1
            self._schedule(workspace, flow)
            self._remove_idle_flows()
            return item
        return None

    def heads(self) -> list[T]:
        """Return the next request of each workspace, in the order of service."""
        ready = (self._flows[workspace] for _, _, workspace in sorted(self._ready))
        return [flow.waiting[0][3] for flow in ready if flow.waiting]

    def served(self, workspace: str, item: T) -> bool:
        """Remove a request that was served in its turn, and charge its workspace.

        Returns whether the request was in the queue.
        """
        flow = self._flows.get(workspace)
        if flow is None:
            return False
        costs = [cost for _, _, cost, waiting in flow.waiting if waiting is item]
        if not self.remove(workspace, item):
            return False
        self._virtual_time = max(self._virtual_time, flow.next_start_tag)
        flow.next_start_tag += costs[0] / flow.weight
        # The workspace's entry in the heap has an outdated start tag.
        self._ready = [entry for entry in self._ready if entry[2] != workspace]
        heapq.heapify(self._ready)
        flow.in_ready_heap = False
        self._schedule(workspace, flow)
        return True

    def remove(self, workspace: str, item: T) -> bool:
        """Remove a request without charging its workspace.

        :return: whether it was queued.
        """
        flow = self._flows.get(workspace)
        if flow is None:
            return False
        remaining = [entry for entry in flow.waiting if entry[3] is not item]
        if len(remaining) == len(flow.waiting):
            return False
        heapq.heapify(remaining)
        flow.waiting = remaining
        self._length -= 1
        return True

    def _schedule(self, workspace: str, flow: _Flow[T]) -> None:
        if flow.in_ready_heap:
            return
        if not flow.waiting:
            self._add_idle(workspace, flow)
            return
        flow.in_ready_heap = True
        entry = (flow.next_start_tag, next(self._sequence_numbers), workspace)
        heapq.heappush(self._ready, entry)

    def _add_idle(self, workspace: str, flow: _Flow[T]) -> None:
        entry = (flow.next_start_tag, next(self._sequence_numbers), workspace)
        heapq.heappush(self._idle, entry)

    def _remove_idle_flows(self) -> None:
        # A flow that was idle until virtual time passed its tag starts like a new one.
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, _, workspace = heapq.heappop(self._idle)
            flow = self._flows.get(workspace)
            if (
                flow
                and not flow.in_ready_heap
                and flow.next_start_tag <= self._virtual_time
            ):
                del self._flows[workspace]
