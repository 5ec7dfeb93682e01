"""Driver of a plain service: passes calls on and polls its health."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from absl import logging

from railfold._internal.agent.backend import BackendReport
from railfold._internal.decisions.calls import CallRegister
from railfold._internal.decisions.stalls import StepTimes
from railfold._internal.engines.http_service import HttpService
from railfold._internal.errors import EngineError, EngineUnavailableError
from railfold._internal.links.connection import Link, owner_name
from railfold._internal.links.messages import (
    CallRefused,
    CallResult,
    CallService,
    Frame,
)
from railfold._internal.observability.metrics import Metrics

__all__ = ["ServiceBackend"]


class ServiceBackend:
    """Passes calls on to one plain service, each request id at most once.

    :param name: name of the service; calls for another one are refused.
    :param capacity: the most calls in flight.
    :param on_change: called when the service becomes healthy or unhealthy.
    """

    def __init__(
        self,
        name: str,
        service: HttpService,
        metrics: Metrics,
        *,
        capacity: int,
        status_interval_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self._name = name
        self._service = service
        self._metrics = metrics
        self._capacity = capacity
        self._status_interval_s = status_interval_s
        self._on_change = on_change
        self._register = CallRegister()
        self._healthy = False
        self._call_times = StepTimes()
        self._running_by_owner: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def report(self) -> BackendReport:
        """Return the state to report to entries."""
        return BackendReport(
            available=self._healthy,
            running=self._register.running,
            capacity=self._capacity,
            step_ms=self._call_times.mean_s * 1000.0,
            services=(self._name,),
        )

    def stalled(self) -> bool:
        """Return False: calls vary too much in duration to tell a stalled one."""
        return False

    def set_draining(self) -> None:
        """Refuse new calls from now on, and finish the running ones."""
        self._register.draining = True

    def owned_by(self, owner: str) -> int:
        """Return how many of the running calls an entry owns."""
        return self._running_by_owner[owner]

    def owner_lost(self, owner: str) -> None:
        """Do nothing: a call that was passed on can't be cancelled."""

    def frame_received(self, link: Link, frame: Frame) -> None:
        """Pass the calls of an entry's frame on to the service."""
        for message in frame.messages:
            match message:
                case CallService():
                    self._accept_call(link, message)
                case _:
                    pass

    def _accept_call(self, link: Link, call: CallService) -> None:
        reason = self._refusal_reason(call)
        if reason:
            self._metrics.count(f"calls.refused.{reason}")
            link.send(CallRefused(call.request_id, False, reason))
            return
        if not self._register.admit(call.request_id):
            # The first copy of this call has been answered or is still running.
            self._metrics.count("calls.duplicates")
            return
        self._register.running += 1
        self._running_by_owner[owner_name(link)] += 1
        task = asyncio.create_task(self._call(link, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refusal_reason(self, call: CallService) -> str:
        if call.service != self._name:
            return "wrong_service"
        if self._register.draining:
            return "draining"
        if not self._healthy:
            return "backend_unavailable"
        if self._register.running >= self._capacity:
            return "full"
        return ""

    async def _call(self, link: Link, call: CallService) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            answer = await self._service.call(
                call.request_id,
                call.method,
                call.path,
                call.content_type,
                call.body,
                call.timeout_s,
            )
            reply: CallResult | CallRefused = CallResult(
                call.request_id, answer.status, answer.content_type, answer.body
            )
        except EngineUnavailableError as error:
            reply = CallRefused(call.request_id, True, error.why)
        except EngineError as error:
            reply = CallRefused(call.request_id, False, error.why)
        finally:
            self._register.running -= 1
            self._running_by_owner[owner_name(link)] -= 1
        self._metrics.count("calls.passed_on")
        self._call_times.record(loop.time() - started_s)
        link.send(reply)

    async def run_status(self, ready: asyncio.Event) -> None:
        """Check the service's health at intervals until cancelled."""
        ready.set()
        while True:
            was_healthy = self._healthy
            self._healthy = await self._service.healthy()
            if was_healthy != self._healthy:
                logging.info(
                    "health of service %s changed: %s", self._name, self._healthy
                )
                self._on_change()
            await asyncio.sleep(self._status_interval_s)
