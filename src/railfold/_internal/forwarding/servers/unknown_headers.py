"""Telling of headers in backend servers' answers that nothing here reads.

A server may state a bound under a name that this version doesn't know. Such a name gets
one line, so that it is found in the logs before it is found in what goes wrong.
"""

from __future__ import annotations

from collections.abc import Iterable

from absl import logging

from railfold._internal.observability.metrics import Metrics

__all__ = ["UnknownHeaderReporter"]

# Servers that make names up must not fill logs or memory.
_MAX_REPORTED_NAMES = 32


class UnknownHeaderReporter:
    """Tells once of each name."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._reported_names: set[str] = set()

    def report(self, server_id: str, names: Iterable[str]) -> None:
        """Take the unknown names of an answer."""
        for name in names:
            self._metrics.count("answers.unknown_headers")
            if (
                name in self._reported_names
                or len(self._reported_names) >= _MAX_REPORTED_NAMES
            ):
                continue
            self._reported_names.add(name)
            logging.warning(
                "%s answers with a header that isn't known: %r", server_id, name
            )
