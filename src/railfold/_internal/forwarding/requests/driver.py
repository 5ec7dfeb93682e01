"""Carries out one client's request, from its first attempt to its final answer."""

from __future__ import annotations

import asyncio

from railfold._internal.core import Chain, NotRun, Outcome
from railfold._internal.decisions.calls import (
    CallAction,
    CallAnswered,
    CallCallerDisconnected,
    CallDeadlinePassed,
    CallEvent,
    CallGivenUp,
    CallHostChosen,
    CallHostLost,
    CallHostRefused,
    CallHostResponded,
    CallHostSuspected,
    CallLifecycle,
    CallLimits,
    CallNotSent,
    CancelAttempt,
    ChooseHost,
    FinishCall,
    NoHost,
    SendCall,
)
from railfold._internal.decisions.event_cursor import EventCursor
from railfold._internal.errors import (
    DeadlineExpiredError,
    EntryStoppingError,
    RailfoldError,
    RequestError,
    ServerNotEligibleError,
)
from railfold._internal.forwarding.dialect import (
    NotExecuted,
    SendPlan,
    ServedAnswer,
    ServerFailure,
    UnusableAnswer,
)
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.quarantine.crash_watch import CLEARED_AFTER_S
from railfold._internal.forwarding.quarantine.request_quarantine import (
    RequestQuarantine,
)
from railfold._internal.forwarding.requests.attempt import Attempt, OtherAnswer
from railfold._internal.forwarding.requests.capacity_queue import CapacityQueue
from railfold._internal.forwarding.requests.client_answer import (
    BufferedAnswer,
    ClientAnswer,
)
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.requests.destination_search import (
    DestinationSearch,
    SearchTerms,
)
from railfold._internal.forwarding.requests.destinations import DestinationChooser
from railfold._internal.forwarding.requests.front import ClientExchange
from railfold._internal.forwarding.requests.prediction import predict
from railfold._internal.forwarding.requests.request_log import RequestLog
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.requests.stream_watch import AnswerTimes, Silence
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.probes import ServerProber

__all__ = ["RequestDriver"]

# How often a request is sent at most. A send that is refused costs little, and each
# send goes to another backend server.
_MAX_SENDS = 4

# Another destination is sought for a stream that is silent for longer than this, even
# if the servers that it runs on answer probes: clients disconnect after 2 s or more.
_MAX_SILENCE_S = 1.3

# Interval of the searches for another destination while the backend servers of an
# attempt are suspected. Each search plans chains in all failure domains.
_SEARCH_INTERVAL_S = 0.1


class RequestDriver:
    """Passes events to one request's lifecycle, and performs the resulting actions.

    An attempt whose backend servers are suspected stays in progress while another one
    is started. The first of them that responds continues the answer.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        client: ClientExchange,
        router: Router,
        destinations: DestinationChooser,
        prober: ServerProber,
        quarantine: RequestQuarantine,
        capacity_queue: CapacityQueue,
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
            limits=CallLimits(_MAX_SENDS, max(1, routed.route.max_attempts)),
        )
        # The attempts in progress by backend server, the latest one last.
        self._attempts: dict[str, Attempt] = {}
        self._attempt_count = 0
        # The destination that the next attempt is sent to.
        self._destination: Destination | None = None
        # Whether an attempt was interrupted since the latest one was sent, possibly by
        # a server crash.
        self._interrupted = False
        # Position of the client in a stream.
        self._cursor = EventCursor(routed.request.last_event_id)
        self._times = AnswerTimes()
        # Whether a stream was begun, as opposed to a plain answer.
        self._streaming = False
        self._failure_cause = ""
        self._search_timer: asyncio.TimerHandle | None = None
        self._search = DestinationSearch(
            routed, router, destinations, quarantine, capacity_queue, self
        )
        self._deadline_timer = self._loop.call_at(
            routed.deadline_s, self._feed, CallDeadlinePassed()
        )

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """The attempts in progress, the latest one last."""
        return tuple(self._attempts.values())

    def start(self) -> None:
        """Begin the first attempt."""
        self._router.active.add(self)
        self._perform(self._lifecycle.start())

    def client_disconnected(self) -> None:
        """Give the request up, since the client closed its connection."""
        self._failure_cause = "the client closed its connection"
        self._feed(CallCallerDisconnected())

    def process_exits(self) -> None:
        """End the request with its final answer, since this process exits.

        An answer that has started is aborted.
        """
        error = EntryStoppingError("the entry exits before the request has ended")
        self._failure_cause = str(error)
        self._feed(CallGivenUp(error, self._router.retry_after_s(error)))

    def servers_lost(self, server_ids: frozenset[str]) -> None:
        """Look for another destination if an attempt uses a lost backend server.

        :param server_ids: backend servers that don't answer.
        """
        for attempt in self.attempts:
            lost_ids = server_ids.intersection(attempt.destination.server_ids)
            if not lost_ids:
                continue
            self._record_interruption(attempt)
            chain = attempt.destination.chain
            can_reroute = attempt.has_head and attempt.server_id not in lost_ids
            if chain is not None and can_reroute:
                self._loop.create_task(self._reroute(attempt, chain, lost_ids))
                continue
            self._suspect(attempt, "lost " + ", ".join(sorted(lost_ids)))

    def servers_ended(self, server_ids: frozenset[str]) -> None:
        """Handle the certain end of incarnations, and of all requests that ran there.

        No answer can arrive any more from an incarnation that has sent none, so that
        its attempt fails at once, before the deadline.
        """
        for attempt in self.attempts:
            is_in_progress = self._attempts.get(attempt.server_id) is attempt
            if not is_in_progress or attempt.has_head:
                continue
            if attempt.server_id in server_ids:
                self._record_interruption(attempt)
                self._attempt_failed(attempt, "its backend server was restarted")
        self.servers_lost(server_ids)

    def chain_stalled(self, chain: Chain) -> None:
        """Look for another destination if the stream runs over this chain.

        :param chain: all streams over it have stalled.
        """
        for attempt in self.attempts:
            is_affected = attempt.destination.chain == chain
            if is_affected and attempt.watch.has_events and not attempt.paused:
                self._suspect(attempt, "its chain has stalled")

    # The lifecycle's actions

    def _feed(self, event: CallEvent) -> None:
        self._perform(self._lifecycle.apply(event))

    def _perform(self, actions: list[CallAction]) -> None:
        for action in actions:
            match action:
                case ChooseHost(
                    exclude=exclude, is_retry=is_retry, on_suspicion=on_suspicion
                ):
                    terms = SearchTerms(
                        exclude, is_retry, self._answer.head_sent, on_suspicion
                    )
                    self._search.search(terms, was_interrupted=self._interrupted)
                case SendCall():
                    self._send()
                case CancelAttempt(host=host):
                    self._cancel_attempt(self._attempts[host])
                case FinishCall(outcome=outcome):
                    self._finish(outcome)

    def destination_found(self, destination: Destination) -> None:
        """Send the next attempt to ``destination``."""
        self._destination = destination
        self._feed(CallHostChosen(destination.server.host))

    def destination_refused(self, error: RailfoldError) -> None:
        """End the request if no attempt is in progress: there is no destination."""
        self._failure_cause = str(error)
        self._feed(NoHost(error, self._router.retry_after_s(error)))

    def _send(self) -> None:
        destination = self._destination
        assert destination is not None
        router = self._router
        self._attempt_count += 1
        self._interrupted = False
        plan = SendPlan(
            server_id=destination.server.host,
            registered_id=router.registered_id(destination.server.host),
            address=destination.server.address,
            chain=destination.chain,
            deadline_s=self._routed.deadline_s,
            workspace=self._owner.workspace if self._owner else None,
            resume_after=self._cursor.last_id,
            priority=self._routed.priority,
            urgent=self._answer.head_sent,
        )
        cursor = self._cursor if self._attempt_count == 1 else self._cursor.resumed()
        attempt = Attempt(
            self._attempt_count,
            self._routed,
            destination,
            plan,
            cursor,
            self._times,
            self._answer,
            router,
            self,
        )
        self._attempts[attempt.server_id] = attempt
        prediction = None
        if destination.chain is not None:
            prediction = predict(router, destination.chain, self._request.size)
        self._log.attempt_started(
            attempt.number, plan, destination, plan.resume_after, prediction
        )
        attempt.start()

    def _release(self, attempt: Attempt) -> None:
        """Cancel an attempt and subtract its load."""
        del self._attempts[attempt.server_id]
        attempt.release()

    def _cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt, since another one continues the answer."""
        self._release(attempt)
        cause = "another attempt continues the answer"
        self._log_attempt(attempt, cause, suspected=bool(attempt.suspicion))

    # AttemptListener

    def check_sendable(self, attempt: Attempt) -> None:
        """Raise ``RequestError`` if the request must not be sent any more.

        The configuration, the quarantine or the server's state may have changed while
        the request waited for its connection. A stream whose answer has started was
        allowed when it was first sent, and may resume while the store is unavailable.
        """
        request = self._request
        if self._loop.time() >= self._routed.deadline_s:
            raise DeadlineExpiredError("the request's deadline has passed")
        if not self._answer.head_sent:
            self._router.require_fresh_credentials(self._route)
            self._search.require_time_to_answer(attempt.destination)
        self._router.check_permission(self._route, request.path, request.credential)
        self._quarantine.check(request, self._owner, on_trial=self._routed.on_trial)
        server_id = attempt.server_id
        router = self._router
        reason = router.eligibility.reason_against_send(server_id, self._loop.time())
        if reason is not None:
            router.metrics.count("attempts.not_eligible")
            raise ServerNotEligibleError(
                f"server {server_id} takes no request now", why=type(reason).__name__
            )
        router.backoffs.record_send(server_id, request.request_id)

    def attempt_not_sent(
        self, attempt: Attempt, reason: str, error: RequestError | None
    ) -> None:
        """Handle an attempt that ended before the request was sent."""
        self._release(attempt)
        self._log_attempt(attempt, reason)
        server_id = attempt.server_id
        match error:
            case None:
                self._prober.record_unreachable(server_id)
                refused = CallHostRefused(server_id, started=False, reason=reason)
                self._feed(refused)
            case ServerNotEligibleError():
                self._feed(CallNotSent(server_id, reason))
            case _:
                # The reason applies to every backend server.
                self._search.cancel()
                self._failure_cause = str(error)
                retry_after_s = self._router.retry_after_s(error)
                self._feed(NoHost(error, retry_after_s, server_id))

    def attempt_lost(self, attempt: Attempt, reason: str) -> None:
        """Handle the loss of an answer before its end; the request may have run."""
        self._record_interruption(attempt)
        self._prober.record_broken_answer(attempt.server_id)
        self._attempt_failed(attempt, reason)

    def _attempt_failed(self, attempt: Attempt, reason: str) -> None:
        """End an attempt that has certainly failed and may have run."""
        self._release(attempt)
        self._log_attempt(attempt, reason)
        self._failure_cause = reason
        if not self._may_continue:
            # Part of a large plain answer was sent, and no attempt can continue it.
            self._feed(CallCallerDisconnected())
            return
        self._feed(CallHostLost(attempt.server_id))

    def _record_interruption(self, attempt: Attempt) -> None:
        """Report the attempt to the quarantine as a possible cause of a crash."""
        self._interrupted = True
        self._quarantine.run_interrupted(
            self._request, self._route, self._owner, attempt.run_details
        )

    def stream_started(self, attempt: Attempt, head: ResponseHead) -> None:
        """Send the head of a stream, unless another attempt has sent one."""
        if not self._answer.head_sent:
            self._continue_with(attempt)
            self._streaming = True
            self._answer.send_head(head, with_length=False)

    def answer_continued(self, attempt: Attempt) -> None:
        """End the suspicion against an attempt whose answer continues."""
        if attempt.suspicion and attempt.is_stream:
            self._continue_with(attempt)
        attempt.suspicion = ""

    def events_received(self, attempt: Attempt, events: bytes) -> None:
        """Forward events, and cancel all other attempts."""
        self._continue_with(attempt)
        self._cursor = attempt.cursor
        self._send_to_client(attempt, events)
        self._record_success_if_stable(attempt)

    def large_answer_received(self, attempt: Attempt, buffered: BufferedAnswer) -> None:
        """Send what was buffered; the rest of a large answer is forwarded directly."""
        # No other attempt can continue it, also none that is sought already.
        self._cancel_search_timer()
        self._take_over(attempt)
        self._answer.send_head(buffered.head, with_length=True)
        self._answer.release_buffer(buffered)
        self._send_to_client(attempt, buffered.body)

    def data_received(self, attempt: Attempt, data: bytes) -> None:
        """Forward more of a large plain answer."""
        self._times.event_received(self._loop.time())
        self._send_to_client(attempt, data)

    def answer_ended(self, attempt: Attempt) -> None:
        """Handle the end of a complete answer."""
        server_id = attempt.server_id
        match attempt.answer_kind:
            case ServedAnswer():
                self._answered(attempt)
            case NotExecuted(reason=reason) as refusal:
                self._release(attempt)
                self._search.rejected()
                self._log_attempt(attempt, reason)
                self._prober.record_not_executed(
                    server_id,
                    refusal,
                    attempt.load.tokens,
                    backed_off=attempt.backoff_requested,
                )
                self._feed(CallHostRefused(server_id, started=False, reason=reason))
            case ServerFailure():
                buffered = attempt.take_buffered()
                self._answer.keep_failure(buffered)
                self._prober.record_failure(server_id)
                status = buffered.head.status if buffered else 0
                self._attempt_failed(attempt, f"it answered {status}")
            case UnusableAnswer(reason=reason):
                self._prober.record_failure(server_id)
                self._attempt_failed(attempt, reason)
            case OtherAnswer(status=status):
                self._router.metrics.count("streams.not_continued")
                cause = f"its answer ({status}) doesn't continue the stream"
                self._attempt_failed(attempt, cause)
            case _:
                self._attempt_failed(attempt, "the answer has no head")

    def _answered(self, attempt: Attempt) -> None:
        if attempt.is_stream and attempt.cursor.partial:
            self._attempt_failed(attempt, "the answer ended within an event")
            return
        buffered = attempt.take_buffered()
        self._prober.record_served(attempt.server_id)
        wrote_answer = (
            attempt.watch.has_events if buffered is None else buffered.head.is_success
        )
        self._quarantine.record_success(
            self._request, self._owner, wrote_answer=wrote_answer
        )
        if buffered is not None and not self._answer.head_sent:
            self._answer.send_buffered(buffered)
        else:
            if trailing := attempt.cursor.take_trailing_blocks():
                self._answer.send_body(trailing)
            self._answer.finish()
        self._feed(CallAnswered(attempt.server_id))

    def _continue_with(self, attempt: Attempt) -> None:
        """Continue the answer with an attempt that responds; cancel all others."""
        if len(self._attempts) == 1 and not attempt.suspicion:
            return
        self._take_over(attempt)

    def _take_over(self, attempt: Attempt) -> None:
        attempt.suspicion = ""
        self._search.cancel()
        unsent = frozenset(a.server_id for a in self.attempts if not a.was_sent)
        self._feed(CallHostResponded(attempt.server_id, unsent))

    def _send_to_client(self, attempt: Attempt, data: bytes) -> None:
        """Send a part of the body; pause the attempt if the client reads too slowly."""
        self._answer.send_body(data)
        is_in_progress = attempt.server_id in self._attempts
        if is_in_progress and not attempt.paused and self._answer.congested:
            self._router.metrics.count("answers.paused")
            attempt.pause(self._answer.call_when_read)

    def _record_success_if_stable(self, attempt: Attempt) -> None:
        """Record a success once the stream has run for longer than a crash takes."""
        if attempt.success_recorded or attempt.watch.event_span_s < CLEARED_AFTER_S:
            return
        attempt.success_recorded = True
        last_event = self._cursor.last_id or 0
        self._quarantine.record_success(self._request, self._owner, last_event)

    def _log_attempt(
        self, attempt: Attempt, cause: str, *, suspected: bool = False
    ) -> None:
        self._log.attempt_ended(
            attempt.number,
            attempt.server_id,
            cause,
            attempt.cursor.events,
            attempt.watch.silent_s,
            suspected=suspected,
        )

    # Suspected backend servers

    def attempt_silent(self, attempt: Attempt, silence: Silence) -> None:
        """Probe a silent stream's chain, or suspect it after a long silence."""
        chain = attempt.destination.chain
        if chain is None or attempt.paused:
            return
        request_id = self._request.request_id
        self._router.metrics.count("streams.overdue")
        if silence.silent_s > _MAX_SILENCE_S:
            self._suspect(attempt, "silent although its servers answer")
        elif silence.suspects:
            self._prober.probe_suspects(chain, silence, request_id)
        else:
            self._prober.query_first_engine(chain, request_id, silence.silent_s)

    def _suspect(self, attempt: Attempt, reason: str) -> None:
        """Look for another destination while a suspected attempt stays in progress.

        The search is repeated until one of them responds.
        """
        is_new, attempt.suspicion = not attempt.suspicion, reason
        if not is_new or not self._route.repeatable or not self._may_continue:
            return
        self._router.metrics.count("attempts.kept")
        self._log.attempt_kept(
            attempt.number,
            attempt.server_id,
            reason,
            attempt.cursor.events,
            attempt.watch.silent_s,
        )
        self._schedule_search()
        self._feed(CallHostSuspected(attempt.server_id))

    @property
    def _may_continue(self) -> bool:
        """Whether another attempt could give the rest of the answer.

        None can continue a plain answer of which a part was sent.
        """
        return self._streaming or not self._answer.head_sent

    def _schedule_search(self) -> None:
        if self._search_timer is None:
            self._search_timer = self._loop.call_later(
                _SEARCH_INTERVAL_S, self._search_again
            )

    def _cancel_search_timer(self) -> None:
        if self._search_timer is not None:
            self._search_timer.cancel()
            self._search_timer = None

    def _search_again(self) -> None:
        self._search_timer = None
        for attempt in self.attempts:
            if attempt.suspicion:
                self._schedule_search()
                self._feed(CallHostSuspected(attempt.server_id))

    async def _reroute(
        self, attempt: Attempt, chain: Chain, lost_ids: frozenset[str]
    ) -> None:
        """Ask the first backend server to continue the stream over another chain.

        :param lost_ids: backend servers of the chain that don't answer.
        """
        requested_s = self._loop.time()
        other_chain = self._destinations.reroute(
            chain, lost_ids, self._route, self._request.size
        )
        outcome = "there is no other chain"
        if other_chain is not None:
            outcome = await self._prober.calls.reroute(
                self._request.request_id, other_chain
            )
        if self._attempts.get(attempt.server_id) is not attempt:
            return  # The attempt has ended in the meantime.
        self._log.rerouted(other_chain, outcome)
        if other_chain is None or outcome:
            if attempt.watch.last_progress_s < requested_s:  # Otherwise it continues.
                self._suspect(attempt, f"not rerouted: {outcome}")
            return
        self._router.metrics.count("streams.rerouted")
        service = attempt.destination.service
        attempt.rerouted(Destination(service, other_chain.stages[0], other_chain))

    # Final outcome

    def _finish(self, outcome: Outcome) -> None:
        self._deadline_timer.cancel()
        self._cancel_search_timer()
        self._search.cancel()
        for attempt in self.attempts:
            self._release(attempt)
        self._router.active.discard(self)
        if self._routed.on_trial and isinstance(outcome, NotRun):
            self._quarantine.withdraw_trial(self._request, self._owner)
        status = self._answer.send_outcome(outcome)
        self._log.request_ended(
            outcome,
            status,
            self._failure_cause,
            self._attempt_count,
            self._cursor.events,
            self._times,
            self._search.contender,
        )
