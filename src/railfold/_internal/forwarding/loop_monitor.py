"""Measures the event loop, for decisions about new connections."""

from __future__ import annotations

import asyncio

from railfold._internal import clock
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import OverloadChanged

__all__ = ["LoopMonitor"]

_INTERVAL_S = 0.05


class LoopMonitor:
    """Supervised child that measures how late and how busy the event loop is."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._admission = router.admission
        self._loop = asyncio.get_running_loop()
        self._due_s = self._loop.time()
        self._last_idle_s = self._idle_s()
        self._shedding = False
        # How often the monitor's timer ran.
        self.turns = 0

    @property
    def late_s(self) -> float:
        """For how long the monitor's timer has been due."""
        return max(0.0, self._loop.time() - self._due_s)

    def admits(self, awaited: int) -> bool:
        """Return whether to accept a new connection.

        :param awaited: see :meth:`ConnectionAdmission.admits`.
        """
        if self._router.drain is not None:
            return True
        now_s = self._loop.time()
        admitted = self._admission.admits(awaited, self.late_s, now_s)
        if not admitted:
            self._router.metrics.count("connections.closed_unread")
        return admitted

    async def run(self, ready: asyncio.Event) -> None:
        """Measure until cancelled."""
        started_s = self._loop.time()
        self._last_idle_s = self._idle_s()
        ready.set()
        while True:
            self._due_s = started_s + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            self.turns += 1
            now_s, idle_s = self._loop.time(), self._idle_s()
            busy_s = max(0.0, now_s - started_s - (idle_s - self._last_idle_s))
            self._admission.loop_ran(now_s - self._due_s, busy_s, now_s)
            self._last_idle_s, started_s = idle_s, now_s
            self._update(now_s)

    def _idle_s(self) -> float:
        loop = self._loop
        return loop.idle_s if isinstance(loop, clock.EventLoop) else loop.time()

    def _update(self, now_s: float) -> None:
        shedding = self._admission.sheds(now_s)
        if shedding == self._shedding:
            return
        self._shedding = shedding
        cost_ms = round(self._admission.request_cost_s * 1000, 1)
        self._router.metrics.count("overload.started" if shedding else "overload.ended")
        self._router.log.write(OverloadChanged(shedding, cost_ms))
