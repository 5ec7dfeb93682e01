"""How long what was read from a store may still be relied on."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FreshnessLease"]


@dataclass(slots=True)
class FreshnessLease:
    """A lease that each sound answer of a store renews.

    It counts from the moment when the call was sent, not when its answer came:
    what the store knew then is all that the answer proves. A read that hangs
    renews nothing. Times are on the monotonic clock.

    :param duration_s: how long an answer may be relied on.
    """

    duration_s: float
    _renewed_at_s: float | None = None
    _ignored_before_s: float = float("-inf")

    def ignore_sent_before(self, until_s: float) -> None:
        """Calls that are sent before then prove nothing: the store may lack something.

        What was proved before holds for the rest of its time.
        """
        self._ignored_before_s = max(self._ignored_before_s, until_s)

    def revoke(self) -> None:
        """What was taken for a proof isn't one."""
        self._renewed_at_s = None

    def renew(self, sent_s: float) -> None:
        """A call that was sent at ``sent_s`` got a sound answer."""
        if sent_s < self._ignored_before_s:
            return
        if self._renewed_at_s is None or sent_s > self._renewed_at_s:
            self._renewed_at_s = sent_s

    def valid(self, now_s: float) -> bool:
        """Return whether the lease holds."""
        return self._renewed_at_s is not None and self.age_s(now_s) < self.duration_s

    def age_s(self, now_s: float) -> float:
        """Return how old the newest proof is; infinite if there is none."""
        if self._renewed_at_s is None:
            return float("inf")
        return now_s - self._renewed_at_s
