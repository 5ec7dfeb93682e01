"""Finding out which backend servers live, and keeping work from those that don't.

What requests see comes first: a connection that is refused, a stream that falls
silent, answers that fail. A probe then tells a dead backend server from a slow
one, and finds a suspect one well again.
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
    is_another,
    stages_of,
)
from railfold._internal.forwarding.servers.liveness import (
    LONGEST_WAIT_S,
    LivenessCheck,
    Verdict,
)
from railfold._internal.observability.events import ChainProbed, EngineChanged

__all__ = ["ChainProber"]

# A probe of a look outlasts the look, which gives it up: one that timed out by itself
# would read as a refusal, and with nobody heard all would count as lost.
_LOOK_TIMEOUT_S = 2 * LONGEST_WAIT_S

# How long a suspect backend server is given when it is asked again; nothing waits.
_RECHECK_TIMEOUT_S = 0.5

# How long an engine that is named as the one at fault is given alone. After that it is
# looked at with witnesses; new requests keep away from it for 0.25 s by the refusal.
_AT_FAULT_TIMEOUT_S = 0.05

# An engine that says that it doesn't hold the layers asked of it was started again, or
# gave them up, and refuses all that is sent there, each time at the cost of a retry. It
# is left out until it registers anew, which takes a heartbeat and a read of the
# registrations. It isn't suspect: its layers would be placed elsewhere, although it may
# have just loaded them.
_MISPLACED_S = 3.0

# How many others are asked beside suspects, in their failure domains and elsewhere,
# as witnesses that this host can hear: one may be dead too.
_WITNESSES = 2

# How often a suspect backend server is probed: first, and at most.
_RECHECK_FIRST_S = 0.15
_RECHECK_MOST_S = 1.5

# A backend server that fails this many of its last answers gets no more work
# for a while, as long as most others of its service are in use.
_OUTCOMES_KEPT = 8
_FAILURES_TO_EJECT = 5
_EJECTION_S = 2.0
_MOST_EJECTED_SHARE = 0.34


class ChainProber:
    """Probes backend servers and marks those that are lost.

    :param calls: asks them.
    """

    def __init__(self, router: Router, calls: EngineCalls) -> None:
        self._router = router
        self.calls = calls
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self.pace = ProbeBackoff()
        # Called with each backend server that was found well.
        self.on_well: Callable[[str], None] = lambda server_id: None
        self._checking: set[str] = set()
        self._outcomes: dict[str, deque[bool]] = {}

    # What requests saw

    def doubt(self, server_id: str) -> None:
        """It broke off an answer: probe it at once."""
        self._check(server_id, self._give_up)

    def unreachable(self, server_id: str) -> None:
        """Nothing could be sent to it: probe it at once.

        What runs there goes on in any case: a plain service that is full resets new
        connections.
        """
        self._check(server_id, self._suspect_all)

    def _check(self, server_id: str, on_lost: Callable[[frozenset[str]], None]) -> None:
        if server_id not in self._checking:
            self._spawn(self._check_one(server_id, on_lost))

    def _suspect(self, server_id: str, cause: str) -> None:
        """Give it no new work until a probe finds it well."""
        if not self._router.directory.mark_suspect(server_id, self._loop.time()):
            return
        self._router.metrics.count("servers.suspected")
        self._router.pool.drop(server_id)
        self._router.log.write(EngineChanged(server_id, "suspect", cause))
        self._spawn(self._recheck(server_id, _RECHECK_FIRST_S))

    def not_executed(
        self, server_id: str, refusal: NotExecuted, load: int, *, backed_off: bool
    ) -> None:
        """It refused a request; another may be at fault, by its address.

        :param load: what the request would have added to what is held there.
        :param backed_off: whether it said for how long it wants no requests, so that no
            pause has to be guessed.
        """
        if not refusal.address:
            entry = self._router.directory.get(server_id)
            if entry is not None and not backed_off:
                self._refused(entry, load, misplaced=refusal.misplaced)
            return
        entry = self._router.directory.get_by_address(refusal.address)
        if entry is not None:
            if entry.server_id != server_id or not backed_off:
                self._refused(entry, load, misplaced=refusal.misplaced)
            if refusal.misplaced:
                until_s = self._loop.time() + _MISPLACED_S
                self._router.avoidance.avoid(entry.server_id, until_s)
            if entry.server_id not in self._checking:
                self._spawn(self._check_at_fault(entry))

    def _refused(
        self, entry: DirectoryEntry, load: int, *, misplaced: bool = False
    ) -> None:
        now_s = self._loop.time()
        own_tokens = self._router.fleet_load.own_load(entry.server_id).tokens
        self._router.avoidance.record_refusal(entry.server_id, now_s, own_tokens, load)
        if not misplaced:
            self._router.record_rejection(entry)

    def served(self, server_id: str) -> None:
        """It served a request."""
        self.on_well(server_id)
        self._note(server_id, served=True)

    def failed(self, server_id: str) -> None:
        """It failed a request that it took."""
        self._note(server_id, served=False)

    def _note(self, server_id: str, *, served: bool) -> None:
        outcomes = self._outcomes.setdefault(server_id, deque(maxlen=_OUTCOMES_KEPT))
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
        peers = self._router.directory.servers_of(entry.registration.service)
        out = sum(1 for peer in peers if not peer.routable)
        return out + 1 <= _MOST_EJECTED_SHARE * len(peers)

    # Probes

    def probe_suspects(self, chain: Chain, silence: Silence, request_id: str) -> None:
        """Ask the backend servers that a silent stream may wait for.

        Streams of a chain that surely stands still don't wait for the answers if
        it has hardly a backend server that another one could replace: they have
        to begin elsewhere anyway.
        """
        move_now = silence.stalled and not self._router.are_mostly_replaceable(
            silence.suspects
        )
        if self.pace.allow_probe(chain.hosts[0], self._loop.time()):
            self._spawn(self._probe_suspects(chain, silence, request_id, move_now))
        if move_now:
            self._router.report_stalled(chain)

    async def _probe_suspects(
        self, chain: Chain, silence: Silence, request_id: str, moved: bool
    ) -> None:
        found = await self._probe_chain(
            chain, silence.suspects, request_id, silence.silent_s
        )
        if found or moved or not silence.stalled:
            return
        if self._router.activity.is_stalled(chain.hosts, self._loop.time(), 0.0):
            self._router.report_stalled(chain)

    def ask_first(self, chain: Chain, request_id: str, silent_s: float) -> None:
        """Ask the first backend server of a silent stream whom it waits for."""
        if self.pace.allow_probe(chain.hosts[0], self._loop.time()):
            self._spawn(self._ask_first(chain, request_id, silent_s))

    async def _ask_first(self, chain: Chain, request_id: str, silent_s: float) -> None:
        first = chain.stages[0]
        try:
            report = await self.calls.report(first)
        except EngineError:
            await self._probe_chain(chain, chain.hosts[:1], request_id, silent_s)
            return
        if is_another(first, report.started_at_ms):
            await self._probe_chain(chain, chain.hosts[:1], request_id, silent_s)
            return
        stalled = report.stalled
        waited_for = tuple(
            stage.host for stage in chain.stages if stage.address in stalled
        )
        if waited_for:
            await self._probe_chain(chain, waited_for, request_id, silent_s)

    async def _probe_chain(
        self, chain: Chain, hosts: tuple[str, ...], request_id: str, silent_s: float
    ) -> bool:
        """Probe some of a chain's backend servers; return whether one is lost."""
        started_s = self._loop.time()
        verdict = await self._look_at([s for s in chain.stages if s.host in hosts])
        self._router.log.write(
            ChainProbed(
                request_id,
                round(silent_s * 1000, 1),
                round((self._loop.time() - started_s) * 1000, 1),
                len(hosts),
                verdict.answered,
                [h for h in hosts if self._router.directory.get(h) is None],
                sorted(verdict.lost),
            )
        )
        self._suspect_all(verdict.unheard)
        if verdict.lost:
            self.pace.dead_server_found(chain.hosts[0])
            self._give_up(verdict.lost)
        return bool(verdict.lost)

    async def _look_at(self, suspects: list[Stage]) -> Verdict:
        """Find out which of some backend servers are lost.

        One that a stream has moved through meanwhile isn't, whatever came of asking.

        :param suspects: not all need to be registered any more.
        """
        started_s = self._loop.time()
        near, far = self._witnesses({stage.host for stage in suspects})
        stages = {stage.host: stage for stage in (*suspects, *near, *far)}
        check = LivenessCheck(
            lambda host: self.calls.alive(stages[host], _LOOK_TIMEOUT_S)
        )
        verdict = await check.run(
            [stage.host for stage in suspects],
            [stage.host for stage in near],
            [stage.host for stage in far],
        )
        moved = self._router.activity.active_hosts_since(started_s)
        return replace(
            verdict, lost=verdict.lost - moved, unheard=verdict.unheard - moved
        )

    def _witnesses(self, suspects: Set[str]) -> tuple[list[Stage], list[Stage]]:
        """Return others that should answer: in the suspects' domains, and elsewhere."""
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
        return stages_of(near[:_WITNESSES]), stages_of(far[:_WITNESSES])

    def _suspect_all(self, server_ids: frozenset[str]) -> None:
        for server_id in server_ids:
            self._suspect(server_id, "no answer to a probe")

    def _give_up(self, lost: frozenset[str]) -> None:
        self._suspect_all(lost)
        self._router.report_lost(lost)

    async def _check_one(
        self, server_id: str, on_lost: Callable[[frozenset[str]], None]
    ) -> None:
        entry = self._router.directory.get(server_id)
        if entry is None:
            return  # Nothing new goes there.
        if self._no_check_s(entry) > 0.0:
            return  # Nor does it before its backoff ends.
        self._checking.add(server_id)
        try:
            verdict = await self._look_at(stages_of([entry]))
            self._suspect_all(verdict.unheard)
            if verdict.lost:
                on_lost(verdict.lost)
        finally:
            self._checking.discard(server_id)

    async def _check_at_fault(self, entry: DirectoryEntry) -> None:
        """Find out whether an engine behind the first one of a chain lives.

        Most that refuse are full. Asking one alone is enough, unless it doesn't answer:
        with witnesses each refusal would cost five connections.
        """
        server_id = entry.server_id
        (stage,) = stages_of([entry])
        self._checking.add(server_id)
        try:
            alive = await self.calls.alive(stage, _AT_FAULT_TIMEOUT_S)
        finally:
            self._checking.discard(server_id)
        if not alive:
            self.doubt(server_id)

    async def _recheck(self, server_id: str, interval_s: float) -> None:
        delay_s = interval_s
        while True:
            await asyncio.sleep(delay_s)
            entry = self._router.directory.get(server_id)
            if entry is None or entry.suspect_since_s is None:
                return
            delay_s = self._no_check_s(entry)
            if delay_s > 0.0:
                continue
            (stage,) = stages_of([entry])
            if await self.calls.alive(stage, _RECHECK_TIMEOUT_S):
                break
            interval_s = delay_s = min(_RECHECK_MOST_S, 2 * interval_s)
        self._router.directory.clear_suspicion(server_id)
        self.on_well(server_id)
        self._router.log.write(EngineChanged(server_id, "well", "it answers a probe"))

    def _no_check_s(self, entry: DirectoryEntry) -> float:
        """Return for how long a server gets no health check.

        A plain server's waits for a slot like a request, which it asked not to get.
        """
        if entry.registration.is_model_engine:
            return 0.0
        return self._router.backoffs.left_s(entry.server_id)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logging.error("a probe failed unexpectedly: %r", error)
