"""Run one call of a plain service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from railfold._internal.core import Outcome, ServiceRequest, Stage
from railfold._internal.decisions.calls import (
    CallAction,
    CallAnswered,
    CallDeadlinePassed,
    CallEvent,
    CallGivenUp,
    CallHostChosen,
    CallHostLost,
    CallHostRefused,
    CallLifecycle,
    CallLimits,
    ChooseHost,
    FinishCall,
    NoHost,
    SendCall,
)
from railfold._internal.decisions.client_retry_after import (
    NoCapacity,
    client_retry_after_s,
)
from railfold._internal.decisions.configuration import Service
from railfold._internal.decisions.planner import choose_host
from railfold._internal.entry.agents import RequestMessage
from railfold._internal.entry.generate import RoutingContext
from railfold._internal.errors import (
    NoCapacityError,
    OverloadedError,
    RailfoldError,
)
from railfold._internal.links.messages import CallRefused, CallResult, CallService

__all__ = ["CallDriver", "CallReply"]


@dataclass(frozen=True, slots=True)
class CallReply:
    """The outcome of a call, and the service's answer if there is one.

    :param host: the host that the call was last sent to; empty if there was none.
    """

    outcome: Outcome
    answer: CallResult | None
    host: str


class CallDriver:
    """Passes events to one call's lifecycle and performs the resulting actions."""

    def __init__(
        self, request: ServiceRequest, service: Service, context: RoutingContext
    ) -> None:
        self._request = request
        self._service = service
        self._context = context
        self._lifecycle = CallLifecycle(
            repeatable=request.repeatable, limits=CallLimits()
        )
        self._loop = asyncio.get_running_loop()
        self._outcome: asyncio.Future[Outcome] = self._loop.create_future()
        self._stage: Stage | None = None
        self._answer: CallResult | None = None

    async def run(self) -> CallReply:
        """Run the call; return its final outcome and the answer."""
        request_id = self._request.request_id
        self._context.agents.register(request_id, self)
        self._context.budget.earn(self._loop.time())
        deadline_timer = self._loop.call_at(
            self._request.deadline_s, self._feed, CallDeadlinePassed()
        )
        try:
            self._perform(self._lifecycle.start())
            outcome = await self._outcome
            return CallReply(outcome, self._answer, self._lifecycle.host)
        finally:
            deadline_timer.cancel()
            self._context.agents.unregister(request_id)
            self._count_own(-1)

    def give_up(self, error: RailfoldError, retry_after_s: float) -> None:
        """End the call with its final outcome now."""
        self._feed(CallGivenUp(error, retry_after_s))

    def hosts_lost(self, hosts: frozenset[str]) -> None:
        """Process the loss of all work in flight on these hosts."""
        if self._lifecycle.host in hosts:
            self._feed(CallHostLost(self._lifecycle.host))

    def message_received(self, host: str, message: RequestMessage) -> None:
        """Process a message from ``host`` about this call."""
        match message:
            case CallResult():
                if host == self._lifecycle.host and not self._lifecycle.done:
                    self._answer = message
                self._feed(CallAnswered(host))
            case CallRefused(started=started, reason=reason):
                self._feed(CallHostRefused(host, started, reason))
            case _:
                pass

    def _feed(self, event: CallEvent) -> None:
        self._perform(self._lifecycle.apply(event))

    def _perform(self, actions: list[CallAction]) -> None:
        for action in actions:
            match action:
                case ChooseHost():
                    self._choose_host(action)
                case SendCall():
                    self._send()
                case FinishCall(outcome=outcome):
                    if not self._outcome.done():
                        self._outcome.set_result(outcome)

    def _choose_host(self, action: ChooseHost) -> None:
        context = self._context
        retry_after_s = client_retry_after_s(NoCapacity(), context.rng.random())
        if action.is_retry:
            context.metrics.count("calls.retries")
            self._count_own(-1)
        if action.is_retry and not context.budget.spend(self._loop.time()):
            error = OverloadedError(
                "no retry is allowed now", why="the retry budget is spent"
            )
            self._feed(NoHost(error, retry_after_s))
            return
        replicas = context.agents.view.service_replicas(
            self._service.name, self._service.hosts
        )
        try:
            replica = choose_host(
                replicas,
                exclude=action.exclude,
                weights=context.weights,
                rng=context.rng,
            )
        except NoCapacityError as error:
            self._feed(NoHost(error, retry_after_s))
            return
        self._stage = replica.stage
        self._feed(CallHostChosen(replica.stage.host))

    def _send(self) -> None:
        stage = self._stage
        assert stage is not None
        self._count_own(1)
        request = self._request
        message = CallService(
            request_id=request.request_id,
            service=request.service,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            timeout_s=max(0.001, request.deadline_s - self._loop.time()),
        )
        if not self._context.agents.send(stage, message):
            # Nothing was sent, so the call counts as refused before it started.
            self._feed(CallHostRefused(stage.host, False, "not linked"))

    def _count_own(self, change: int) -> None:
        if self._stage is not None:
            self._context.agents.view.count_own((self._stage,), change)
