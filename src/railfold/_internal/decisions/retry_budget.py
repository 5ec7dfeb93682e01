"""A budget that keeps retries from multiplying an overload."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = [
    "LOAN_S",
    "RetryBudget",
    "RetryBudgets",
    "RetryLimits",
    "jittered_retry_after_s",
]


# Of the retries beyond the share of first attempts, this part is kept for answers that
# have begun. Without a retry such an answer is cut in its middle; a request that
# hasn't begun is told that it wasn't run, and comes back.
_KEPT_FOR_BEGUN = 0.25

# How long a borrower may spend a loan, from when it asked. Entries that reckon with
# fewer others take a part that lapsed no sooner than a window later.
LOAN_S = 2.0

# A lender keeps this share of its slack for itself.
_KEPT_BY_LENDER = 0.25

# Loans that were asked for and not answered.
_ASKED_KEPT = 64


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


@dataclass(slots=True)
class _Lent:
    """A loan that counts as spent until ``until_s``."""

    count: int
    until_s: float


@dataclass(slots=True)
class _Borrowed:
    """A loan that may be spent until ``until_s``."""

    count: int
    until_s: float
    used: int = 0


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
        self._lent: dict[int, _Lent] = {}
        self._asked_s: OrderedDict[int, float] = OrderedDict()
        self._borrowed: dict[int, _Borrowed] = {}

    def earn(self, now_s: float) -> None:
        """Count one first attempt."""
        self._first_attempts_s.append(now_s)
        self._forget(now_s)

    def allows(self, now_s: float, *, begun: bool = True) -> bool:
        """Return whether there is a retry to be taken.

        :param begun: whether it is for an answer that its client already reads.
        """
        if self._loan(now_s) is not None:
            return True
        return self._allows_own(now_s, begun=begun)

    def _allows_own(self, now_s: float, *, begun: bool) -> bool:
        self._forget(now_s)
        limits = self.limits
        slack = limits.slack if begun else limits.slack * (1.0 - _KEPT_FOR_BEGUN)
        allowed = slack + limits.share * len(self._first_attempts_s)
        if allowed <= 0.0:
            return False
        spent = len(self._retries_s) + self._lent_count()
        return spent + 1 <= allowed + self._rounding

    def spend(self, now_s: float, *, begun: bool = True) -> bool:
        """Take one retry from the budget; return whether it was there."""
        loan = self._loan(now_s)
        if loan is not None:
            loan.used += 1
            return True
        if not self._allows_own(now_s, begun=begun):
            return False
        self._retries_s.append(now_s)
        return True

    # Loans between entries. A loan counts as spent at its lender for a window after
    # its borrower may have spent it last, so that in every window borrower and lender
    # together spend no more than the lender's part.

    def wanted(self, now_s: float) -> int:
        """Return how many retries to borrow now; 0 while half of the slack is left."""
        self._forget(now_s)
        slack = self.limits.slack
        left = slack - len(self._retries_s) - self._lent_count()
        borrowed = sum(
            loan.count - loan.used
            for loan in self._borrowed.values()
            if now_s < loan.until_s
        )
        if slack <= 0.0 or left + borrowed > slack / 2:
            return 0
        return math.ceil(slack / 2)

    def lend(self, loan_id: int, count: int, now_s: float) -> int:
        """Lend up to so many retries; return how many."""
        self._forget(now_s)
        slack = self.limits.slack * (1.0 - _KEPT_BY_LENDER)
        free = int(slack - len(self._retries_s) - self._lent_count())
        lent = max(0, min(count, free))
        if lent == 0 or loan_id in self._lent:
            return 0
        self._lent[loan_id] = _Lent(lent, now_s + LOAN_S + self.limits.window_s)
        return lent

    def settled(self, loan_id: int, used: int, now_s: float) -> None:
        """The borrower has spent so many of a loan, and spends no more."""
        loan = self._lent.get(loan_id)
        if loan is not None:
            loan.count = min(loan.count, max(0, used))
            loan.until_s = min(loan.until_s, now_s + self.limits.window_s)

    def ask(self, loan_id: int, now_s: float) -> None:
        """Note that a loan is asked for."""
        self._asked_s[loan_id] = now_s
        while len(self._asked_s) > _ASKED_KEPT:
            self._asked_s.popitem(last=False)

    def borrow(self, loan_id: int, count: int) -> bool:
        """Take a loan that was asked for; return whether it is one."""
        asked_s = self._asked_s.pop(loan_id, None)
        if asked_s is None:
            return False
        self._borrowed[loan_id] = _Borrowed(count, asked_s + LOAN_S)
        return True

    def due(self, now_s: float) -> dict[int, int]:
        """Return loans that are spent or have lapsed, and what was used of each.

        Each is returned once.
        """
        ended = [
            (loan_id, loan)
            for loan_id, loan in self._borrowed.items()
            if loan.used >= loan.count or now_s >= loan.until_s
        ]
        for loan_id, _ in ended:
            del self._borrowed[loan_id]
        return {loan_id: loan.used for loan_id, loan in ended}

    def _loan(self, now_s: float) -> _Borrowed | None:
        for loan in self._borrowed.values():
            if loan.used < loan.count and now_s < loan.until_s:
                return loan
        return None

    def _lent_count(self) -> int:
        return sum(loan.count for loan in self._lent.values())

    def _forget(self, now_s: float) -> None:
        for loan_id, loan in list(self._lent.items()):
            if now_s >= loan.until_s:
                del self._lent[loan_id]
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

    def of(self, service: str) -> RetryBudget:
        """Return a service's budget."""
        return self._budgets.setdefault(
            service, RetryBudget(self._limits, self._rounding)
        )

    def items(self) -> list[tuple[str, RetryBudget]]:
        """Return the budgets by service."""
        return list(self._budgets.items())


def jittered_retry_after_s(load: float, random_unit: float) -> float:
    """Return when a refused caller should come back, in seconds.

    :param load: in-flight requests over live capacity; 1 is full.
    :param random_unit: a random number from 0 to 1, so that refused callers
        don't come back together.
    """
    base_s = min(30.0, 0.5 * max(1.0, load) ** 2)
    return round(base_s * (0.5 + random_unit), 2)
