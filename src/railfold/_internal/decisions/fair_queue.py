"""Weighted fair queueing of requests between workspaces.

Start-time fair queueing: each workspace's requests get start tags that advance
by cost over weight, and the lowest tag goes first. A workspace that floods
only pushes back its own tags. A higher priority goes before a lower one within
a workspace, never before another workspace's fair share.
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
    """Requests that wait for capacity.

    Taking and adding cost the logarithm of the number of workspaces.

    :param max_per_flow: most requests one workspace may have waiting.
    :param max_total: most requests that may wait in all.
    """

    def __init__(self, max_per_flow: int, max_total: int) -> None:
        self._max_per_flow = max_per_flow
        self._max_total = max_total
        self._flows: dict[str, _Flow[T]] = {}
        # Flows by tag: those that may have requests, and those that are idle.
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
        :raises QueueFullError: a bound is reached.
        """
        if self._length >= self._max_total:
            raise QueueFullError("the queue of waiting requests is full")
        flow = self._flows.setdefault(workspace, _Flow(weight))
        if len(flow.waiting) >= self._max_per_flow:
            raise QueueFullError(f"workspace {workspace} has its most requests waiting")
        flow.weight = weight
        if not flow.waiting:
            flow.next_start_tag = max(flow.next_start_tag, self._virtual_time)
        heapq.heappush(
            flow.waiting, (-priority, next(self._sequence_numbers), cost, item)
        )
        self._length += 1
        self._schedule(workspace, flow)

    def pop(self, eligible: Callable[[str], bool] | None = None) -> T | None:
        """Take the request whose turn it is.

        :param eligible: tells of a workspace whether its turn may come now.
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
                self._add_idle(workspace, flow)  # Its requests were withdrawn.
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
        """Return the next request of each workspace, in the order of their turns."""
        ready = (self._flows[workspace] for _, _, workspace in sorted(self._ready))
        return [flow.waiting[0][3] for flow in ready if flow.waiting]

    def served(self, workspace: str, item: T) -> bool:
        """Take out a request that was served in its turn, and charge its workspace."""
        flow = self._flows.get(workspace)
        if flow is None:
            return False
        costs = [cost for _, _, cost, waiting in flow.waiting if waiting is item]
        if not self.remove(workspace, item):
            return False
        self._virtual_time = max(self._virtual_time, flow.next_start_tag)
        flow.next_start_tag += costs[0] / flow.weight
        # Its place by the tag before doesn't hold any more.
        self._ready = [entry for entry in self._ready if entry[2] != workspace]
        heapq.heapify(self._ready)
        flow.in_ready_heap = False
        self._schedule(workspace, flow)
        return True

    def remove(self, workspace: str, item: T) -> bool:
        """Take out a request that no longer wants to wait."""
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
        # An idle flow whose tag has been passed carries no information.
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, _, workspace = heapq.heappop(self._idle)
            flow = self._flows.get(workspace)
            if (
                flow
                and not flow.in_ready_heap
                and flow.next_start_tag <= self._virtual_time
            ):
                del self._flows[workspace]
