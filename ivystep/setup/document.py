"""Models of the setup document, which holds the whole desired setup.

The forms of the console produce it and ``ivystep submit`` reads it. It is
stored as one section per client account and one section for the rest.
"""

import dataclasses
import typing

import pydantic

Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')
]
KeyDigest = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
MAX_ADAPTERS_PER_ACCOUNT = 50000
MAX_ACCOUNTS = 200000
MAX_VERSIONS_PER_ADAPTER = 1000
MAX_KEYS_PER_APPLICATION = 8
MAX_NON_IDEMPOTENT_PATHS = 1000
# Validation of a list stops at its first invalid element, so that a hostile
# document cannot produce one error record for each of a million elements.
FIRST_ERROR_ONLY = pydantic.FailFast()

PathText = typing.Annotated[str, pydantic.Field(min_length=1, max_length=1024)]
Names = typing.Annotated[tuple[Name, ...], FIRST_ERROR_ONLY]


class StrictModel(pydantic.BaseModel):
    """Base of all models; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Limits(StrictModel):
    """Limits on the requests of an account or application.

    Attributes:
        requests_per_s: Sustained rate.
        burst: Requests that may arrive at once in excess of the rate.
        concurrency: Maximum number of running requests per entry.
        queue: Maximum number of waiting requests per entry.
    """

    requests_per_s: float = pydantic.Field(100.0, gt=0, allow_inf_nan=False)
    burst: int = pydantic.Field(100, ge=1)
    concurrency: int = pydantic.Field(256, ge=1)
    queue: int = pydantic.Field(256, ge=0)


class AdapterVersion(StrictModel):
    """One version of the weights of an adapter."""

    version: int = pydantic.Field(ge=1)
    source: str = pydantic.Field(min_length=1, max_length=1024)


class Adapter(StrictModel):
    """A registered adapter.

    Attributes:
        pool: Pool of the base model that serves it.
        active_version: Version used if the caller does not specify one.
    """

    name: Name
    pool: Name
    active_version: int
    versions: typing.Annotated[tuple[AdapterVersion, ...], FIRST_ERROR_ONLY] = (
        pydantic.Field(min_length=1, max_length=MAX_VERSIONS_PER_ADAPTER)
    )

    @pydantic.model_validator(mode='after')
    def _check_versions(self) -> typing.Self:
        numbers = [version.version for version in self.versions]
        if len(set(numbers)) != len(numbers):
            raise ValueError(f'adapter {self.name} repeats a version')
        if self.active_version not in numbers:
            raise ValueError(
                f'adapter {self.name} has no version {self.active_version}'
            )
        return self


class Application(StrictModel):
    """An application of an account.

    Attributes:
        key_digests: SHA-256 digests of its bearer keys; two during a key
            rotation.
        grants: Adapters that it may call.
        services: Plain services that it may call.
        idempotent: False if each of its requests must run at most once.
    """

    name: Name
    key_digests: typing.Annotated[tuple[KeyDigest, ...], FIRST_ERROR_ONLY] = (
        pydantic.Field(min_length=1, max_length=MAX_KEYS_PER_APPLICATION)
    )
    grants: Names = ()
    services: Names = ()
    idempotent: bool = True
    limits: Limits = Limits()


class Account(StrictModel):
    """A client account."""

    name: Name
    weight: float = pydantic.Field(1.0, gt=0, allow_inf_nan=False)
    limits: Limits = Limits()
    applications: typing.Annotated[
        tuple[Application, ...], FIRST_ERROR_ONLY
    ] = ()
    adapters: typing.Annotated[tuple[Adapter, ...], FIRST_ERROR_ONLY] = (
        pydantic.Field((), max_length=MAX_ADAPTERS_PER_ACCOUNT)
    )

    @pydantic.model_validator(mode='after')
    def _check_names(self) -> typing.Self:
        adapters = _unique_names(self.adapters, 'adapter', self.name)
        _unique_names(self.applications, 'application', self.name)
        for application in self.applications:
            unknown = set(application.grants) - adapters
            if unknown:
                raise ValueError(
                    f'application {application.name} is granted the unknown '
                    f'adapter {min(unknown)}'
                )
        return self


class Service(StrictModel):
    """A plain service: one that is not a model engine.

    Attributes:
        pool: Pool of the upstreams that run it.
        non_idempotent_paths: Paths whose requests must run at most once.
    """

    name: Name
    pool: Name
    non_idempotent_paths: typing.Annotated[
        tuple[PathText, ...], FIRST_ERROR_ONLY
    ] = pydantic.Field((), max_length=MAX_NON_IDEMPOTENT_PATHS)


class Pool(StrictModel):
    """Upstreams of one base model or one plain service.

    Attributes:
        batching_weight: 0 favours short load stalls, 1 favours full batches
            in engine steps.
        loads_per_s: Adapter loads per second that the weight store allows.
    """

    name: Name
    kind: typing.Literal['engine', 'service'] = 'engine'
    region: Name = 'local'
    batching_weight: float = pydantic.Field(0.2, ge=0, le=1)
    loads_per_s: float = pydantic.Field(2.0, gt=0, allow_inf_nan=False)


class Common(StrictModel):
    """Pools and services, the part of the setup that all accounts share."""

    pools: typing.Annotated[tuple[Pool, ...], FIRST_ERROR_ONLY] = (
        pydantic.Field((), max_length=1000)
    )
    services: typing.Annotated[tuple[Service, ...], FIRST_ERROR_ONLY] = (
        pydantic.Field((), max_length=1000)
    )

    @property
    def kind_by_pool(self) -> dict[str, str]:
        """Kind of the upstreams of each pool, by pool name."""
        return {pool.name: pool.kind for pool in self.pools}

    @pydantic.model_validator(mode='after')
    def _check_services(self) -> typing.Self:
        kind_by_pool = self.kind_by_pool
        _unique_names(self.pools, 'pool', 'the document')
        _unique_names(self.services, 'service', 'the document')
        for service in self.services:
            _check_pool(
                f'service {service.name}',
                service.pool,
                'service',
                kind_by_pool,
            )
        return self


class Document(Common):
    """The whole setup."""

    accounts: typing.Annotated[tuple[Account, ...], FIRST_ERROR_ONLY] = (
        pydantic.Field((), max_length=MAX_ACCOUNTS)
    )

    @property
    def common(self) -> Common:
        """The pools and services."""
        return Common(pools=self.pools, services=self.services)

    @pydantic.model_validator(mode='after')
    def _check_accounts(self) -> typing.Self:
        _unique_names(self.accounts, 'account', 'the document')
        digests: set[str] = set()
        references = References.from_common(self)
        for account in self.accounts:
            references.check(account)
            for application in account.applications:
                if not digests.isdisjoint(application.key_digests):
                    raise ValueError(
                        f'application {application.name} of account '
                        f'{account.name} uses a key of another application'
                    )
                digests.update(application.key_digests)
        return self


@dataclasses.dataclass(frozen=True, slots=True)
class References:
    """Pools and services to which accounts may refer."""

    kind_by_pool: dict[str, str]
    services: frozenset[str]

    @classmethod
    def from_common(cls, common: Common) -> typing.Self:
        """Collect the names of pools and services."""
        return cls(
            common.kind_by_pool,
            frozenset(service.name for service in common.services),
        )

    def check(self, account: Account) -> None:
        """Check that all references of an account exist.

        Args:
            account: The validated account.

        Raises:
            ValueError: A pool or service is unknown or of the wrong kind.
        """
        for adapter in account.adapters:
            location = f'account {account.name}: adapter {adapter.name}'
            _check_pool(location, adapter.pool, 'engine', self.kind_by_pool)
        for application in account.applications:
            unknown = set(application.services) - self.services
            if unknown:
                raise ValueError(
                    f'account {account.name}: application {application.name}: '
                    f'there is no service {min(unknown)}'
                )


def _check_pool(
    location: str, pool: str, kind: str, kind_by_pool: dict[str, str]
) -> None:
    actual_kind = kind_by_pool.get(pool)
    if actual_kind is None:
        raise ValueError(f'{location}: there is no pool {pool}')
    if actual_kind != kind:
        raise ValueError(
            f'{location}: pool {pool} has the kind {actual_kind}, not {kind}'
        )


def _unique_names(
    parts: typing.Iterable[typing.Any], kind: str, owner: str
) -> set[str]:
    names: set[str] = set()
    for part in parts:
        if part.name in names:
            raise ValueError(f'{owner} repeats the {kind} {part.name}')
        names.add(part.name)
    return names
