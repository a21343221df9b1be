"""Models of the INI settings of a gateway.

The platform renders the file from the template ``deploy/gateway.ini``. A value
that the platform does not provide is rendered empty and takes its default.
"""

import ipaddress
import math
import typing

import pydantic

from ivystep.core import units
from ivystep.runtime import descriptor_limit, memory_plan
from ivystep.settings import models


def _parse_address(text: typing.Any) -> typing.Any:
    if not isinstance(text, str):
        return text
    host, _, port = text.rpartition(':')
    return str(ipaddress.IPv4Address(host)), int(port)


def _parse_range(text: typing.Any) -> typing.Any:
    if not isinstance(text, str):
        return text
    first, _, last = text.partition(',')
    return int(first), int(last)


HostPort = typing.Annotated[
    tuple[str, models.Port], pydantic.BeforeValidator(_parse_address)
]
PortRange = typing.Annotated[
    tuple[models.Port, models.Port], pydantic.BeforeValidator(_parse_range)
]
Milliseconds = typing.Annotated[
    float, pydantic.Field(ge=0, allow_inf_nan=False)
]


# Share of the shortest time for a change to be in force in which a host may
# rely on the leader to learn of it. The rest is for its own read of the store.
LEADER_AGE_SHARE = 0.6
# Share of the time for a change to be in force after which a host that has not
# heard of the store no longer relies on its configuration. The rest is for the
# difference between the clocks.
CONFIG_AGE_SHARE = 0.9
# Longest usual duration of a call to the store beside its wait, in seconds.
USUAL_CALL_S = 0.5
# Time in seconds by which a host of one usual core is behind an infinitely
# strong one in the election, and the longest such time.
ACQUIRE_DELAY_S = 0.1
MAX_ACQUIRE_DELAY_S = 0.3


class GatewaySection(models.Section):
    """Base of the sections; an empty value takes its default."""

    @pydantic.model_validator(mode='before')
    @classmethod
    def _drop_empty(cls, values: typing.Any) -> typing.Any:
        if isinstance(values, dict):
            return {key: text for key, text in values.items() if text != ''}
        return values


class Addresses(GatewaySection):
    """Addresses on which a gateway listens."""

    callers: HostPort = pydantic.Field(
        description='Address for the requests of callers, as IP:PORT.'
    )
    readiness: HostPort = pydantic.Field(
        description="Address for the platform's readiness checks, as IP:PORT."
    )
    host: str = pydantic.Field(
        description='IP address at which other gateways reach this one.'
    )
    metrics_port: models.Port = pydantic.Field(
        9464, description='Port of the metrics, on the address `host`.'
    )
    ports: PortRange = pydantic.Field(
        description='Ports for connections between gateways, as FIRST,LAST.'
    )

    @property
    def peers(self) -> tuple[str, int]:
        """Address for other gateways, on the first of the ports."""
        return self.host, self.ports[0]

    @property
    def operators(self) -> tuple[str, int]:
        """Address of the metrics for operators."""
        return self.host, self.metrics_port


class Store(GatewaySection):
    """The platform's metadata store."""

    address: HostPort = pydantic.Field(
        description='Address of the store, as IP:PORT.'
    )
    timeout_s: models.Seconds = pydantic.Field(
        1.0, description='Time-out of one call.'
    )
    config_wait_s: models.Seconds = pydantic.Field(
        1.2, description='Longest wait of one long poll for changes.'
    )
    crash_wait_s: models.Seconds = pydantic.Field(
        2.0, description='Longest wait of one long poll for crashes.'
    )
    upstream_pause_s: models.Seconds = pydantic.Field(
        0.4, description='Pause between two long polls for changed upstreams.'
    )

    @property
    def longest_read_s(self) -> float:
        """Longest usual time between two answers on the configuration."""
        return self.config_wait_s + USUAL_CALL_S

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return f'http://{self.address[0]}:{self.address[1]}'


class Capacity(GatewaySection):
    """Processing capacity of the host."""

    cores: float = pydantic.Field(
        1.0, gt=0, description='Speed of a core of the host; 1 is usual.'
    )
    cpu_share: float = pydantic.Field(
        1.0, gt=0, description='Share of a core that the gateway may use.'
    )

    memory_mb: float = pydantic.Field(
        256.0,
        gt=0,
        allow_inf_nan=False,
        description='Memory that the gateway may use, with the bytes that its '
        'connections hold unread. At most a quarter of it is for requests that '
        'are received, wait or are in progress; OPERATIONS.md has the parts.',
    )

    max_fds: float = pydantic.Field(
        0.0,
        ge=0,
        allow_inf_nan=False,
        description='File descriptors that the platform allows, of which 200 '
        'are for files. Callers get less than half of the rest as connections. '
        '0: only the limit of the process counts.',
    )

    @property
    def memory_plan(self) -> memory_plan.MemoryPlan:
        """How the memory is shared out among connections and requests."""
        return memory_plan.MemoryPlan.from_capacity(
            int(self.memory_mb * memory_plan.MEGABYTE),
            descriptor_limit.caller_connections(self.max_fds),
        )

    @property
    def acquire_delay_s(self) -> float:
        """Time for which stronger hosts may become the leader first.

        The leader plans the loads and paces the prompts of all hosts, which
        would use up a weak host.
        """
        usable = self.cores * self.cpu_share
        return min(ACQUIRE_DELAY_S / usable, MAX_ACQUIRE_DELAY_S)


class Bounds(GatewaySection):
    """Time and retry limits that the platform has agreed with its users."""

    lease_ms: Milliseconds = pydantic.Field(
        3000, description='Duration of the lease of the leader.'
    )
    thaw_ms: Milliseconds = pydantic.Field(
        300,
        description='Time for which orders of a paused host may still arrive '
        'after it resumes.',
    )
    version_ms: Milliseconds = pydantic.Field(
        5000,
        description='Time within which a new adapter version must replace the '
        'previous one.',
    )
    config_ms: Milliseconds = pydantic.Field(
        2000,
        description='Time within which a change of the configuration must be '
        'in force.',
    )
    revoke_ms: Milliseconds = pydantic.Field(
        5000,
        description='Time within which the streams of a removed key must end '
        'if `revoke_strict` is set.',
    )
    revoke_strict: bool = pydantic.Field(
        False,
        description='Whether streams that run for a removed key are ended.',
    )
    drain_ms: Milliseconds = pydantic.Field(
        2000,
        description='Time within which an upstream that leaves must get no '
        'new requests.',
    )
    heartbeat_ms: Milliseconds = pydantic.Field(
        1200, description='Interval at which upstreams write their entries.'
    )
    grace_s: models.Seconds = pydantic.Field(
        8.0, description='Time from the stop signal to the end of the process.'
    )
    retry_ratio: float = pydantic.Field(
        0.2,
        ge=0,
        description='Allowed retries per request of a service, over all '
        'gateways.',
    )
    retry_extra: float = pydantic.Field(
        50.0,
        ge=0,
        description='Retries of a service allowed beyond `retry_ratio`.',
    )
    window_s: models.Seconds = pydantic.Field(
        10.0, description='Period over which retries are counted.'
    )
    quota_window_s: models.Seconds = pydantic.Field(
        8.0,
        description='Period over which the quotas of client accounts are '
        'counted.',
    )
    quota_excess: float = pydantic.Field(
        0.1,
        ge=0,
        description='Part of a quota by which it may be exceeded. Only a new '
        'leader makes use of it.',
    )
    quota_slack: float = pydantic.Field(
        11000.0,
        ge=0,
        description='Tokens by which a quota may be exceeded besides. A '
        'request may be larger than the burst of its account by as many.',
    )

    @property
    def lease_s(self) -> float:
        """Duration of the lease of the leader."""
        return self.lease_ms / units.MS_PER_S

    @property
    def handover_delay_s(self) -> float:
        """Time for which orders of an earlier leader may still arrive."""
        return (self.lease_ms + self.thaw_ms) / units.MS_PER_S

    @property
    def leader_age_s(self) -> float:
        """Largest age of what the leader knows of the store, in seconds.

        A host that relies on it must still have time to read a change itself.
        """
        shortest_ms = min(
            self.config_ms, self.drain_ms, self._stream_revocation_ms
        )
        return LEADER_AGE_SHARE * shortest_ms / units.MS_PER_S

    @property
    def config_age_s(self) -> float:
        """Largest age of the known configuration, in seconds.

        Requests that arrive later wait until it is confirmed.
        """
        shortest_ms = min(self.config_ms, self._stream_revocation_ms)
        return CONFIG_AGE_SHARE * shortest_ms / units.MS_PER_S

    @property
    def heartbeat_s(self) -> float:
        """Interval at which upstreams write their entries."""
        return self.heartbeat_ms / units.MS_PER_S

    @property
    def version_s(self) -> float:
        """Time within which a new adapter version must replace the old."""
        return self.version_ms / units.MS_PER_S

    @property
    def _stream_revocation_ms(self) -> float:
        return self.revoke_ms if self.revoke_strict else math.inf


class PeerBounds(GatewaySection):
    """Bounds of what an upstream may send besides the bodies of answers."""

    head_bytes: pydantic.PositiveInt = pydantic.Field(
        64 * units.KIB,
        description='Length of the head of one answer, of an interim one too.',
    )
    headers: pydantic.PositiveInt = pydantic.Field(
        256, description='Number of headers of one answer.'
    )
    interim_answers: pydantic.PositiveInt = pydantic.Field(
        64, description='Interim answers (1xx) before one answer.'
    )
    chunk_line_bytes: pydantic.PositiveInt = pydantic.Field(
        16 * units.KIB,
        description='Length of the size and extensions of one chunk.',
    )
    trailer_bytes: pydantic.PositiveInt = pydantic.Field(
        64 * units.KIB, description='Length of all trailers of one answer.'
    )
    trailers: pydantic.PositiveInt = pydantic.Field(
        256, description='Number of trailers of one answer.'
    )
    partial_s: models.Seconds = pydantic.Field(
        5.0,
        description='Time from the first byte of a head, chunk line or trailer '
        'section to its end. Longer than TCP needs to send lost bytes again.',
    )
    discarded_answers: pydantic.PositiveInt = pydantic.Field(
        64, description='Answers to other requests before the own one.'
    )
    discarded_bytes: pydantic.PositiveInt = pydantic.Field(
        units.MIB,
        description='Length of what is read in search of the own answer.',
    )


class DataCentres(GatewaySection):
    """When requests are sent to another data centre."""

    leaving: typing.Literal['adaptive', 'never', 'fixed'] = pydantic.Field(
        'adaptive',
        description='`adaptive`: the leader decides how many requests leave, '
        'from demand, capacity and the delay of a crossing; `never`: a request '
        'leaves only if no usable upstream of the own data centre can serve '
        'it; `fixed`: to an upstream whose batch is emptier by 0.05.',
    )
    crossing_ms: Milliseconds = pydantic.Field(
        0.0,
        description='Price of a crossing, as the delay that it is worth '
        'avoiding.',
    )


class GatewaySettings(models.Section):
    """All sections of the settings file of a gateway."""

    process: models.Process
    addresses: Addresses
    store: Store
    bounds: Bounds = Bounds()
    capacity: Capacity = Capacity()
    data_centres: DataCentres = DataCentres()
    peer_bounds: PeerBounds = PeerBounds()
