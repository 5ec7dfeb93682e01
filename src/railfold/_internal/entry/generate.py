"""Run one generate request."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from railfold._internal.core import Chain, GenerateRequest, Outcome, Token
from railfold._internal.decisions.client_retry_after import (
    NoCapacity,
    client_retry_after_s,
)
from railfold._internal.decisions.configuration import Pipeline
from railfold._internal.decisions.heartbeats import OverdueTimer
from railfold._internal.decisions.lifecycle import (
    LifecycleLimits,
    RequestLifecycle,
)
from railfold._internal.decisions.lifecycle_events import (
    CallerDisconnected,
    CancelAttempt,
    ChainPlanned,
    DeadlinePassed,
    EmitToken,
    Finish,
    GivenUp,
    HostsLost,
    HostsSuspected,
    LifecycleAction,
    LifecycleEvent,
    OpenAttempt,
    PlanChain,
    PlanRefused,
    ProbeStages,
    StageFailed,
    StageRefused,
    TokenArrived,
    TokenOverdue,
    TombstoneReplied,
)
from railfold._internal.decisions.planner import LinkCosts, PlannerWeights, plan_chain
from railfold._internal.decisions.retry_budget import RetryBudget, RetryPurpose
from railfold._internal.entry.agents import AgentPool, RequestMessage
from railfold._internal.errors import (
    NoCapacityError,
    OverloadedError,
    RailfoldError,
)
from railfold._internal.links.messages import (
    CancelSequence,
    EmittedToken,
    OpenSequence,
    SequenceFailed,
    SequenceRefused,
    TombstoneReply,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["GenerateDriver", "RoutingContext"]


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """Dependencies and settings that all drivers of an entry share.

    :param budget: limits the retries of all requests together.
    :param overdue_floor_s: lower bound of the limit for the next token.
    :param overdue_factor: that limit as a multiple of the mean recent gap.
    :param first_token_overdue_s: limit for the first token of an attempt.
    """

    agents: AgentPool
    metrics: Metrics
    budget: RetryBudget
    costs: LinkCosts
    weights: PlannerWeights
    lifecycle_limits: LifecycleLimits
    overdue_floor_s: float
    overdue_factor: float
    first_token_overdue_s: float
    rng: random.Random


class GenerateDriver:
    """Passes events to one request's lifecycle and performs the resulting actions.

    :param pipeline: the pipeline as it was when the request was admitted.
    :param on_token: called with each token, in order.
    """

    def __init__(
        self,
        request: GenerateRequest,
        pipeline: Pipeline,
        context: RoutingContext,
        on_token: Callable[[Token], None],
    ) -> None:
        self._request = request
        self._pipeline = pipeline
        self._context = context
        self._on_token = on_token
        self._lifecycle = RequestLifecycle(
            request, pipeline.layer_count, context.lifecycle_limits
        )
        self._overdue_timer = OverdueTimer(
            factor=context.overdue_factor,
            floor_s=context.overdue_floor_s,
            first_token_s=context.first_token_overdue_s,
        )
        self._loop = asyncio.get_running_loop()
        self._outcome: asyncio.Future[Outcome] = self._loop.create_future()
        self._overdue_check: asyncio.TimerHandle | None = None
        self._probe_task: asyncio.Task[None] | None = None
        self._open_chains: dict[int, Chain] = {}

    @property
    def chain(self) -> Chain:
        """The chain of the latest attempt."""
        return self._lifecycle.chain

    @property
    def attempts(self) -> int:
        """Number of attempts so far."""
        return self._lifecycle.attempt

    async def run(self) -> Outcome:
        """Run the request and return its final outcome."""
        request_id = self._request.request_id
        self._context.agents.register(request_id, self, self.hosts_suspected)
        self._context.budget.earn(self._loop.time())
        deadline_timer = self._loop.call_at(
            self._request.deadline_s, self._feed, DeadlinePassed()
        )
        try:
            self._perform(self._lifecycle.start())
            return await self._outcome
        finally:
            deadline_timer.cancel()
            if self._overdue_check is not None:
                self._overdue_check.cancel()
            self._context.agents.unregister(request_id)
            self._count_open_attempts(-1)

    def caller_disconnected(self) -> None:
        """Process the caller's disconnection."""
        self._feed(CallerDisconnected())

    def give_up(self, error: RailfoldError, retry_after_s: float) -> None:
        """End the request with its final outcome now."""
        self._feed(GivenUp(error, retry_after_s))

    def hosts_lost(self, hosts: frozenset[str]) -> None:
        """Process the loss of all work in flight on these hosts."""
        self._feed(HostsLost(hosts))

    def hosts_suspected(self, hosts: frozenset[str]) -> None:
        """Process the silence of these hosts, which may go on later."""
        self._feed(HostsSuspected(hosts))

    def message_received(self, host: str, message: RequestMessage) -> None:
        """Process a message from ``host`` about this request."""
        match message:
            case EmittedToken(attempt=attempt, token=token, lineage=lineage):
                is_open = self._lifecycle.is_open(attempt)
                if is_open and self._overdue_timer.token(self._loop.time()):
                    self._schedule_overdue_check()
                self._feed(TokenArrived(attempt, token, lineage))
            case SequenceRefused(attempt=attempt, reason=reason):
                self._feed(StageRefused(attempt, host, reason))
            case SequenceFailed(attempt=attempt, host=failed_host, reason=reason):
                self._feed(StageFailed(attempt, failed_host, reason))
            case TombstoneReply(attempt=attempt, started=started):
                self._feed(TombstoneReplied(attempt, host, started))
            case _:
                pass

    def _feed(self, event: LifecycleEvent) -> None:
        self._perform(self._lifecycle.apply(event))

    def _perform(self, actions: list[LifecycleAction]) -> None:
        for action in actions:
            match action:
                case PlanChain():
                    self._plan_chain(action)
                case OpenAttempt():
                    self._open_attempt(action)
                case CancelAttempt():
                    self._cancel_attempt(action)
                case ProbeStages(chain=chain):
                    self._probe_task = asyncio.create_task(self._probe_stages(chain))
                case EmitToken(token=token):
                    self._on_token(token)
                case Finish(outcome=outcome):
                    if not self._outcome.done():
                        self._outcome.set_result(outcome)

    def _plan_chain(self, action: PlanChain) -> None:
        context = self._context
        try:
            chain = self._find_chain(action)
            if action.is_retry:
                self._spend_retry()
        except (NoCapacityError, OverloadedError) as error:
            retry_after_s = client_retry_after_s(NoCapacity(), context.rng.random())
            self._feed(PlanRefused(error, retry_after_s))
            return
        self._feed(ChainPlanned(chain))

    def _find_chain(self, action: PlanChain) -> Chain:
        """Return a chain for a new attempt, which may take the place of the open one.

        :raises NoCapacityError: no chain with room covers all layers.
        """
        context, pipeline = self._context, self._pipeline
        self._count_open_attempts(-1)
        try:
            return plan_chain(
                context.agents.view.stages(
                    pipeline.model, pipeline.version, pipeline.placements
                ),
                pipeline.layer_count,
                exclude=action.exclude,
                prefer=action.prefer,
                costs=context.costs,
                weights=context.weights,
                rng=context.rng,
            )
        finally:
            self._count_open_attempts(1)

    def _spend_retry(self) -> None:
        """Take one retry from the budget.

        :raises OverloadedError: the budget is spent.
        """
        context = self._context
        purpose = RetryPurpose.CONTINUE_ANSWER
        if self._open_chains:
            purpose = RetryPurpose.LEAVE_SUSPECT
        if not context.budget.spend(self._loop.time(), purpose):
            context.metrics.count("generate.retry_budget_empty")
            raise OverloadedError(
                "no retry is allowed now",
                why="the retry budget is spent",
                hint="retry after the delay in Retry-After",
            )
        context.metrics.count("generate.retries")

    def _open_attempt(self, action: OpenAttempt) -> None:
        agents = self._context.agents
        now_s = self._loop.time()
        kept_attempt = min(self._open_chains, default=0)
        self._open_chains[action.attempt] = action.chain
        agents.view.count_own(action.chain.stages, 1)
        unreachable = set()
        for index, stage in enumerate(action.chain.stages):
            message = OpenSequence(
                request_id=self._request.request_id,
                attempt=action.attempt,
                workspace=self._request.workspace,
                priority=self._request.priority,
                index=index,
                chain=action.chain,
                model=self._pipeline.model,
                base_step=len(action.emitted),
                max_tokens=self._request.max_tokens,
                prompt=self._request.prompt if index == 0 else "",
                emitted=action.emitted if index == 0 else (),
                timeout_s=max(0.0, self._request.deadline_s - now_s),
                kept_attempt=kept_attempt,
            )
            if not agents.send(stage, message):
                unreachable.add(stage.host)
        self._overdue_timer.opened(now_s)
        self._schedule_overdue_check()
        if unreachable:
            self._feed(HostsLost(frozenset(unreachable)))

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        agents = self._context.agents
        if self._open_chains.pop(action.attempt, None) is not None:
            agents.view.count_own(action.chain.stages, -1)
        cancel = CancelSequence(self._request.request_id, action.attempt)
        for stage in action.chain.stages:
            agents.send(stage, cancel)

    def _count_open_attempts(self, change: int) -> None:
        for chain in self._open_chains.values():
            self._context.agents.view.count_own(chain.stages, change)

    def _schedule_overdue_check(self) -> None:
        if self._overdue_check is not None:
            self._overdue_check.cancel()
        self._overdue_check = self._loop.call_at(
            self._overdue_timer.due_s(), self._check_overdue
        )

    def _check_overdue(self) -> None:
        if self._lifecycle.done:
            return
        if self._loop.time() >= self._overdue_timer.due_s():
            self._context.metrics.count("generate.tokens_overdue")
            self._overdue_timer.probed(self._loop.time())
            self._feed(TokenOverdue())
        self._schedule_overdue_check()

    async def _probe_stages(self, chain: Chain) -> None:
        # The agent pool reports silent hosts to all drivers, including this one.
        await self._context.agents.probe(chain.stages)
