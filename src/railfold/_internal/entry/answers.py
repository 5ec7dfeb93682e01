"""Build answers to callers: outcome, status, headers and body."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec

from railfold._internal.core import (
    Answered,
    Chain,
    Failed,
    NeverSent,
    NotRun,
    Outcome,
    Token,
    Unknown,
    outcome_name,
)
from railfold._internal.errors import (
    BodyTooLargeError,
    DeadlineExpiredError,
    DuplicateKeyError,
    HeadersTooLargeError,
    InvalidRequestError,
    LogUnavailableError,
    OverloadedError,
    PolicyRefusedError,
    RailfoldError,
    RequestTimeoutError,
    UnauthorizedError,
    UnknownTargetError,
)

__all__ = [
    "OUTCOME_HEADER",
    "REPLAYED_HEADER",
    "REQUEST_ID_HEADER",
    "Reply",
    "answered_reply",
    "error_reply",
    "refused_reply",
]

OUTCOME_HEADER = "Railfold-Outcome"
REQUEST_ID_HEADER = "Railfold-Request-Id"
REPLAYED_HEADER = "Railfold-Replayed"

JSON = "application/json"

_OK = 200
_UNAVAILABLE = 503
_BAD_GATEWAY = 502

_STATUS: dict[type[RailfoldError], int] = {
    InvalidRequestError: 400,
    UnauthorizedError: 401,
    PolicyRefusedError: 403,
    UnknownTargetError: 404,
    RequestTimeoutError: 408,
    DuplicateKeyError: 409,
    BodyTooLargeError: 413,
    OverloadedError: 429,
    HeadersTooLargeError: 431,
    LogUnavailableError: _UNAVAILABLE,
    DeadlineExpiredError: 504,
}


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer.

    :param outcome: the outcome's name, for the outcome header.
    """

    status: int
    outcome: str
    body: bytes
    content_type: str = JSON
    headers: dict[str, str] = field(default_factory=dict)


def answered_reply(
    request_id: str, tokens: list[Token], chain: Chain, attempts: int
) -> Reply:
    """Return the answer to a generate request that ran to completion.

    The lineage names the stages that produced the last token.

    :param attempts: number of attempts that the request took.
    """
    body = {
        "outcome": outcome_name(Answered()),
        "request_id": request_id,
        "text": "".join(token.text for token in tokens),
        "token_ids": [token.token_id for token in tokens],
        "attempts": attempts,
        "lineage": [
            {"host": stage.host, "layers": str(stage.layers)} for stage in chain.stages
        ],
    }
    return Reply(_OK, outcome_name(Answered()), msgspec.json.encode(body))


def error_reply(request_id: str, outcome: Outcome) -> Reply:
    """Return the error answer for an outcome other than :class:`Answered`."""
    match outcome:
        case NotRun(error=error, retry_after_s=retry_after_s):
            status = _STATUS.get(type(error), _UNAVAILABLE)
        case (
            Failed(error=error, retry_after_s=retry_after_s)
            | Unknown(error=error, retry_after_s=retry_after_s)
        ):
            status = _STATUS.get(type(error), _BAD_GATEWAY)
        case Answered():
            raise ValueError("an answered request has no error reply")
    name = outcome_name(outcome)
    return _error_reply(request_id, name, status, error, retry_after_s)


def refused_reply(
    request_id: str, error: RailfoldError, retry_after_s: float | None
) -> Reply:
    """Return the answer to a request that was refused before it was sent.

    :param retry_after_s: seconds after which a retry may succeed, or None if the
        same request would be refused again.
    """
    name = outcome_name(NotRun(NeverSent(), error, 0.0))
    status = _STATUS.get(type(error), _UNAVAILABLE)
    return _error_reply(request_id, name, status, error, retry_after_s)


def _error_reply(
    request_id: str,
    outcome: str,
    status: int,
    error: RailfoldError,
    retry_after_s: float | None,
) -> Reply:
    body: dict[str, Any] = {
        "outcome": outcome,
        "request_id": request_id,
        "code": error.code,
        "what": error.what,
        "why": error.why,
        "hint": error.hint,
    }
    headers = {}
    if retry_after_s is not None:
        body["retry_after_s"] = retry_after_s
        # Retry-After allows only whole seconds.
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
    return Reply(status, outcome, msgspec.json.encode(body), headers=headers)
