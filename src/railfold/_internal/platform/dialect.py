"""Translation of the platform's requests and answers, and of their headers."""

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

# Identifies one request of a client, despite its name. A client that retries by itself
# uses another id.
_REQUEST_ID = "Railfold-Attempt-Id"
_DEADLINE = "Railfold-Deadline-Ms"
_WORKSPACE = "Railfold-Tenant"
_TARGET = "Railfold-Target-Instance"
# Contains the whole chain with addresses and layers, despite its name.
_CHAIN = "Railfold-Hop-Count"
_TOKEN_COUNTS = "Railfold-Token-Counts"
# The parts of the prompt in order, as ID:TOKENS separated by commas, with hexadecimal
# IDs.
_PROMPT_PARTS = "Railfold-Prompt-Prefix"
_SEAL = "Railfold-Response-Seal"
_NOT_EXECUTED = "Railfold-Not-Executed"
_SERVER_AT_FAULT = "At-Server"
_LAST_EVENT_ID = "Last-Event-Id"
# Requests per second that an overloaded server accepts from all entries together.
_RATE_LIMIT = "Server-Limit"
_LEAVING = "Server-Leaving"
_LEAVING_VALUE = "1"
# From 0, which engines admit first, to 9; engines use 5 by default.
_ENGINE_PRIORITY = "Railfold-Request-Priority"
_MOST_URGENT = 0
_LEAST_URGENT = 9
# Added to a request's priority, so that the default priority of 1 becomes the engines'
# default of 5, and no new request is as urgent as one whose client waits in the middle
# of its answer.
_PRIORITY_OFFSET = 4

_BEARER = "bearer "

# Clients may send any text. Twelve digits are enough for any time in milliseconds or
# number of tokens; longer numbers would take long to parse and to compute with.
_NUMBER_PATTERN = re.compile(r"[0-9]{1,12}")

# Limits on the parts of a prompt that are read, and on their identifiers.
_MAX_PROMPT_PARTS = 32
_PROMPT_PART = re.compile(r"([0-9a-fA-F]{1,128}):[0-9]{1,12}")

# A rate in requests per second. Signs, exponents, words and longer numbers are invalid.
_RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")

# Limit on the part of an invalid header value that is logged.
_MAX_LOGGED_CHARACTERS = 40

# Only this process sets these headers; it drops them from clients' requests.
_RESERVED_HEADERS = frozenset(
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
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_FIRST_SERVER_ERROR = 500
_CLIENT_ERRORS = range(400, 500)
_ACCEPTED = (200, 202)
_FENCED = 412


class PlatformDialect:
    """Translates requests, answers and engine calls."""

    def credential(self, headers: Iterable[Header]) -> str:
        """Return the credential in a request's headers; empty if there is none."""
        return _credential({name.lower(): value for name, value in headers})

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
        headers = list(headers)
        fields = {name.lower(): value for name, value in headers}
        request_id = fields.get(_REQUEST_ID.lower(), "")
        if not request_id:
            raise InvalidRequestError(f"the request has no {_REQUEST_ID}")
        dropped = _RESERVED_HEADERS | connection_headers(fields.get("connection", ""))
        deadline_ms = _header_number(fields, _DEADLINE)
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
            last_event_id=_header_number(fields, _LAST_EVENT_ID),
            size=_request_size(fields.get(_TOKEN_COUNTS.lower(), "")),
            prompt_parts=_prompt_parts(fields.get(_PROMPT_PARTS.lower(), "")),
        )

    def forward_headers(
        self, request: ClientRequest, plan: SendPlan, now_s: float
    ) -> Sequence[Header]:
        """Return the headers to send to the backend server at ``now_s``."""
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
        """Return what kind of answer to the request this is."""
        named_id = head.get(_REQUEST_ID)
        if named_id != request_id:
            return MismatchedAnswer(named_id)
        if head.get(_NOT_EXECUTED) or head.status == _MISDIRECTED:
            at_fault = head.get(_SERVER_AT_FAULT)
            where = f" because of {at_fault}" if at_fault else ""
            reason = f"it answered {head.status}{where}"
            return NotExecuted(at_fault, reason, head.status == _MISDIRECTED)
        if head.is_success:
            if not head.get(_SEAL):
                return UnusableAnswer("its answer has no signature")
            if head.get("Content-Encoding"):
                return UnusableAnswer("its answer is encoded")
            return ServedAnswer()
        if head.status in _NOT_RUN_STATUSES:
            # With this status a server promises that it hasn't run the request. Without
            # the header that proves it, the answer must not be passed on.
            return UnusableAnswer(f"it answered {head.status} without a proof header")
        if head.status >= _FIRST_SERVER_ERROR:
            return ServerFailure()
        return ServedAnswer()

    def unknown_headers(self, head: ResponseHead) -> Sequence[str]:
        """Return the names of platform headers that the adapter doesn't know."""
        return answer_headers.unlisted_headers(head.headers)

    def rate_limit(self, head: ResponseHead) -> RateLimitHeader:
        """Return the rate limit that the server advertises.

        A header that occurs more than once is unreadable, since the values may
        contradict each other.
        """
        name = _RATE_LIMIT.lower()
        values = [v.strip() for n, v in head.headers if n.lower() == name]
        match values:
            case []:
                return NoRateLimit()
            case [text] if _RATE.fullmatch(text):
                return RateLimitAdvertised(float(text))
            case _:
                return UnreadableRateLimit(", ".join(values)[:_MAX_LOGGED_CHARACTERS])

    def retry_after(self, head: ResponseHead) -> RetryAfterHeader:
        """Return for how long the server asks to be sent no requests."""
        return retry_after.retry_after(head)

    def announces_leaving(self, head: ResponseHead) -> bool:
        """Return whether the server announces that it is leaving."""
        return head.get(_LEAVING).strip() == _LEAVING_VALUE

    def report_call(self) -> EngineCall:
        """Return the call that requests an engine's report."""
        return engines.report_call()

    def decode_report(self, body: bytes) -> EngineReport:
        """Decode the body of an engine's report.

        :raises EngineError: the body is invalid.
        """
        return engines.decode_report(body)

    def decode_started_at_ms(self, body: bytes) -> int | None:
        """Return the start time of the server that sent ``body``, if it is included."""
        return engines.decode_started_at_ms(body)

    def place_call(
        self, layers: LayerRange, fencing_token: int, order_count: int
    ) -> EngineCall:
        """Return the call that orders an engine to load these layers.

        :param fencing_token: token of the lease under which the order is given.
        :param order_count: number of accepted orders in the engine's latest report.
        """
        return engines.place_call(layers, fencing_token, order_count)

    def reroute_call(self, request_id: str, chain: Chain) -> EngineCall:
        """Return the call that moves a running request to another chain."""
        return engines.reroute_call(request_id, chain)

    def classify_order_answer(self, head: ResponseHead) -> OrderOutcome:
        """Return the outcome of an order by the engine's answer to it."""
        if head.status in _ACCEPTED:
            return OrderAccepted()
        if head.status == _FENCED:
            return OrderFenced()
        return OrderRefused(f"it answered {head.status}")


def _engine_priority(plan: SendPlan) -> int:
    if plan.urgent:
        return _MOST_URGENT
    return min(_LEAST_URGENT, _PRIORITY_OFFSET + plan.priority)


def _credential(fields: dict[str, str]) -> str:
    authorization = fields.get("authorization", "")
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return ""
    return authorization[len(_BEARER) :].strip()


def _header_number(fields: dict[str, str], name: str) -> int | None:
    return _whole_number(fields.get(name.lower(), ""))


def _request_size(text: str) -> RequestSize:
    """Return the token counts in ``prompt,answer``; unknown sizes if it is invalid."""
    prompt_text, _, answer_text = text.partition(",")
    prompt, answer = _whole_number(prompt_text), _whole_number(answer_text)
    if prompt is None or answer is None:
        return RequestSize()
    return RequestSize(prompt, answer)


def _prompt_parts(text: str) -> tuple[str, ...]:
    """Return the IDs of the first parts of a prompt; none if one is malformed."""
    if not text:
        return ()
    items = text.split(",", _MAX_PROMPT_PARTS)[:_MAX_PROMPT_PARTS]
    matches = [_PROMPT_PART.fullmatch(item.strip()) for item in items]
    part_ids = tuple(match[1].lower() for match in matches if match is not None)
    return part_ids if len(part_ids) == len(items) else ()


def _whole_number(text: str) -> int | None:
    """Return the number in a client's header value; ``None`` if it is invalid."""
    match = _NUMBER_PATTERN.fullmatch(text.strip())
    return int(match[0]) if match else None
