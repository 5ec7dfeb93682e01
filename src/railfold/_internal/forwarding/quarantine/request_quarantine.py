"""Holds back requests that crash each backend server that runs them.

Crashes are announced to the other entries at once, and holds are recorded in the store
for entries that start later. Reports of other entries are only hints: crashes of
servers that turn out to be running are retracted, and a content that another entry
holds back is tried again like one that this entry holds back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from railfold._internal import clock
from railfold._internal.decisions.engine_directory import DirectoryEntry
from railfold._internal.decisions.quarantine import (
    Crash,
    Quarantine,
    QuarantineChange,
    QuarantineDecision,
    RequestContent,
    RequestDecisions,
    RequestDigests,
)
from railfold._internal.decisions.routing_table import CredentialOwner, Route
from railfold._internal.errors import RepeatedCrashesError, RequestOnTrialError
from railfold._internal.forwarding.adapter import WritableLog
from railfold._internal.forwarding.messages import ClientRequest
from railfold._internal.forwarding.peers.peer_messages import (
    MAX_CRASHES_SENT,
    CrashesNotice,
    PeerMessage,
    SuccessNotice,
    TrialNotRun,
    TrialStarted,
)
from railfold._internal.forwarding.quarantine.content_digest import ContentDigests
from railfold._internal.forwarding.quarantine.crash_notices import (
    age_ms,
    content_from_notice,
    crashes_from_notice,
    crashes_notice,
    most_suspicious,
)
from railfold._internal.forwarding.quarantine.crash_reports import CrashReports
from railfold._internal.forwarding.quarantine.crash_watch import (
    CrashWatch,
    InterruptedRun,
    RunDetails,
)
from railfold._internal.forwarding.quarantine.quarantine_records import (
    QuarantineRecords,
)
from railfold._internal.forwarding.quarantine.success_confirmer import (
    SuccessConfirmer,
)
from railfold._internal.forwarding.router import Router
from railfold._internal.forwarding.store.shared_records import HoldRecord
from railfold._internal.observability.events import QuarantineChanged, ServerCrashed

__all__ = ["RequestQuarantine"]

_UPKEEP_INTERVAL_S = 0.25

# How long a client is asked to wait if its request isn't retried at once. By then all
# entries know whether its server has crashed.
_RETRY_DELAY_S = 0.5


class RequestQuarantine:
    """One entry's quarantine of requests that may crash backend servers.

    No request is recognized before the shared key is set.

    :param log: a client of the store's log, for writing records.
    :param stream: the stream of these records.
    :param announce: sends a message to the other entries.
    :param stores_key: whether the shared key is kept in the store, rather than given in
        the settings.
    """

    def __init__(
        self,
        router: Router,
        log: WritableLog,
        stream: str,
        announce: Callable[[PeerMessage], None],
        *,
        stores_key: bool = True,
    ) -> None:
        self._router = router
        self._announce = announce
        self._loop = asyncio.get_running_loop()
        self._digests = ContentDigests()
        self._quarantine = Quarantine()
        self._decisions = RequestDecisions(self._quarantine)
        self._watch = CrashWatch(self._on_crash)
        self._records = QuarantineRecords(
            log, stream, router, self._digests, stores_key=stores_key
        )
        self._reports = CrashReports(router.directory)
        self._confirmer = SuccessConfirmer(self._quarantine, router.rng, announce)

    def set_key(self, shared_key: bytes) -> None:
        """Set the key that all entries share."""
        self._digests.set_key(shared_key)

    @property
    def has_key(self) -> bool:
        """Whether the shared key is known, which recognizing requests needs."""
        return self._digests.has_key

    # Requests

    def admit(
        self, request: ClientRequest, route: Route, owner: CredentialOwner | None
    ) -> bool:
        """Check a request that has arrived; return whether it runs as a trial.

        :raises RepeatedCrashesError: its content or a part of its prompt is held back.
        :raises RequestOnTrialError: another request with one of them is on trial.
        """
        if not self._has_suspects:
            return False
        digests = self._digests.all_of(request, owner)
        now_s = self._loop.time()
        match self._decide(digests, now_s):
            case QuarantineDecision.ALLOW:
                return False
            case QuarantineDecision.REFUSE:
                raise self._held_back_error(digests, now_s)
            case QuarantineDecision.WAIT:
                raise self._on_trial_error(digests, now_s)
            case QuarantineDecision.ALLOW_TRIAL:
                for digest in self._decisions.trial_digests(digests, now_s):
                    self._apply_changes(self._quarantine.start_trial(digest, now_s))
                    self._announce(TrialStarted(digest))
                return True

    def check(
        self, request: ClientRequest, owner: CredentialOwner | None, *, on_trial: bool
    ) -> None:
        """Check a request right before it is sent, unless it runs as a trial.

        :raises RepeatedCrashesError: it was held back since it arrived.
        :raises RequestOnTrialError: it would have to wait for the trial of another one.
        """
        if not self._has_suspects or on_trial:
            return
        digests = self._digests.all_of(request, owner)
        now_s = self._loop.time()
        match self._decide(digests, now_s):
            case QuarantineDecision.ALLOW:
                return
            case QuarantineDecision.WAIT | QuarantineDecision.ALLOW_TRIAL:
                raise self._on_trial_error(digests, now_s)
            case QuarantineDecision.REFUSE:
                raise self._held_back_error(digests, now_s)

    def _decide(self, digests: RequestDigests, now_s: float) -> QuarantineDecision:
        self._apply_changes(self._decisions.review(digests, now_s))
        return self._decisions.decide(digests, now_s)

    def _on_trial_error(
        self, digests: RequestDigests, now_s: float
    ) -> RequestOnTrialError:
        self._router.metrics.count("quarantine.waited")
        wait_s = self._decisions.wait_s(digests, now_s)
        label, _ = self._decisive(digests, now_s)
        return RequestOnTrialError(
            "another request with the same content or prompt part is on trial",
            left_s=wait_s,
            why=f"servers crashed running {label}; {wait_s:.1f} s are left",
            hint="retry after the delay in Retry-After",
        )

    def check_retry(
        self, request: ClientRequest, owner: CredentialOwner | None, *, on_trial: bool
    ) -> None:
        """Check a request that is to be retried after its run was interrupted.

        It isn't known yet whether its server has crashed. Therefore a request that may
        have crashed servers before isn't retried at once; its client may send it again
        later.

        :raises RepeatedCrashesError: its content or a part of its prompt is held back.
        :raises RequestOnTrialError: one of them is restricted, or would be after one
            more crash.
        """
        if not self._has_suspects:
            return
        digests = self._digests.all_of(request, owner)
        now_s = self._loop.time()
        decision = self._decide(digests, now_s)
        if decision is QuarantineDecision.REFUSE:
            raise self._held_back_error(digests, now_s)
        is_suspect = self._decisions.is_near_restriction(digests)
        if on_trial or is_suspect or decision is not QuarantineDecision.ALLOW:
            raise self._retry_later_error(digests, now_s)

    def _retry_later_error(
        self, digests: RequestDigests, now_s: float
    ) -> RequestOnTrialError:
        self._router.metrics.count("quarantine.not_repeated")
        label, crashes = self._decisive(digests, now_s)
        wait_s = self._decisions.wait_s(digests, now_s)
        return RequestOnTrialError(
            "the request's run was interrupted, and requests with the same content or "
            "prompt part may have crashed backend servers",
            left_s=max(_RETRY_DELAY_S, wait_s),
            why=f"{len(crashes)} servers crashed running {label}",
            hint="retry after the delay in Retry-After",
        )

    def may_crash_servers(
        self, request: ClientRequest, owner: CredentialOwner | None
    ) -> bool:
        """Return whether a request has probably crashed several servers.

        A single crash isn't enough, since most requests that were running on the server
        didn't cause it. Neither are crashes that a held-back content explains.
        """
        if not self._has_suspects:
            return False
        return self._decisions.may_crash_servers(self._digests.all_of(request, owner))

    def withdraw_trial(
        self, request: ClientRequest, owner: CredentialOwner | None
    ) -> None:
        """End the trial of a request that wasn't run, so that another can be tried."""
        now_s = self._loop.time()
        for digest in self._digests.all_of(request, owner).all:
            if self._quarantine.withdraw_trial(digest, now_s):
                self._router.metrics.count("quarantine.trials_not_run")
                self._announce(TrialNotRun(digest))

    def _held_back_error(
        self, digests: RequestDigests, now_s: float
    ) -> RepeatedCrashesError:
        self._router.metrics.count("quarantine.refused")
        label, crashes = self._decisive(digests, now_s)
        servers = ", ".join(crash.server_id for crash in crashes)
        return RepeatedCrashesError(
            "backend servers ended under this request, and it isn't sent to more",
            why=f"{label} crashed {len(crashes)} servers: {servers}",
            hint="don't retry it unchanged; operators: see 'railfold held'",
        )

    def _decisive(
        self, digests: RequestDigests, now_s: float
    ) -> tuple[str, tuple[Crash, ...]]:
        """Return what decides about a request, for messages, and its crashes."""
        digest = self._decisions.decisive_digest(digests, now_s)
        kind = "content" if digest == digests.content else "prompt part"
        return f"{kind} {digest}", self._quarantine.crashes_of(digest)

    @property
    def _has_suspects(self) -> bool:
        return self._digests.has_key and len(self._quarantine) > 0

    # Results of runs, and crashes of servers

    def run_interrupted(
        self,
        request: ClientRequest,
        route: Route,
        owner: CredentialOwner | None,
        details: RunDetails,
    ) -> None:
        """Record an interrupted run."""
        if not self._digests.has_key:
            return
        digests = self._digests.all_of(request, owner)
        workspace = owner.workspace if owner is not None else ""
        content = RequestContent(
            digests.content, details.service, route.name, workspace
        )
        prompt_parts = tuple(
            RequestContent(
                digest, details.service, route.name, workspace="", is_prompt_part=True
            )
            for digest in digests.prompt_parts
        )
        self._watch.run_interrupted(
            InterruptedRun(content, details, self._loop.time(), prompt_parts)
        )

    def record_success(
        self,
        request: ClientRequest,
        owner: CredentialOwner | None,
        last_event: int | None = None,
        *,
        wrote_answer: bool = True,
    ) -> None:
        """Record that a run succeeded, or has produced events for some time.

        A request that crashes servers does so sooner. Completed runs are also recorded
        for contents that aren't suspected: a content that many clients send must not be
        held back when several of its servers crash for other reasons.

        :param last_event: the number of the last event of a stream that is still
            running; ``None`` if the run completed.
        :param wrote_answer: whether the run wrote an answer, rather than an error. Only
            such runs show that the parts of the prompt crash no servers.
        """
        is_inconclusive = last_event is not None and not self._has_suspects
        if is_inconclusive or not self._digests.has_key:
            return
        digests = self._digests.all_of(request, owner)
        now_s = self._loop.time()
        for digest in digests.all if wrote_answer else (digests.content,):
            changes = self._quarantine.record_success(digest, now_s, last_event)
            if changes:
                self._apply_changes(changes)
                self._announce(SuccessNotice(digest, 0))

    def server_refused_connection(self, server_id: str) -> None:
        """Record a crash, since a server that isn't draining refuses connections."""
        entry = self._router.directory.get(server_id)
        if entry is None or not entry.draining:
            self._watch.server_crashed(server_id, self._loop.time())

    def server_answered(self, server_id: str) -> None:
        """Record that a backend server answers, which shows that it is running."""
        self._watch.server_answered(server_id, self._loop.time())

    def server_departed(self, entry: DirectoryEntry) -> None:
        """Record a crash, since a registration lapsed or has a new incarnation.

        A server that is draining stops as planned, and is ignored.
        """
        if not entry.draining:
            crash_id = self._watch.server_crashed(entry.server_id, self._loop.time())
            self._reports.record_lapse(entry, crash_id)

    def _on_crash(self, server_id: str, runs: list[InterruptedRun]) -> None:
        now_s = self._loop.time()
        version = self._reports.version_of(server_id)
        crashes_by_content: dict[RequestContent, list[Crash]] = {}
        for run in runs:
            crash = run.crash(server_id, version)
            for content in run.suspects:
                crashes_by_content.setdefault(content, []).append(crash)
        changes = self._quarantine.record_crashes(crashes_by_content, now_s)
        announced = most_suspicious(runs, self._quarantine)
        self._router.metrics.count("servers.crashed")
        self._router.log.write(
            ServerCrashed(
                server_id,
                len(runs),
                list(dict.fromkeys(run.content.digest for run in runs)),
                round((now_s - runs[-1].ended_s) * 1000, 1),
                [content.digest for content in announced if content.is_prompt_part],
            )
        )
        self._apply_changes(changes)
        for content in announced:
            self._announce_crashes(content, now_s)

    def _announce_crashes(self, content: RequestContent, now_s: float) -> None:
        crashes = self._quarantine.crashes_of(content.digest)[-MAX_CRASHES_SENT:]
        if not crashes:
            return
        self._announce(crashes_notice(content, crashes, now_s))

    # Messages of other entries

    def crashes_received(self, message: CrashesNotice) -> None:
        """Process another entry's report of crashes of a content or prompt part."""
        now_s = self._loop.time()
        content = content_from_notice(message)
        crashes = crashes_from_notice(message, now_s)
        self._reports.record((crash.server_id for crash in crashes), now_s)
        self._confirmer.suspected_elsewhere(content.digest, now_s)
        self._apply_changes(
            self._quarantine.record_crashes({content: crashes}, now_s), from_peer=True
        )

    def success_received(self, message: SuccessNotice) -> None:
        """Process another entry's report that a run succeeded."""
        now_s = self._loop.time()
        at_s = now_s - message.ago_ms / 1000.0
        self._confirmer.confirmed_elsewhere(message.digest, now_s)
        self._apply_changes(
            self._quarantine.record_success(message.digest, at_s), from_peer=True
        )

    def trial_start_received(self, message: TrialStarted) -> None:
        """Process another entry's report that a trial has started."""
        now_s = self._loop.time()
        self._apply_changes(
            self._quarantine.start_trial(message.digest, now_s), from_peer=True
        )

    def trial_withdrawal_received(self, message: TrialNotRun) -> None:
        """Process another entry's report that the request of a trial wasn't run."""
        self._quarantine.withdraw_trial(message.digest, self._loop.time())

    # Records in the store

    def record_read(self, digest: str, record: HoldRecord) -> None:
        """Apply the hold of a content that was read from the store."""
        offset_s = clock.unix_time_s() - self._loop.time()
        changes = self._quarantine.restore_hold(
            record.content(digest),
            record.crashes_on_clock(offset_s),
            record.held_at_unix_ms / 1000.0 - offset_s,
            record.holds,
        )
        self._apply_changes(changes, from_peer=True)
        if record.prompt_part:
            self._confirmer.suspected_elsewhere(digest, self._loop.time())
        self._records.record_found(digest)

    def record_removed(self, digest: str) -> None:
        """Lift a hold whose record was removed, by an entry or an operator."""
        reason = "its record was removed"
        self._apply_changes(self._quarantine.lift(digest, self._loop.time(), reason))
        self._records.record_removed(digest)

    def key_missing(self, next_offset: int) -> None:
        """Write the shared key if needed: the stream, up to this offset, has none."""
        self._records.key_missing(next_offset)

    def log_went_back(self) -> None:
        """Write records again, since the store may have lost some."""
        self._records.log_went_back(self._quarantine.held_back)

    # Upkeep

    async def run(self, ready: asyncio.Event) -> None:
        """Update the quarantine and its records until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(_UPKEEP_INTERVAL_S)
            self._perform_upkeep()
            await self._records.write_due(self._quarantine.held_back)

    def _perform_upkeep(self) -> None:
        now_s = self._loop.time()
        for entry in self._router.directory.pop_departed():
            self.server_departed(entry)
        for server_id, crash_id in self._reports.pop_returned().items():
            self._watch.server_returned(server_id)
            self._apply_changes(self._quarantine.retract_crash(crash_id))
        self._reports.record_versions()
        for server_id in self._reports.pop_contradicted(now_s):
            self._router.metrics.count("peers.contradicted")
            self._apply_changes(self._quarantine.retract_crash(server_id))
        self._apply_changes(self._quarantine.review_probation(now_s))
        self._lift_for_versions(now_s)
        self._quarantine.expire(now_s)
        self._confirmer.expire(now_s)
        self._router.metrics.gauge("quarantine.held", len(self._quarantine.held_back))

    def _lift_for_versions(self, now_s: float) -> None:
        services = {change.content.service for change in self._quarantine.held_back}
        for service in services:
            versions = frozenset(
                entry.registration.version
                for entry in self._router.directory.servers_of(service)
                if entry.routable
            )
            self._apply_changes(
                self._quarantine.lift_for_versions(service, versions, now_s)
            )

    def _apply_changes(
        self, changes: Iterable[QuarantineChange], *, from_peer: bool = False
    ) -> None:
        """Log and count changes of state, and schedule their records.

        :param from_peer: whether another entry caused the changes.
        """
        now_s = self._loop.time()
        for change in changes:
            self._log_change(change, now_s, from_peer=from_peer)
            self._records.state_changed(change, from_peer=from_peer)

    def _log_change(
        self, change: QuarantineChange, now_s: float, *, from_peer: bool
    ) -> None:
        state = change.state.value
        self._router.metrics.count(f"quarantine.{state.replace(' ', '_')}")
        content = change.content
        newest_s = max((c.ended_s for c in change.crashes), default=now_s)
        self._router.log.write(
            QuarantineChanged(
                content.digest,
                state,
                change.reason,
                content.route,
                content.workspace,
                [crash.server_id for crash in change.crashes],
                age_ms(now_s, newest_s),
                "another entry" if from_peer else "this entry",
                max(0, round((change.held_until_s - now_s) * 1000)),
                content.is_prompt_part,
            )
        )
