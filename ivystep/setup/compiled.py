"""The compiled setup: immutable, indexed by key, used by requests."""

import dataclasses
import hashlib
import typing

from ivystep.core import types
from ivystep.setup import document


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What a bearer key stands for."""

    account: document.Account
    application: document.Application


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledSetup:
    """A setup version ready for lookups.

    Attributes:
        version: Version of the manifest row.
        grant_by_key_digest: Bearer keys' SHA-256 digests in hexadecimal.
        adapter_by_name: Adapters by account name and adapter name.
    """

    version: int
    document: document.Document
    grant_by_key_digest: dict[str, Grant]
    adapter_by_name: dict[tuple[str, str], document.Adapter]
    pool_by_name: dict[str, document.Pool]
    service_by_name: dict[str, document.Service]

    @classmethod
    def from_document(
        cls, source: document.Document, version: int
    ) -> typing.Self:
        """Index a validated document.

        Args:
            source: The document.
            version: Version of its manifest row.
        """
        return cls(
            version=version,
            document=source,
            grant_by_key_digest={
                digest: Grant(account, application)
                for account in source.accounts
                for application in account.applications
                for digest in application.key_digests
            },
            adapter_by_name={
                (account.name, adapter.name): adapter
                for account in source.accounts
                for adapter in account.adapters
            },
            pool_by_name={pool.name: pool for pool in source.pools},
            service_by_name={
                service.name: service for service in source.services
            },
        )

    def grant(self, key: str) -> Grant | None:
        """Return what a bearer key stands for.

        Looking up the digest of a high-entropy key reveals nothing about the
        stored digests through timing, since the caller cannot choose digests.

        Args:
            key: The bearer key as sent.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self.grant_by_key_digest.get(digest)

    def adapter(
        self, grant: Grant, model: str
    ) -> tuple[types.AdapterRef, document.Adapter, str] | None:
        """Resolve a model name for an application.

        Args:
            grant: What the caller's key stands for.
            model: ``adapter`` or ``adapter@version``.

        Returns:
            Reference, adapter and weights' source; None if the adapter or
            version is unknown or not granted.
        """
        name, _, wanted = model.partition('@')
        adapter = self.adapter_by_name.get((grant.account.name, name))
        if adapter is None or name not in grant.application.grants:
            return None
        number = wanted or str(adapter.active_version)
        for version in adapter.versions:
            if str(version.version) == number:
                ref = types.AdapterRef(
                    grant.account.name, name, version.version
                )
                return ref, adapter, version.source
        return None
