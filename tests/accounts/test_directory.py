"""Tests of finding accounts by the digests of their keys."""

import pytest

from ivystep.accounts import directory
from ivystep.core import errors, ids
from ivystep.traffic import contracts


def account(name, *keys, **more):
    digests = tuple(ids.digest(key.encode()) if key else b'' for key in keys)
    return contracts.ClientAccount(name, digests, **more)


def accounts(*members):
    return directory.AccountDirectory.from_accounts(members)


def test_account_is_found_by_each_of_its_keys():
    """Guards against a key of an account that is refused."""
    known = accounts(account('acme', 'k-1', 'k-2'), account('beta', 'k-3'))
    for key, name in (('k-1', 'acme'), ('k-2', 'acme'), ('k-3', 'beta')):
        assert known.find(ids.digest(key.encode())).name == name
    assert known.find(ids.digest(b'k-4')) is None


def test_empty_key_belongs_to_no_account():
    """Guards against requests without a key that are served as an account."""
    assert accounts(account('acme', '')).find(b'') is None


@pytest.mark.parametrize('other', [('beta', 'k-1'), ('acme', 'k-2')])
def test_key_or_name_of_two_accounts_is_refused(other):
    """Guards against requests that are charged to a wrong account."""
    with pytest.raises(errors.SetupError) as caught:
        accounts(account('acme', 'k-1'), account(*other))
    assert 'k-' not in str(caught.value)


def test_key_that_one_account_lists_twice_is_accepted():
    """Guards against a configuration that is refused without a conflict."""
    assert accounts(account('acme', 'k-1', 'k-1')).account_by_name['acme']
