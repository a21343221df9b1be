"""Finds client accounts by the digests of their API keys.

Designed for 100,000 accounts: building takes linear time, and a look-up by
digest takes the same time for any key, so that it reveals nothing about others.
"""

import dataclasses
import typing
from collections.abc import Iterable, Mapping

from ivystep.core import errors
from ivystep.traffic import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class AccountDirectory:
    """The accounts of one configuration; see ``contracts.Accounts``."""

    account_by_name: Mapping[str, contracts.ClientAccount] = dataclasses.field(
        repr=False
    )
    account_by_key_digest: Mapping[bytes, contracts.ClientAccount] = (
        dataclasses.field(repr=False)
    )

    @classmethod
    def from_accounts(
        cls, accounts: Iterable[contracts.ClientAccount]
    ) -> typing.Self:
        """Create a directory.

        Args:
            accounts: The accounts. An empty digest stands for an empty key,
                which no request can have.

        Raises:
            errors.SetupError: Two accounts have the same key or name.
        """
        by_name: dict[str, contracts.ClientAccount] = {}
        by_digest: dict[bytes, contracts.ClientAccount] = {}
        for account in accounts:
            if by_name.setdefault(account.name, account) is not account:
                raise _malformed(f'two accounts have the name {account.name}')
            for digest in account.key_digests:
                holder = (
                    by_digest.setdefault(digest, account) if digest else account
                )
                if holder is not account:
                    raise _malformed(
                        f'accounts {holder.name} and {account.name} have the '
                        'same key'
                    )
        return cls(by_name, by_digest)

    def find(self, key_digest: bytes) -> contracts.ClientAccount | None:
        """Return the account of an API key; None if the key is unknown.

        Args:
            key_digest: Digest of the key; empty if there is none.
        """
        return self.account_by_key_digest.get(key_digest)


def _malformed(reason: str) -> errors.SetupError:
    return errors.SetupError(
        f'the configuration is malformed: {reason}', step='decode config'
    )
