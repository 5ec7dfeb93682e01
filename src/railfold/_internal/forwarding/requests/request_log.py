"""Log events and metrics of one request."""

from __future__ import annotations

import asyncio

from railfold._internal.core import (
    Answered,
    Chain,
    Failed,
    NotRun,
    Outcome,
    Unknown,
    outcome_name,
)
from railfold._internal.forwarding.dialect import SendPlan
from railfold._internal.forwarding.requests.capacity_queue import Contender
from railfold._internal.forwarding.requests.client_answer import ABORTED
from railfold._internal.forwarding.requests.destination import Destination
from railfold._internal.forwarding.requests.prediction import Prediction
from railfold._internal.forwarding.requests.routed_request import RoutedRequest
from railfold._internal.forwarding.requests.stream_watch import AnswerTimes
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import (
    AttemptEnded,
    AttemptKept,
    AttemptStarted,
    RequestEnded,
    StreamRerouted,
)

__all__ = ["RequestLog"]


class RequestLog:
    """Logs and counts the attempts and the outcome of one request."""

    def __init__(self, routed: RoutedRequest, router: Router) -> None:
        self._routed = routed
        self._router = router
        self._loop = asyncio.get_running_loop()
        self._prediction: Prediction | None = None
        self._sent_s = 0.0

    def attempt_started(
        self,
        attempt: int,
        plan: SendPlan,
        destination: Destination,
        resume_after: int | None,
        prediction: Prediction | None,
    ) -> None:
        """Log that the request is sent to a backend server.

        :param resume_after: id of the event after which its stream resumes.
        """
        self._prediction = prediction
        now_s = self._sent_s = self._loop.time()
        self._router.log.write_routine(
            AttemptStarted(
                self._routed.request_id,
                attempt,
                plan.server_id,
                _chain_text(plan.chain),
                self._routed.configuration_version,
                _finite_ms(self._router.lease.age_s(now_s)),
                round(plan.remaining_s(now_s) * 1000),
                resume_after,
                destination.crossings,
                *_prediction_fields(prediction),
            )
        )

    def attempt_ended(
        self,
        attempt: int,
        server_id: str,
        cause: str,
        events: int,
        silent_s: float,
        *,
        suspected: bool,
    ) -> None:
        """Count and log an attempt that ended without a complete answer.

        :param suspected: whether its servers were only suspected.
        """
        self._router.metrics.count("attempts.ended_early")
        if suspected:
            self._router.metrics.count("attempts.ended_on_suspicion")
        event = AttemptEnded(
            self._routed.request_id,
            attempt,
            server_id,
            cause,
            events,
            _ms(silent_s),
            suspected,
        )
        self._router.log.write(event)

    def attempt_kept(
        self, attempt: int, server_id: str, cause: str, events: int, silent_s: float
    ) -> None:
        """Log that an attempt stays in progress at suspected backend servers."""
        event = AttemptKept(
            self._routed.request_id, attempt, server_id, cause, events, _ms(silent_s)
        )
        self._router.log.write(event)

    def rerouted(self, chain: Chain | None, outcome: str) -> None:
        """Log that the first backend server was asked to continue over another chain.

        :param chain: nothing if there was no other chain.
        :param outcome: why the stream wasn't rerouted; empty if it was.
        """
        event = StreamRerouted(self._routed.request_id, _chain_text(chain), outcome)
        self._router.log.write(event)

    def request_ended(
        self,
        outcome: Outcome,
        status: int,
        cause: str,
        attempts: int,
        events: int,
        times: AnswerTimes,
        contender: Contender | None,
    ) -> None:
        """Count and log the final outcome of the request.

        :param cause: why the request failed; if empty, the outcome's error is logged.
        :param contender: the request as it competed for the engines' memory, if others
            competed for it too.
        """
        metrics = self._router.metrics
        name = outcome_name(outcome)
        metrics.count(f"outcomes.{name}")
        received_s = self._routed.request.received_s
        duration_s = self._loop.time() - received_s
        metrics.timing("request", duration_s)
        first_event_delay_s = 0.0
        if times.first_event_s is not None:
            first_event_delay_s = times.first_event_s - received_s
            metrics.timing("first_event", first_event_delay_s)
            if attempts == 1 and self._prediction is not None:
                self._record_prediction_error(times.first_event_s - self._sent_s)
        metrics.count(f"outcomes.rank_{self._routed.priority}.{name}")
        if status == ABORTED:
            metrics.count("answers.aborted")
        event = RequestEnded(
            request_id=self._routed.request_id,
            outcome=name,
            status=status,
            cause=_logged_cause(outcome, cause),
            route=self._routed.route.name,
            workspace=self._routed.workspace,
            attempts=attempts,
            duration_ms=_ms(duration_s),
            first_event_ms=_ms(first_event_delay_s),
            longest_pause_ms=_ms(times.longest_pause_s),
            events=events,
            configuration_version=self._routed.configuration_version,
            retry_after_ms=round((getattr(outcome, "retry_after_s", 0) or 0) * 1000),
            priority=self._routed.priority,
            waited_ms=_ms(contender.total_waited_s) if contender else 0.0,
            predicted_wait_ms=_ms(contender.predicted_wait_s) if contender else 0.0,
            left_ms=max(0.0, _ms(self._routed.deadline_s - self._loop.time())),
        )
        if isinstance(outcome, Answered):
            self._router.log.write_routine(event)
        else:
            self._router.log.write(event)

    def _record_prediction_error(self, first_event_s: float) -> None:
        """Record by how much the first event came later or sooner than predicted.

        :param first_event_s: time from sending the request to its first event.
        """
        assert self._prediction is not None
        error_s = first_event_s - self._prediction.chain.first_event_s
        name = "later" if error_s > 0.0 else "sooner"
        self._router.metrics.timing(f"prediction.first_event_{name}", abs(error_s))


def _logged_cause(outcome: Outcome, cause: str) -> str:
    """Return the cause of a failed request, or else the text of its error."""
    match outcome:
        case Answered():
            return ""
        case NotRun(error=error) | Failed(error=error) | Unknown(error=error):
            return cause or str(error)


def _chain_text(chain: Chain | None) -> str:
    """Return a chain as it is logged: ``host:layers`` of each stage."""
    if chain is None:
        return ""
    return " ".join(f"{stage.host}:{stage.layers}" for stage in chain.stages)


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def _prediction_fields(prediction: Prediction | None) -> tuple[float, ...]:
    """Return the fields of a prediction in the order of the log event."""
    if prediction is None:
        return ()
    return (
        _finite_ms(prediction.chain.first_event_s),
        _finite_ms(prediction.chain.pause_s),
        round(prediction.room_share, 3),
        round(prediction.known_share, 2),
        _ms(prediction.load_age_s),
    )


def _finite_ms(seconds: float) -> float:
    return _ms(min(seconds, 1e6))
