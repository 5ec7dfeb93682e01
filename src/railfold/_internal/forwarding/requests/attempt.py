"""One attempt of a request: sent to one destination, until its answer has ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from railfold._internal.decisions.event_cursor import EventCursor
from railfold._internal.decisions.fleet_load import EntryLoad
from railfold._internal.decisions.routing_table import RouteKind
from railfold._internal.errors import RequestError
from railfold._internal.forwarding.dialect import (
    AnswerKind,
    NotExecuted,
    SendPlan,
    ServedAnswer,
)
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.quarantine.crash_watch import RunDetails
from railfold._internal.forwarding.requests.client_answer import (
    BufferedAnswer,
    ClientAnswer,
)
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.requests.exchange import ServerExchange
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.requests.stream_watch import (
    AnswerTimes,
    Silence,
    StreamWatch,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.http_client import AnswerPart

__all__ = ["Attempt", "AttemptListener", "OtherAnswer"]

# Answers of plain calls are buffered up to this size, so that the call can be repeated
# if its answer is interrupted. A larger answer is forwarded as it arrives.
_MAX_BUFFERED_BYTES = 256 * 1024

# Limit on what a stream may contain without an event that continues it.
_MAX_BYTES_WITHOUT_EVENT = 256 * 1024

# Limit on a plain answer that doesn't declare its length.
_MAX_UNDECLARED_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class OtherAnswer:
    """The answer doesn't continue the stream of which the client has a part."""

    status: int


class AttemptListener(Protocol):
    """Receives the events of a request's attempts."""

    def check_sendable(self, attempt: Attempt) -> None:
        """Raise ``RequestError`` if the request must not be sent any more."""

    def attempt_not_sent(
        self, attempt: Attempt, reason: str, error: RequestError | None
    ) -> None:
        """Handle an attempt that ended before the request was sent.

        :param error: why the request must not be sent; nothing if the connection
            failed.
        """

    def stream_started(self, attempt: Attempt, head: ResponseHead) -> None:
        """Handle the head of a streamed answer."""

    def answer_continued(self, attempt: Attempt) -> None:
        """Handle bytes of a plain answer, or events that continue a stream.

        The client may have the events already.
        """

    def events_received(self, attempt: Attempt, events: bytes) -> None:
        """Handle complete events of a stream that the client doesn't have yet."""

    def large_answer_received(self, attempt: Attempt, buffered: BufferedAnswer) -> None:
        """Handle a plain answer that is too large to be buffered."""

    def data_received(self, attempt: Attempt, data: bytes) -> None:
        """Handle more of a plain answer that isn't buffered."""

    def answer_ended(self, attempt: Attempt) -> None:
        """Handle the end of a complete answer."""

    def attempt_lost(self, attempt: Attempt, reason: str) -> None:
        """Handle the loss of an answer before its end; the request may have run."""

    def attempt_silent(self, attempt: Attempt, silence: Silence) -> None:
        """Handle a stream that is overdue; called again until it continues."""


class Attempt:
    """One attempt: its exchange with a backend server, and the state of its answer.

    :param number: number of the attempt, starting at 1.
    :param cursor: position of the client in the answer when the attempt begins.
    :param plan: how the request is sent.
    """

    def __init__(
        self,
        number: int,
        routed: RoutedRequest,
        destination: Destination,
        plan: SendPlan,
        cursor: EventCursor,
        times: AnswerTimes,
        answer: ClientAnswer,
        router: Router,
        listener: AttemptListener,
    ) -> None:
        self.number = number
        self.destination = destination
        self.plan = plan
        self.cursor = cursor
        self.answer_kind: AnswerKind | OtherAnswer | None = None
        self.buffered: BufferedAnswer | None = None
        self.is_stream = False
        # Whether the answer requests a backoff of its server.
        self.backoff_requested = False
        # Whether reading the answer is paused until the client has read more of it.
        self.paused = False
        # Why the backend servers are suspected to be lost; empty if they aren't.
        self.suspicion = ""
        # Whether the attempt was recorded as a success of its content.
        self.success_recorded = False
        # The head of an answer that isn't whole, or of a stream without events.
        self._unproven_answer: tuple[AnswerKind, ResponseHead] | None = None
        # Bytes that a plain answer may still contain.
        self._remaining_bytes = float("inf")
        self._routed = routed
        self._answer = answer
        self._router = router
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self.sent_s = self._loop.time()
        self.resumed_after = plan.resume_after or 0
        self.load = _load(routed, destination, router)
        self.watch = StreamWatch(router.activity, times, self._on_silence)
        self._exchange = ServerExchange(
            routed.request,
            plan,
            router.dialect,
            router.pool,
            self,
            lambda: listener.check_sendable(self),
            repeatable=routed.route.repeatable,
        )

    @property
    def server_id(self) -> str:
        """The id of the backend server that the request is sent to."""
        return self.destination.server.host

    @property
    def was_sent(self) -> bool:
        """Whether the request was sent; before that, a connection is opened."""
        return self._exchange.was_sent

    @property
    def has_head(self) -> bool:
        """Whether the head of an answer was received."""
        return self.answer_kind is not None

    @property
    def run_details(self) -> RunDetails:
        """The details of its run, to find out if it crashed a server."""
        return RunDetails(
            self.destination.service,
            self.destination.server_ids,
            self.sent_s,
            self.watch.event_span_s,
            self.resumed_after,
            streams=self._routed.route.kind is RouteKind.STREAM,
        )

    def start(self) -> None:
        """Send the request, and begin to watch its stream for silence."""
        self._router.add_load(self.destination, self.load)
        self._exchange.start()
        self._watch_chain()

    def release(self) -> None:
        """End the attempt: close its connection if it is still open."""
        self._exchange.cancel()
        self.watch.attempt_ended()
        if self.buffered is not None:
            self._answer.release_buffer(self.buffered)
            self.buffered = None
        ran = isinstance(self.answer_kind, ServedAnswer)
        self._router.subtract_load(self.destination, self.load, ran=ran)
        self._router.backoffs.record_attempt_end(
            self.server_id, self._routed.request_id
        )

    def rerouted(self, destination: Destination) -> None:
        """Record that the attempt continues over another chain."""
        self._router.subtract_load(self.destination, self.load)
        self.destination = destination
        self._router.add_load(destination, self.load)
        self._watch_chain()

    def pause(self, call_when_read: Callable[[Callable[[], None]], None]) -> None:
        """Stop reading the answer until the client has read what was sent to it."""
        self.paused = True
        self._exchange.pause()
        call_when_read(self._resume)

    def _resume(self) -> None:
        self.paused = False
        self.watch.progress_received()
        self._exchange.resume()

    def take_buffered(self) -> BufferedAnswer | None:
        """Return the buffered answer, whose reserved memory the caller releases."""
        buffered, self.buffered = self.buffered, None
        return buffered

    def record_prompt_read(self) -> None:
        """Remove the prompt from the load that is pending: its prefill is complete."""
        pending_prompt = EntryLoad(
            pending_prompt_tokens=self.load.pending_prompt_tokens
        )
        if pending_prompt.pending_prompt_tokens:
            self._router.subtract_load(self.destination, pending_prompt)
            self.load = replace(self.load, pending_prompt_tokens=0)

    def _watch_chain(self) -> None:
        chain = self.destination.chain
        if chain is None:
            self.watch.attempt_started(None, 0.0)
            return
        self.watch.attempt_started(chain.hosts, self._router.expected_pause_s(chain))

    def _on_silence(self, silence: Silence) -> None:
        self._listener.attempt_silent(self, silence)

    # ExchangeListener

    def attempt_not_sent(self, reason: str, error: RequestError | None) -> None:
        """Report that the request wasn't sent."""
        self._listener.attempt_not_sent(self, reason, error)

    def attempt_lost(self, reason: str, received: AnswerPart) -> None:
        """Report the loss of the answer."""
        if received is not AnswerPart.NOTHING:
            self._router.metrics.count("answers.cut")
        self._listener.attempt_lost(self, reason)

    def answer_skipped(self, named_id: str, status: int) -> None:
        """Report an answer to another request."""
        self._router.unmatched_answers.skipped(
            self.server_id, self._routed.request_id, named_id, status
        )

    def answer_head(self, kind: AnswerKind, head: ResponseHead) -> None:
        """Handle the head of the answer."""
        self._unproven_answer = (kind, head)
        self.backoff_requested = self._router.answer_headers.record_head(
            self.server_id, kind, head, self._routed.request_id, self.sent_s
        )
        is_served = isinstance(kind, ServedAnswer)
        self.is_stream = is_served and self._is_stream(head)
        if is_served and self._answer.head_sent and not self._may_follow(head):
            self.answer_kind = OtherAnswer(head.status)
        else:
            self.answer_kind = kind
        if self.is_stream:
            self._listener.stream_started(self, head)
            return
        if not head.get("Content-Length"):
            self._remaining_bytes = _MAX_UNDECLARED_BYTES
        self.buffered = BufferedAnswer(head)

    def _is_stream(self, head: ResponseHead) -> bool:
        return (
            self._routed.route.kind is RouteKind.STREAM
            and head.is_success
            and head.get("Content-Type").startswith("text/event-stream")
        )

    def _may_follow(self, head: ResponseHead) -> bool:
        """Return whether an answer may follow the part that the client has.

        A server without further events may answer that there is no content.
        """
        return self.is_stream or head.is_no_content

    def answer_body(self, data: bytes) -> None:
        """Buffer received bytes of the body, or report what they complete."""
        if self.is_stream:
            self._stream(data)
            return
        self._listener.answer_continued(self)
        if self.buffered is not None:
            self._buffer(self.buffered, data)
        else:
            self.watch.progress_received()
            self._forward(data)

    def _stream(self, data: bytes) -> None:
        progress = self.cursor.feed(data)
        if self.cursor.bytes_without_event > _MAX_BYTES_WITHOUT_EVENT:
            self._listener.attempt_lost(self, "its stream contains no events")
            return
        if not progress.advanced:
            return
        gap_s = self.watch.progress_received()
        self._listener.answer_continued(self)
        if progress.events:
            self._record_proven_answer()
            self.record_prompt_read()
            if not self.watch.has_events:
                self._record_first_event()
            self.watch.events_received(gap_s)
            self._listener.events_received(self, progress.events)

    def _forward(self, data: bytes) -> None:
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            self._listener.attempt_lost(self, "its answer doesn't end")
            return
        self._listener.data_received(self, data)

    def _buffer(self, buffered: BufferedAnswer, data: bytes) -> None:
        fits = self._answer.reserve_buffer(len(data))
        buffered.add(data)
        is_large = buffered.size > _MAX_BUFFERED_BYTES
        match self.answer_kind:
            case ServedAnswer():
                if is_large or not fits:
                    self.buffered = None
                    self._remaining_bytes -= buffered.size
                    self._listener.large_answer_received(self, buffered)
            case NotExecuted() | OtherAnswer():
                if is_large:
                    # Its head is proof enough.
                    self._listener.answer_ended(self)
            case _:
                if is_large:
                    self._listener.attempt_lost(self, "its error answer is too large")

    def answer_ended(self) -> None:
        """Report the end of a complete answer."""
        self._record_proven_answer()
        self._listener.answer_ended(self)

    def _record_proven_answer(self) -> None:
        """Process the head of an answer that is known to be one, once."""
        if self._unproven_answer is None:
            return
        kind, head = self._unproven_answer
        self._unproven_answer = None
        self._router.answer_headers.record_answer(
            self.server_id, kind, head, self.sent_s
        )

    def _record_first_event(self) -> None:
        first_event_s = self._loop.time() - self.sent_s
        self._router.record_first_event(
            self.destination, first_event_s, self._routed.route.objective_s
        )


def _load(routed: RoutedRequest, destination: Destination, router: Router) -> EntryLoad:
    """Return the load that the attempt adds to its backend servers.

    A call to a plain service counts as one sequence and one token, even if its headers
    contain token counts.
    """
    if destination.chain is None:
        return EntryLoad(1, 1)
    size = routed.request.size
    model = router.model_of_service(destination.service)
    tokens = (
        size.total
        if model is None
        else model.mean_state_tokens(size.prompt_tokens, size.answer_tokens)
    )
    return EntryLoad(max(1, tokens), 1, size.prompt_tokens)
