"""Budget that keeps retries from amplifying an overload."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum, auto

__all__ = [
    "RetryBudget",
    "RetryBudgets",
    "RetryCounts",
    "RetryLimits",
    "RetryPurpose",
    "jittered_retry_after_s",
]


class RetryPurpose(Enum):
    """Why a request is sent again, from the most to the least urgent reason."""

    # Without a retry, an answer that has started breaks off.
    CONTINUE_ANSWER = auto()
    # Without a retry, the request is refused, and its client can send it again.
    REPEAT_REQUEST = auto()
    # Without a retry, the request waits for backend servers that may go on.
    LEAVE_SUSPECT = auto()


# Share of ``RetryLimits.slack`` that a purpose leaves to more urgent ones. When a
# server pauses, many attempts are suspected together, and most go on by themselves.
_RESERVED_SHARES = {
    RetryPurpose.CONTINUE_ANSWER: 0.0,
    RetryPurpose.REPEAT_REQUEST: 0.25,
    RetryPurpose.LEAVE_SUSPECT: 0.5,
}


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Number of retries that are allowed in any window of time.

    :param share: retries allowed for each first attempt in the window.
    :param slack: retries allowed in addition.
    :param window_s: length of the window.
    """

    share: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """Numbers of attempts since a process has started.

    :param refused: retries that the budget didn't allow.
    """

    first_attempts: int = 0
    retries: int = 0
    refused: int = 0

    def since(self, earlier: RetryCounts) -> RetryCounts:
        """Return the numbers of attempts after ``earlier`` was taken."""
        return RetryCounts(
            self.first_attempts - earlier.first_attempts,
            self.retries - earlier.retries,
            self.refused - earlier.refused,
        )


class RetryBudget:
    """Allows a share of first attempts, plus a fixed number, as retries in any window.

    If processes divide common limits among them, they also keep the common limits: in
    any window their retries add up to no more than the sum of their limits. A token
    bucket that first attempts fill would allow the slack only once, not in each window.

    A process that starts doesn't know what its predecessor has spent. The slack and the
    rounding are therefore available in proportion to the part of the window that lies
    after its start. However often a process is restarted, its incarnations then spend
    no more slack in a window than one that keeps running.

    :param rounding: from 0 to below 1, added to the allowed number of retries. If many
        processes have small limits, rounding down loses half a retry on average for
        each of them. With a random value for each process, the expected sum of their
        retries is the sum of their limits.
    :param started_s: when the process started; by default it has no predecessor.
    """

    def __init__(
        self,
        limits: RetryLimits,
        rounding: float = 0.0,
        started_s: float = float("-inf"),
    ) -> None:
        self.limits = limits
        self._rounding = rounding
        self._started_s = started_s
        self._first_attempts_s: deque[float] = deque()
        self._retries_s: deque[float] = deque()
        self.counts = RetryCounts()

    def earn(self, now_s: float) -> None:
        """Record a first attempt, which adds to the budget."""
        self._first_attempts_s.append(now_s)
        self.counts = replace(
            self.counts, first_attempts=self.counts.first_attempts + 1
        )
        self._drop_expired(now_s)

    def allows(
        self, now_s: float, purpose: RetryPurpose = RetryPurpose.CONTINUE_ANSWER
    ) -> bool:
        """Return whether the budget allows a retry for this purpose now."""
        self._drop_expired(now_s)
        limits = self.limits
        slack = limits.slack * (1.0 - _RESERVED_SHARES[purpose])
        known_part = self._known_part(now_s)
        allowed = known_part * slack + limits.share * len(self._first_attempts_s)
        if allowed <= 0.0:
            return False
        return len(self._retries_s) + 1 <= allowed + known_part * self._rounding

    def spend(
        self, now_s: float, purpose: RetryPurpose = RetryPurpose.CONTINUE_ANSWER
    ) -> bool:
        """Take one retry from the budget; return whether the budget allowed it."""
        if not self.allows(now_s, purpose):
            self.counts = replace(self.counts, refused=self.counts.refused + 1)
            return False
        self._retries_s.append(now_s)
        self.counts = replace(self.counts, retries=self.counts.retries + 1)
        return True

    def _known_part(self, now_s: float) -> float:
        """Return the part of the window that lies after the start of the process."""
        running_s = now_s - self._started_s
        return min(1.0, max(0.0, running_s / self.limits.window_s))

    def _drop_expired(self, now_s: float) -> None:
        since_s = now_s - self.limits.window_s
        for times_s in (self._first_attempts_s, self._retries_s):
            while times_s and times_s[0] <= since_s:
                times_s.popleft()


class RetryBudgets:
    """Retry budgets by service, all with the same parameters."""

    def __init__(
        self,
        limits: RetryLimits,
        rounding: float = 0.0,
        started_s: float = float("-inf"),
    ) -> None:
        self._limits = limits
        self._rounding = rounding
        self._started_s = started_s
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def by_service(self) -> Mapping[str, RetryBudget]:
        """The budgets of the services that requests were sent to."""
        return self._budgets

    def set_limits(self, limits: RetryLimits) -> None:
        """Change the limits of all budgets."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        return self._budgets.setdefault(
            service, RetryBudget(self._limits, self._rounding, self._started_s)
        )


def jittered_retry_after_s(load: float, random_unit: float) -> float:
    """Return after how many seconds a refused client should retry.

    :param load: requests in flight divided by live capacity; 1 is full.
    :param random_unit: a random number from 0 to 1, so that refused clients
        don't retry together.
    """
    base_s = min(30.0, 0.5 * max(1.0, load) ** 2)
    return round(base_s * (0.5 + random_unit), 2)
