"""Retries that entries lend each other: never more than their parts add up to."""

from __future__ import annotations

import heapq
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.retry_budget import LOAN_S, RetryBudget, RetryLimits
from tests.lib.properties import examples

WINDOW_S = 10.0
PART = 8.0
LIMITS = RetryLimits(0.0, PART, WINDOW_S)


def spend_all(budget: RetryBudget, now_s: float) -> int:
    count = 0
    while budget.spend(now_s):
        count += 1
    return count


def test_a_loan_is_spent_by_one_of_both() -> None:
    lender, borrower = RetryBudget(LIMITS), RetryBudget(LIMITS)
    assert spend_all(borrower, 0.0) == 8
    borrower.ask(1, 0.1)
    lent = lender.lend(1, borrower.wanted(0.1), 0.1)
    assert lent == 4
    assert borrower.borrow(1, lent)
    assert (spend_all(borrower, 0.2), spend_all(lender, 0.2)) == (4, 4)


def test_an_answer_that_comes_twice_is_one_loan() -> None:
    borrower = RetryBudget(LIMITS)
    borrower.ask(1, 0.0)
    assert borrower.borrow(1, 2)
    spend_all(borrower, 0.0)
    assert borrower.due(0.1) == {1: 2}
    assert not borrower.borrow(1, 2)


def test_a_loan_lapses_at_the_borrower_before_the_lender_counts_on_it() -> None:
    lender, borrower = RetryBudget(LIMITS), RetryBudget(LIMITS)
    borrower.ask(1, 0.0)
    borrower.borrow(1, lender.lend(1, 4, 0.5))
    assert borrower.due(LOAN_S) == {1: 0}
    assert spend_all(lender, LOAN_S + WINDOW_S) == 4
    lender = RetryBudget(LIMITS)
    lender.lend(1, 4, 0.5)
    lender.settled(1, 0, 3.0)
    assert spend_all(lender, 3.0) == 8


def test_a_lender_keeps_some_for_itself() -> None:
    lender = RetryBudget(LIMITS)
    assert lender.lend(1, 100, 0.0) == 6
    assert lender.lend(2, 100, 0.0) == 0
    assert spend_all(lender, 0.0) == 2


def test_nothing_is_borrowed_while_half_is_left() -> None:
    budget = RetryBudget(LIMITS)
    for _ in range(3):
        budget.spend(0.0)
    assert budget.wanted(0.0) == 0
    budget.spend(0.0)
    assert budget.wanted(0.0) == 4
    assert RetryBudget(RetryLimits(0.0, 0.0, WINDOW_S)).wanted(0.0) == 0


NEEDS = st.lists(
    st.tuples(st.floats(0.0, 40.0), st.integers(0, 3), st.integers(1, 30)), max_size=12
)


@examples(80)
@given(NEEDS, st.floats(0.0, 0.5), st.floats(0.0, 5.0), st.integers(0, 1000))
def test_entries_spend_no_more_than_their_parts_in_any_window(
    needs: list[tuple[float, int, int]], lost: float, delay_s: float, seed: int
) -> None:
    """Whatever is lost, late or doubled of the three messages of a loan."""
    rng = random.Random(seed)
    budgets = [RetryBudget(LIMITS) for _ in range(4)]
    open_needs = [0] * len(budgets)
    lenders: dict[int, int] = {}
    spent_s: list[float] = []
    order = itertools.count()
    due: list[tuple[float, int, str, int, int, int]] = []

    def send(now_s: float, kind: str, to: int, loan: int, count: int) -> None:
        for _ in range(1 + (rng.random() < 0.1)):
            if rng.random() >= lost:
                at_s = now_s + 0.001 + delay_s * rng.random()
                heapq.heappush(due, (at_s, next(order), kind, to, loan, count))

    loans = itertools.count(1)
    arriving = sorted(needs)
    for step in range(600):
        now_s = step * 0.1
        while arriving and arriving[0][0] <= now_s:
            _, index, count = arriving.pop(0)
            open_needs[index] += count
        while due and due[0][0] <= now_s:
            _, _, kind, to, loan, count = heapq.heappop(due)
            if kind == "ask":
                lent = budgets[to].lend(loan, count, now_s)
                if lent:
                    send(now_s, "lent", loan % 4, loan, lent)
            elif kind == "lent":
                budgets[to].borrow(loan, count)
            else:
                budgets[to].settled(loan, count, now_s)
        for index, budget in enumerate(budgets):
            while open_needs[index] and budget.spend(now_s):
                open_needs[index] -= 1
                spent_s.append(now_s)
            for loan, used in budget.due(now_s).items():
                send(now_s, "settled", lenders[loan], loan, used)
            wanted = budget.wanted(now_s)
            if wanted and step % 2 == 0:
                loan = 4 * next(loans) + index
                lenders[loan] = rng.choice([i for i in range(4) if i != index])
                budget.ask(loan, now_s)
                send(now_s, "ask", lenders[loan], loan, wanted)
    for end_s in spent_s:
        in_window = [at_s for at_s in spent_s if end_s - WINDOW_S < at_s <= end_s]
        assert len(in_window) <= 4 * PART
