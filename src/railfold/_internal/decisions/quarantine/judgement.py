"""Judges contents by the recorded crashes: restricts, holds back and clears them.

The documentation of the module ``quarantine`` lists the rules.
"""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.decisions.quarantine.content_record import (
    CLOCK_SKEW_S,
    ContentRecord,
)
from railfold._internal.decisions.quarantine.evidence import (
    CRASHES_TO_SUSPECT,
    Evidence,
)
from railfold._internal.decisions.quarantine.models import (
    QuarantineChange,
    QuarantineState,
)

__all__ = ["REVIEW_DELAY_S", "Judge"]

# The lowest likelihood of being at fault at which a content is held back.
_HOLD_LIKELIHOOD = 0.96

# A content below this likelihood is cleared when another one explains its crashes. A
# prompt part below it restricts no requests.
_CLEAR_LIKELIHOOD = 0.2

# How long to wait for other entries' reports before a content is judged. All entries'
# connections to a crashed server break at the same time; each entry confirms the crash
# one round trip later and reports it to the others within milliseconds.
REVIEW_DELAY_S = 0.1


class Judge:
    """Changes the states of contents by the evidence.

    :param evidence: the records to judge, whose states are changed.
    """

    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence

    def judge(self, record: ContentRecord, now_s: float) -> list[QuarantineChange]:
        """Restrict a content after new crashes, if they suffice."""
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
        reason = "servers crashed one after another while running it"
        changes.append(record.change_to(QuarantineState.ON_PROBATION, reason))
        return changes

    def _judge_held_back(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Hold a content back again if a server crashed during its trial."""
        since_s = record.held_until_s - CLOCK_SKEW_S
        trial_crashes = [c for c in record.crashes.values() if c.began_s >= since_s]
        if not trial_crashes:
            return []
        record.proof_server_ids.update(crash.server_id for crash in trial_crashes)
        return self._hold_back_proven(record, now_s)

    def _reconsider_held_back(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Put held-back contents on probation if this content explains their crashes.

        This happens if the reports about this content arrive late or come from another
        entry. Separate trials then show which of the contents is at fault.
        """
        if self._evidence.has_succeeded(record):
            return []
        changes: list[QuarantineChange] = []
        for other in self._evidence.other_records(record):
            if other.held_since_s is None or other.proof_server_ids:
                continue
            if other.crashes.keys() <= record.crashes.keys():
                reason = f"{record.content.label} ran at each of its crashes"
                changes.append(other.change_to(QuarantineState.CLEARED, reason))
                self._evidence.invalidate_likelihoods()
                other.held_since_s = None
                other.start_probation(now_s)
                changes.append(other.change_to(QuarantineState.ON_PROBATION, reason))
        return changes

    def review_due_s(self, record: ContentRecord) -> float:
        """Return when all reports about the latest crash of a content have arrived."""
        return record.last_updated_s + REVIEW_DELAY_S

    def review(self, record: ContentRecord, now_s: float) -> list[QuarantineChange]:
        """Hold a content on probation back, if the evidence suffices."""
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
            return []  # A held-back content may explain the other crashes.
        reason = "no other content explains its crashes"
        return self._hold_back(record, now_s, reason)

    def restricts_requests(self, record: ContentRecord) -> bool:
        """Return whether requests with a content on probation run one at a time.

        Popular prompt parts are at most crashes, so that only likely ones count.
        """
        if not record.content.is_prompt_part:
            return True
        return self._evidence.likelihood(record) >= _CLEAR_LIKELIHOOD

    def is_any_at_fault(self, records: Sequence[ContentRecord], now_s: float) -> bool:
        """Return whether a request with several contents on probation is refused.

        It certainly crashes servers, even if it isn't known which of them does.
        """
        return (
            any(self._is_review_due(record, now_s) for record in records)
            and self._evidence.any_likelihood(records) >= _HOLD_LIKELIHOOD
        )

    def hold_back_inseparable(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Hold a content back that crashes servers itself or by a prompt part of it."""
        if not self._is_review_due(record, now_s):
            return []
        return self._hold_back(record, now_s, "it or a part of it crashes servers")

    def _is_review_due(self, record: ContentRecord, now_s: float) -> bool:
        return (
            record.probation_since_s is not None
            and now_s >= self.review_due_s(record)
            and self._evidence.is_suspect(record)
        )

    def _hold_back_proven(
        self, record: ContentRecord, now_s: float
    ) -> list[QuarantineChange]:
        """Hold a proven content back, and clear contents whose crashes it explains."""
        changes = self._hold_back(record, now_s, "a server crashed during its trial")
        for other in list(self._evidence.other_records(record)):
            if other.is_proven or not other.is_restricted:
                continue
            if self._evidence.is_suspect(other):
                continue
            reason = f"{record.content.label} explains its crashes"
            changes += self._clear_or_put_on_probation(other, now_s, reason)
        return changes

    def _clear_or_put_on_probation(
        self, record: ContentRecord, now_s: float, reason: str
    ) -> list[QuarantineChange]:
        """Clear an explained content, or end its hold with a probation.

        A content that is likely enough to be at fault stays restricted as it is.
        """
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

    def clear(
        self, record: ContentRecord, at_s: float, state: QuarantineState, reason: str
    ) -> list[QuarantineChange]:
        """Forget the crashes up to a time, and the restrictions based only on them."""
        self._evidence.invalidate_likelihoods()
        change = record.change_to(state, reason)
        later_crashes = {k: c for k, c in record.crashes.items() if c.ended_s > at_s}
        if not later_crashes:
            del self._evidence.records[record.content.digest]
            return [change]
        record.crashes = later_crashes
        if not record.is_restricted:
            return []
        if self._evidence.is_suspect(record) and not self._is_hold_refuted(record):
            return []
        self._remove_restrictions(record)
        return [change]

    def refutes_hold_of_others(self, record: ContentRecord) -> bool:
        """Return whether a prompt part that another entry holds back succeeds here."""
        return (
            record.content.is_prompt_part
            and record.held_since_s is None
            and self._evidence.has_succeeded(record)
            and self._evidence.likelihood(record) < _HOLD_LIKELIHOOD
        )

    def _is_hold_refuted(self, record: ContentRecord) -> bool:
        """Return whether a success makes the hold of a prompt part unfounded.

        Requests with other contents succeed with it, even before its later crashes.
        """
        return (
            record.content.is_prompt_part
            and record.held_since_s is not None
            and not record.proof_server_ids
            and self._evidence.likelihood(record) < _HOLD_LIKELIHOOD
        )

    def _remove_restrictions(self, record: ContentRecord) -> None:
        """Remove all restrictions of a content; keep its crashes."""
        self._evidence.invalidate_likelihoods()
        digest = record.content.digest
        self._evidence.records[digest] = ContentRecord(
            record.content, record.crashes, last_updated_s=record.last_updated_s
        )
