"""Telling which of the contents under suspicion ends its servers.

A request is recognized by its content (a digest): each attempt of a client has an id
of its own and may come to any entry. What entries saw is a set of crashes for each
content, which they exchange and join: the same set leads to the same verdict
everywhere, in whatever order its parts arrive, and a lost part comes with the next one.

Most that runs where a backend server ends is innocent. So a crash counts

- only for requests that had just begun there (the caller sees to that);
- once, if several servers end at the same moment, as with a rack;
- for a content that ran well shortly before, as one that many clients send does, only
  if the run began after the crash counted before: whatever ends many servers within a
  second ends runs of such a content at each of them;
- only if no other content that is proved to end servers was under the same server.

After three of them a content is on probation: its requests run one at a time, and the
others wait for under a second. Probation ends

- with a hold, as soon as it is likely enough, by all that is known, that the content
  ends servers (``likelihood``). If its trial ended one, that clears all that were
  on probation or held back for the same servers;
- when it runs well;
- when another one is proved that explains its crashes.

A content that only shared its servers with the one that ends them runs well as soon as
the two run apart, and so isn't held back. By counting alone whichever of the two was
judged first would be: a popular harmless request would be refused until its hold ends,
while the other one went on.

One that is held back is tried again after a time that doubles, by one entry at a time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from railfold._internal.decisions.quarantine.content_record import (
    CLOCK_SKEW_S,
    ContentRecord,
)
from railfold._internal.decisions.quarantine.evidence import (
    CRASHES_TO_SUSPECT,
    Evidence,
)
from railfold._internal.decisions.quarantine.models import (
    UNKNOWN_VERSION,
    Crash,
    QuarantineChange,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
)

__all__ = ["Quarantine"]

# So likely a content has to be at fault to be held back.
_HOLD_LIKELIHOOD = 0.96

# One that is less likely at fault is cleared when another explains its crashes.
_CLEAR_LIKELIHOOD = 0.2

# What else ran where a server ended is known to all entries by then: each sees its own
# connections end at the same time, finds the server gone one round trip later, and
# tells the others within milliseconds.
_REVIEW_DELAY_S = 0.1

# One that ends its server does so within a third of a second after it was sent there.
# For so long other contents' trials wait, and requests of the same content somewhat
# longer, yet no longer than a client takes for a pause. Where engines queue requests a
# trial may begin a second after it was sent: of several whose end isn't known each
# takes twice as long, up to 1.4 s for other contents and 3.2 s for its own.
_EXCLUSIVE_TRIAL_S = 0.35
_PROBATION_TRIAL_S = 0.8
_MAX_DOUBLINGS = 2

# The trial of one that was held back: it has ended well or badly after this time; a
# client may also have left.
_HELD_BACK_TRIAL_S = 30.0

# Crashes further back than this say nothing of a request that comes now.
_CRASH_EXPIRY_S = 600.0


class Quarantine:
    """Contents under suspicion and those that are held back.

    Times are on the monotonic clock of this process.
    """

    def __init__(self) -> None:
        self._evidence = Evidence()
        self._records = self._evidence.records

    def __len__(self) -> int:
        return len(self._records)

    @property
    def held_back(self) -> list[QuarantineChange]:
        """What is held back now, or awaits its trial."""
        return [
            record.change_to(QuarantineState.HELD_BACK, "")
            for record in self._records.values()
            if record.held_since_s is not None
        ]

    def crashes_of(self, digest: str) -> tuple[Crash, ...]:
        """Return the crashes that are known of a content, oldest first."""
        record = self._records.get(digest)
        return record.sorted_crashes if record is not None else ()

    def is_near_restriction(self, digest: str) -> bool:
        """Return whether a content is restricted, or would be with one crash more."""
        record = self._records.get(digest)
        if record is None:
            return False
        return (
            record.is_restricted
            or len(self._evidence.counted_crashes(record)) + 1 >= CRASHES_TO_SUSPECT
        )

    # What was seen

    def record_crashes(
        self, crashes_by_content: Mapping[RequestContent, Iterable[Crash]], now_s: float
    ) -> list[QuarantineChange]:
        """Join crashes to what is known; return what changed.

        :param seen: crashes by content; those of one server belong together, so that
            each is judged by what all of them were under.
        """
        self._evidence.invalidate_likelihoods()
        changes: list[QuarantineChange] = []
        updated_records = [
            record
            for content, crashes in crashes_by_content.items()
            if (record := self._merge_crashes(content, crashes, now_s, changes))
            is not None
        ]
        for record in updated_records:
            changes += self._judge(record, now_s)
        self._evidence.evict_excess()
        return changes

    def _merge_crashes(
        self,
        content: RequestContent,
        crashes: Iterable[Crash],
        now_s: float,
        changes: list[QuarantineChange],
    ) -> ContentRecord | None:
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

    # The verdict

    def _judge(self, record: ContentRecord, now_s: float) -> list[QuarantineChange]:
        if record.held_since_s is not None:
            return self._judge_held_back(record, now_s)
        if not self._evidence.is_suspect(record):
            return []
        if record.probation_since_s is not None:
            if record.trial_crash_server_ids:
                record.trial_deadline_s = min(record.trial_deadline_s, now_s)
            return []
        changes = self._reconsider_held_back(record, now_s)
        record.start_probation(now_s)
        reason = "servers ended under it, one after the other"
        changes.append(record.change_to(QuarantineState.ON_PROBATION, reason))
        return changes

    def _judge_held_back(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Hold a content back again if its trial ended a server."""
        since_s = record.held_until_s - CLOCK_SKEW_S
        trial_crashes = [c for c in record.crashes.values() if c.began_s >= since_s]
        if not trial_crashes:
            return []
        record.proof_server_ids.update(crash.server_id for crash in trial_crashes)
        return self._hold_back_proven(record, now_s)

    def _reconsider_held_back(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Put on probation what is held back for servers that this one explains too.

        Its news came late, or by another entry. Which of the two it is shows when they
        run apart.
        """
        if self._evidence.has_succeeded(record):
            return []
        changes: list[QuarantineChange] = []
        for other in self._evidence.other_records(record):
            if other.held_since_s is None or other.proof_server_ids:
                continue
            if other.crashes.keys() <= record.crashes.keys():
                reason = f"content {record.content.digest} was there each time too"
                changes.append(other.change_to(QuarantineState.CLEARED, reason))
                self._evidence.invalidate_likelihoods()
                other.held_since_s = None
                other.start_probation(now_s)
                changes.append(other.change_to(QuarantineState.ON_PROBATION, reason))
        return changes

    def review_probation(
        self, now_s: float, digest: str | None = None
    ) -> list[QuarantineChange]:
        """Judge contents on probation of which all has been heard.

        :param digest: only this one; by default all.
        :return: what changed.
        """
        if digest is None:
            records = list(self._records.values())
        else:
            records = [r for r in (self._records.get(digest),) if r is not None]
        changes: list[QuarantineChange] = []
        for record in records:
            if record.probation_since_s is not None and now_s >= self._review_due_s(
                record
            ):
                changes += self._review(record, now_s)
        return changes

    def _review_due_s(self, record: ContentRecord) -> float:
        """Return when all has been heard of what is known of a content now."""
        return record.last_updated_s + _REVIEW_DELAY_S

    def _review(self, record: ContentRecord, now_s: float) -> list[QuarantineChange]:
        if not self._evidence.is_suspect(record):
            return []
        if self._evidence.likelihood(record) < _HOLD_LIKELIHOOD:
            return []
        if record.trial_crash_server_ids:
            record.proof_server_ids.update(record.trial_crash_server_ids)
            return self._hold_back_proven(record, now_s)
        if (
            len(self._evidence.counted_crashes(record, only_proven=False))
            < CRASHES_TO_SUSPECT
        ):
            return []  # Another one that is held back may explain the rest.
        reason = "nothing else explains the servers that ended"
        return self._hold_back(record, now_s, reason)

    def _hold_back_proven(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Hold a content back, and clear those whose crashes it explains."""
        changes = self._hold_back(record, now_s, "a server ended under its trial")
        for other in list(self._evidence.other_records(record)):
            if other.is_proven or not other.is_restricted:
                continue
            if self._evidence.is_suspect(other):
                continue
            reason = f"content {record.content.digest} explains its crashes"
            changes += self._clear_or_put_on_probation(other, now_s, reason)
        return changes

    def _clear_or_put_on_probation(
        self, record: ContentRecord, now_s: float, reason: str
    ) -> list[QuarantineChange]:
        """Let a content go, or let its requests run one at a time if it is suspect."""
        likelihood = self._evidence.likelihood(record)
        if likelihood < _CLEAR_LIKELIHOOD:
            change = record.change_to(QuarantineState.CLEARED, reason)
            self._remove_restrictions(record)
            return [change]
        if record.held_since_s is None or likelihood >= _HOLD_LIKELIHOOD:
            return []
        changes = [record.change_to(QuarantineState.CLEARED, reason)]
        self._evidence.invalidate_likelihoods()
        record.held_since_s = None
        record.start_probation(now_s)
        changes.append(record.change_to(QuarantineState.ON_PROBATION, reason))
        return changes

    def _hold_back(
        self, record: ContentRecord, now_s: float, reason: str
    ) -> list[QuarantineChange]:
        self._evidence.invalidate_likelihoods()
        record.hold_count += 1
        record.held_since_s = now_s
        record.probation_since_s = None
        record.trial_deadline_s = float("-inf")
        return [record.change_to(QuarantineState.HELD_BACK, reason)]

    # What speaks for a content

    def last_success_s(self, digest: str) -> float:
        """Return when a content ran well last, or was cleared; long ago if never."""
        return self._evidence.last_success_s(digest)

    def record_success(
        self, digest: str, at_s: float, last_event: int | None = None
    ) -> list[QuarantineChange]:
        """A run came to a good end, or brought events for longer than a crash takes.

        :param at_s: when; another entry may have reported it later.
        :param last_event: the last event that it has brought, if it isn't at its end:
            a stream that is resumed right before the step that ends its server is well
            only once it is beyond that step.
        """
        record = self._records.get(digest)
        if record is not None and last_event is not None:
            latest = max((c.after_event for c in record.crashes.values()), default=0)
            if last_event <= latest:
                return []
        if at_s > self.last_success_s(digest):
            self._evidence.record_success(digest, at_s)
        if record is None:
            return []
        return self._clear(record, at_s, QuarantineState.CLEARED, "it ran well")

    def lift(self, digest: str, now_s: float, reason: str) -> list[QuarantineChange]:
        """Let a content run again."""
        record = self._records.get(digest)
        if record is None or record.held_since_s is None:
            return []
        self._evidence.record_success(digest, now_s)
        return self._clear(record, now_s, QuarantineState.LIFTED, reason)

    def lift_for_versions(
        self, service: str, versions: frozenset[str], now_s: float
    ) -> list[QuarantineChange]:
        """Let contents run again of which none of the present versions ended under.

        :param versions: of the service's backend servers that may get work now.
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
        reason = "all backend servers run another version"
        return [
            change
            for record in outdated
            for change in self.lift(record.content.digest, now_s, reason)
        ]

    def _clear(
        self, record: ContentRecord, at_s: float, state: QuarantineState, reason: str
    ) -> list[QuarantineChange]:
        """Forget crashes before a time, and what followed from them only."""
        self._evidence.invalidate_likelihoods()
        change = record.change_to(state, reason)
        later_crashes = {k: c for k, c in record.crashes.items() if c.ended_s > at_s}
        if not later_crashes:
            del self._records[record.content.digest]
            return [change]
        record.crashes = later_crashes
        if not record.is_restricted or self._evidence.is_suspect(record):
            return []
        self._remove_restrictions(record)
        return [change]

    def _remove_restrictions(self, record: ContentRecord) -> None:
        """Let a content run, and keep only the crashes that are known of it."""
        self._evidence.invalidate_likelihoods()
        digest = record.content.digest
        self._records[digest] = ContentRecord(
            record.content, record.crashes, last_updated_s=record.last_updated_s
        )

    # Holding back

    def restore_hold(
        self,
        content: RequestContent,
        crashes: Iterable[Crash],
        held_since_s: float,
        hold_count: int,
    ) -> list[QuarantineChange]:
        """Take a hold that another entry has recorded.

        :param held_s: when it was held back, on this process's clock.
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
        record.hold_count = hold_count
        record.held_since_s = held_since_s
        record.probation_since_s = None
        record.last_updated_s = max(record.last_updated_s, held_since_s)
        change = record.change_to(QuarantineState.HELD_BACK, "another entry's record")
        self._evidence.evict_excess()
        return [change]

    def decision(self, digest: str, now_s: float) -> QuarantineDecision:
        """Return what may be done with a request of this content now."""
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
        if record.probation_since_s is None:
            return QuarantineDecision.ALLOW
        if now_s < self._wait_until_s(record):
            return QuarantineDecision.WAIT
        return QuarantineDecision.ALLOW_TRIAL

    def wait_s(self, digest: str, now_s: float) -> float:
        """Return after which time a request that waits may be tried, under a second."""
        record = self._records.get(digest)
        if record is None or record.probation_since_s is None:
            return 0.0
        return max(0.0, self._wait_until_s(record) - now_s)

    def _wait_until_s(self, record: ContentRecord) -> float:
        """Return until when requests of a content on probation wait.

        Trials of a service's contents come one after the other, so that two of them
        don't meet at one server; but none waits for another one for long.
        """
        until_s = max(self._review_due_s(record), record.trial_deadline_s)
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
        """Let one request of a content through; others wait for what comes of it."""
        record = self._records.get(digest)
        if record is None or not record.is_restricted:
            return []
        if record.held_since_s is not None:
            wait_s, reason = _HELD_BACK_TRIAL_S, "its time has passed"
        else:
            wait_s = _PROBATION_TRIAL_S * 2.0 ** min(_MAX_DOUBLINGS, record.trial_count)
            reason = "it is on probation"
        record.start_trial(now_s, wait_s)
        return [record.change_to(QuarantineState.ON_TRIAL, reason)]

    def withdraw_trial(self, digest: str, now_s: float) -> bool:
        """Take that a trial's request wasn't run; return whether one was under way.

        Others needn't wait for what comes of it.
        """
        record = self._records.get(digest)
        if record is None or now_s >= record.trial_deadline_s:
            return False
        record.withdraw_trial(now_s)
        return True

    def is_explained(self, digest: str) -> bool:
        """Return whether contents that are held back explain all its crashes."""
        record = self._records.get(digest)
        if record is None or record.held_since_s is not None:
            return False
        return not self._evidence.counted_crashes(record, only_proven=False)

    def retract_crash(self, server_id: str) -> list[QuarantineChange]:
        """A backend server hasn't ended: what was reported of its crash was wrong."""
        changes: list[QuarantineChange] = []
        for record in list(self._records.values()):
            if record.crashes.pop(server_id, None) is None:
                continue
            self._evidence.invalidate_likelihoods()
            record.proof_server_ids.discard(server_id)
            is_unfounded = not self._evidence.is_suspect(record)
            if not record.crashes or (record.is_restricted and is_unfounded):
                del self._records[record.content.digest]
                reason = f"server {server_id} hasn't ended"
                changes.append(record.change_to(QuarantineState.CLEARED, reason))
        return changes

    def expire(self, now_s: float) -> None:
        """Forget suspicions that no crash has renewed."""
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
