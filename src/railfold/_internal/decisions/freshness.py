"""Validity period of data read from a store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FreshnessLease"]


@dataclass(slots=True)
class FreshnessLease:
    """A lease on data read from a store, renewed by each successful answer.

    It runs from the time at which the call was sent, not from the time of the answer,
    since the answer only proves what the store knew when it got the call. A read that
    hangs renews nothing. Times are on the monotonic clock.

    :param duration_s: how long an answer is valid.
    """

    duration_s: float
    _renewed_at_s: float | None = None
    _ignored_before_s: float = float("-inf")

    def ignore_sent_before(self, until_s: float) -> None:
        """Ignore answers to calls sent before ``until_s``; the store may be incomplete.

        Earlier renewals stay valid for the rest of their duration.
        """
        self._ignored_before_s = max(self._ignored_before_s, until_s)

    def revoke(self) -> None:
        """End the lease because the answer that renewed it turned out to be invalid."""
        self._renewed_at_s = None

    def renew(self, sent_s: float) -> None:
        """Renew the lease by a successful answer to a call sent at ``sent_s``."""
        if sent_s < self._ignored_before_s:
            return
        if self._renewed_at_s is None or sent_s > self._renewed_at_s:
            self._renewed_at_s = sent_s

    def valid(self, now_s: float) -> bool:
        """Return whether the lease hasn't expired."""
        return self._renewed_at_s is not None and self.age_s(now_s) < self.duration_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the latest renewal; infinite if there is none."""
        if self._renewed_at_s is None:
            return float("inf")
        return now_s - self._renewed_at_s
