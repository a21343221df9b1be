"""Tests of the decision whether a host may rely on its configuration."""

import pytest

from ivystep.accounts import freshness

CURRENT = freshness.Freshness.CURRENT
LIMIT_S = 2.7


@pytest.mark.parametrize(
    ('age_s', 'is_behind', 'is_failing', 'expected'),
    [
        # A change may still be adopted within its bound.
        (2.7, True, False, CURRENT),
        # A frozen host wakes.
        (2.8, False, False, freshness.Freshness.UNCONFIRMED),
        # The store is away: nothing can be acknowledged.
        (60.0, False, True, CURRENT),
        # This host alone is cut off, and the leader knows more.
        (2.8, True, True, freshness.Freshness.OUTDATED),
    ],
)
def test_age_and_the_leader_decide(age_s, is_behind, is_failing, expected):
    """Guards against removed keys that a host accepts after the bound."""
    known = freshness.Knowledge(age_s, is_behind, is_failing)
    assert known.judge(LIMIT_S) is expected
