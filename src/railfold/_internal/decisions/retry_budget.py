"""A budget that keeps retries from multiplying an overload."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget", "jittered_retry_after_s"]


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a share of first attempts, plus a burst.

    :param share: retries earned by each first attempt.
    :param burst: the most that can be saved up, and the budget at start.
    """

    share: float = 0.2
    burst: float = 100.0
    balance: float = -1.0

    def __post_init__(self) -> None:
        if self.balance < 0:
            self.balance = self.burst

    def earn(self) -> None:
        """Count one first attempt."""
        self.balance = min(self.burst, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether it was there."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


def jittered_retry_after_s(load: float, random_unit: float) -> float:
    """Return when a refused caller should come back, in seconds.

    :param load: in-flight requests over live capacity; 1 is full.
    :param random_unit: a random number from 0 to 1, so that refused callers
        don't come back together.
    """
    base_s = min(30.0, 0.5 * max(1.0, load) ** 2)
    return round(base_s * (0.5 + random_unit), 2)
