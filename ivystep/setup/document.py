"""The setup document: the whole desired setup, validated.

The document is what the console's forms produce and what ``ivystep submit``
reads. It is stored as one section per client account and one for the rest.
"""

import typing

import pydantic

Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')
]
KeyDigest = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
MAX_ADAPTERS_PER_ACCOUNT = 50000


class Part(pydantic.BaseModel):
    """Base of all parts; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Limits(Part):
    """Bounds on what an account or application may use.

    Attributes:
        requests_per_s: Sustained rate.
        burst: Requests above the rate that may arrive at once.
        concurrency: Requests running at once, per entry.
        queue: Requests waiting at once, per entry.
    """

    requests_per_s: float = pydantic.Field(100.0, gt=0, allow_inf_nan=False)
    burst: int = pydantic.Field(100, ge=1)
    concurrency: int = pydantic.Field(256, ge=1)
    queue: int = pydantic.Field(256, ge=0)


class AdapterVersion(Part):
    """One version of an adapter's weights."""

    version: int = pydantic.Field(ge=1)
    source: str = pydantic.Field(min_length=1, max_length=1024)


class Adapter(Part):
    """A registered adapter.

    Attributes:
        pool: Pool (base model) that serves it.
        active_version: Version used when the caller names none.
    """

    name: Name
    pool: Name
    active_version: int
    versions: tuple[AdapterVersion, ...] = pydantic.Field(min_length=1)

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


class Application(Part):
    """An application of an account.

    Attributes:
        key_digests: SHA-256 digests of its bearer keys; two while rotating.
        grants: Adapters that it may call.
        services: Plain services that it may call.
        idempotent: False if every request of it must run at most once.
    """

    name: Name
    key_digests: tuple[KeyDigest, ...] = pydantic.Field(min_length=1)
    grants: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    idempotent: bool = True
    limits: Limits = Limits()


class Account(Part):
    """A client account."""

    name: Name
    weight: float = pydantic.Field(1.0, gt=0, allow_inf_nan=False)
    limits: Limits = Limits()
    applications: tuple[Application, ...] = ()
    adapters: tuple[Adapter, ...] = pydantic.Field(
        (), max_length=MAX_ADAPTERS_PER_ACCOUNT
    )

    @pydantic.model_validator(mode='after')
    def _check_names(self) -> typing.Self:
        adapters = _unique(self.adapters, 'adapter', self.name)
        _unique(self.applications, 'application', self.name)
        for application in self.applications:
            unknown = set(application.grants) - adapters
            if unknown:
                raise ValueError(
                    f'application {application.name} is granted unknown '
                    f'adapters: {", ".join(sorted(unknown))}'
                )
        return self


class Service(Part):
    """A plain service beside the engines.

    Attributes:
        pool: Pool of the upstreams that run it.
        non_idempotent_paths: Paths whose calls must run at most once.
    """

    name: Name
    pool: Name
    non_idempotent_paths: tuple[str, ...] = ()


class Pool(Part):
    """Upstreams of one base model or one plain service.

    Attributes:
        batching_weight: 0 favours short load stalls, 1 full engine steps.
        loads_per_s: Loads a second that the weight store allows.
        checks_fencing: Whether engines refuse old fencing tokens.
    """

    name: Name
    kind: typing.Literal['engine', 'service'] = 'engine'
    region: Name = 'local'
    batching_weight: float = pydantic.Field(0.2, ge=0, le=1)
    loads_per_s: float = pydantic.Field(2.0, gt=0, allow_inf_nan=False)
    checks_fencing: bool = True


class Document(Part):
    """The whole setup."""

    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()

    @pydantic.model_validator(mode='after')
    def _check_references(self) -> typing.Self:
        pools = _unique(self.pools, 'pool', 'the document')
        services = _unique(self.services, 'service', 'the document')
        _unique(self.accounts, 'account', 'the document')
        digests: set[str] = set()
        for service in self.services:
            _require(service.pool, pools, f'service {service.name}: pool')
        for account in self.accounts:
            for adapter in account.adapters:
                _require(adapter.pool, pools, f'adapter {adapter.name}: pool')
            for application in account.applications:
                for name in application.services:
                    _require(name, services, f'application {application.name}')
                repeated = digests.intersection(application.key_digests)
                if repeated:
                    raise ValueError(
                        f'application {application.name} of account '
                        f'{account.name} uses a key of another application'
                    )
                digests.update(application.key_digests)
        return self


def _unique(
    parts: typing.Iterable[typing.Any], kind: str, owner: str
) -> set[str]:
    names: set[str] = set()
    for part in parts:
        if part.name in names:
            raise ValueError(f'{owner} repeats the {kind} {part.name}')
        names.add(part.name)
    return names


def _require(name: str, known: set[str], place: str) -> None:
    if name not in known:
        raise ValueError(f'{place} {name} is unknown')
