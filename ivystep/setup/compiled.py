"""Immutable, indexed form of a setup version, used to serve requests.

A new version shares the unchanged accounts with the version before it, so the
cost of a change is proportional to the number of changed accounts.
"""

import dataclasses
import functools
import hashlib
import sys
import typing
from collections.abc import Iterable, Mapping

from ivystep.core import errors, types
from ivystep.setup import document, shards

LIMITS_CACHE_SIZE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """One version of the weights of an adapter."""

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
        adapters = [_compile_adapter(adapter) for adapter in source.adapters]
        adapter_by_name = {adapter.name: adapter for adapter in adapters}
        return cls(
            name=source.name,
            weight=source.weight,
            limits=_deduplicate_limits(source.limits),
            applications=tuple(
                _compile_application(part, adapter_by_name)
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
    """Account and application that a bearer key authenticates."""

    account: Account
    application: Application


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledSetup:
    """A setup version, indexed for lookups.

    Attributes:
        version: Version of the manifest row.
        account_by_name: Accounts by name.
        grant_by_key_digest: Grants by the SHA-256 digest of the bearer key,
            in hexadecimal.
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
            source: The validated document.
            version: Version of its manifest row.
        """
        accounts = [Account.from_document(part) for part in source.accounts]
        return cls(
            version=version,
            account_by_name=shards.ShardMap(
                {account.name: account for account in accounts}
            ),
            grant_by_key_digest=shards.ShardMap(_index_grants(accounts)),
            pool_by_name={pool.name: pool for pool in source.pools},
            service_by_name={
                service.name: service for service in source.services
            },
        )

    def with_changes(
        self,
        version: int,
        common: document.Common,
        accounts: Iterable[document.Account],
        removed: Iterable[str],
    ) -> typing.Self:
        """Return a changed setup that shares the unchanged accounts.

        Args:
            version: Version of the new manifest row.
            common: Pools and services of the new version.
            accounts: New and changed accounts, validated.
            removed: Names of the accounts that no longer exist.

        Raises:
            errors.SetupError: Two applications have the same key.
        """
        compiled = {part.name: Account.from_document(part) for part in accounts}
        removed = tuple(removed)
        old_digests = [
            digest
            for name in (*removed, *compiled)
            for digest in self._key_digests(name)
        ]
        grants = self.grant_by_key_digest.with_changes(old_digests, {})
        added = _index_grants(compiled.values())
        _check_new_keys(grants, added, compiled)
        return dataclasses.replace(
            self,
            version=version,
            account_by_name=self.account_by_name.with_changes(
                removed, compiled
            ),
            grant_by_key_digest=grants.with_changes((), added),
            pool_by_name={pool.name: pool for pool in common.pools},
            service_by_name={
                service.name: service for service in common.services
            },
        )

    def grant(self, key: str) -> Grant | None:
        """Return the grant of a bearer key, or None if the key is unknown.

        The lookup time reveals nothing about the stored digests: the caller
        chooses the key, not its digest, and keys have high entropy.

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
            grant: Grant of the caller's key.
            model: ``adapter`` or ``adapter@version``.

        Returns:
            Reference, adapter and source of the weights; None if the adapter
            or version is unknown or not granted.
        """
        name, _, requested = model.partition('@')
        adapter = grant.account.adapter_by_name.get(name)
        if adapter is None or name not in grant.application.grants:
            return None
        number = requested or str(adapter.active_version)
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


def _compile_adapter(source: document.Adapter) -> Adapter:
    # Many adapters have the same pool; interning keeps one copy of its name.
    return Adapter(
        source.name,
        sys.intern(source.pool),
        source.active_version,
        tuple(
            AdapterVersion(version.version, version.source)
            for version in source.versions
        ),
    )


def _compile_application(
    source: document.Application, adapter_by_name: Mapping[str, Adapter]
) -> Application:
    # Take the names from the adapters, so that equal strings are shared.
    return Application(
        name=source.name,
        key_digests=source.key_digests,
        grants=frozenset(adapter_by_name[name].name for name in source.grants),
        services=frozenset(source.services),
        idempotent=source.idempotent,
        limits=_deduplicate_limits(source.limits),
    )


@functools.lru_cache(maxsize=LIMITS_CACHE_SIZE)
def _deduplicate_limits(limits: document.Limits) -> document.Limits:
    """Return one object for equal limits; most accounts have the defaults."""
    return limits


def _index_grants(accounts: Iterable[Account]) -> dict[str, Grant]:
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
