"""Tests of the fair shares of accounts."""

import random

from ivystep.policy import account_shares


def test_only_the_account_beyond_its_share_is_ranked_lower():
    """Guards against an undetected flood, and against accounts within their
    share that are mistaken for one.
    """
    shares = account_shares.AccountShares(2.0)
    chosen = random.Random(7)
    for step in range(600):
        now = step * 0.1
        for account in ('scan', f'a{chosen.randrange(10)}'):
            shares.record_activity(account, 1.0, now)
        shares.count_wanted('scan', now)
        shares.charge('scan', now)
        shares.count_ordered('scan', shares.rank('scan', now), now)
        if step % 10 == 0:
            account = f'a{chosen.randrange(10)}'
            shares.record_activity(account, 1.0, now)
            shares.count_wanted(account, now)
            assert shares.rank(account, now) == 0
            shares.charge(account, now)
            shares.count_ordered(account, 0, now)
    assert shares.rank('scan', 60.0) >= 1


def test_account_with_a_larger_weight_gets_more_loads():
    """Guards against weights that have no effect."""
    shares = account_shares.AccountShares(1.0)
    loads = {'light': 0, 'heavy': 0}
    for step in range(600):
        now = step * 1.0
        for account, weight in (('light', 1.0), ('heavy', 4.0)):
            shares.record_activity(account, weight, now)
            shares.count_wanted(account, now)
        account = min(('light', 'heavy'), key=lambda one: shares.rank(one, now))
        shares.charge(account, now)
        shares.count_ordered(account, 0, now)
        loads[account] += 1
    assert loads['heavy'] > 3 * loads['light']
