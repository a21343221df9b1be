"""Models of the INI settings of a gateway.

The platform renders the file from ``deploy/gateway.ini``. A value that it
does not know is empty there and takes the default.
"""

import ipaddress
import typing

import pydantic

from ivystep.core import units
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


class GatewaySection(models.Section):
    """Base of the sections; an empty value takes the default."""

    @pydantic.model_validator(mode='before')
    @classmethod
    def _drop_empty(cls, values: typing.Any) -> typing.Any:
        if isinstance(values, dict):
            return {key: text for key, text in values.items() if text != ''}
        return values


class Addresses(GatewaySection):
    """Where a gateway listens."""

    callers: HostPort = pydantic.Field(description='Callers, as IP:PORT.')
    readiness: HostPort = pydantic.Field(
        description="The platform's readiness checks, as IP:PORT."
    )
    host: str = pydantic.Field(
        description='IP address at which other gateways reach this one.'
    )
    metrics_port: models.Port = pydantic.Field(
        9464, description='Port of the metrics on that address.'
    )
    ports: PortRange = pydantic.Field(
        description='First and last port between gateways, as FIRST,LAST.'
    )

    @property
    def peers(self) -> tuple[str, int]:
        """Address for other gateways."""
        return self.host, self.ports[0]

    @property
    def operators(self) -> tuple[str, int]:
        """Address of the metrics."""
        return self.host, self.metrics_port


class Store(GatewaySection):
    """The platform's metadata store."""

    address: HostPort = pydantic.Field(description='The store, as IP:PORT.')
    timeout_s: models.Seconds = pydantic.Field(
        1.0, description='Longest wait for one call.'
    )
    config_wait_s: models.Seconds = pydantic.Field(
        1.2, description='Longest wait for a change of the configuration.'
    )
    upstream_pause_s: models.Seconds = pydantic.Field(
        0.4, description='Time between two reads of changed upstreams.'
    )

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return f'http://{self.address[0]}:{self.address[1]}'


class Bounds(GatewaySection):
    """Times and shares that the platform has agreed with its users."""

    lease_ms: Milliseconds = pydantic.Field(
        3000, description='Time for which orders of one holder count.'
    )
    thaw_ms: Milliseconds = pydantic.Field(
        300, description='Time in which late orders arrive after a pause.'
    )
    version_ms: Milliseconds = pydantic.Field(
        5000, description='Time within which a named version is in force.'
    )
    grace_s: models.Seconds = pydantic.Field(
        8.0, description='Time between the signal to stop and the end.'
    )
    retry_ratio: float = pydantic.Field(
        0.2,
        ge=0,
        description='Repeats that each request of a service allows, over all '
        'gateways.',
    )
    retry_extra: float = pydantic.Field(
        50.0,
        ge=0,
        description='Repeats that a service allows beyond that share.',
    )
    window_s: models.Seconds = pydantic.Field(
        10.0, description='Time over which repeats are counted.'
    )

    @property
    def lease_s(self) -> float:
        """Duration of the lease of the host that gives orders."""
        return self.lease_ms / units.MS_PER_S

    @property
    def handover_delay_s(self) -> float:
        """Time for which the orders of an earlier holder count."""
        return (self.lease_ms + self.thaw_ms) / units.MS_PER_S

    @property
    def version_s(self) -> float:
        """Time within which a named version is in force."""
        return self.version_ms / units.MS_PER_S


class GatewaySettings(models.Section):
    """All sections of a gateway."""

    process: models.Process
    addresses: Addresses
    store: Store
    bounds: Bounds = Bounds()
