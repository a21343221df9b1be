"""Tests of the max-min fair shares of an engine's time."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivystep.fair_shares import max_min


@given(
    st.lists(st.floats(0, 100), min_size=1, max_size=20),
    st.floats(0.1, 200),
)
def test_level_gives_away_the_whole_capacity(demands, capacity):
    """A level that is too low leaves the engine idle while accounts wait."""
    level = max_min.fair_level(demands, capacity)
    given_away = sum(min(demand, level) for demand in demands)

    assert given_away == pytest.approx(min(capacity, sum(demands)), rel=1e-6)


def test_level_is_infinite_without_contention():
    """An account alone must get all of an idle engine."""
    assert max_min.fair_level([0.1, 1.5], 2.0) == math.inf


def test_flooding_account_is_beyond_its_share_and_the_others_are_not():
    """One account at 7.5 times its load must not push the others back."""
    shares = max_min.FairShares()
    loads = {'flood': 0.075, 'one': 0.01, 'two': 0.01, 'three': 0.01}
    now = 0.0
    for _ in range(60):
        now += 0.1
        for account, time_s in loads.items():
            shares.record_asked(account, time_s * 2, now)
            shares.record_used(account, time_s * 2, now)

    assert shares.tiers(now).keys() == {'flood'}


def test_account_is_within_its_share_again_after_its_flood():
    """An account that has calmed down must be served like the others."""
    shares = max_min.FairShares()
    shares.record_asked('flood', 10.0, 0.0)
    shares.record_used('flood', 10.0, 0.0)
    shares.record_asked('calm', 0.5, 0.0)

    assert shares.tiers(0.0) == {'flood': max_min.USED_MORE}
    assert not shares.tiers(10.0)


def test_silent_accounts_are_forgotten():
    """The tables must not grow with every account that ever asked."""
    shares = max_min.FairShares()
    for number in range(1000):
        shares.record_asked(f'account-{number}', 0.01, 0.0)
    shares.tiers(60.0)
    shares.record_asked('last', 0.01, 60.0)

    assert shares._asked_by_account.keys() == {'last'}
