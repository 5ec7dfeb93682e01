"""HTTP handlers that the operator ports of entries and agents share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from tornado.web import RequestHandler

__all__ = ["DrainHandler", "HealthHandler", "JsonHandler", "ReadyHandler"]

_SERVICE_UNAVAILABLE = 503
_ACCEPTED = 202


class JsonHandler(RequestHandler):
    """Answers GET with the return value of ``source`` as JSON."""

    def initialize(self, source: Callable[[], Any]) -> None:
        """Set the function that returns the value."""
        self._source = source

    def get(self) -> None:
        """Answer with the value."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._source()))


class HealthHandler(RequestHandler):
    """Answers 200 as long as the event loop runs."""

    def get(self) -> None:
        """Answer that the process is alive."""
        self.finish("ok\n")


class ReadyHandler(RequestHandler):
    """Answers 200 if the process is ready, else 503 with the missing conditions."""

    def initialize(self, missing: Callable[[], list[str]]) -> None:
        """Set the function that returns the missing conditions, empty if ready."""
        self._missing = missing

    def get(self) -> None:
        """Answer whether the process is ready."""
        missing = self._missing()
        if missing:
            self.set_status(_SERVICE_UNAVAILABLE)
            self.finish("not ready: " + "; ".join(missing) + "\n")
            return
        self.finish("ready\n")


class DrainHandler(RequestHandler):
    """Starts a drain on POST."""

    def initialize(self, drain: Callable[[], None]) -> None:
        """Set the function that starts the drain."""
        self._drain = drain

    def post(self) -> None:
        """Start the drain; has no effect on one that has started."""
        self._drain()
        self.set_status(_ACCEPTED)
        self.finish({"draining": True})
