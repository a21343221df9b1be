"""Tests of the decision which running streams end."""

import pytest

from ivystep.accounts import revocation
from ivystep.core import ids
from tests.accounts import test_directory

ACME = test_directory.account('acme', 'k-1', 'k-2')
FIRST_KEY = ids.digest(b'k-1')


@pytest.mark.parametrize(
    ('holder', 'is_ended'),
    [
        (test_directory.account('acme', 'k-1'), False),
        (test_directory.account('acme', 'k-2'), True),
        (test_directory.account('beta', 'k-1'), True),
    ],
)
def test_stream_ends_if_its_own_key_has_left_its_account(holder, is_ended):
    """Guards against streams that end for another key of their account."""
    accounts = test_directory.accounts(holder)
    strict = revocation.RevocationPolicy(is_strict=True)
    assert strict.must_end(accounts, FIRST_KEY, ACME) is is_ended
    lenient = revocation.RevocationPolicy(is_strict=False)
    assert not lenient.must_end(accounts, FIRST_KEY, ACME)


def test_stream_without_an_account_goes_on():
    """Guards against public streams that end with a change of accounts."""
    strict = revocation.RevocationPolicy(is_strict=True)
    accounts = test_directory.accounts(ACME)
    assert not strict.must_end(accounts, b'', None)
    assert not strict.must_end(None, FIRST_KEY, ACME)
