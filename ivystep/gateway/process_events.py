"""Log events of the start, the drain and the end of a gateway."""

import dataclasses
import logging
import typing

from ivystep.core import units
from ivystep.runtime import event_log, memory_plan


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
class MemoryPlanned(event_log.Event):
    """The memory was shared out; the parts add up to ``sum_mb``.

    Attributes:
        memory_mb: Memory that the gateway may use.
        sum_mb: What it uses if callers bring all they can.
        connections: Callers' connections that may be open at once.
        left_out: Connections that the descriptors would allow beside those.
        unread_kb: What the kernel holds unread for each connection.
        requests_mb: All requests that are buffered.
    """

    name: typing.ClassVar[str] = 'memory_planned'

    memory_mb: float
    sum_mb: float
    connections: int
    left_out: int
    unread_kb: float
    requests_mb: float

    @classmethod
    def from_plan(cls, plan: memory_plan.MemoryPlan) -> typing.Self:
        """Return the line for a plan that fits the memory."""
        return cls(
            memory_mb=_megabytes(plan.memory_bytes),
            sum_mb=_megabytes(plan.sum_bytes),
            connections=plan.connections,
            left_out=plan.left_out,
            unread_kb=round(plan.unread_bytes / units.KIB, 1),
            requests_mb=_megabytes(plan.requests_bytes),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryTooSmall(MemoryPlanned):
    """The memory is too small for what the gateway needs at least."""

    name: typing.ClassVar[str] = 'memory_too_small'
    level: typing.ClassVar[int] = logging.WARNING


@dataclasses.dataclass(frozen=True, slots=True)
class LongBodiesRefused(event_log.Event):
    """Bodies that the configuration allows are longer than the memory allows.

    They are refused as ``no_memory`` each time.

    Attributes:
        max_body_bytes: Longest body that the configuration allows.
        longest_body_bytes: Longest body for which there can be room.
    """

    name: typing.ClassVar[str] = 'long_bodies_refused'
    level: typing.ClassVar[int] = logging.WARNING

    max_body_bytes: int
    longest_body_bytes: int


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


def memory_event(plan: memory_plan.MemoryPlan) -> MemoryPlanned:
    """Return the line on how the memory was shared out."""
    kind = MemoryPlanned if plan.fits else MemoryTooSmall
    return kind.from_plan(plan)


def _megabytes(count: int) -> float:
    return round(count / memory_plan.MEGABYTE, 1)
