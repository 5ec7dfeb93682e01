"""What backend servers say of themselves in the heads of their answers.

The one place that reads them, so that answers to requests and to an entry's own calls
count alike.
"""

from __future__ import annotations

from railfold._internal.decisions.engine_directory import EngineDirectory
from railfold._internal.forwarding.dialect import AnswerKind, Dialect, NotExecuted
from railfold._internal.forwarding.messages import ResponseHead
from railfold._internal.forwarding.peers.peer_channel import PeerChannel
from railfold._internal.forwarding.peers.peer_messages import LeavingNotice
from railfold._internal.forwarding.servers.backoffs import ServerBackoffs
from railfold._internal.forwarding.servers.rate_limits import RateLimits
from railfold._internal.forwarding.servers.unknown_headers import UnknownHeaders
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import EngineChanged
from railfold._internal.observability.metrics import Metrics

__all__ = ["ServerStatements"]

_BY_SERVER = "its answers say that it leaves"
_BY_PEER = "its answers to another entry say that it leaves"


class ServerStatements:
    """Reads rate limits, backoffs and leaving."""

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
        self._unknown_headers = UnknownHeaders(metrics)
        self._channel: PeerChannel | None = None

    def use(self, channel: PeerChannel) -> None:
        """Tell other entries of leaving servers over this channel from now on."""
        self._channel = channel

    def record_answer(
        self,
        server_id: str,
        kind: AnswerKind,
        head: ResponseHead,
        request_id: str,
        sent_s: float,
    ) -> bool:
        """Take the head of an answer to a request; return if it asks for a backoff.

        :param sent_s: when the request was sent.
        """
        self._limits.record_response(server_id, kind, head, sent_s)
        backed_off = self._backoffs.record_response(server_id, head, "a request")
        if not isinstance(kind, NotExecuted):
            self._backoffs.record_served(server_id, request_id)
        self._record_leaving(server_id, head)
        self._unknown_headers.note(server_id, self._dialect.unknown_headers(head))
        return backed_off

    def record_call_answer(self, server_id: str, head: ResponseHead) -> None:
        """Take the head of an answer to a call of this entry's own."""
        self._limits.record_call_response(server_id, head)
        self._backoffs.record_response(server_id, head, "a call")
        self._record_leaving(server_id, head)

    def _record_leaving(self, server_id: str, head: ResponseHead) -> None:
        if not self._dialect.says_leaving(head):
            return
        if self._note_leaving(server_id, _BY_SERVER) and self._channel is not None:
            self._channel.broadcast(LeavingNotice(server_id))

    def record_leaving_notice(self, message: LeavingNotice) -> None:
        """Take another entry's notice; it may be of a server that isn't known yet."""
        self._note_leaving(message.server_id, _BY_PEER)

    def _note_leaving(self, server_id: str, cause: str) -> bool:
        is_new = self._directory.mark_leaving(server_id)
        if is_new:
            self._metrics.count("servers.say_leaving")
            self._log.write(EngineChanged(server_id, "draining", cause))
        return is_new
