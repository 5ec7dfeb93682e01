"""Decides about requests that are recognized by several digests.

A request is recognized by its content and by the parts of its prompt that it shares
with other requests. The strictest decision on any of them applies. A request is also
refused if it is certain that one of them crashes servers, but not which one: a request
with only some of them is tried.
"""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.decisions.quarantine.models import (
    QuarantineChange,
    QuarantineDecision,
    RequestDigests,
)
from railfold._internal.decisions.quarantine.quarantine import Quarantine

__all__ = ["RequestDecisions"]

_STRICTEST_FIRST = (
    QuarantineDecision.REFUSE,
    QuarantineDecision.WAIT,
    QuarantineDecision.ALLOW_TRIAL,
)


class RequestDecisions:
    """Decides about requests by the states of all their digests."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def review(self, digests: RequestDigests, now_s: float) -> list[QuarantineChange]:
        """Judge what a request is recognized by, before the decision about it."""
        changes: list[QuarantineChange] = []
        for digest in digests.all:
            changes += self._quarantine.review_probation(now_s, digest)
        if (
            digests.prompt_parts
            and self._quarantine.is_on_probation(digests.content)
            and self._quarantine.is_any_at_fault(digests.all, now_s)
        ):
            changes += self._quarantine.hold_back_inseparable(digests.content, now_s)
        return changes

    def decide(self, digests: RequestDigests, now_s: float) -> QuarantineDecision:
        """Return what to do with a request now."""
        decisions = {self._quarantine.decision(d, now_s) for d in digests.all}
        if QuarantineDecision.REFUSE in decisions or (
            digests.prompt_parts
            and self._quarantine.is_any_at_fault(digests.all, now_s)
        ):
            return QuarantineDecision.REFUSE
        for decision in _STRICTEST_FIRST:
            if decision in decisions:
                return decision
        return QuarantineDecision.ALLOW

    def decisive_digest(self, digests: RequestDigests, now_s: float) -> str:
        """Return the digest whose own decision is the strictest.

        Without restrictions it is one that one more crash would restrict.
        """
        for decision in _STRICTEST_FIRST:
            for digest in digests.all:
                if self._quarantine.decision(digest, now_s) is decision:
                    return digest
        near_restriction = filter(self._quarantine.is_near_restriction, digests.all)
        return next(near_restriction, digests.content)

    def wait_s(self, digests: RequestDigests, now_s: float) -> float:
        """Return how long a request waits for the trials of others."""
        return max(self._quarantine.wait_s(digest, now_s) for digest in digests.all)

    def trial_digests(self, digests: RequestDigests, now_s: float) -> Sequence[str]:
        """Return the digests whose trial a request is that runs now."""
        return [
            digest
            for digest in digests.all
            if self._quarantine.decision(digest, now_s)
            is QuarantineDecision.ALLOW_TRIAL
        ]

    def is_near_restriction(self, digests: RequestDigests) -> bool:
        """Return whether one more crash would restrict a request."""
        return any(map(self._quarantine.is_near_restriction, digests.all))

    def may_crash_servers(self, digests: RequestDigests) -> bool:
        """Return whether a request has probably crashed several servers.

        Crashes that held-back contents explain don't count.
        """
        return any(
            self._quarantine.is_near_restriction(digest)
            and not self._quarantine.is_explained(digest)
            for digest in digests.all
        )
