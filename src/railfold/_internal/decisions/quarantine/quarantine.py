"""Decides which request contents to hold back because they crash backend servers.

Requests are recognized by the digest of their content, since each attempt of a client
has its own ID and may reach any entry. Entries record a set of crashes for each content
and exchange these sets. The same set leads to the same decision on every entry, in
whatever order its parts arrive; a lost part is repeated with the next report.

Most requests that are running when a backend server crashes didn't cause the crash. A
crash therefore counts against a content

- only if the request had just started on that server (the caller checks this);
- once, if several servers crash at the same moment, as when a rack fails;
- if the content succeeded shortly before, as popular contents do, only if the run began
  after the previously counted crash: when many servers crash within a second for one
  reason, such a content is running on each of them;
- only if no other content that is proven to crash servers was running on that server.

After three counted crashes the content goes on probation: its requests run one at a
time, as trials, and other requests with this content wait, usually for under a second.
Probation ends

- with a hold, once the content is likely enough to crash servers by all evidence
  (see ``likelihood``). If a server crashed during its trial, the content is proven to
  crash servers, and other contents whose crashes it explains are cleared;
- when a run of the content succeeds;
- when another content is proven that explains its crashes.

A content that only shared servers with the one that crashes them succeeds as soon as
the two run on different servers, so it isn't held back. Counting crashes alone would
hold back whichever of the two is judged first: a popular harmless request would be
refused for the whole hold while the harmful one continued.

A content that is held back is tried again when its hold ends, by one request at a time.
If that trial crashes a server too, the next hold lasts twice as long.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from railfold._internal.decisions.quarantine.content_record import ContentRecord
from railfold._internal.decisions.quarantine.evidence import (
    CRASHES_TO_SUSPECT,
    Evidence,
)
from railfold._internal.decisions.quarantine.judgement import Judge
from railfold._internal.decisions.quarantine.models import (
    UNKNOWN_VERSION,
    Crash,
    QuarantineChange,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
)

__all__ = ["Quarantine"]

# How long a trial delays the trials of other contents, and other requests of its own
# content. A request that crashes its server does so within a third of a second after
# it was sent. The wait for its own content is somewhat longer, but short enough for
# clients to take it for a pause. Where engines queue requests, a trial may begin a
# second after it was sent: both times double with each trial without a result, up to
# 1.4 s and 3.2 s.
_EXCLUSIVE_TRIAL_S = 0.35
_PROBATION_TRIAL_S = 0.8
_MAX_DOUBLINGS = 2

# How long other requests are refused during the trial of a content that was held back.
# By then the trial has succeeded or failed, or its client has disconnected.
_HELD_BACK_TRIAL_S = 30.0

# Older crashes are no evidence against a request that arrives now.
_CRASH_EXPIRY_S = 600.0


class Quarantine:
    """Tracks the contents that may crash servers, and decides about their requests.

    All times are on the monotonic clock of this process.
    """

    def __init__(self) -> None:
        self._evidence = Evidence()
        self._records = self._evidence.records
        self._judge = Judge(self._evidence)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def held_back(self) -> list[QuarantineChange]:
        """The contents that are held back, or await a trial after their hold."""
        return [
            record.change_to(QuarantineState.HELD_BACK, "")
            for record in self._records.values()
            if record.held_since_s is not None
        ]

    def crashes_of(self, digest: str) -> tuple[Crash, ...]:
        """Return the known crashes of a content, oldest first."""
        record = self._records.get(digest)
        return record.sorted_crashes if record is not None else ()

    def is_near_restriction(self, digest: str) -> bool:
        """Return whether a content is restricted, or would be after one more crash."""
        record = self._records.get(digest)
        if record is None:
            return False
        if record.held_since_s is not None:
            return True
        return (
            record.probation_since_s is not None
            or len(self._evidence.counted_crashes(record)) + 1 >= CRASHES_TO_SUSPECT
        ) and self._judge.restricts_requests(record)

    # Crash reports

    def record_crashes(
        self, crashes_by_content: Mapping[RequestContent, Iterable[Crash]], now_s: float
    ) -> list[QuarantineChange]:
        """Record crashes; return the changes of state that follow.

        :param crashes_by_content: the crashes of each content. All contents that were
            running on a crashed server belong in one call, so that each is judged by
            the complete evidence.
        """
        self._evidence.invalidate_likelihoods()
        changes: list[QuarantineChange] = []
        # Runs of different routes may share a prompt part.
        updated_records = {
            content.digest: record
            for content, crashes in crashes_by_content.items()
            if (record := self._merge_crashes(content, crashes, now_s, changes))
            is not None
        }
        for record in updated_records.values():
            changes += self._judge.judge(record, now_s)
        self._evidence.evict_excess()
        return changes

    def _merge_crashes(
        self,
        content: RequestContent,
        crashes: Iterable[Crash],
        now_s: float,
        changes: list[QuarantineChange],
    ) -> ContentRecord | None:
        """Add crashes to a content's record; return the record if it has changed.

        :param changes: the list to which a change of state is appended.
        """
        since_s = max(self.last_success_s(content.digest), now_s - _CRASH_EXPIRY_S)
        recent_crashes = [crash for crash in crashes if crash.ended_s > since_s]
        if not recent_crashes:
            return None
        record = self._records.get(content.digest) or ContentRecord(content)
        previous_crashes = dict(record.crashes)
        for crash in recent_crashes:
            record.add_crash(crash)
        record.drop_oldest_crashes()
        if record.crashes == previous_crashes:
            return None
        self._records[content.digest] = record
        record.last_updated_s = max(record.last_updated_s, now_s)
        if (
            record.held_since_s is None
            and record.crashes.keys() != previous_crashes.keys()
        ):
            changes.append(record.change_to(QuarantineState.SUSPECTED, ""))
        return record

    # Judging contents

    def review_probation(
        self, now_s: float, digest: str | None = None
    ) -> list[QuarantineChange]:
        """Judge the contents on probation whose crash reports are complete.

        :param digest: the only content to judge; all contents by default.
        :return: the changes of state that follow.
        """
        if digest is None:
            records = list(self._records.values())
        else:
            records = [r for r in (self._records.get(digest),) if r is not None]
        changes: list[QuarantineChange] = []
        for record in records:
            if (
                record.probation_since_s is not None
                and now_s >= self._judge.review_due_s(record)
            ):
                changes += self._judge.review(record, now_s)
        return changes

    # Successes and lifted holds

    def last_success_s(self, digest: str) -> float:
        """Return when a content last succeeded or was cleared; -inf if never."""
        return self._evidence.last_success_s(digest)

    def has_succeeded(self, digest: str) -> bool:
        """Return whether a success of a content is remembered."""
        return digest in self._evidence.last_successes_s

    def record_success(
        self, digest: str, at_s: float, last_event: int | None = None
    ) -> list[QuarantineChange]:
        """Record that a run completed, or sent events for longer than a crash takes.

        :param at_s: when the run succeeded, which may be before the report of it.
        :param last_event: the number of the last event of a stream that is still
            running; ``None`` if the run completed. A stream that resumed right before
            the step that crashes its server succeeds only beyond that step.
        :return: the changes of state that follow.
        """
        record = self._records.get(digest)
        if (
            record is not None
            and last_event is not None
            and not record.content.is_prompt_part
        ):
            latest_resume_event = max(
                (c.after_event for c in record.crashes.values()), default=0
            )
            if last_event <= latest_resume_event:
                return []
        if at_s > self.last_success_s(digest):
            self._evidence.record_success(digest, at_s)
        if record is None:
            return []
        return self._judge.clear(
            record, at_s, QuarantineState.CLEARED, "a run of it succeeded"
        )

    def lift(self, digest: str, now_s: float, reason: str) -> list[QuarantineChange]:
        """End the hold of a content, for a given reason."""
        record = self._records.get(digest)
        if record is None or record.held_since_s is None:
            return []
        self._evidence.record_success(digest, now_s)
        return self._judge.clear(record, now_s, QuarantineState.LIFTED, reason)

    def lift_for_versions(
        self, service: str, versions: frozenset[str], now_s: float
    ) -> list[QuarantineChange]:
        """End the holds of contents that crashed none of the versions that run now.

        :param versions: the versions of the service's backend servers that may receive
            requests now.
        """
        outdated = [
            record
            for record in self._records.values()
            if record.held_since_s is not None
            and record.content.service == service
            and versions
            and versions.isdisjoint(record.crashed_versions)
            and UNKNOWN_VERSION not in record.crashed_versions
        ]
        reason = "all backend servers run other versions"
        return [
            change
            for record in outdated
            for change in self.lift(record.content.digest, now_s, reason)
        ]

    # Holds, decisions and trials

    def restore_hold(
        self,
        content: RequestContent,
        crashes: Iterable[Crash],
        held_since_s: float,
        hold_count: int,
    ) -> list[QuarantineChange]:
        """Apply a hold that another entry has recorded in the store.

        :param held_since_s: when the hold began, on the clock of this process.
        :param hold_count: how often the content was held back in a row.
        """
        if self.last_success_s(content.digest) >= held_since_s:
            return []
        record = self._records.setdefault(content.digest, ContentRecord(content))
        if record.held_since_s is not None and record.hold_count >= hold_count:
            return []
        self._evidence.invalidate_likelihoods()
        for crash in crashes:
            record.add_crash(crash)
        record.drop_oldest_crashes()
        record.last_updated_s = max(record.last_updated_s, held_since_s)
        if self._judge.refutes_hold_of_others(record):
            return []
        record.hold_count = hold_count
        record.held_since_s = held_since_s
        record.probation_since_s = None
        change = record.change_to(
            QuarantineState.HELD_BACK, "another entry recorded the hold"
        )
        self._evidence.evict_excess()
        return [change]

    def decision(self, digest: str, now_s: float) -> QuarantineDecision:
        """Return what to do with a request of this content now."""
        record = self._records.get(digest)
        if record is None:
            return QuarantineDecision.ALLOW
        if record.held_since_s is not None:
            is_held_back = (
                now_s < record.held_until_s or now_s < record.trial_deadline_s
            )
            return (
                QuarantineDecision.REFUSE
                if is_held_back
                else QuarantineDecision.ALLOW_TRIAL
            )
        if record.probation_since_s is None or not self._judge.restricts_requests(
            record
        ):
            return QuarantineDecision.ALLOW
        if now_s < self._wait_until_s(record):
            return QuarantineDecision.WAIT
        return QuarantineDecision.ALLOW_TRIAL

    def is_on_probation(self, digest: str) -> bool:
        """Return whether requests with a content may run one at a time only."""
        record = self._records.get(digest)
        return record is not None and record.probation_since_s is not None

    def is_any_at_fault(self, digests: Iterable[str], now_s: float) -> bool:
        """Return whether one of these contents certainly crashes servers.

        It is true even if they were always together, so that none of them is held back.
        """
        records = [r for digest in digests if (r := self._records.get(digest))]
        return self._judge.is_any_at_fault(records, now_s)

    def hold_back_inseparable(
        self, digest: str, now_s: float
    ) -> list[QuarantineChange]:
        """Hold a content on probation back, since it or a part crashes servers."""
        record = self._records.get(digest)
        if record is None:
            return []
        return self._judge.hold_back_inseparable(record, now_s)

    def wait_s(self, digest: str, now_s: float) -> float:
        """Return how long a request of a content waits; 0 if it isn't on probation."""
        record = self._records.get(digest)
        if record is None or record.probation_since_s is None:
            return 0.0
        return max(0.0, self._wait_until_s(record) - now_s)

    def _wait_until_s(self, record: ContentRecord) -> float:
        """Return until when requests of a content on probation wait.

        The contents of a service have their trials one after another, so that two
        trials don't meet on one server. The wait for each other trial is short.
        """
        until_s = max(self._judge.review_due_s(record), record.trial_deadline_s)
        for other in self._evidence.other_records(record):
            if other.probation_since_s is None:
                continue
            if other.content.service != record.content.service:
                continue
            doublings = min(_MAX_DOUBLINGS, max(0, other.trial_count - 1))
            exclusive_until_s = (
                other.trial_started_s + _EXCLUSIVE_TRIAL_S * 2.0**doublings
            )
            until_s = max(until_s, min(exclusive_until_s, other.trial_deadline_s))
        return until_s

    def start_trial(self, digest: str, now_s: float) -> list[QuarantineChange]:
        """Let one request of a restricted content through; others wait for its end."""
        record = self._records.get(digest)
        if record is None or not record.is_restricted:
            return []
        if record.held_since_s is not None:
            wait_s, reason = _HELD_BACK_TRIAL_S, "its hold has ended"
        else:
            wait_s = _PROBATION_TRIAL_S * 2.0 ** min(_MAX_DOUBLINGS, record.trial_count)
            reason = "it is on probation"
        record.start_trial(now_s, wait_s)
        return [record.change_to(QuarantineState.ON_TRIAL, reason)]

    def withdraw_trial(self, digest: str, now_s: float) -> bool:
        """Undo a trial whose request wasn't run, so that others needn't wait for it.

        :return: whether a trial was in progress.
        """
        record = self._records.get(digest)
        if record is None or now_s >= record.trial_deadline_s:
            return False
        record.withdraw_trial(now_s)
        return True

    def is_explained(self, digest: str) -> bool:
        """Return whether held-back contents explain all crashes of this content.

        It is false for a content that is held back itself.
        """
        record = self._records.get(digest)
        if record is None or record.held_since_s is not None:
            return False
        return not self._evidence.counted_crashes(record, only_proven=False)

    def retract_crash(self, server_id: str) -> list[QuarantineChange]:
        """Remove the reported crash of a backend server that is still running."""
        changes: list[QuarantineChange] = []
        for record in list(self._records.values()):
            if record.crashes.pop(server_id, None) is None:
                continue
            self._evidence.invalidate_likelihoods()
            record.proof_server_ids.discard(server_id)
            is_unfounded = not self._evidence.is_suspect(record)
            if not record.crashes or (record.is_restricted and is_unfounded):
                del self._records[record.content.digest]
                reason = f"server {server_id} is still running"
                changes.append(record.change_to(QuarantineState.CLEARED, reason))
        return changes

    def expire(self, now_s: float) -> None:
        """Forget contents that aren't held back and have no recent crashes."""
        expired = [
            digest
            for digest, record in self._records.items()
            if record.held_since_s is None
            and record.last_updated_s < now_s - _CRASH_EXPIRY_S
        ]
        if expired:
            self._evidence.invalidate_likelihoods()
        for digest in expired:
            del self._records[digest]
