"""Defines the operator's configuration: routes, services and limits.

A ``RouteConfig`` is one version of the whole configuration. It is immutable
and is only replaced as a whole.
"""

import dataclasses
import enum
import random
import typing
from collections.abc import Iterable, Mapping

# By the platform's protocol, callers abandon a stream after the longest of a
# fixed pause, a multiple of the target latency and a multiple of the longest
# gap between events at which a stream still has its full value.
MIN_ABANDON_S = 2.0
ABANDON_TARGET_LATENCIES = 4.0
ABANDON_MAX_GAPS = 8.0


class Repeatability(enum.Enum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


class QuotaUnit(enum.Enum):
    """What the quota of an account counts."""

    REQUESTS = 'requests'
    TOKENS = 'tokens'


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of an account across all hosts.

    Attributes:
        unit: What the limit counts.
        rate_per_s: Units per second; 0 means no limit.
        burst: Units that are allowed at once beyond the rate.
        plain_tokens: Tokens that a request costs if it names none.
    """

    unit: QuotaUnit = QuotaUnit.REQUESTS
    rate_per_s: float = 0.0
    burst: float = 0.0
    plain_tokens: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of the operator's configuration.

    Attributes:
        key_digests: Digests of its API keys.
        priority: Takes precedence over the route's priority, 0 is the most
            urgent; None if the route's priority applies.
    """

    name: str
    key_digests: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    quota: Quota = Quota()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets a share of a route's requests.

    Attributes:
        weight: Share relative to the route's other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to one host whose path starts with a prefix.

    Attributes:
        prefix: Begins and ends with a slash.
        timeout_s: Longest time until a request must have its final answer.
        target_latency_s: Time within which an answer, or the first event of a
            stream, has its full value.
        priority: 0 is the most urgent.
        max_attempts: How often one request may run, also on one upstream.
        is_resumable: Whether a stream may be resumed on another upstream
            after the last event that was delivered.
        max_gap_s: Longest pause between events of a stream that has its full
            value; 0 if the route has no streams.
        is_public: Whether requests need no API key where accounts are in
            force.
    """

    name: str
    host: str
    prefix: str
    kind: Repeatability
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_resumable: bool = False
    max_gap_s: float = 0.0
    is_public: bool = False

    @property
    def abandon_after_s(self) -> float:
        """Pause between events after which callers abandon a stream."""
        return max(
            MIN_ABANDON_S,
            ABANDON_TARGET_LATENCIES * self.target_latency_s,
            ABANDON_MAX_GAPS * self.max_gap_s,
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Repeatability.IDEMPOTENT or self.is_resumable

    def choose_service(self) -> str:
        """Choose the service for one request at random, by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A base model that engines load.

    Attributes:
        weights_mb: Memory of the weights.
        load_s: Duration of a load from the weight store.
        adapter_mb: Memory of one adapter.
    """

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineClass:
    """Properties that all engines of a service share.

    Attributes:
        batch_size: Largest number of requests that run at once.
        kv_tokens: Capacity of the KV cache, in tokens.
        weights_mb: Memory for models and adapters together.
        max_adapters: Largest number of adapters that are held at once.
        loads_per_s: Rate of model loads that the weight store permits.
    """

    batch_size: int
    kv_tokens: int
    weights_mb: float
    max_adapters: int
    loads_per_s: float
    model_by_name: Mapping[str, Model]

    def adapter_capacity(self, models: Iterable[str]) -> int:
        """Return how many adapters fit in memory beside the held models.

        Args:
            models: Names of the held models; unknown names are ignored.
        """
        held = [
            self.model_by_name[name]
            for name in models
            if name in self.model_by_name
        ]
        adapter_mb = max((model.adapter_mb for model in held), default=0.0)
        if not adapter_mb:
            return self.max_adapters
        left_mb = self.weights_mb - sum(model.weights_mb for model in held)
        return max(min(self.max_adapters, int(left_mb / adapter_mb)), 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    Attributes:
        health_path: Path of an upstream's health check.
        max_connections: Connections that one upstream accepts in total.
        engine: Class of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineClass | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size limits and time-outs of callers' connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Accounts(typing.Protocol):
    """The client accounts of one version of the configuration.

    Attributes:
        account_by_name: All accounts.
    """

    account_by_name: Mapping[str, ClientAccount]

    def find(self, key_digest: bytes) -> ClientAccount | None:
        """Return the account of an API key; None if the key is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of the operator's configuration.

    Attributes:
        accounts: The client accounts; None where none are in force.
    """

    version: int
    service_by_name: Mapping[str, Service]
    limits: ClientLimits
    route_by_prefix_by_host: Mapping[str, Mapping[str, Route]]
    accounts: Accounts | None = dataclasses.field(default=None, repr=False)

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: ClientLimits,
        accounts: Accounts | None = None,
    ) -> typing.Self:
        """Create a configuration, with indexes of its routes and services."""
        indexed: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = indexed.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route
        services_by_name = {service.name: service for service in services}
        return cls(version, services_by_name, limits, indexed, accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        The time taken does not depend on the number of routes.

        Args:
            host: Value of the ``Host`` header.
            path: Path without the query.
        """
        by_prefix = self.route_by_prefix_by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def _host_name(host: str) -> str:
    """Return the value of a ``Host`` header in lower case, without port."""
    name, _, port = host.strip().rpartition(':')
    return (name if port.isdigit() and name else host.strip()).lower()
