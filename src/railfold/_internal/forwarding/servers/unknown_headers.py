"""Warnings about headers of backend servers that this version doesn't know.

A server may state a limit in a header that this version doesn't know and therefore
doesn't keep. A warning lets operators notice this before the limit is exceeded.
"""

from __future__ import annotations

from collections.abc import Iterable

from absl import logging

from railfold._internal.observability.metrics import Metrics

__all__ = ["UnknownHeaderReporter"]

# Number of header names that are reported. Bounds log lines and memory if servers send
# arbitrary names.
_MAX_REPORTED_NAMES = 32


class UnknownHeaderReporter:
    """Logs each unknown header name once and counts all occurrences."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._reported_names: set[str] = set()

    def report(self, server_id: str, names: Iterable[str]) -> None:
        """Report the unknown headers of a server's answer.

        :param names: names of these headers.
        """
        for name in names:
            self._metrics.count("answers.unknown_headers")
            if (
                name in self._reported_names
                or len(self._reported_names) >= _MAX_REPORTED_NAMES
            ):
                continue
            self._reported_names.add(name)
            logging.warning(
                "%s sent an answer with an unknown header: %r", server_id, name
            )
