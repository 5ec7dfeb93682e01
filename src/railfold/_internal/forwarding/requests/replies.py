"""Headers that are forwarded to clients, and error answers made by the entry."""

from __future__ import annotations

import msgspec

from railfold._internal.errors import (
    BodyTooLargeError,
    DeadlineExpiredError,
    HeadersTooLargeError,
    InvalidRequestError,
    RailfoldError,
    RepeatedCrashesError,
    UnauthorizedError,
    UnknownTargetError,
)
from railfold._internal.forwarding.messages import Header, ResponseHead

__all__ = ["connection_headers", "end_to_end_headers", "error_reply", "status_of"]

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class _ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    error: str
    what: str
    why: str = ""
    hint: str = ""


def connection_headers(connection: str) -> frozenset[str]:
    """Return the names, in lower case, of headers that aren't forwarded.

    :param connection: the message's Connection header, which may name more headers.
    """
    named = {name.strip().lower() for name in connection.split(",")}
    return _HOP_BY_HOP | named


def end_to_end_headers(head: ResponseHead, *, with_length: bool) -> list[Header]:
    """Return the headers of a backend server's answer that are sent to the client.

    :param with_length: whether to include the Content-Length header.
    """
    dropped = connection_headers(head.get("Connection"))
    if not with_length:
        dropped = dropped | {"content-length"}
    return [
        (name, value) for name, value in head.headers if name.lower() not in dropped
    ]


def error_reply(
    error: RailfoldError, retry_after_s: float | None
) -> tuple[list[Header], bytes]:
    """Return the headers and the body of an error answer made by the entry.

    There is no Retry-After header after repeated crashes, since a retry would crash
    more backend servers.
    """
    headers: list[Header] = [("Content-Type", "application/json")]
    if retry_after_s is not None and not isinstance(error, RepeatedCrashesError):
        headers.append(("Retry-After", f"{retry_after_s:g}"))
    body = _ErrorBody(error.code, error.what, error.why, error.hint)
    return headers, msgspec.json.encode(body)


def status_of(error: RailfoldError, *, not_run: bool) -> int:
    """Return the status of an error answer made by the entry.

    Status 503 tells the client that its request hasn't run and won't run. All other
    requests get a status that doesn't say whether they ran.

    :param not_run: whether it is certain that the request hasn't run and won't run.
    """
    match error:
        case UnauthorizedError():
            return _UNAUTHORIZED
        case UnknownTargetError():
            return _NOT_FOUND
        case InvalidRequestError() | HeadersTooLargeError() | BodyTooLargeError():
            return _BAD_REQUEST
        case RepeatedCrashesError():
            # Not 503, since clients understand that as an invitation to retry.
            return _BAD_GATEWAY
        case _ if not_run:
            return _SERVICE_UNAVAILABLE
        case DeadlineExpiredError():
            return _GATEWAY_TIMEOUT
        case _:
            return _BAD_GATEWAY
