"""A budget that keeps retries from multiplying an overload."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryBudgets", "RetryLimits", "jittered_retry_after_s"]


# Of the retries beyond the share of first attempts, this part is kept for answers that
# have begun. Without a retry such an answer is cut in its middle; a request that
# hasn't begun is told that it wasn't run, and comes back.
_RESERVED_FOR_BEGUN = 0.25


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """How many retries are allowed in any window of time.

    :param share: retries for each first attempt of the window.
    :param slack: retries beyond that share.
    :param window_s: length of the window.
    """

    share: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


class RetryBudget:
    """Allows retries as a share of first attempts, plus a number, in any window.

    Processes that each keep a part of common limits keep them together: in every
    window their retries add up to no more than their parts do. A bucket that is
    filled by first attempts would allow the slack once, not in each window.

    :param rounding: added to what is allowed, below 1. Of many processes with small
        parts each would lose half a retry to whole numbers. Drawn by chance for each,
        their sum is what the parts add up to.
    """

    def __init__(self, limits: RetryLimits, rounding: float = 0.0) -> None:
        self.limits = limits
        self._rounding = rounding
        self._first_attempts_s: deque[float] = deque()
        self._retries_s: deque[float] = deque()

    def earn(self, now_s: float) -> None:
        """Count one first attempt."""
        self._first_attempts_s.append(now_s)
        self._drop_expired(now_s)

    def allows(self, now_s: float, *, begun: bool = True) -> bool:
        """Return whether there is a retry to be taken.

        :param begun: whether it is for an answer that its client already reads.
        """
        self._drop_expired(now_s)
        limits = self.limits
        slack = limits.slack if begun else limits.slack * (1.0 - _RESERVED_FOR_BEGUN)
        allowed = slack + limits.share * len(self._first_attempts_s)
        if allowed <= 0.0:
            return False
        return len(self._retries_s) + 1 <= allowed + self._rounding

    def spend(self, now_s: float, *, begun: bool = True) -> bool:
        """Take one retry from the budget; return whether it was there."""
        if not self.allows(now_s, begun=begun):
            return False
        self._retries_s.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        since_s = now_s - self.limits.window_s
        for times_s in (self._first_attempts_s, self._retries_s):
            while times_s and times_s[0] <= since_s:
                times_s.popleft()


class RetryBudgets:
    """A budget for each service, all with the same limits and rounding."""

    def __init__(self, limits: RetryLimits, rounding: float = 0.0) -> None:
        self._limits = limits
        self._rounding = rounding
        self._budgets: dict[str, RetryBudget] = {}

    def set_limits(self, limits: RetryLimits) -> None:
        """Change the limits of all."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def for_service(self, service: str) -> RetryBudget:
        """Return a service's budget."""
        return self._budgets.setdefault(
            service, RetryBudget(self._limits, self._rounding)
        )


def jittered_retry_after_s(load: float, random_unit: float) -> float:
    """Return when a refused caller should come back, in seconds.

    :param load: in-flight requests over live capacity; 1 is full.
    :param random_unit: a random number from 0 to 1, so that refused callers
        don't come back together.
    """
    base_s = min(30.0, 0.5 * max(1.0, load) ** 2)
    return round(base_s * (0.5 + random_unit), 2)
