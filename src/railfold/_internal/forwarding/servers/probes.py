"""Detection of lost backend servers, based on failed requests and probes.

Failures of clients' requests raise a suspicion: a refused connection, a silent stream
or failed answers. A probe then tells a dead backend server from a slow one, and later
detects that a suspect server has recovered.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Set
from dataclasses import replace
from typing import Any

from absl import logging

from railfold._internal.core import Chain, Stage
from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.decisions.probe_backoff import ProbeBackoff
from railfold._internal.errors import EngineError
from railfold._internal.forwarding.dialect import NotExecuted
from railfold._internal.forwarding.requests.stream_watch import Silence
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.servers.engine_calls import (
    EngineCalls,
    is_other_incarnation,
    stages_of,
)
from railfold._internal.forwarding.servers.liveness import (
    MAX_WAIT_S,
    LivenessCheck,
    Verdict,
)
from railfold._internal.observability.events import (
    ChainProbed,
    ChainStalled,
    EngineChanged,
)

__all__ = ["ServerProber"]

# Timeout of a probe within a liveness check. It is longer than the check, which cancels
# its probes: a timed-out probe would count as a refusal, and all silent servers as lost
# although no server answered.
_LIVENESS_PROBE_TIMEOUT_S = 2 * MAX_WAIT_S

# Timeout of the probes that check whether a suspect server has recovered. No request
# waits for them.
_RECHECK_TIMEOUT_S = 0.5

# Timeout of the single probe of an engine that another server's refusal names as being
# at fault. If it doesn't answer, a liveness check with witnesses follows. New requests
# avoid the engine for 0.25 s because of the refusal.
_AT_FAULT_TIMEOUT_S = 0.05

# Time for which new requests avoid an engine that doesn't hold the layers of a request.
# It has restarted or dropped them, and refuses all requests for them, each of which
# costs a retry. The time is enough for a new registration, which takes a heartbeat and
# a read of the registrations. The engine isn't marked as suspect, since its layers
# would then be placed elsewhere, although it may have just loaded them.
_MISPLACED_AVOID_S = 3.0

# Number of witnesses that are probed together with suspects, in the suspects' failure
# domains and again in others. An answer of a witness proves that this host receives
# answers. There is more than one, since a witness may be dead as well.
_MAX_WITNESSES = 2

# First and longest interval between probes of a suspect server. The interval doubles
# after each probe that fails.
_MIN_RECHECK_INTERVAL_S = 0.15
_MAX_RECHECK_INTERVAL_S = 1.5

# A backend server is ejected if this many of its last answers were failures. It then
# gets no requests for a while. At most this share of a service's servers may be
# unroutable after an ejection.
_OUTCOME_WINDOW = 8
_FAILURES_TO_EJECT = 5
_EJECTION_S = 2.0
_MAX_EJECTED_SHARE = 0.34


class ServerProber:
    """Probes backend servers, and marks those that are lost as suspect.

    :param calls: makes the calls to the servers.
    """

    def __init__(self, router: Router, calls: EngineCalls) -> None:
        self._router = router
        self.calls = calls
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self.probe_backoff = ProbeBackoff()
        # Called with the id of each server that is found to be healthy.
        self.on_healthy: Callable[[str], None] = lambda server_id: None
        self._checking: set[str] = set()
        self._outcomes: dict[str, deque[bool]] = {}

    # Outcomes of requests

    def record_broken_answer(self, server_id: str) -> None:
        """Probe a server that broke off an answer, and report it if it is lost."""
        self._start_check(server_id, self._report_lost)

    def record_unreachable(self, server_id: str) -> None:
        """Probe a server to which a request couldn't be sent.

        Its running requests continue in any case: a server of a plain service that is
        at capacity resets new connections.
        """
        self._start_check(server_id, self._mark_all_suspect)

    def _start_check(
        self, server_id: str, on_lost: Callable[[frozenset[str]], None]
    ) -> None:
        if server_id not in self._checking:
            self._spawn(self._check_one(server_id, on_lost))

    def _mark_suspect(self, server_id: str, cause: str) -> None:
        """Send a server no new requests until a probe finds it healthy."""
        if not self._router.directory.mark_suspect(server_id, self._loop.time()):
            return
        self._router.metrics.count("servers.suspected")
        self._router.drop_connections(server_id)
        self._router.log.write(EngineChanged(server_id, "suspect", cause))
        self._spawn(self._recheck(server_id, _MIN_RECHECK_INTERVAL_S))

    def record_not_executed(
        self,
        server_id: str,
        refusal: NotExecuted,
        request_tokens: int,
        *,
        backed_off: bool,
    ) -> None:
        """Record that a server refused a request, which may be another server's fault.

        :param refusal: the refusal, with the address of the server at fault.
        :param request_tokens: load, in tokens, that the request would have added to a
            server.
        :param backed_off: whether the refusing server requested a backoff. No other
            pause is applied to it then.
        """
        if not refusal.address:
            entry = self._router.directory.get(server_id)
            if entry is not None and not backed_off:
                self._record_refusal(
                    entry, request_tokens, misplaced=refusal.lacks_layers
                )
            return
        entry = self._router.directory.get_by_address(refusal.address)
        if entry is not None:
            if entry.server_id != server_id or not backed_off:
                self._record_refusal(
                    entry, request_tokens, misplaced=refusal.lacks_layers
                )
            if refusal.lacks_layers:
                until_s = self._loop.time() + _MISPLACED_AVOID_S
                self._router.avoidance.avoid(entry.server_id, until_s)
            if entry.server_id not in self._checking:
                self._spawn(self._check_at_fault(entry))

    def _record_refusal(
        self, entry: DirectoryEntry, request_tokens: int, *, misplaced: bool = False
    ) -> None:
        now_s = self._loop.time()
        own_tokens = self._router.fleet_load.own_load(entry.server_id).tokens
        self._router.avoidance.record_refusal(
            entry.server_id, now_s, own_tokens, request_tokens
        )
        if not misplaced:
            self._router.record_rejection(entry)

    def record_served(self, server_id: str) -> None:
        """Record that a server served a request."""
        self.on_healthy(server_id)
        self._record_outcome(server_id, served=True)

    def record_failure(self, server_id: str) -> None:
        """Record that a server accepted a request and failed."""
        self._record_outcome(server_id, served=False)

    def _record_outcome(self, server_id: str, *, served: bool) -> None:
        outcomes = self._outcomes.setdefault(server_id, deque(maxlen=_OUTCOME_WINDOW))
        outcomes.append(served)
        if served or outcomes.count(False) < _FAILURES_TO_EJECT:
            return
        entry = self._router.directory.get(server_id)
        if entry is None or not self._may_eject(entry):
            return
        outcomes.clear()
        if self._router.directory.mark_suspect(server_id, self._loop.time()):
            self._router.metrics.count("servers.ejected")
            self._router.log.write(
                EngineChanged(server_id, "ejected", "most of its last answers failed")
            )
            self._spawn(self._recheck(server_id, _EJECTION_S))

    def _may_eject(self, entry: DirectoryEntry) -> bool:
        servers = self._router.directory.servers_of(entry.registration.service)
        unroutable_count = sum(1 for server in servers if not server.routable)
        return unroutable_count + 1 <= _MAX_EJECTED_SHARE * len(servers)

    # Probes

    def probe_suspects(self, chain: Chain, silence: Silence, request_id: str) -> None:
        """Probe the backend servers that a silent stream may be waiting for.

        If the chain is stalled and fewer than half of the suspects can be replaced by
        other engines, its streams are moved at once. They don't wait for the probes,
        since they have to start again on another chain anyway.
        """
        reroute_now = silence.stalled and not self._router.are_mostly_replaceable(
            silence.suspects
        )
        if self.probe_backoff.allow_probe(chain.hosts[0], self._loop.time()):
            self._spawn(self._probe_suspects(chain, silence, request_id, reroute_now))
        if reroute_now:
            self._report_stalled(chain, silence)

    async def _probe_suspects(
        self, chain: Chain, silence: Silence, request_id: str, rerouted: bool
    ) -> None:
        any_lost = await self._probe_chain(
            chain, silence.suspects, request_id, silence.silent_s
        )
        if any_lost or rerouted or not silence.stalled:
            return
        if self._router.activity.is_stalled(chain.hosts, self._loop.time(), 0.0):
            self._report_stalled(chain, silence)

    def _report_stalled(self, chain: Chain, silence: Silence) -> None:
        event = ChainStalled(
            chain.hosts[0], list(silence.suspects), round(silence.silent_s * 1000, 1)
        )
        self._router.log.write(event)
        self._router.report_stalled(chain)

    def query_first_engine(
        self, chain: Chain, request_id: str, silent_s: float
    ) -> None:
        """Probe the servers that the first engine of a silent stream waits for."""
        if self.probe_backoff.allow_probe(chain.hosts[0], self._loop.time()):
            self._spawn(self._query_first_engine(chain, request_id, silent_s))

    async def _query_first_engine(
        self, chain: Chain, request_id: str, silent_s: float
    ) -> None:
        first = chain.stages[0]
        try:
            report = await self.calls.report(first)
        except EngineError:
            await self._probe_chain(chain, chain.hosts[:1], request_id, silent_s)
            return
        if is_other_incarnation(first, report.started_at_ms):
            await self._probe_chain(chain, chain.hosts[:1], request_id, silent_s)
            return
        stalled = report.stalled_addresses
        stalled_hosts = tuple(
            stage.host for stage in chain.stages if stage.address in stalled
        )
        if stalled_hosts:
            await self._probe_chain(chain, stalled_hosts, request_id, silent_s)

    async def _probe_chain(
        self, chain: Chain, hosts: tuple[str, ...], request_id: str, silent_s: float
    ) -> bool:
        """Probe some of a chain's backend servers; return whether any is lost.

        :param hosts: ids of the servers to probe.
        :param silent_s: how long the stream has been silent, for the log.
        """
        started_s = self._loop.time()
        verdict = await self._check_liveness(
            [s for s in chain.stages if s.host in hosts]
        )
        self._router.log.write(
            ChainProbed(
                request_id,
                round(silent_s * 1000, 1),
                round((self._loop.time() - started_s) * 1000, 1),
                len(hosts),
                verdict.healthy_count,
                [h for h in hosts if self._router.directory.get(h) is None],
                sorted(verdict.lost),
            )
        )
        self._mark_all_suspect(verdict.undecided)
        if verdict.lost:
            self.probe_backoff.dead_server_found(chain.hosts[0])
            self._report_lost(verdict.lost)
        return bool(verdict.lost)

    async def _check_liveness(self, suspects: list[Stage]) -> Verdict:
        """Return which of the suspects are lost.

        Servers of streams that received an event meanwhile are alive, whatever the
        result of the probes.

        :param suspects: stages of the suspects, which may not be registered any more.
        """
        started_s = self._loop.time()
        near, far = self._witnesses({stage.host for stage in suspects})
        stages = {stage.host: stage for stage in (*suspects, *near, *far)}
        check = LivenessCheck(
            lambda host: self.calls.is_alive(stages[host], _LIVENESS_PROBE_TIMEOUT_S)
        )
        verdict = await check.run(
            [stage.host for stage in suspects],
            [stage.host for stage in near],
            [stage.host for stage in far],
        )
        active_hosts = self._router.activity.active_hosts_since(started_s)
        return replace(
            verdict,
            lost=verdict.lost - active_hosts,
            undecided=verdict.undecided - active_hosts,
        )

    def _witnesses(self, suspects: Set[str]) -> tuple[list[Stage], list[Stage]]:
        """Return witnesses: healthy engines in the suspects' domains, and in others.

        :param suspects: ids of the suspects.
        """
        directory = self._router.directory
        domains = {
            entry.registration.failure_domain
            for entry in map(directory.get, suspects)
            if entry is not None
        }
        table = self._router.table
        services = table.services if table is not None else {}
        others = [
            entry
            for entry in directory
            if entry.routable
            and entry.registration.service in services
            and entry.registration.is_model_engine
            and entry.server_id not in suspects
        ]
        self._router.rng.shuffle(others)
        near = [e for e in others if e.registration.failure_domain in domains]
        far = [e for e in others if e.registration.failure_domain not in domains]
        return stages_of(near[:_MAX_WITNESSES]), stages_of(far[:_MAX_WITNESSES])

    def _mark_all_suspect(self, server_ids: frozenset[str]) -> None:
        for server_id in server_ids:
            self._mark_suspect(server_id, "no answer to a probe")

    def _report_lost(self, lost: frozenset[str]) -> None:
        self._mark_all_suspect(lost)
        self._router.report_lost(lost)

    async def _check_one(
        self, server_id: str, on_lost: Callable[[frozenset[str]], None]
    ) -> None:
        entry = self._router.directory.get(server_id)
        if entry is None:
            return  # It gets no new requests anyway.
        if self._check_delay_s(entry) > 0.0:
            return  # It gets no requests before the end of its backoff.
        self._checking.add(server_id)
        try:
            verdict = await self._check_liveness(stages_of([entry]))
            self._mark_all_suspect(verdict.undecided)
            if verdict.lost:
                on_lost(verdict.lost)
        finally:
            self._checking.discard(server_id)

    async def _check_at_fault(self, entry: DirectoryEntry) -> None:
        """Probe an engine that another server's refusal names as being at fault.

        Most such engines are at capacity and answer. Witnesses are probed only if the
        engine doesn't answer: with them, each refusal would cost five connections.
        """
        server_id = entry.server_id
        (stage,) = stages_of([entry])
        self._checking.add(server_id)
        try:
            is_alive = await self.calls.is_alive(stage, _AT_FAULT_TIMEOUT_S)
        finally:
            self._checking.discard(server_id)
        if not is_alive:
            self.record_broken_answer(server_id)

    async def _recheck(self, server_id: str, interval_s: float) -> None:
        delay_s = interval_s
        while True:
            await asyncio.sleep(delay_s)
            entry = self._router.directory.get(server_id)
            if entry is None or entry.suspect_since_s is None:
                return
            delay_s = self._check_delay_s(entry)
            if delay_s > 0.0:
                continue
            (stage,) = stages_of([entry])
            if await self.calls.is_alive(stage, _RECHECK_TIMEOUT_S):
                break
            interval_s = delay_s = min(_MAX_RECHECK_INTERVAL_S, 2 * interval_s)
        self._router.directory.clear_suspicion(server_id)
        self.on_healthy(server_id)
        self._router.log.write(EngineChanged(server_id, "well", "it answers a probe"))

    def _check_delay_s(self, entry: DirectoryEntry) -> float:
        """Return for how long a server gets no health check, in seconds.

        A server of a plain service gets none during a backoff, since its health checks
        take slots like requests.
        """
        if entry.registration.is_model_engine:
            return 0.0
        return self._router.backoffs.left_s(entry.server_id)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logging.error("a probe failed unexpectedly: %r", error)
