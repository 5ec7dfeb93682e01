"""Headers of requests and answers."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from railfold._internal.core import Chain, LayerRange
from railfold._internal.decisions.load_shedding import RetryAfterHeader
from railfold._internal.decisions.rate_limits.headers import (
    NoRateLimit,
    RateLimitAdvertised,
    RateLimitHeader,
    UnreadableRateLimit,
)
from railfold._internal.errors import InvalidRequestError
from railfold._internal.forwarding.dialect import (
    AnswerKind,
    EngineCall,
    EngineReport,
    MismatchedAnswer,
    NotExecuted,
    OrderAccepted,
    OrderFenced,
    OrderOutcome,
    OrderRefused,
    SendPlan,
    ServedAnswer,
    ServerFailure,
    UnusableAnswer,
)
from railfold._internal.forwarding.messages import (
    ClientRequest,
    Header,
    RequestSize,
    ResponseHead,
)
from railfold._internal.forwarding.requests.replies import connection_headers
from railfold._internal.platform import answer_headers, engines, retry_after

__all__ = ["PlatformDialect"]

# The name means one request of a client: a client's own retry has another id.
_REQUEST_ID = "Railfold-Attempt-Id"
_DEADLINE = "Railfold-Deadline-Ms"
_WORKSPACE = "Railfold-Tenant"
_TARGET = "Railfold-Target-Instance"
# The name is misleading: it holds the whole chain, with addresses and layers.
_CHAIN = "Railfold-Hop-Count"
_TOKEN_COUNTS = "Railfold-Token-Counts"
_SEAL = "Railfold-Response-Seal"
_NOT_EXECUTED = "Railfold-Not-Executed"
_AT_FAULT = "At-Server"
_LAST_EVENT_ID = "Last-Event-Id"
# Requests a second that a server in need takes from all entries together.
_RATE_LIMIT = "Server-Limit"
_LEAVING = "Server-Leaving"
_IS_LEAVING = "1"
# 0 is let in first, 9 last, 5 is usual.
_ENGINE_PRIORITY = "Railfold-Request-Priority"
_MOST_URGENT = 0
_LEAST_URGENT = 9
# Added to a request's rank, so that the usual rank is the engines' usual one, and
# none is as urgent as a client that waits in the middle of its answer.
_RANK_OFFSET = 4

_BEARER = "bearer "

# Enough for any time in milliseconds or count of tokens. Clients may send what they
# like, and longer numbers take time to read and to reckon with.
_WHOLE_NUMBER = re.compile(r"[0-9]{1,12}")

# A rate in requests a second. Signs, exponents, words and longer numbers mean nothing.
_RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")

# Of a text that can't be read so much is told in logs.
_TEXT_TOLD = 40

# Set by this process alone; what a client sends under these names is dropped.
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        _DEADLINE,
        _WORKSPACE,
        _TARGET,
        _CHAIN,
        _LAST_EVENT_ID,
        _ENGINE_PRIORITY,
        "Railfold-Expect-Version",
        "Authorization",
        "Content-Length",
        "Expect",
        "Host",
    )
)

_MISDIRECTED = 421
_PROMISES_NOT_RUN = (408, 421, 429, 503)
_FIRST_SERVER_ERROR = 500
_CLIENT_ERRORS = range(400, 500)
_SUCCESSES = range(200, 300)
_ACCEPTED = (200, 202)
_FENCED = 412


class PlatformDialect:
    """Translates requests, answers and engine calls."""

    def credential(self, headers: Iterable[Header]) -> str:
        """Return the credential that a request holds; empty if it holds none."""
        return _credential({name.lower(): value for name, value in headers})

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
        headers = list(headers)
        fields = {name.lower(): value for name, value in headers}
        request_id = fields.get(_REQUEST_ID.lower(), "")
        if not request_id:
            raise InvalidRequestError(f"the request has no {_REQUEST_ID}")
        dropped = _OWN_HEADERS | connection_headers(fields.get("connection", ""))
        deadline_ms = _number(fields, _DEADLINE)
        return ClientRequest(
            request_id=request_id,
            method=method,
            target=target,
            path=target.partition("?")[0],
            host=fields.get("host", "").lower(),
            headers=tuple((n, v) for n, v in headers if n.lower() not in dropped),
            body=body,
            credential=_credential(fields),
            received_s=now_s,
            deadline_s=None if deadline_ms is None else now_s + deadline_ms / 1000.0,
            last_event_id=_number(fields, _LAST_EVENT_ID),
            size=_size(fields.get(_TOKEN_COUNTS.lower(), "")),
        )

    def forward_headers(
        self, request: ClientRequest, plan: SendPlan, now_s: float
    ) -> Sequence[Header]:
        """Return the headers that the backend server gets."""
        headers: list[Header] = [("Host", request.host), *request.headers]
        headers.append((_DEADLINE, str(max(1, int(plan.remaining_s(now_s) * 1000)))))
        headers.append((_TARGET, plan.registered_id))
        if plan.workspace is not None:
            headers.append((_WORKSPACE, plan.workspace))
        if plan.resume_after is not None:
            headers.append((_LAST_EVENT_ID, str(plan.resume_after)))
        if plan.chain is not None:
            headers.append((_ENGINE_PRIORITY, str(_engine_priority(plan))))
            headers.append((_CHAIN, engines.chain_text(plan.chain)))
        return headers

    def classify_answer(self, head: ResponseHead, request_id: str) -> AnswerKind:
        """Return what an answer's head says."""
        answered_id = head.get(_REQUEST_ID)
        if answered_id and answered_id != request_id:
            return MismatchedAnswer()
        if head.get(_NOT_EXECUTED) or head.status == _MISDIRECTED:
            at_fault = head.get(_AT_FAULT)
            where = f" because of {at_fault}" if at_fault else ""
            reason = f"it answered {head.status}{where}"
            return NotExecuted(at_fault, reason, head.status == _MISDIRECTED)
        if head.status in _SUCCESSES:
            if not head.get(_SEAL):
                return UnusableAnswer("its answer has no signature")
            if head.get("Content-Encoding"):
                return UnusableAnswer("its answer is encoded")
            return ServedAnswer()
        if head.status in _PROMISES_NOT_RUN:
            # Without the proof that it wasn't run, this isn't to be passed on.
            return UnusableAnswer(f"it answered {head.status} without a proof")
        if head.status >= _FIRST_SERVER_ERROR:
            return ServerFailure()
        return ServedAnswer()

    def unknown_headers(self, head: ResponseHead) -> Sequence[str]:
        """Return names of the platform's own headers that aren't known here."""
        return answer_headers.unlisted(head.headers)

    def rate_limit(self, head: ResponseHead) -> RateLimitHeader:
        """Return what an answer's head says of the rate that its server takes.

        Two fields contradict each other or add nothing: neither is read.
        """
        name = _RATE_LIMIT.lower()
        values = [v.strip() for n, v in head.headers if n.lower() == name]
        match values:
            case []:
                return NoRateLimit()
            case [text] if _RATE.fullmatch(text):
                return RateLimitAdvertised(float(text))
            case _:
                return UnreadableRateLimit(", ".join(values)[:_TEXT_TOLD])

    def retry_after(self, head: ResponseHead) -> RetryAfterHeader:
        """Return for how long an answer's head asks to send nothing."""
        return retry_after.retry_after(head)

    def announces_leaving(self, head: ResponseHead) -> bool:
        """Return whether an answer's head says that its server leaves."""
        return head.get(_LEAVING).strip() == _IS_LEAVING

    def report_call(self) -> EngineCall:
        """Return the call that asks an engine for its report."""
        return engines.report_call()

    def decode_report(self, body: bytes) -> EngineReport:
        """Return an engine's report."""
        return engines.decode_report(body)

    def decode_started_at_ms(self, body: bytes) -> int | None:
        """Return when the server that sent a message started, if the message tells."""
        return engines.decode_started_at_ms(body)

    def place_call(
        self, layers: LayerRange, fencing: int, order_count: int
    ) -> EngineCall:
        """Return the order to hold these layers."""
        return engines.place_call(layers, fencing, order_count)

    def reroute_call(self, request_id: str, chain: Chain) -> EngineCall:
        """Return the order to go on with a running request over another chain."""
        return engines.reroute_call(request_id, chain)

    def classify_order_answer(self, head: ResponseHead) -> OrderOutcome:
        """Return what the answer to an order says."""
        if head.status in _ACCEPTED:
            return OrderAccepted()
        if head.status == _FENCED:
            return OrderFenced()
        return OrderRefused(f"it answered {head.status}")


def _engine_priority(plan: SendPlan) -> int:
    if plan.urgent:
        return _MOST_URGENT
    return min(_LEAST_URGENT, _RANK_OFFSET + plan.priority)


def _credential(fields: dict[str, str]) -> str:
    authorization = fields.get("authorization", "")
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ""
    return authorization[len(_BEARER) :].strip()


def _number(fields: dict[str, str], name: str) -> int | None:
    return _whole_number(fields.get(name.lower(), ""))


def _size(text: str) -> RequestSize:
    """Return the sizes in ``prompt,answer``."""
    prompt_text, _, answer_text = text.partition(",")
    prompt, answer = _whole_number(prompt_text), _whole_number(answer_text)
    if prompt is None or answer is None:
        return RequestSize()
    return RequestSize(prompt, answer)


def _whole_number(text: str) -> int | None:
    """Return the number in a header of a client; ``None`` if it isn't one."""
    match = _WHOLE_NUMBER.fullmatch(text.strip())
    return int(match[0]) if match else None
