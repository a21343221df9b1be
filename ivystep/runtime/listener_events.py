"""Log events of the listeners of a process."""

import dataclasses
import logging
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class AddressUnavailable(event_log.Event):
    """A listening socket cannot be opened; the process tries again.

    Attributes:
        purpose: Who connects there, for example ``callers``.
        address: Address and port.
    """

    name: typing.ClassVar[str] = 'address_unavailable'
    level: typing.ClassVar[int] = logging.WARNING

    purpose: str
    address: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressOpened(event_log.Event):
    """A listening socket was opened after its address was unavailable.

    Attributes:
        purpose: Who connects there.
        address: Address and port.
        waited_ms: Time for which it was unavailable.
    """

    name: typing.ClassVar[str] = 'address_opened'

    purpose: str
    address: str
    waited_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLost(event_log.Event):
    """A listening socket no longer works and is opened again.

    Attributes:
        purpose: Who connects there.
        address: Address and port.
    """

    name: typing.ClassVar[str] = 'listener_lost'
    level: typing.ClassVar[int] = logging.ERROR

    purpose: str
    address: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptFailed(event_log.Event):
    """Connections could not be accepted; the listener tries again.

    Attributes:
        purpose: Who connects there.
        address: Address and port.
        error: The last error.
        failures: Number of failures since the line before.
    """

    name: typing.ClassVar[str] = 'accept_failed'
    level: typing.ClassVar[int] = logging.WARNING

    purpose: str
    address: str
    error: str
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequestsFailed(event_log.Event):
    """Requests for pages of the process were malformed or met an error.

    Attributes:
        purpose: Who connects there.
        peer: IP address of the last one.
        error: The last error.
        failures: Number of failures since the line before.
    """

    name: typing.ClassVar[str] = 'page_requests_failed'
    level: typing.ClassVar[int] = logging.WARNING

    purpose: str
    peer: str
    error: str
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionsLimited(event_log.Event):
    """As many connections are open as the descriptors allow.

    Attributes:
        purpose: Who connects there.
        connections: Open connections.
        idle: How many of them may be closed for new ones.
        incomplete: How many have received a part of a request for longer than
            usual, so that it may be refused for a new one.
        refused: How many requests were refused so, since the start.
    """

    name: typing.ClassVar[str] = 'connections_limited'
    level: typing.ClassVar[int] = logging.WARNING

    purpose: str
    connections: int
    idle: int
    incomplete: int
    refused: int
