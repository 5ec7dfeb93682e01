"""Processing of what backend servers state about themselves in headers of answers.

Answers to clients' requests and answers to the entry's own calls are processed here, so
that both have the same effect.
"""

from __future__ import annotations

from railfold._internal.decisions.engine_directory import EngineDirectory
from railfold._internal.forwarding.dialect import AnswerKind, Dialect, NotExecuted
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import LeavingNotice
from railfold._internal.forwarding.servers.backoffs import ServerBackoffs
from railfold._internal.forwarding.servers.rate_limits import RateLimits
from railfold._internal.forwarding.servers.unknown_headers import UnknownHeaderReporter
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import EngineChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["AnswerHeaderReader"]

_SERVER_CAUSE = "its answers say that it leaves"
_PEER_CAUSE = "its answers to another entry say that it leaves"


class AnswerHeaderReader:
    """Processes rate limits, backoffs and departures that servers' answers announce."""

    def __init__(
        self,
        dialect: Dialect,
        directory: EngineDirectory,
        limits: RateLimits,
        backoffs: ServerBackoffs,
        metrics: Metrics,
        log: DecisionLog,
    ) -> None:
        self._dialect = dialect
        self._directory = directory
        self._limits = limits
        self._backoffs = backoffs
        self._metrics = metrics
        self._log = log
        self._unknown_header_reporter = UnknownHeaderReporter(metrics)
        self._channel: PeerChannel | None = None

    def set_channel(self, channel: PeerChannel) -> None:
        """Set the channel over which other entries are notified of departures."""
        self._channel = channel

    def record_head(
        self,
        server_id: str,
        kind: AnswerKind,
        head: ResponseHead,
        request_id: str,
        sent_s: float,
    ) -> bool:
        """Process the head of an answer to a request.

        :param sent_s: when the request was sent.
        :returns: whether the answer requests a backoff.
        """
        self._limits.record_head(server_id, head, sent_s)
        backed_off = self._backoffs.record_answer(server_id, head, "a request")
        if not isinstance(kind, NotExecuted):
            self._backoffs.record_served(server_id, request_id)
        self._record_leaving(server_id, head)
        self._unknown_header_reporter.report(
            server_id, self._dialect.unknown_headers(head)
        )
        return backed_off

    def record_answer(
        self, server_id: str, kind: AnswerKind, head: ResponseHead, sent_s: float
    ) -> None:
        """Process what an answer's head doesn't name, once the answer is proven.

        :param head: of an answer that is whole, or of a stream that has begun.
        """
        self._limits.record_answer(server_id, kind, head, sent_s)

    def record_call_answer(self, server_id: str, head: ResponseHead) -> None:
        """Process the head of an answer to a call that this entry made for itself."""
        self._limits.record_call_answer(server_id, head)
        self._backoffs.record_answer(server_id, head, "a call")
        self._record_leaving(server_id, head)

    def _record_leaving(self, server_id: str, head: ResponseHead) -> None:
        if not self._dialect.announces_leaving(head):
            return
        if self._mark_leaving(server_id, _SERVER_CAUSE) and self._channel is not None:
            self._channel.broadcast(LeavingNotice(server_id))

    def record_leaving_notice(self, message: LeavingNotice) -> None:
        """Process another entry's notice that a server leaves.

        The server may not be known to this entry yet.
        """
        self._mark_leaving(message.server_id, _PEER_CAUSE)

    def _mark_leaving(self, server_id: str, cause: str) -> bool:
        is_new = self._directory.mark_leaving(server_id)
        if is_new:
            self._metrics.count("servers.say_leaving")
            self._log.write(EngineChanged(server_id, "draining", cause))
        return is_new
