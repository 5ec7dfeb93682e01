"""HTTP requests and response heads as the forwarding entry represents them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClientRequest", "Header", "RequestSize", "ResponseHead"]

Header = tuple[str, str]

_SUCCESSES = range(200, 300)
_NO_CONTENT = 204
_NOT_MODIFIED = 304


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of a backend server's answer."""

    status: int
    reason: str
    headers: tuple[Header, ...]

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return self.status in _SUCCESSES

    @property
    def is_no_content(self) -> bool:
        """Whether there is no content; such an answer states no length, either."""
        return self.status == _NO_CONTENT

    @property
    def forbids_body(self) -> bool:
        """Whether an answer with this status never has a body."""
        return self.status in (_NO_CONTENT, _NOT_MODIFIED)

    def get(self, name: str, default: str = "") -> str:
        """Return the first header of that name, ignoring case."""
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Number of tokens in a request's prompt, and at most in its answer."""

    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def total(self) -> int:
        """The largest number of tokens that the request's state may reach."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request from a client, with decoded headers.

    :param target: path and query as the client sent them.
    :param headers: the headers to pass on, without connection headers and credential.
    :param received_s: loop time at which the request was received.
    :param deadline_s: loop time until which the client waits, if it sent a deadline.
    :param last_event_id: the event after which the client wants a stream to resume.
    :param size: the number of tokens, if the request is for a model.
    :param prompt_parts: identifiers of the parts of its prompt, in order, if known.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: tuple[Header, ...]
    body: bytes
    credential: str
    received_s: float
    deadline_s: float | None
    last_event_id: int | None
    size: RequestSize
    prompt_parts: tuple[str, ...] = ()
