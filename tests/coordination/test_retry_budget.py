"""Tests of retry budgets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivystep.coordination import retry_budget


@given(
    st.lists(st.booleans(), max_size=400),
    st.floats(0, 1),
    st.floats(0, 20),
)
def test_retries_never_exceed_ratio_and_reserve(events, ratio, reserve):
    """Guards against a budget that lets retries amplify an outage."""
    budget = retry_budget.RetryBudget(ratio, reserve)
    requests = retries = 0
    for is_request in events:
        if is_request:
            requests += 1
            budget.on_request()
        else:
            retries += budget.try_spend()
        assert retries <= requests * ratio + reserve + 1e-6


def test_budgets_are_separate_and_bounded():
    """Guards against a source that uses up the budget of another, and against
    unbounded memory.
    """
    budgets = retry_budget.RetryBudgets(max_budgets=2, ratio=0, reserve=1)
    assert budgets.budget('a').try_spend()
    assert not budgets.budget('a').try_spend()
    assert budgets.budget('b').try_spend()
    budgets.budget('a')
    budgets.budget('c')
    assert not budgets.budget('a').try_spend()
    assert budgets.budget('b').try_spend()


@pytest.mark.parametrize('hosts', [1, 4, 28, 1200])
def test_shared_reserve_is_not_exceeded_by_many_hosts(hosts):
    """Guards against retries of many hosts that together exceed the reserve of
    their service, and against hosts that can never retry.
    """
    extra = 96.0
    several = [retry_budget.RetryBudget(0.1, extra) for _ in range(hosts)]
    for budget in several:
        budget.change_reserve(extra / hosts)
    spent = sum(budget.try_spend() for budget in several for _ in range(200))
    assert spent <= extra
    for _ in range(11):
        several[0].on_request()
    assert several[0].try_spend()
