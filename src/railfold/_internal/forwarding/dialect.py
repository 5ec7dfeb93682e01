"""Translation between the forwarding entry and the protocol of its platform.

An adapter implements :class:`Dialect`. It translates names and formats, and makes no
decisions.
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

    :param server_id: the only incarnation that may run the request.
    :param registered_id: the id under which this incarnation is registered.
    :param address: ``ip:port`` of the backend server.
    :param chain: the stages that run the request, if it is for a model.
    :param deadline_s: loop time until which the client waits.
    :param workspace: the workspace of the client, if it is known.
    :param resume_after: the event after which a stream resumes.
    :param priority: rank of the request; 0 is served first, 1 is the default.
    :param urgent: whether the client has received a part of its answer and waits for
        the rest.
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
        """Return the time left until the client's deadline, at least 0."""
        return max(0.0, self.deadline_s - now_s)


@dataclass(frozen=True, slots=True)
class ServedAnswer:
    """The answer is the backend server's answer to this request."""


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The answer proves that the request wasn't run.

    :param address: address of the backend server at fault; empty if it is the one that
        answered.
    :param lacks_layers: whether the server at fault doesn't hold the layers that the
        chain assigns to it.
    """

    address: str
    reason: str
    lacks_layers: bool = False


@dataclass(frozen=True, slots=True)
class ServerFailure:
    """The backend server failed, and the request ran or may have run."""


@dataclass(frozen=True, slots=True)
class MismatchedAnswer:
    """The answer belongs to another request, or doesn't say to which one.

    :param named_id: the request that the answer names; empty if it names none.
    """

    named_id: str


@dataclass(frozen=True, slots=True)
class UnusableAnswer:
    """The answer isn't a valid answer of a backend server, whatever its status says."""

    reason: str


AnswerKind = (
    ServedAnswer | NotExecuted | ServerFailure | MismatchedAnswer | UnusableAnswer
)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """An HTTP call to the interface that engines have for entries."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's state as the engine itself reports it.

    :param order_count: number of orders that this incarnation has accepted.
    :param busy: whether it is still carrying out an order.
    :param layers: the layers it holds, if it holds any.
    :param stalled_addresses: addresses of the backend servers that streams are waiting
        for whose first stage is this engine.
    :param slowness: duration of its steps relative to the usual one.
    :param started_at_ms: Unix time of its start, if it reports it.
    """

    order_count: int
    busy: bool
    layers: LayerRange | None
    stalled_addresses: frozenset[str] = frozenset()
    slowness: float = 1.0
    started_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine carries out the order, or already holds the requested layers."""


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order doesn't match the engine's state."""

    reason: str


@dataclass(frozen=True, slots=True)
class OrderFenced:
    """The engine refused the order because it has seen a higher fencing token."""


@dataclass(frozen=True, slots=True)
class OrderOutcomeUnknown:
    """No answer arrived: the engine may have accepted the order, or may still do so."""

    reason: str


OrderOutcome = OrderAccepted | OrderRefused | OrderFenced | OrderOutcomeUnknown


class Dialect(Protocol):
    """Translates requests, answers and engine calls.

    Methods with a ``head`` argument read the head of a backend server's answer.
    """

    def credential(self, headers: Iterable[Header]) -> str:
        """Return the credential in a request's headers; empty if there is none."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes,
        now_s: float,
    ) -> ClientRequest:
        """Decode a client's request that was received at ``now_s``.

        :raises InvalidRequestError: a header is malformed or missing.
        """

    def forward_headers(
        self, request: ClientRequest, plan: SendPlan, now_s: float
    ) -> Sequence[Header]:
        """Return the headers to send to the backend server at ``now_s``."""

    def classify_answer(self, head: ResponseHead, request_id: str) -> AnswerKind:
        """Return what kind of answer to the request this is."""

    def unknown_headers(self, head: ResponseHead) -> Sequence[str]:
        """Return the names of platform headers that the adapter doesn't know."""

    def rate_limit(self, head: ResponseHead) -> RateLimitHeader:
        """Return the rate limit that the server advertises."""

    def retry_after(self, head: ResponseHead) -> RetryAfterHeader:
        """Return for how long the server asks to be sent no requests."""

    def announces_leaving(self, head: ResponseHead) -> bool:
        """Return whether the server announces that it is leaving."""

    def report_call(self) -> EngineCall:
        """Return the call that requests an engine's report."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Decode the body of an engine's report.

        :raises EngineError: the body is invalid.
        """

    def decode_started_at_ms(self, body: bytes) -> int | None:
        """Return the start time of the server that sent ``body``, if it is included."""

    def place_call(
        self, layers: LayerRange, fencing_token: int, order_count: int
    ) -> EngineCall:
        """Return the call that orders an engine to load these layers.

        :param fencing_token: token of the lease under which the order is given.
        :param order_count: number of accepted orders in the engine's latest report.
        """

    def reroute_call(self, request_id: str, chain: Chain) -> EngineCall:
        """Return the call that moves a running request to another chain."""

    def classify_order_answer(self, head: ResponseHead) -> OrderOutcome:
        """Return the outcome of an order by the engine's answer to it."""
