"""Stand-in for a plain service whose calls aren't idempotent.

``POST /slips/<id>`` records a slip and counts it. ``POST /drops/<id>`` does the same
but closes the connection without a response. ``GET /slips`` returns the counts,
``GET /echo`` responds at once, and ``GET /zeros/<count>`` with that many bytes.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from tornado.web import Application, RequestHandler


@dataclass
class ServiceState:
    """How often each slip was recorded, and the delay of each call."""

    slips: Counter[str] = field(default_factory=Counter)
    delay_s: float = 0.0


class _Handler(RequestHandler):
    def initialize(self, state: ServiceState) -> None:
        self.state = state


class SlipHandler(_Handler):
    """Records slips."""

    async def post(self, slip: str) -> None:
        """Record a slip and return its count."""
        self.state.slips[slip] += 1
        await asyncio.sleep(self.state.delay_s)
        self.set_status(201)
        self.finish({"slip": slip, "count": self.state.slips[slip]})


class DropHandler(_Handler):
    """Records a slip and closes the connection without a response."""

    def post(self, slip: str) -> None:
        """Record a slip."""
        self.state.slips[slip] += 1
        self.request.connection.detach().close()
        self._finished = True


class ZerosHandler(_Handler):
    """Responds with zeros."""

    async def get(self, count: str) -> None:
        """Respond with ``count`` bytes."""
        await asyncio.sleep(self.state.delay_s)
        self.finish(bytes(int(count)))


class SlipsHandler(_Handler):
    """Returns the counts of all slips."""

    def get(self) -> None:
        """Return the counts."""
        self.finish(dict(self.state.slips))


class HealthHandler(_Handler):
    """Reports the service as healthy."""

    def get(self) -> None:
        """Respond with ``ok``."""
        self.finish("ok")


class ControlHandler(_Handler):
    """Sets the delay of each call, in milliseconds."""

    def post(self, what: str) -> None:
        """Set the delay."""
        self.state.delay_s = int(what) / 1000.0
        self.finish({})


def make_application() -> Application:
    """Return the stand-in's application."""
    arguments = {"state": ServiceState()}
    return Application(
        [
            (r"/slips/([^/]+)", SlipHandler, arguments),
            (r"/drops/([^/]+)", DropHandler, arguments),
            (r"/slips", SlipsHandler, arguments),
            (r"/zeros/([0-9]+)", ZerosHandler, arguments),
            (r"/healthz", HealthHandler, arguments),
            (r"/echo", HealthHandler, arguments),
            (r"/control/delay/([0-9]+)", ControlHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
