"""The planned stop of a forwarding entry, from the signal to the exit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from absl import logging

from railfold._internal.decisions.drain import DrainSchedule, acceptance_error
from railfold._internal.forwarding.requests.front import ClientServer
from railfold._internal.forwarding.router import Router
from railfold._internal.observability.events import ProcessStopping

__all__ = ["PlannedStop"]

# How long the load balancer may still send new connections after the readiness probe
# fails; it probes once a second and reacts to the second failure. After this time,
# connections without a request are closed: a stream that began later couldn't end
# within the grace time.
_BALANCER_DRAIN_S = 2.8

# How long the exit waits for clients to read their final answers, within the part of
# the grace time reserved for it.
_FLUSH_TIMEOUT_S = 0.1

# The part of the grace time reserved for closing the remaining connections and exiting.
_EXIT_RESERVE_S = 0.4

_IDLE_POLL_S = 0.05


class PlannedStop:
    """Stops an entry by a schedule that each request is checked against.

    :param releases: give up what the entry holds in the store; they run beside the
        schedule, since the store may not answer.
    """

    def __init__(
        self,
        router: Router,
        clients: ClientServer,
        releases: Sequence[Callable[[], Coroutine[Any, Any, None]]],
    ) -> None:
        self._router = router
        self._clients = clients
        self._releases = releases
        self._loop = asyncio.get_running_loop()

    def require_accepting(self, now_s: float) -> None:
        """Check that the entry still accepts a request that is complete now.

        :raises EntryStoppingError: the entry has stopped to accept requests.
        """
        drain = self._router.drain
        in_time = drain is None or drain.accepts(now_s)
        if in_time and not self._clients.stopped:
            return
        self._router.metrics.count("requests.late")
        raise acceptance_error()

    async def run(self, started_s: float, grace_s: float) -> None:
        """End the acceptance, finish the requests in flight, and give up the rest.

        :param started_s: when the stop was requested, on the event loop's clock.
        :param grace_s: time after which the process is killed.
        """
        self._router.drain = drain = DrainSchedule.plan(
            started_s, _BALANCER_DRAIN_S, grace_s, _EXIT_RESERVE_S
        )
        self._clients.closes_connections = True
        self._log_stage("told to stop", started_s)
        release_tasks = [self._loop.create_task(run()) for run in self._releases]
        await asyncio.sleep(drain.accepts_until_s - self._loop.time())
        self._log_stage("accepts no more requests", started_s)
        self._clients.stop_accepting()
        await self._wait_for_clients(drain.ends_s)
        self._log_stage("the process exits", started_s)
        self._give_up_requests()
        flushed_s = min(self._loop.time() + _FLUSH_TIMEOUT_S, started_s + grace_s)
        await self._wait_for_clients(flushed_s)
        for task in release_tasks:
            task.cancel()
        self._router.log.flush()

    async def _wait_for_clients(self, until_s: float) -> None:
        """Wait until clients have no connection left, at most until ``until_s``."""
        # There is no event to wait for: connections end in tornado's callbacks,
        # requests in their drivers.
        while self._clients.open_connections and self._loop.time() < until_s:
            left_s = until_s - self._loop.time()
            await asyncio.sleep(min(_IDLE_POLL_S, left_s))

    def _give_up_requests(self) -> None:
        """Send the final answer to each request in flight."""
        for request in list(self._router.active):
            try:
                request.process_exits()
            except Exception:
                # The other requests still get their answers.
                logging.exception("a request in flight could not be ended")

    def _log_stage(self, stage: str, started_s: float) -> None:
        self._router.log.write(
            ProcessStopping(
                stage,
                len(self._router.active),
                round((self._loop.time() - started_s) * 1000, 1),
                self._clients.open_connections,
            )
        )
