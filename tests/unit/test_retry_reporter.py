"""Retries are logged often enough to be counted after a process was killed."""

from __future__ import annotations

import json
import os

from railfold._internal.decisions.retry_budget import RetryBudgets, RetryLimits
from railfold._internal.forwarding.retry_reporter import RetryReporter
from railfold._internal.observability.decision_log import DecisionLog


def test_log_contains_the_retries_since_the_last_report() -> None:
    log_out, log_in = os.pipe()
    log = DecisionLog("entry-1", log_in)
    budgets = RetryBudgets(RetryLimits(share=0.0, slack=2.0))
    reporter = RetryReporter(budgets, log)
    budget = budgets.for_service("records")
    budget.earn(0.0)
    reporter.report()
    for _ in range(3):
        budget.spend(0.5)
    reporter.report()
    reporter.report()
    log.flush()
    (event,) = [json.loads(x)["event"] for x in os.read(log_out, 4096).splitlines()]
    os.close(log_in)
    os.close(log_out)
    assert event == {
        "type": "retries_counted",
        "service": "records",
        "first_attempts": 0,
        "retries": 2,
        "refused": 1,
        "slack": 2.0,
    }
