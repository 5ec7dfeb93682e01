"""Logs the retries of this process, so that the log shows them after it is killed."""

from __future__ import annotations

import asyncio

from railfold._internal.decisions.retry_budget import RetryBudgets, RetryCounts
from railfold._internal.observability.decision_log import DecisionLog
from railfold._internal.observability.events import RetriesCounted

__all__ = ["RetryReporter"]

# The counts of at most this time are lost when the process is killed.
_INTERVAL_S = 1.0


class RetryReporter:
    """Supervised child that logs the retries to each service in each interval."""

    def __init__(self, budgets: RetryBudgets, log: DecisionLog) -> None:
        self._budgets = budgets
        self._log = log
        self._reported: dict[str, RetryCounts] = {}

    async def run(self, ready: asyncio.Event) -> None:
        """Log until cancelled."""
        ready.set()
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Log the retries since the last report, if there were any."""
        for service, budget in self._budgets.by_service.items():
            before = self._reported.get(service, RetryCounts())
            counts = self._reported[service] = budget.counts
            new = counts.since(before)
            if not new.retries and not new.refused:
                continue
            event = RetriesCounted(
                service=service,
                first_attempts=new.first_attempts,
                retries=new.retries,
                refused=new.refused,
                slack=round(budget.limits.slack, 2),
            )
            self._log.write(event)
