"""Models of the INI settings of each process.

Each model is one section and each of its fields one key. The models at the end
of this module each list the sections of one file.
"""

import typing

import pydantic

from ivystep.wire import tls


class Section(pydantic.BaseModel):
    """Base of all sections; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


Port = typing.Annotated[int, pydantic.Field(ge=0, le=65535)]
OperatorName = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z][a-z0-9._-]{0,62}$')
]
KeyDigest = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class Process(Section):
    """Identity and logging of the process."""

    id: str = pydantic.Field(
        min_length=1, description='Name of the host of this process.'
    )
    data_centre: str = pydantic.Field(
        min_length=1, description='Data centre of the host.'
    )
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = (
        pydantic.Field('INFO', description='Lowest log level that is written.')
    )


class Listen(Section):
    """An address and port to listen on."""

    address: pydantic.IPvAnyAddress = pydantic.Field(
        description='IP address to listen on.'
    )
    port: Port = pydantic.Field(description='TCP port to listen on.')

    @property
    def socket_address(self) -> tuple[str, int]:
        """Address and port for ``eventlet.listen``."""
        return str(self.address), self.port


class Tls(Section):
    """PEM files for mutual TLS between the processes of ivystep."""

    authority: str = pydantic.Field(
        description='Certificate of the private certificate authority.'
    )
    certificate: str = pydantic.Field(description='Certificate chain.')
    key: str = pydantic.Field(description='Private key.')

    @property
    def files(self) -> tls.TlsFiles:
        """The paths in the form that ``wire.tls`` takes."""
        return tls.TlsFiles(self.authority, self.certificate, self.key)


class Platform(Section):
    """Base URLs of the platform services."""

    table_url: str = pydantic.Field(
        description='Base URL of the table service.'
    )
    objects_url: str = pydantic.Field(
        description='Base URL of the object store.'
    )
    hosts_url: str = pydantic.Field(description='Base URL of the host list.')
    timeout_s: Seconds = pydantic.Field(
        2.0, description='Time-out of one call of a platform service.'
    )
    poll_interval_s: Seconds = pydantic.Field(
        2.0, description='Time between polls of the setup and host list.'
    )


class Drain(Section):
    """Graceful shutdown."""

    notice_s: float = pydantic.Field(
        2.0,
        ge=0,
        allow_inf_nan=False,
        description='Time between reporting not ready and closing the '
        'listener.',
    )
    deadline_s: Seconds = pydantic.Field(
        60.0, description='Longest time to finish requests in progress.'
    )


class Upstream(Section):
    """The upstream that a sidecar serves."""

    url: str = pydantic.Field(description='Base URL of the upstream.')
    kind: typing.Literal['engine', 'service'] = pydantic.Field(
        'engine', description='Model engine or plain service.'
    )
    slots: int = pydantic.Field(
        8, ge=1, description='Adapters that can be resident at once.'
    )
    max_running: int = pydantic.Field(
        16, ge=1, description='Requests that one engine step can batch.'
    )
    health_interval_s: Seconds = pydantic.Field(
        0.5, description='Time between health checks.'
    )
    checks_fencing: bool = pydantic.Field(
        False,
        description='Whether the engine refuses orders with an outdated '
        'fencing token.',
    )
    lease_s: Seconds = pydantic.Field(
        15.0, description='Duration of the lease on the engine.'
    )


class RequestLimits(Section):
    """Limits of the requests on one caller connection."""

    max_body_bytes: int = pydantic.Field(
        1048576, ge=1, description='Maximum length of a request body.'
    )
    read_timeout_s: Seconds = pydantic.Field(
        10.0,
        description='Longest time to receive the head or body of a request.',
    )
    default_timeout_s: Seconds = pydantic.Field(
        30.0, description='Time-out of requests that do not specify one.'
    )
    max_timeout_s: Seconds = pydantic.Field(
        600.0, description='Longest time-out that a caller may request.'
    )


class Console(Section):
    """The web console for operators."""

    session_s: Seconds = pydantic.Field(
        28800.0, description='Maximum duration of an operator session.'
    )
    secure_cookie: bool = pydantic.Field(
        True,
        description='Send the session cookie over HTTPS only. Set it to no '
        'only if operators reach the console over loopback.',
    )


class Status(Section):
    """How ``ivystep status`` reaches the processes of the host list."""

    operators_port: Port = pydantic.Field(
        9100,
        description="Port of the operators' address, the same on every host.",
    )
    timeout_s: Seconds = pydantic.Field(
        2.0, description='Time-out of the query of one process.'
    )


class EntrySettings(Section):
    """All sections of the settings file of an entry."""

    process: Process
    listen: Listen
    operators: Listen
    peers: Listen
    tls: Tls
    platform: Platform
    drain: Drain = Drain()
    requests: RequestLimits = RequestLimits()


class SidecarSettings(Section):
    """All sections of the settings file of a sidecar."""

    process: Process
    listen: Listen
    operators: Listen
    tls: Tls
    platform: Platform
    upstream: Upstream
    drain: Drain = Drain()


class OperatorSettings(Section):
    """All sections of the settings file of the console and the commands.

    The section ``operators`` has one key per operator: the operator's name,
    with the SHA-256 digest of the operator's secret key as its value.
    """

    platform: Platform
    status: Status = Status()
    listen: Listen | None = pydantic.Field(
        None, description='Address of the console.'
    )
    console: Console = Console()
    operators: dict[OperatorName, KeyDigest] = pydantic.Field(
        {}, description="SHA-256 digests of the operators' secret keys by name."
    )
