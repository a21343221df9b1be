"""Tests of the decision which account a request has."""

import pytest

from ivystep.accounts import authentication
from ivystep.core import errors, ids
from tests.accounts import test_directory

ACME = test_directory.account('acme', 'k-1')
BETA = test_directory.account('beta', 'k-2')
KNOWN = test_directory.accounts(ACME, BETA)


def claim(key='', *, is_public=False):
    digest = ids.digest(key.encode()) if key else b''
    return authentication.Claim(digest, is_public)


def again(accounts, account=ACME, key='k-1', *, is_public=False, has_run):
    return authentication.authenticate_again(
        accounts, claim(key, is_public=is_public), account, has_run=has_run
    )


def test_key_decides_the_account():
    """Guards against requests that are served as another account."""
    assert authentication.authenticate(KNOWN, claim('k-2')) is BETA


@pytest.mark.parametrize(
    ('key', 'code'), [('', 'missing_key'), ('k-9', 'unknown_key')]
)
def test_request_without_a_valid_key_is_refused(key, code):
    """Guards against callers that need no key."""
    with pytest.raises(errors.RefusedError) as caught:
        authentication.authenticate(KNOWN, claim(key))
    assert (caught.value.status, caught.value.code) == (401, code)
    assert caught.value.retry_after_s is None


@pytest.mark.parametrize('key', ['', 'k-9'])
def test_public_route_needs_no_key(key):
    """Guards against a public route that refuses callers."""
    public = claim(key, is_public=True)
    assert authentication.authenticate(KNOWN, public) is None
    valid = claim('k-1', is_public=True)
    assert authentication.authenticate(KNOWN, valid) is ACME


@pytest.mark.parametrize('key', ['', 'k-1'])
def test_no_accounts_in_force_need_no_key(key):
    """Guards against a deployment without accounts that refuses callers."""
    assert authentication.authenticate(None, claim(key)) is None


@pytest.mark.parametrize('has_run', [False, True])
def test_removed_key_is_refused_before_the_next_attempt(has_run):
    """Guards against a request that outlives its key in a queue."""
    with pytest.raises(errors.RefusedError) as caught:
        again(test_directory.accounts(BETA), has_run=has_run)
    assert (caught.value.status, caught.value.code) == (401, 'revoked_key')


def test_moved_key_is_sent_under_its_new_account():
    """Guards against an account that is named after its key has left it."""
    moved = test_directory.accounts(test_directory.account('gamma', 'k-1'))
    assert again(moved, has_run=False).name == 'gamma'
    # Two accounts must not share the answer of one request.
    with pytest.raises(errors.RefusedError):
        again(moved, has_run=True)


def test_changed_account_is_used_with_its_new_values():
    """Guards against the priority of an earlier configuration."""
    changed = test_directory.accounts(
        test_directory.account('acme', 'k-1', priority=3)
    )
    assert again(changed, has_run=True).priority == 3


def test_public_route_goes_on_without_an_account_once_the_key_is_removed():
    """Guards against the name of an account that lost its key."""
    left = test_directory.accounts(BETA)
    assert again(left, is_public=True, has_run=False) is None
    assert again(left, is_public=True, has_run=True) is None


def test_accounts_that_come_into_force_apply_to_waiting_requests():
    """Guards against requests without a key that are sent after the change."""
    with pytest.raises(errors.RefusedError):
        again(KNOWN, account=None, key='', has_run=False)
    assert again(None, has_run=True) is ACME
