"""Tests the bound on the bytes that many holders keep together."""

from hypothesis import given
from hypothesis import strategies as st

from ivystep.runtime import byte_budget

HOLDS = st.lists(st.tuples(st.sampled_from('abc'), st.integers(0, 9)))


@given(HOLDS)
def test_sum_follows_the_last_count_of_each_holder(holds):
    budget = byte_budget.ByteBudget(10)
    for holder, count in holds:
        budget.hold(holder, count)
    last = dict(holds)
    assert budget.used_bytes == sum(last.values())
    assert budget.is_exceeded == (sum(last.values()) > 10)
    largest = budget.largest(lambda _: True)
    assert last.get(largest, 0) == max(last.values(), default=0)


def test_only_eligible_holders_are_the_largest():
    budget = byte_budget.ByteBudget(10)
    budget.hold('a', 9)
    budget.hold('b', 2)
    assert budget.largest(lambda holder: holder == 'b') == 'b'
    assert budget.largest(lambda _: False) is None
