"""Finds a destination for the next attempt of a request, and permission to send it.

A request may be sent if its content isn't held back, if engines have capacity besides
that for more urgent requests, if the destination's rate limit has a permit, and, for a
retry, if the retry budget allows it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from railfold._internal.decisions.rate_limits import (
    PermitDenied,
    PermitGranted,
    permit_wait_limit_s,
)
from railfold._internal.errors import (
    EntryStoppingError,
    NoCapacityError,
    OverloadedError,
    RailfoldError,
    RequestError,
    RoomShortError,
)
from railfold._internal.forwarding.quarantine.request_quarantine import (
    RequestQuarantine,
)
from railfold._internal.forwarding.requests.capacity_queue import (
    CapacityQueue,
    Contender,
)
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.requests.destinations import DestinationChooser
from railfold._internal.forwarding.requests.prediction import expected_answer_s
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.router import Router

__all__ = ["RESERVATION_INTERVAL_S", "DestinationSearch", "SearchListener"]

# Shortest time between two attempts to reserve a destination at which a stream can
# continue. Each attempt plans chains in all failure domains.
RESERVATION_INTERVAL_S = 0.1

# Number of denied permits after which the next denial refuses the request. Each denial
# excludes one server, and all of them together take some milliseconds.
_MAX_DENIALS = 4


class SearchListener(Protocol):
    """Receives the result of each search."""

    def destination_found(self, destination: Destination) -> None:
        """Called when the request may be sent to the destination."""

    def destination_refused(self, error: RailfoldError) -> None:
        """Called when there is no destination, with the reason."""


class DestinationSearch:
    """Finds the destinations of one request's attempts, one after the other."""

    def __init__(
        self,
        routed: RoutedRequest,
        router: Router,
        destinations: DestinationChooser,
        quarantine: RequestQuarantine,
        capacity_queue: CapacityQueue,
        listener: SearchListener,
    ) -> None:
        self._routed = routed
        self._router = router
        self._destinations = destinations
        self._quarantine = quarantine
        self._capacity_queue = capacity_queue
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._reserved: Destination | None = None
        self._next_reservation_s = 0.0
        self._permit_task: asyncio.Task[None] | None = None
        self._denial_count = 0
        self._is_first_search = True
        # The request as a contender for capacity; None before the first search, or if
        # no other requests compete.
        self.contender: Contender | None = None
        # Arguments of the search that waits for capacity: exclude, is_retry,
        # answer_started.
        self._pending_search: tuple[frozenset[str], bool, bool] | None = None
        self._shortage = RoomShortError("no backend server has room")
        # Whether the request was added to the retry budget as a first attempt. It
        # counts only once, however often a destination is found for it.
        self._has_earned_retry = False

    def search(
        self,
        exclude: frozenset[str],
        *,
        is_retry: bool,
        was_interrupted: bool,
        answer_started: bool,
    ) -> None:
        """Search for a destination; the listener is called now or later.

        :param exclude: backend servers that the request must not be sent to.
        :param is_retry: whether the request was sent before.
        :param was_interrupted: whether the previous attempt was interrupted.
        :param answer_started: whether the client has received a part of the answer.
        """
        routed, router = self._routed, self._router
        reserved, self._reserved = self._reserved, None
        is_first_search, self._is_first_search = self._is_first_search, False
        if is_first_search:
            tokens = routed.request.size.total
            router.record_arrival(
                routed.route, routed.admission_rank, routed.workspace, tokens
            )
            self.contender = self._capacity_queue.register(routed)
        try:
            if was_interrupted:
                self._quarantine.check_retry(
                    routed.request, routed.owner, on_trial=routed.on_trial
                )
        except RequestError as refusal:
            self._listener.destination_refused(refusal)
            return
        if reserved is not None:
            self._use_destination(
                reserved, exclude, is_retry=is_retry, answer_started=answer_started
            )
            return
        contender = self.contender
        # A request that resumes a stream continues an answer, too.
        answer_started = answer_started or routed.request.last_event_id is not None
        if (
            contender is not None
            and is_first_search
            and not answer_started
            and self._capacity_queue.is_shed(contender)
        ):
            error = RoomShortError(
                "requests that go before need the room at backend servers",
                hint="retry after the delay in Retry-After",
            )
            self._refuse(contender, error)
            return
        if (
            contender is not None
            and not answer_started
            and self._capacity_queue.must_wait(contender)
        ):
            error = RoomShortError("other requests wait for room at backend servers")
            self._wait_for_capacity(
                error, exclude, is_retry=is_retry, answer_started=answer_started
            )
            return
        try:
            destination = self._choose(
                exclude, is_first_search=is_first_search, answer_started=answer_started
            )
        except RoomShortError as refusal:
            self._wait_for_capacity(
                refusal, exclude, is_retry=is_retry, answer_started=answer_started
            )
        except RequestError as refusal:
            self._listener.destination_refused(refusal)
        else:
            self._use_destination(
                destination, exclude, is_retry=is_retry, answer_started=answer_started
            )

    def _choose(
        self, exclude: frozenset[str], *, is_first_search: bool, answer_started: bool
    ) -> Destination:
        routed = self._routed
        return self._destinations.choose(
            routed.route,
            exclude,
            routed.request.size,
            is_first_search=is_first_search,
            is_risky=self._quarantine.may_crash_servers(routed.request, routed.owner),
            max_wait_s=self._max_wait_s(answer_started=answer_started),
            may_wait_for_capacity=self.contender is not None and not answer_started,
        )

    def _use_destination(
        self,
        destination: Destination,
        exclude: frozenset[str],
        *,
        is_retry: bool,
        answer_started: bool,
    ) -> None:
        """Dispatch to a destination once its rate limited servers grant a permit."""
        try:
            if not answer_started:
                self.require_time_to_answer(destination)
        except EntryStoppingError as refusal:
            self._listener.destination_refused(refusal)
            return
        if not self._router.limits.limited_servers(destination.server_ids):
            self._dispatch_to(
                destination, is_retry=is_retry, answer_started=answer_started
            )
            return
        waiting = self._await_permit(
            destination, exclude, is_retry=is_retry, answer_started=answer_started
        )
        self._permit_task = self._loop.create_task(waiting)

    def require_time_to_answer(self, destination: Destination) -> None:
        """Check that the destination's answer can end before this entry exits.

        :raises EntryStoppingError: the entry is being stopped and exits before that.
        """
        router, routed = self._router, self._routed
        if router.drain is None:
            return
        router.require_time_to_answer(
            expected_answer_s(router, destination, routed.route, routed.request.size)
        )

    # Waiting for capacity

    def _wait_for_capacity(
        self,
        error: RoomShortError,
        exclude: frozenset[str],
        *,
        is_retry: bool,
        answer_started: bool,
    ) -> None:
        contender = self.contender
        if contender is None:
            # No other requests compete for the capacity.
            shortage = NoCapacityError(error.what, why=error.why, hint=error.hint)
            self._listener.destination_refused(shortage)
            return
        self._pending_search = (exclude, is_retry, answer_started)
        self._shortage = error
        if not self._capacity_queue.enqueue(
            self, contender, answer_started=answer_started
        ):
            self.wait_failed()

    def find_capacity(self) -> bool:
        """Search again; return whether the wait for capacity is over."""
        assert self._pending_search is not None
        exclude, is_retry, answer_started = self._pending_search
        try:
            destination = self._choose(
                exclude, is_first_search=False, answer_started=answer_started
            )
        except RoomShortError as refusal:
            self._shortage = refusal
            return False
        except RequestError as refusal:
            self._end_wait()
            self._listener.destination_refused(refusal)
            return True
        self._pending_search = None
        self._capacity_queue.capacity_found(self)
        self._use_destination(
            destination, exclude, is_retry=is_retry, answer_started=answer_started
        )
        return True

    def wait_failed(self) -> None:
        """Refuse the request because there was no capacity in time."""
        if self._pending_search is None:
            return
        assert self.contender is not None
        self._end_wait()
        self._refuse(self.contender, self._shortage)

    def _refuse(self, contender: Contender, error: RoomShortError) -> None:
        self._router.metrics.count(f"admission.refused.rank_{self._routed.priority}")
        self._listener.destination_refused(
            self._capacity_queue.refusal(contender, error)
        )

    def _end_wait(self) -> None:
        self._pending_search = None
        self._capacity_queue.cancel(self)

    def _max_wait_s(self, *, answer_started: bool) -> float:
        """Return how long the request may wait for a permit."""
        random_unit = self._router.rng.random()
        return permit_wait_limit_s(
            self._routed.route.objective_s,
            self._routed.priority,
            random_unit,
            answer_started=answer_started,
        )

    async def _await_permit(
        self,
        destination: Destination,
        exclude: frozenset[str],
        *,
        is_retry: bool,
        answer_started: bool,
    ) -> None:
        """Wait for a permit; if it is denied, search for another destination."""
        limits = self._router.limits
        outcome = await limits.acquire(destination.server_ids, destination.max_wait_s)
        self._permit_task = None
        match outcome:
            case PermitGranted():
                self._dispatch_to(
                    destination, is_retry=is_retry, answer_started=answer_started
                )
            case PermitDenied() if self._denial_count < _MAX_DENIALS:
                self._denial_count += 1
                self.search(
                    exclude,
                    is_retry=is_retry,
                    was_interrupted=False,
                    answer_started=answer_started,
                )
            case PermitDenied(wait_s=wait_s):
                error = limits.refusal_error(destination.server_ids, wait_s)
                self._listener.destination_refused(error)

    def _dispatch_to(
        self, destination: Destination, *, is_retry: bool, answer_started: bool
    ) -> None:
        """Report a destination if this is a first attempt or a retry is allowed."""
        router = self._router
        budget = router.budgets.for_service(destination.service)
        if not is_retry:
            if not self._has_earned_retry:
                budget.earn(self._loop.time())
            self._has_earned_retry = True
        elif self._yields_retry(answer_started=answer_started):
            self._listener.destination_refused(self._no_retry_error())
            return
        elif budget.spend(self._loop.time(), begun=answer_started):
            router.metrics.count("requests.retries")
        else:
            router.metrics.count("requests.retry_budget_empty")
            self._capacity_queue.retry_budget_empty(destination.service)
            self._listener.destination_refused(self._no_retry_error())
            return
        if self.contender is not None:
            self._capacity_queue.dispatched(self.contender)
        self._listener.destination_found(destination)

    def _yields_retry(self, *, answer_started: bool) -> bool:
        """Return whether the retry is left to more urgent requests, and count that."""
        contender = self.contender
        if (
            contender is None
            or answer_started
            or not self._capacity_queue.yields_retry(contender)
        ):
            return False
        self._router.metrics.count("admission.retries_left")
        return True

    def _no_retry_error(self) -> RequestError:
        """Return the error for a retry that the budget doesn't allow."""
        what, why = "no retry is allowed now", "the retry budget is spent"
        if self.contender is None:
            return OverloadedError(what, why=why)
        return self._capacity_queue.refusal(
            self.contender, RoomShortError(what, why=why)
        )

    def rejected(self) -> None:
        """Record that the server rejected the request without running it."""
        if self.contender is not None:
            self._capacity_queue.rejected(self.contender)

    def reserve(self, exclude: frozenset[str]) -> bool:
        """Reserve a destination for the next search; return whether there is one.

        :param exclude: backend servers that the request must not be sent to.
        """
        now_s = self._loop.time()
        if now_s < self._next_reservation_s:
            return False
        self._next_reservation_s = now_s + RESERVATION_INTERVAL_S
        routed = self._routed
        if not self._quarantine.allows_retry(
            routed.request, routed.owner, on_trial=routed.on_trial
        ):
            return False
        try:
            reserved = self._destinations.choose(
                routed.route, exclude, routed.request.size
            )
        except RequestError:
            return False
        if not self._router.budgets.for_service(reserved.service).allows(now_s):
            return False
        self._reserved = reserved
        return True

    def cancel(self) -> None:
        """Cancel a search that waits for a permit or for capacity."""
        if self._permit_task is not None:
            self._permit_task.cancel()
            self._permit_task = None
        if self._pending_search is not None:
            self._end_wait()
