"""Reports of what backend servers send that belongs to no request in progress."""

from __future__ import annotations

from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import AnswerUnmatched
from railfold._internal.observability.metrics import Metrics

__all__ = ["UnmatchedAnswerReporter"]


class UnmatchedAnswerReporter:
    """Counts and logs answers that were skipped, and bytes behind complete answers."""

    def __init__(self, metrics: Metrics, log: DecisionLog) -> None:
        self._metrics = metrics
        self._log = log

    def skipped(
        self, server_id: str, request_id: str, named_id: str, status: int
    ) -> None:
        """Report an answer in the place of the one to a request.

        :param request_id: the request whose answer was expected.
        :param named_id: the request that the answer names; empty if it names none.
        """
        self._metrics.count("answers.skipped")
        self._log.write_routine(
            AnswerUnmatched(server_id, "skipped", request_id, named_id, status)
        )

    def surplus(self, server_id: str, last_request_id: str) -> None:
        """Report bytes behind a complete answer, or on an idle connection.

        :param last_request_id: the last request on the connection; empty if the last
            exchange was a call of this entry.
        """
        self._metrics.count("answers.surplus")
        self._log.write_routine(AnswerUnmatched(server_id, "surplus", last_request_id))
