"""The answer to a client's request, over all attempts of the request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from railfold._internal.core import Answered, Failed, NotRun, Outcome, Unknown
from railfold._internal.errors import RailfoldError
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.requests.front import ClientExchange
from railfold._internal.forwarding.requests.replies import (
    end_to_end_headers,
    error_reply,
    status_of,
)

__all__ = ["ABORTED", "BufferedAnswer", "ClientAnswer"]

_OK = 200

# Logged as the status of an answer that was aborted after its head had been sent.
ABORTED = 0


@dataclass(slots=True)
class BufferedAnswer:
    """An answer of a backend server that isn't sent to the client until it is complete.

    :param size: bytes of the body so far.
    """

    head: ResponseHead
    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    def add(self, data: bytes) -> None:
        """Append bytes of the body."""
        self.parts.append(data)
        self.size += len(data)

    @property
    def body(self) -> bytes:
        """The bytes of the body received so far."""
        return b"".join(self.parts)


class ClientAnswer:
    """Sends one answer to a client.

    Once its head is sent, the answer can only be continued or aborted.
    """

    def __init__(self, client: ClientExchange) -> None:
        self._client = client
        self._server_failure: BufferedAnswer | None = None

    @property
    def head_sent(self) -> bool:
        """Whether the head of the answer was sent to the client."""
        return self._client.head_sent

    def send_head(self, head: ResponseHead, *, with_length: bool) -> None:
        """Send the head of the answer. A resumed answer keeps its first head.

        :param with_length: whether to include the Content-Length header.
        """
        headers = end_to_end_headers(head, with_length=with_length)
        self._client.send_head(head.status, head.reason, headers)

    def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        self._client.send_body(data)

    @property
    def congested(self) -> bool:
        """Whether the unread data exceeds the memory that the client may use."""
        return self._client.congested

    def call_when_read(self, callback: Callable[[], None]) -> None:
        """Call back once the client has read all sent data or has disconnected."""
        self._client.call_when_read(callback)

    def reserve_buffer(self, size_bytes: int) -> bool:
        """Reserve memory for buffered bytes; return whether they fit into the quota.

        The bytes are in memory already, so they are counted even if they don't fit.
        """
        if self._client.reservation.try_reserve(size_bytes):
            return True
        self._client.reservation.reserve_unchecked(size_bytes)
        return False

    def finish(self) -> None:
        """End the answer, which is complete."""
        self._client.finish()

    def send_buffered(self, answer: BufferedAnswer) -> None:
        """Send a complete answer that was buffered."""
        self.release_buffer(answer)
        head = answer.head
        if self._client.head_only or head.forbids_body:
            self.send_head(head, with_length=not head.is_no_content)
            self.finish()
            return
        headers = end_to_end_headers(head, with_length=False)
        self._client.reply(head.status, headers, answer.body, head.reason)

    def release_buffer(self, answer: BufferedAnswer) -> None:
        """Release the memory reserved for a buffered answer."""
        self._client.reservation.release_bytes(answer.size)

    def keep_failure(self, answer: BufferedAnswer | None) -> None:
        """Keep a backend server's error answer, sent if no later attempt succeeds."""
        self._server_failure = answer

    def send_outcome(self, outcome: Outcome) -> int:
        """Send an error answer if the outcome needs one; return the answer's status.

        The status is 0 if an answer that had started was aborted.
        """
        match outcome:
            case Answered():
                return _OK
            case NotRun(error=error, retry_after_s=retry_after_s):
                return self._reply_with_error(error, retry_after_s, not_run=True)
            case Failed(error=error, retry_after_s=retry_after_s):
                return self._reply_with_failure(error, retry_after_s)
            case Unknown(error=error):
                return self._reply_with_failure(error, None)

    def _reply_with_failure(
        self, error: RailfoldError, retry_after_s: float | None
    ) -> int:
        if self._server_failure is not None and not self._client.head_sent:
            self.send_buffered(self._server_failure)
            return self._server_failure.head.status
        return self._reply_with_error(error, retry_after_s, not_run=False)

    def _reply_with_error(
        self, error: RailfoldError, retry_after_s: float | None, *, not_run: bool
    ) -> int:
        if self._client.head_sent:
            self._client.abort()
            return ABORTED
        status = status_of(error, not_run=not_run)
        headers, body = error_reply(error, retry_after_s)
        self._client.reply(status, headers, body)
        return status
