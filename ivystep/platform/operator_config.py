"""Decodes the operator's configuration and adapter versions.

Both are stored in the table ``op``, which only the operator writes.
"""

import dataclasses
import types
import typing
from collections.abc import Iterator

import pydantic

from ivystep.accounts import directory
from ivystep.core import errors, ids, units
from ivystep.platform import decoding, rows
from ivystep.runtime import clock
from ivystep.traffic import contracts

TABLE = 'op'
CONFIG_KEY = 'config'
VERSION_PREFIX = 'version/'
# Accounts that are converted without a break, in about 10 ms.
ACCOUNTS_AT_ONCE = 2000


class _RowModel(pydantic.BaseModel):
    """Base of the models of stored rows. Unknown fields are ignored.

    Errors do not show the input, which may contain API keys.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, hide_input_in_errors=True
    )


def _key_digest(key: str) -> bytes:
    """Return the digest of an API key; empty for an empty key."""
    return ids.digest(key.encode()) if key else b''


# Decoded without ever keeping the key.
_KeyDigest = typing.Annotated[str, pydantic.AfterValidator(_key_digest)]
_NotNegative = typing.Annotated[
    float, pydantic.Field(ge=0, allow_inf_nan=False)
]


class _Split(_RowModel):
    service: str
    weight: float = pydantic.Field(ge=0)


class _Route(_RowModel):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ''
    split: tuple[_Split, ...] = ()
    attempts: int = 1
    resumable: bool = False
    gap_target_ms: float | None = None
    public: bool = False


class _Model(_RowModel):
    name: str
    weights_mb: float
    load_s: float = 0.0
    adapter_mb: float = 0.0


class _Engine(_RowModel):
    # Largest number of requests that run at once.
    slots: int
    kv_capacity: int = 0
    weights_mb: float = 0.0
    max_adapters: int = 0
    loads_per_s: float = 1.0
    models: tuple[_Model, ...] = ()


class _Service(_RowModel):
    name: str
    health_path: str = '/health'
    max_connections: int = 0
    engine: _Engine | None = None


class _Tenant(_RowModel):
    # The name is sent to upstreams in a header.
    name: str = pydantic.Field(pattern=r'^[^\x00-\x1f\x7f]+$')
    api_keys: tuple[_KeyDigest, ...] = pydantic.Field((), repr=False)
    priority: int | None = None
    unit: str | None = None
    plain_tokens: _NotNegative | None = None
    rate_per_s: _NotNegative | None = None
    burst: _NotNegative | None = None


class _Limits(_RowModel):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Config(_RowModel):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _AdapterVersion(_RowModel):
    model: str
    adapter: str = ''
    version: decoding.Number


@dataclasses.dataclass(frozen=True, slots=True)
class RequiredVersion:
    """The version that the operator requires of an adapter or a model.

    Attributes:
        adapter: Empty if the version is that of the base model.
    """

    model: str
    adapter: str
    version: int


KIND_BY_NAME = types.MappingProxyType(
    {
        'idempotent': contracts.Repeatability.IDEMPOTENT,
        'non_idempotent': contracts.Repeatability.AT_MOST_ONCE,
        'stream': contracts.Repeatability.STREAM,
    }
)


def decode_config(row: rows.StoredRow) -> contracts.RouteConfig:
    """Decode the whole configuration.

    Args:
        row: The row at ``CONFIG_KEY``.

    Raises:
        errors.SetupError: The row is not a valid configuration.
    """
    try:
        config = _Config.model_validate_json(row.content)
    except pydantic.ValidationError as error:
        raise errors.SetupError(
            f'the configuration is malformed: {error}', step='decode config'
        ) from None
    accounts = None
    if config.tenants is not None:
        accounts = directory.AccountDirectory.from_accounts(
            _accounts(config.tenants)
        )
    return contracts.RouteConfig.from_routes(
        config.version,
        [_route(route) for route in config.routes],
        [_service(service) for service in config.services],
        contracts.ClientLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / units.MS_PER_S,
            config.limits.idle_timeout_ms / units.MS_PER_S,
        ),
        accounts,
    )


def decode_version(row: rows.StoredRow) -> RequiredVersion:
    """Decode the version that the operator requires.

    Args:
        row: A row whose key starts with ``VERSION_PREFIX``.

    Raises:
        errors.SetupError: The row is malformed.
    """
    try:
        named = _AdapterVersion.model_validate_json(row.content)
    except pydantic.ValidationError as error:
        raise errors.SetupError(
            f'row {row.key} is malformed: {error}', step='decode version'
        ) from error
    return RequiredVersion(named.model, named.adapter, named.version)


def _route(route: _Route) -> contracts.Route:
    # Requests of an unknown kind may have side effects, so they are run at most
    # once.
    kind = KIND_BY_NAME.get(route.kind, contracts.Repeatability.AT_MOST_ONCE)
    shares = tuple(
        contracts.ServiceShare(part.service, part.weight)
        for part in route.split
        if part.weight > 0
    )
    return contracts.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=kind,
        timeout_s=route.timeout_ms / units.MS_PER_S,
        target_latency_s=route.target_latency_ms / units.MS_PER_S,
        priority=route.priority,
        shares=shares or (contracts.ServiceShare(route.service, 1.0),),
        max_attempts=max(route.attempts, 1),
        is_resumable=route.resumable,
        max_gap_s=(route.gap_target_ms or 0.0) / units.MS_PER_S,
        is_public=route.public,
    )


def _accounts(
    tenants: tuple[_Tenant, ...],
) -> Iterator[contracts.ClientAccount]:
    """Yield the accounts; other tasks run between parts of a long list."""
    # Many accounts have the same quota.
    known_quotas: dict[contracts.Quota, contracts.Quota] = {}
    for number, tenant in enumerate(tenants, 1):
        quota = _quota(tenant)
        yield contracts.ClientAccount(
            tenant.name,
            tenant.api_keys,
            tenant.priority,
            known_quotas.setdefault(quota, quota),
        )
        if number % ACCOUNTS_AT_ONCE == 0:
            clock.sleep(0)


def _quota(tenant: _Tenant) -> contracts.Quota:
    unit = contracts.QuotaUnit.REQUESTS
    if tenant.unit == contracts.QuotaUnit.TOKENS.value:
        unit = contracts.QuotaUnit.TOKENS
    return contracts.Quota(
        unit,
        tenant.rate_per_s or 0.0,
        tenant.burst or 0.0,
        tenant.plain_tokens or 0.0,
    )


def _service(service: _Service) -> contracts.Service:
    engine = service.engine
    return contracts.Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        engine=None if engine is None else _engine(engine),
    )


def _engine(engine: _Engine) -> contracts.EngineClass:
    return contracts.EngineClass(
        batch_size=engine.slots,
        kv_tokens=engine.kv_capacity,
        weights_mb=engine.weights_mb,
        max_adapters=engine.max_adapters,
        loads_per_s=engine.loads_per_s,
        model_by_name={
            model.name: contracts.Model(
                model.name, model.weights_mb, model.load_s, model.adapter_mb
            )
            for model in engine.models
        },
    )
