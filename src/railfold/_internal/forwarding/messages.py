"""HTTP messages as the forwarding entry holds them."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClientRequest", "Header", "RequestSize", "ResponseHead"]

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers of a backend server's answer."""

    status: int
    reason: str
    headers: tuple[Header, ...]

    def get(self, name: str, default: str = "") -> str:
        """Return the first header of that name, whatever its case."""
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


@dataclass(frozen=True, slots=True)
class RequestSize:
    """Tokens that a request to a model brings and may produce."""

    prompt_tokens: int = 0
    answer_tokens: int = 0

    @property
    def total(self) -> int:
        """All tokens that its state may grow to."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A whole request from a client, its headers decoded.

    :param target: path and query as the client sent them.
    :param headers: what is passed on; no connection headers, no credential.
    :param deadline_s: on the loop's clock; how long the client waits.
    :param last_event_id: the event after which a stream is to go on.
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
