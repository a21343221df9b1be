"""Decides which client account a request has, or that it is refused.

The decision takes one look-up, whatever the number of accounts.
"""

import dataclasses

from ivystep.core import errors
from ivystep.traffic import contracts

MISSING_KEY = 'missing_key'
UNKNOWN_KEY = 'unknown_key'
REVOKED_KEY = 'revoked_key'
# The host may not know all keys.
OUTDATED = 'configuration_outdated'
UNAUTHORIZED_STATUS = 401


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a request claims, and what its route asks of it.

    Attributes:
        key_digest: Digest of its API key; empty if it has none.
        is_public: Whether its route needs no key.
    """

    key_digest: bytes = dataclasses.field(repr=False)
    is_public: bool


def authenticate(
    accounts: contracts.Accounts | None, claim: Claim
) -> contracts.ClientAccount | None:
    """Return the account of a request that has just arrived.

    Args:
        accounts: The accounts in force; None if none are.
        claim: What the request claims.

    Returns:
        None if no accounts are in force, or on a public route without a valid
        key.

    Raises:
        errors.RefusedError: The request needs a valid key and has none.
    """
    if accounts is None:
        return None
    account = accounts.find(claim.key_digest)
    if account is None and not claim.is_public:
        if claim.key_digest:
            raise _refusal(UNKNOWN_KEY, 'The API key is unknown.')
        raise _refusal(MISSING_KEY, 'The request has no API key.')
    return account


def authenticate_again(
    accounts: contracts.Accounts | None,
    claim: Claim,
    account: contracts.ClientAccount | None,
    *,
    has_run: bool,
) -> contracts.ClientAccount | None:
    """Return the account under which the next attempt of a request is sent.

    A request that has not run is treated like one that has just arrived. One
    that may have run stays with its account: the answer of another account
    must not be joined to what was sent under the first one.

    Args:
        accounts: The accounts in force; None if none are.
        claim: What the request claims.
        account: Account under which the last attempt was sent.
        has_run: Whether the request may have run.

    Returns:
        None if no accounts are in force, or on a public route without a key
        that is still valid for the request.

    Raises:
        errors.RefusedError: The key no longer allows the request.
    """
    if accounts is None:
        return account
    current = accounts.find(claim.key_digest)
    if has_run and is_revoked(accounts, claim.key_digest, account):
        current = None
    if current is None and not claim.is_public:
        raise revoked_key()
    return current


def is_revoked(
    accounts: contracts.Accounts | None,
    key_digest: bytes,
    account: contracts.ClientAccount | None,
) -> bool:
    """Return whether a key no longer belongs to the account that it had.

    Args:
        accounts: The accounts in force; None if none are.
        key_digest: Digest of the key.
        account: Account of the key when it was used; None if it had none.
    """
    if accounts is None or account is None:
        return False
    current = accounts.find(key_digest)
    return current is None or current.name != account.name


def revoked_key() -> errors.RefusedError:
    """Return the error of a request whose key was removed as it waited."""
    return _refusal(REVOKED_KEY, 'The API key has been removed.')


def _refusal(code: str, reason: str) -> errors.RefusedError:
    return errors.RefusedError(
        code, reason, status=UNAUTHORIZED_STATUS, step='authenticate'
    )
