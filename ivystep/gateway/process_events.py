"""Log events of the start, the drain and the end of a gateway."""

import dataclasses
import logging
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class Started(event_log.Event):
    """The process has started.

    Attributes:
        callers: Address at which the gateway accepts callers.
    """

    name: typing.ClassVar[str] = 'started'

    callers: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Draining(event_log.Event):
    """The process received SIGTERM and stops accepting new work.

    Attributes:
        requests: Requests in progress.
        connections: Open connections of callers.
    """

    name: typing.ClassVar[str] = 'draining'

    requests: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerClosed(event_log.Event):
    """The draining process accepts no more connections.

    Attributes:
        elapsed_ms: Time since the drain began.
        requests: Requests in progress.
        connections: Open connections of callers.
    """

    name: typing.ClassVar[str] = 'listener_closed'

    elapsed_ms: int
    requests: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped(event_log.Event):
    """The process exits.

    Attributes:
        requests: Requests that were aborted.
    """

    name: typing.ClassVar[str] = 'stopped'

    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowFailed(event_log.Event):
    """A row of the store raised an error as it was applied.

    Attributes:
        error: The error.
        place: File and line at which it was raised.
    """

    name: typing.ClassVar[str] = 'row_failed'
    level: typing.ClassVar[int] = logging.ERROR

    table: str
    key: str
    store_version: int
    error: str
    place: str
