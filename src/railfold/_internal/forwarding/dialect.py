"""What the forwarding entry needs of the platform that it runs on.

An adapter implements these interfaces. It translates names and forms, and
decides nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from railfold._internal.core import Chain, LayerRange
from railfold._internal.decisions.load_shedding import RetryAfterHeader
from railfold._internal.decisions.rate_limits.headers import RateLimitHeader
from railfold._internal.forwarding.messages import (
    ClientRequest,
    Header,
    ResponseHead,
)

__all__ = [
    "AnswerKind",
    "Dialect",
    "EngineCall",
    "EngineReport",
    "MismatchedAnswer",
    "NotExecuted",
    "OrderAccepted",
    "OrderFenced",
    "OrderOutcome",
    "OrderOutcomeUnknown",
    "OrderRefused",
    "SendPlan",
    "ServedAnswer",
    "ServerFailure",
    "UnusableAnswer",
]


@dataclass(frozen=True, slots=True)
class SendPlan:
    """How a request is sent to its backend server.

    :param server_id: the one incarnation that may run it.
    :param registered_id: the id under which that one is registered.
    :param chain: the stages that run it, if it is for a model.
    :param deadline_s: until when its client waits.
    :param workspace: who sends it, if that is known.
    :param resume_after: the event after which a stream goes on.
    :param priority: rank of the request, 0 first; 1 is usual.
    :param urgent: whether a client waits in the middle of its answer.
    """

    server_id: str
    registered_id: str
    address: str
    chain: Chain | None
    deadline_s: float
    workspace: str | None
    resume_after: int | None
    priority: int = 1
    urgent: bool = False

    def remaining_s(self, now_s: float) -> float:
        """Return how long its client waits from now on."""
        return max(0.0, self.deadline_s - now_s)


@dataclass(frozen=True, slots=True)
class ServedAnswer:
    """The backend server's answer to this request."""


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """Proof that the request wasn't run.

    :param address: the backend server at fault, if it isn't the one asked.
    :param misplaced: whether the one at fault doesn't hold the layers asked of it.
    """

    address: str
    reason: str
    lacks_layers: bool = False


@dataclass(frozen=True, slots=True)
class ServerFailure:
    """The request ran, or may have run, and the backend server failed."""


@dataclass(frozen=True, slots=True)
class MismatchedAnswer:
    """An answer to another request."""


@dataclass(frozen=True, slots=True)
class UnusableAnswer:
    """It claims success but isn't what a backend server sends."""

    reason: str


AnswerKind = (
    ServedAnswer | NotExecuted | ServerFailure | MismatchedAnswer | UnusableAnswer
)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call to an engine's own interface."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state in its own words.

    :param order_count: orders that it has begun in this incarnation.
    :param layers: the layers it holds.
    :param stalled: addresses of backend servers that streams which begin here
        wait for.
    :param slowness: how many times longer than usual its steps take.
    :param started_at_ms: Unix time of its start, if it tells.
    """

    order_count: int
    busy: bool
    layers: LayerRange | None
    stalled_addresses: frozenset[str] = frozenset()
    slowness: float = 1.0
    started_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine carries the order out, or already holds what it asks for."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order doesn't fit the engine's state."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderFenced:
    """The engine has seen a higher fencing token."""


@dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """No answer came: the order may be carried out, also later."""

    reason: str


OrderOutcome = OrderAccepted | OrderRefused | OrderFenced | OrderOutcomeUnknown


class Dialect(Protocol):
    """Translates requests, answers and engine calls."""

    def credential(self, headers: Iterable[Header]) -> str:
        """Return the credential that a request holds; empty if it holds none."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes,
        now_s: float,
    ) -> ClientRequest:
        """Return a client's request.

        :raises InvalidRequestError: a header is malformed or missing.
        """

    def forward_headers(
        self, request: ClientRequest, plan: SendPlan, now_s: float
    ) -> Sequence[Header]:
        """Return the headers that the backend server gets if it is sent now."""

    def classify_answer(self, head: ResponseHead, request_id: str) -> AnswerKind:
        """Return what an answer's head says."""

    def unknown_headers(self, head: ResponseHead) -> Sequence[str]:
        """Return names of the platform's own headers that the adapter doesn't know."""

    def rate_limit(self, head: ResponseHead) -> RateLimitHeader:
        """Return what an answer's head says of the rate that its server takes."""

    def retry_after(self, head: ResponseHead) -> RetryAfterHeader:
        """Return for how long an answer's head asks to send nothing."""

    def announces_leaving(self, head: ResponseHead) -> bool:
        """Return whether an answer's head says that its server leaves."""

    def report_call(self) -> EngineCall:
        """Return the call that asks an engine for its report."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Return an engine's report.

        :raises EngineError: the body can't be read.
        """

    def decode_started_at_ms(self, body: bytes) -> int | None:
        """Return when the server that sent a message started, if the message tells."""

    def place_call(
        self, layers: LayerRange, fencing: int, order_count: int
    ) -> EngineCall:
        """Return the order to hold these layers."""

    def reroute_call(self, request_id: str, chain: Chain) -> EngineCall:
        """Return the order to go on with a running request over another chain."""

    def classify_order_answer(self, head: ResponseHead) -> OrderOutcome:
        """Return what the answer to an order says."""
