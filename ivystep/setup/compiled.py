"""The compiled setup: immutable, indexed by key, used by requests.

A new version shares everything with the earlier one but the accounts that
changed, so the cost of a change is proportional to those accounts.
"""

import dataclasses
import functools
import hashlib
import sys
import typing
from collections.abc import Iterable, Mapping

from ivystep.core import errors, types
from ivystep.setup import document, shards

MAX_SHARED_LIMITS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """One version of an adapter's weights."""

    version: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """A registered adapter; see ``document.Adapter``."""

    name: str
    pool: str
    active_version: int
    versions: tuple[AdapterVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Application:
    """An application of an account; see ``document.Application``."""

    name: str
    key_digests: tuple[str, ...]
    grants: frozenset[str]
    services: frozenset[str]
    idempotent: bool
    limits: document.Limits


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """An account with its adapters by name; see ``document.Account``."""

    name: str
    weight: float
    limits: document.Limits
    applications: tuple[Application, ...]
    adapter_by_name: dict[str, Adapter]

    @classmethod
    def from_document(cls, source: document.Account) -> typing.Self:
        """Compile a validated account."""
        adapters = [_adapter(adapter) for adapter in source.adapters]
        adapter_by_name = {adapter.name: adapter for adapter in adapters}
        return cls(
            name=source.name,
            weight=source.weight,
            limits=_shared(source.limits),
            applications=tuple(
                _application(part, adapter_by_name)
                for part in source.applications
            ),
            adapter_by_name=adapter_by_name,
        )

    @property
    def adapters(self) -> tuple[Adapter, ...]:
        """All adapters in the order of the document."""
        return tuple(self.adapter_by_name.values())

    @property
    def key_digests(self) -> list[str]:
        """Digests of the bearer keys of all applications."""
        return [
            digest
            for application in self.applications
            for digest in application.key_digests
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What a bearer key stands for."""

    account: Account
    application: Application


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledSetup:
    """A setup version ready for lookups.

    Attributes:
        version: Version of the manifest row.
        account_by_name: Accounts by name.
        grant_by_key_digest: Bearer keys' SHA-256 digests in hexadecimal.
        pool_by_name: Pools by name.
        service_by_name: Plain services by name.
    """

    version: int
    account_by_name: shards.ShardMap[Account]
    grant_by_key_digest: shards.ShardMap[Grant]
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
        accounts = [Account.from_document(part) for part in source.accounts]
        return cls(
            version=version,
            account_by_name=shards.ShardMap(
                {account.name: account for account in accounts}
            ),
            grant_by_key_digest=shards.ShardMap(_grants(accounts)),
            pool_by_name={pool.name: pool for pool in source.pools},
            service_by_name={
                service.name: service for service in source.services
            },
        )

    def changed(
        self,
        version: int,
        common: document.Common,
        accounts: Iterable[document.Account],
        removed: Iterable[str],
    ) -> typing.Self:
        """Return the next version, sharing the unchanged accounts.

        Args:
            version: Version of the manifest row.
            common: Pools and services of the new version.
            accounts: New and changed accounts, each valid in itself.
            removed: Names of the accounts that no longer exist.

        Raises:
            errors.SetupError: A key belongs to two applications.
        """
        compiled = {part.name: Account.from_document(part) for part in accounts}
        removed = tuple(removed)
        old_digests = [
            digest
            for name in (*removed, *compiled)
            for digest in self._key_digests(name)
        ]
        grants = self.grant_by_key_digest.updated(old_digests, {})
        added = _grants(compiled.values())
        _check_new_keys(grants, added, compiled)
        return dataclasses.replace(
            self,
            version=version,
            account_by_name=self.account_by_name.updated(removed, compiled),
            grant_by_key_digest=grants.updated((), added),
            pool_by_name={pool.name: pool for pool in common.pools},
            service_by_name={
                service.name: service for service in common.services
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
    ) -> tuple[types.AdapterRef, Adapter, str] | None:
        """Resolve a model name for an application.

        Args:
            grant: What the caller's key stands for.
            model: ``adapter`` or ``adapter@version``.

        Returns:
            Reference, adapter and weights' source; None if the adapter or
            version is unknown or not granted.
        """
        name, _, wanted = model.partition('@')
        adapter = grant.account.adapter_by_name.get(name)
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

    def _key_digests(self, account_name: str) -> list[str]:
        account = self.account_by_name.get(account_name)
        return account.key_digests if account else []


def _adapter(source: document.Adapter) -> Adapter:
    # Pool names are few and repeated for each adapter; one copy is kept.
    return Adapter(
        source.name,
        sys.intern(source.pool),
        source.active_version,
        tuple(
            AdapterVersion(version.version, version.source)
            for version in source.versions
        ),
    )


def _application(
    source: document.Application, adapter_by_name: Mapping[str, Adapter]
) -> Application:
    # Grants share the strings of the adapters instead of holding copies.
    return Application(
        name=source.name,
        key_digests=source.key_digests,
        grants=frozenset(adapter_by_name[name].name for name in source.grants),
        services=frozenset(source.services),
        idempotent=source.idempotent,
        limits=_shared(source.limits),
    )


@functools.lru_cache(maxsize=MAX_SHARED_LIMITS)
def _shared(limits: document.Limits) -> document.Limits:
    """Return one record for equal limits; most accounts have the defaults."""
    return limits


def _grants(accounts: Iterable[Account]) -> dict[str, Grant]:
    return {
        digest: Grant(account, application)
        for account in accounts
        for application in account.applications
        for digest in application.key_digests
    }


def _check_new_keys(
    grants: shards.ShardMap[Grant],
    added: Mapping[str, Grant],
    accounts: Mapping[str, Account],
) -> None:
    expected = sum(len(account.key_digests) for account in accounts.values())
    if len(added) != expected or any(grants.get(key) for key in added):
        raise errors.SetupError(
            'a key belongs to two applications', step='compile'
        )
