"""Decides which running streams end when API keys are removed.

Each change of the configuration looks at each running stream of a host once;
a host has some hundreds of them.
"""

import dataclasses

from ivystep.accounts import authentication
from ivystep.traffic import contracts


@dataclasses.dataclass(frozen=True, slots=True)
class RevocationPolicy:
    """What happens to a stream whose key is removed while it runs.

    Attributes:
        is_strict: Whether the stream is ended. Otherwise it runs until it ends
            by itself.
    """

    is_strict: bool = False

    def must_end(
        self,
        accounts: contracts.Accounts | None,
        key_digest: bytes,
        account: contracts.ClientAccount | None,
    ) -> bool:
        """Return whether a running stream must end.

        A key that has moved to another account was removed from this one.

        Args:
            accounts: The accounts in force; None if none are.
            key_digest: Digest of the key with which the stream was requested.
            account: Account of the stream; None if it has none.
        """
        return self.is_strict and authentication.is_revoked(
            accounts, key_digest, account
        )
