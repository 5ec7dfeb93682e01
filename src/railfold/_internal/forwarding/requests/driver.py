"""Driving one client's request through its attempts to its final answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from railfold._internal.core import Chain, NotRun, Outcome
from railfold._internal.decisions.calls import (
    CallAction,
    CallAnswered,
    CallCallerDisconnected,
    CallDeadlinePassed,
    CallEvent,
    CallHostChosen,
    CallHostLost,
    CallHostRefused,
    CallLifecycle,
    CallLimits,
    CallNotSent,
    ChooseHost,
    FinishCall,
    NoHost,
    SendCall,
)
from railfold._internal.decisions.event_cursor import EventCursor
from railfold._internal.decisions.fleet_load import EntryLoad
from railfold._internal.decisions.routing_table import RouteKind
from railfold._internal.errors import (
    DeadlineExpiredError,
    RailfoldError,
    RequestError,
    ServerNotEligibleError,
)
from railfold._internal.forwarding.dialect import (
    AnswerKind,
    NotExecuted,
    SendPlan,
    ServedAnswer,
    ServerFailure,
    UnusableAnswer,
)
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.quarantine.crash_watch import (
    CLEARED_AFTER_S,
    RunFigures,
)
from railfold._internal.forwarding.quarantine.request_quarantine import (
    RequestQuarantine,
)
from railfold._internal.forwarding.requests.capacity_queue import CapacityQueue
from railfold._internal.forwarding.requests.client_answer import (
    ClientAnswer,
    GatheredAnswer,
)
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.requests.destination_search import (
    DestinationSearch,
)
from railfold._internal.forwarding.requests.destinations import DestinationChooser
from railfold._internal.forwarding.requests.exchange import EngineExchange
from railfold._internal.forwarding.requests.front import ClientExchange
from railfold._internal.forwarding.requests.prediction import predict
from railfold._internal.forwarding.requests.relocation import Relocation
from railfold._internal.forwarding.requests.request_log import RequestLog
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.requests.stream_watch import Silence, StreamWatch
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.probes import ChainProber

__all__ = ["RequestDriver"]

# How often a request is sent at most; refused sends cost little, and each goes
# to another backend server.
_MAX_TRIES = 4

# A stream whose backend servers all answer, and which yet is silent for this
# long, is taken elsewhere: clients leave after 2 s or more.
_ABANDON_SILENT_S = 1.3

# Answers of plain calls are gathered up to this size, so that one that breaks
# off can be repeated; a larger one is passed on as it comes.
_GATHER_BYTES = 256 * 1024


class RequestDriver:
    """Feeds one request's lifecycle and performs its actions."""

    def __init__(
        self,
        routed: RoutedRequest,
        client: ClientExchange,
        router: Router,
        destinations: DestinationChooser,
        prober: ChainProber,
        quarantine: RequestQuarantine,
        room: CapacityQueue,
    ) -> None:
        self._routed = routed
        self._request = routed.request
        self._route = routed.route
        self._owner = routed.owner
        self._answer = ClientAnswer(client)
        self._router = router
        self._destinations = destinations
        self._prober = prober
        self._quarantine = quarantine
        self._log = RequestLog(routed, router)
        self._loop = asyncio.get_running_loop()
        self._lifecycle = CallLifecycle(
            repeatable=routed.route.repeatable,
            limits=CallLimits(_MAX_TRIES, max(1, routed.route.max_attempts)),
        )
        self._exchange: EngineExchange | None = None
        self._destination: Destination | None = None
        self._attempts = 0
        self._sent_s = 0.0
        self._resumed_after = 0
        # Whether the attempt before broke off, which may be a server's end.
        self._broke_off = False
        # Whether the attempt under way was told of as one that runs well.
        self._runs_well = False
        # Whether its answer asks for a backoff.
        self._backed_off = False
        # What the attempt under way adds to its servers' load.
        self._part = EntryLoad(1, 1)
        self._kind: AnswerKind | None = None
        self._gathered: GatheredAnswer | None = None
        self._cursor = EventCursor(routed.request.last_event_id)
        self._streaming = False
        # Whether its answer isn't read on until its client has read more of it.
        self._paused = False
        self._watch = StreamWatch(router.activity, self._silent)
        self._cause = ""
        self._relocation = Relocation(self)
        self._search = DestinationSearch(
            routed, router, destinations, quarantine, room, self
        )
        self._deadline = self._loop.call_at(
            routed.deadline_s, self._feed, CallDeadlinePassed()
        )

    def start(self) -> None:
        """Begin."""
        self._router.active.add(self)
        self._perform(self._lifecycle.start())

    def client_gone(self) -> None:
        """The client closed its connection."""
        self._cause = "the client went away"
        self._feed(CallCallerDisconnected())

    def servers_lost(self, server_ids: frozenset[str]) -> None:
        """These backend servers don't answer."""
        destination = self._destination
        if destination is None or self._exchange is None:
            return
        lost = server_ids.intersection(destination.server_ids)
        if not lost:
            return
        self._note_broken_off()
        first = destination.server.host
        if first not in lost and destination.chain is not None and self._started:
            self._loop.create_task(self._reroute(destination.chain, lost))
            return
        self._relocation.move_from_lost("lost " + ", ".join(sorted(lost)))

    def servers_ended(self, server_ids: frozenset[str]) -> None:
        """These incarnations surely ended, and all that ran there with them.

        A client whose request may not run again needn't wait for its deadline to be
        told: no answer can come any more, unless it has begun to.
        """
        destination = self._destination
        if destination is None or self._exchange is None:
            return
        on_its_own = not self._route.repeatable and not self._started
        if on_its_own and destination.server.host in server_ids:
            self._note_broken_off()
            self.end_attempt("its backend server has started again")
            return
        self.servers_lost(server_ids)

    def chain_stalled(self, chain: Chain) -> None:
        """All streams over this chain stand still: go on elsewhere."""
        destination = self._destination
        if destination is None or destination.chain != chain:
            return
        if self._watch.flowing and not self._paused:
            self._relocation.move("its chain stands still")

    @property
    def _started(self) -> bool:
        return self._kind is not None

    # The lifecycle's actions

    def _feed(self, event: CallEvent) -> None:
        self._perform(self._lifecycle.apply(event))

    def _perform(self, actions: list[CallAction]) -> None:
        for action in actions:
            match action:
                case ChooseHost(exclude=exclude, is_retry=is_retry):
                    self._search.search(
                        exclude,
                        is_retry=is_retry,
                        was_interrupted=self._broke_off,
                        begun=self._answer.begun,
                    )
                case SendCall():
                    self._send()
                case FinishCall(outcome=outcome):
                    self._finish(outcome)

    def destination_found(self, destination: Destination) -> None:
        """The next attempt may be sent there now."""
        self._destination = destination
        self._feed(CallHostChosen(destination.server.host))

    def destination_refused(self, error: RailfoldError) -> None:
        """There is no place for a next attempt."""
        self._cause = str(error)
        self._feed(NoHost(error, self._router.retry_after_s(error)))

    def _send(self) -> None:
        destination = self._destination
        assert destination is not None
        router = self._router
        now_s = self._loop.time()
        self._attempts += 1
        self._sent_s = now_s
        self._broke_off = self._runs_well = self._backed_off = self._paused = False
        resume_after = self._cursor.last_id
        self._resumed_after = resume_after or 0
        if self._attempts > 1:
            self._cursor.resume()
        plan = SendPlan(
            server_id=destination.server.host,
            registered_id=router.registered_id(destination.server.host),
            address=destination.server.address,
            chain=destination.chain,
            deadline_s=self._routed.deadline_s,
            workspace=self._owner.workspace if self._owner else None,
            resume_after=resume_after,
            priority=self._routed.priority,
            urgent=self._answer.begun,
        )
        self._kind = None
        self._gathered = None
        # A call to a plain service is one, whatever its headers say of tokens.
        is_model = destination.chain is not None
        size = self._request.size
        self._part = EntryLoad(1, 1)
        if is_model:
            self._part = EntryLoad(
                self._held_tokens(destination), 1, size.prompt_tokens
            )
        prediction = None
        if destination.chain is not None:
            prediction = predict(router, destination.chain, size)
        router.add_load(destination, self._part)
        self._exchange = EngineExchange(
            self._request,
            plan,
            router.dialect,
            router.pool,
            self,
            self._check,
            repeatable=self._route.repeatable,
        )
        self._log.attempt_started(
            self._attempts, plan, destination, resume_after, prediction
        )
        self._exchange.start()
        self._watch_chain(destination)

    def _held_tokens(self, destination: Destination) -> int:
        """Return what the request holds of its engines' memory."""
        size = self._request.size
        model = self._router.model_of_service(destination.service)
        if model is None:
            return max(1, size.total)
        return max(1, model.mean_state_tokens(size.prompt_tokens, size.answer_tokens))

    def _check(self) -> None:
        """Look once more at what may have changed while the request waited.

        A stream in the middle of its answer was allowed when it was sent, and may
        go on although the store is away.
        """
        request = self._request
        if self._loop.time() >= self._routed.deadline_s:
            raise DeadlineExpiredError("its client doesn't wait any more")
        if not self._answer.begun:
            self._router.require_fresh_credentials(self._route)
        self._router.check_permission(self._route, request.path, request.credential)
        self._quarantine.check(request, self._owner, on_trial=self._routed.on_trial)
        assert self._destination is not None
        server_id = self._destination.server.host
        router = self._router
        bar = router.eligibility.reason_against_send(server_id, self._loop.time())
        if bar is not None:
            router.metrics.count("attempts.not_eligible")
            raise ServerNotEligibleError(
                f"server {server_id} takes no request now", why=type(bar).__name__
            )
        router.backoffs.record_send(server_id, request.request_id)

    # What comes of an attempt

    def attempt_unsent(self, reason: str, error: RequestError | None) -> None:
        """Nothing was sent."""
        destination = self._release()
        if destination is None:
            return
        server_id = destination.server.host
        self._log_attempt(server_id, reason)
        if error is None:
            self._prober.unreachable(server_id)
        elif isinstance(error, ServerNotEligibleError):
            self._feed(CallNotSent(server_id, reason))
            return
        else:
            # Refused for a reason that holds at every backend server.
            self.destination_refused(error)
            return
        self._feed(CallHostRefused(server_id, started=False, reason=reason))

    def attempt_lost(self, reason: str) -> None:
        """No whole answer comes of the attempt."""
        if self._destination is not None:
            self._note_broken_off()
            self._prober.doubt(self._destination.server.host)
        self.end_attempt(reason)

    def _note_broken_off(self) -> None:
        """Keep what may have ended the attempt's backend servers."""
        destination = self._destination
        assert destination is not None
        self._broke_off = True
        figures = RunFigures(
            destination.service,
            destination.server_ids,
            self._sent_s,
            self._watch.moved_s,
            self._resumed_after,
            streams=self._route.kind is RouteKind.STREAM,
        )
        self._quarantine.run_ended(self._request, self._route, self._owner, figures)

    def answer_head(self, kind: AnswerKind, head: ResponseHead) -> None:
        """The head of an answer came."""
        self._kind = kind
        destination = self._destination
        if destination is not None:
            self._backed_off = self._router.statements.record_answer(
                destination.server.host,
                kind,
                head,
                self._request.request_id,
                self._sent_s,
            )
        is_stream = self._route.kind is RouteKind.STREAM and _holds_events(head)
        if isinstance(kind, ServedAnswer) and is_stream:
            self._streaming = True
            self._answer.begin(head, with_length=False)
            return
        self._gathered = GatheredAnswer(head)

    def _count_as_read(self) -> None:
        """The prompt of the attempt under way was read."""
        unread = EntryLoad(pending_prompt_tokens=self._part.pending_prompt_tokens)
        if self._destination is not None and unread.pending_prompt_tokens:
            self._router.subtract_load(self._destination, unread)
            self._part = replace(self._part, pending_prompt_tokens=0)

    def answer_body(self, data: bytes) -> None:
        """Bytes of a body came."""
        if self._gathered is None:
            self._pass_events(data)
            return
        gathered = self._gathered
        has_room = self._answer.gather(len(data))
        gathered.add(data)
        is_large = gathered.size > _GATHER_BYTES or not has_room
        if is_large and isinstance(self._kind, ServedAnswer):
            self._pass_on_from_now(gathered)

    def answer_ended(self) -> None:
        """An answer is whole."""
        kind, gathered = self._kind, self._gathered
        destination = self._destination
        if destination is None:
            return
        server_id = destination.server.host
        match kind:
            case ServedAnswer():
                self._answered(server_id, gathered)
            case NotExecuted(reason=reason) as refusal:
                self._release()
                self._search.rejected()
                self._log_attempt(server_id, reason)
                self._prober.not_executed(
                    server_id, refusal, self._part.tokens, backed_off=self._backed_off
                )
                self._feed(CallHostRefused(server_id, started=False, reason=reason))
            case ServerFailure():
                self._answer.keep_failure(gathered)
                self._prober.failed(server_id)
                status = gathered.head.status if gathered else 0
                self.end_attempt(f"it answered {status}")
            case UnusableAnswer(reason=reason):
                self._prober.failed(server_id)
                self.end_attempt(reason)
            case _:
                self.end_attempt("its answer has no head")

    def _answered(self, server_id: str, gathered: GatheredAnswer | None) -> None:
        if self._streaming and gathered is None and self._cursor.partial:
            self.end_attempt("it ended within an event")
            return
        self._prober.served(server_id)
        self._quarantine.record_success(self._request, self._owner)
        if gathered is not None:
            self._answer.deliver(gathered)
        else:
            self._answer.end()
        self._feed(CallAnswered(server_id))

    def _pass_events(self, data: bytes) -> None:
        since_s = self._watch.progressed()
        self._relocation.progressed()
        whole = self._cursor.feed(data) if self._streaming else data
        if whole:
            self._count_as_read()
            if not self._watch.flowing:
                self._record_first_event()
            self._watch.event(since_s)
            self._go_on(whole)
            self._tell_if_well()

    def _record_first_event(self) -> None:
        """The attempt under way brought its first event."""
        destination = self._destination
        if destination is not None:
            seen_s = self._loop.time() - self._sent_s
            self._router.record_first_event(
                destination, seen_s, self._route.objective_s
            )

    def _go_on(self, data: bytes) -> None:
        """Send a part of the body, and wait for a client that doesn't read."""
        self._answer.go_on(data)
        exchange = self._exchange
        if exchange is None or self._paused or not self._answer.congested:
            return
        self._paused = True
        exchange.pause()
        self._router.metrics.count("answers.paused")

        def resume() -> None:
            self._paused = False
            self._watch.progressed()
            exchange.resume()

        self._answer.call_when_read(resume)

    def _tell_if_well(self) -> None:
        """Tell once that the stream moves for longer than a crash takes."""
        if self._runs_well or self._watch.moved_s < CLEARED_AFTER_S:
            return
        self._runs_well = True
        last_event = self._cursor.last_id or 0
        self._quarantine.record_success(self._request, self._owner, last_event)

    def _pass_on_from_now(self, gathered: GatheredAnswer) -> None:
        """Stop gathering: the answer is large and goes on as it comes."""
        self._gathered = None
        self._answer.begin(gathered.head, with_length=True)
        self._answer.let_go(gathered)
        self._go_on(gathered.body)

    # MovableAttempt

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again."""
        return self._route.repeatable

    @property
    def begun(self) -> bool:
        """Whether the client has a part of the answer."""
        return self._answer.begun

    def reserve_place(self) -> bool:
        """Reserve another place for the stream; return whether there is one."""
        if not self._streaming:
            return False
        exclude = self._lifecycle.excluded_after_loss()
        return exclude is not None and self._search.reserve(exclude)

    def end_attempt(self, reason: str) -> None:
        """End the attempt under way, if there is one; the lifecycle goes on."""
        destination = self._release()
        if destination is None:
            return
        server_id = destination.server.host
        self._log_attempt(server_id, reason)
        self._cause = reason
        if self._answer.begun and not self._streaming:
            # Part of a large plain answer is out: nothing can continue it.
            self._feed(CallCallerDisconnected())
            return
        self._feed(CallHostLost(server_id))

    def attempt_kept(self, reason: str) -> None:
        """Count and log an attempt that goes on although it was to be ended."""
        destination = self._destination
        assert destination is not None
        self._router.metrics.count("attempts.kept")
        self._log.attempt_kept(
            self._attempts,
            destination.server.host,
            reason,
            self._cursor.events,
            self._watch.silent_s,
        )

    def _release(self) -> Destination | None:
        """Let go of the attempt under way, if there is one."""
        self._search.cancel()
        self._relocation.clear()
        exchange, self._exchange = self._exchange, None
        destination, self._destination = self._destination, None
        if exchange is not None:
            exchange.cancel()
        if destination is not None:
            ran = isinstance(self._kind, ServedAnswer)
            self._router.subtract_load(destination, self._part, ran=ran)
            self._router.backoffs.attempt_ended(
                destination.server.host, self._request.request_id
            )
        self._watch.closed()
        return destination

    def _log_attempt(self, server_id: str, cause: str) -> None:
        self._log.attempt_ended(
            self._attempts, server_id, cause, self._cursor.events, self._watch.silent_s
        )

    # Silence

    def _watch_chain(self, destination: Destination) -> None:
        chain = destination.chain
        if chain is None:
            self._watch.opened(None, 0.0)
            return
        expected_s = self._router.expected_pause_s(chain)
        self._watch.opened(chain.hosts, expected_s)

    def _silent(self, silence: Silence) -> None:
        """The stream is silent: find out whom it waits for."""
        destination = self._destination
        if destination is None or destination.chain is None or self._paused:
            return
        chain = destination.chain
        request_id = self._request.request_id
        self._router.metrics.count("streams.overdue")
        if silence.silent_s > _ABANDON_SILENT_S:
            self._relocation.move("silent although all answer")
        elif silence.suspects:
            self._prober.probe_suspects(chain, silence, request_id)
        else:
            self._prober.ask_first(chain, request_id, silence.silent_s)

    async def _reroute(self, chain: Chain, lost: frozenset[str]) -> None:
        """Let the first backend server go on over another chain."""
        exchange = self._exchange
        ordered_s = self._loop.time()
        other = self._destinations.reroute(chain, lost, self._route, self._request.size)
        outcome = "there is no other chain"
        if other is not None:
            outcome = await self._prober.calls.reroute(self._request.request_id, other)
        if self._exchange is not exchange or self._destination is None:
            return  # The attempt ended meanwhile.
        self._log.rerouted(other, outcome)
        if other is None or outcome:
            if self._watch.progress_s < ordered_s:  # Else it moves, by itself or late.
                self._relocation.move_from_lost(f"not rerouted: {outcome}")
            return
        self._router.metrics.count("streams.rerouted")
        self._router.subtract_load(self._destination, self._part)
        self._destination = Destination(
            self._destination.service, other.stages[0], other
        )
        self._router.add_load(self._destination, self._part)
        self._watch_chain(self._destination)

    # The end

    def _finish(self, outcome: Outcome) -> None:
        self._deadline.cancel()
        self._release()
        self._router.active.discard(self)
        if self._routed.on_trial and isinstance(outcome, NotRun):
            self._quarantine.trial_not_run(self._request, self._owner)
        status = self._answer.conclude(outcome)
        self._log.request_ended(
            outcome,
            status,
            self._cause,
            self._attempts,
            self._cursor.events,
            self._watch,
            self._search.contender,
        )


def _holds_events(head: ResponseHead) -> bool:
    return head.get("Content-Type").startswith("text/event-stream")
