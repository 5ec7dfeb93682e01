"""Small HTTP handlers that both roles' operator ports share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from tornado.web import RequestHandler

__all__ = ["DrainHandler", "HealthHandler", "JsonHandler", "ReadyHandler"]

_SERVICE_UNAVAILABLE = 503
_ACCEPTED = 202


class JsonHandler(RequestHandler):
    """Answers GET with what ``source`` returns, as JSON."""

    def initialize(self, source: Callable[[], Any]) -> None:
        """Set the source."""
        self._source = source

    def get(self) -> None:
        """Answer."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(self._source()))


class HealthHandler(RequestHandler):
    """Answers 200 while the loop turns."""

    def get(self) -> None:
        """Answer."""
        self.finish("ok\n")


class ReadyHandler(RequestHandler):
    """Answers 200 if ready, else 503 and what is missing."""

    def initialize(self, missing: Callable[[], list[str]]) -> None:
        """Set the function that says what is missing."""
        self._missing = missing

    def get(self) -> None:
        """Answer."""
        missing = self._missing()
        if missing:
            self.set_status(_SERVICE_UNAVAILABLE)
            self.finish("not ready: " + "; ".join(missing) + "\n")
            return
        self.finish("ready\n")


class DrainHandler(RequestHandler):
    """Begins a drain on POST."""

    def initialize(self, drain: Callable[[], None]) -> None:
        """Set what begins the drain."""
        self._drain = drain

    def post(self) -> None:
        """Begin, or do nothing if it has begun."""
        self._drain()
        self.set_status(_ACCEPTED)
        self.finish({"draining": True})
