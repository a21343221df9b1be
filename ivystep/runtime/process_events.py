"""Log events of the start, the settings and the end of each daemon."""

import dataclasses
import logging
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStarted(event_log.Event):
    """A process has read its settings and builds its parts.

    Attributes:
        role: Subcommand of the process.
        version: Version of ivystep.
        python: Version of the interpreter.
        machine: Architecture of the processor.
        descriptors: Limit of open descriptors, -1 for none.
        memory_mb: Limit of the address space, -1 for none.
        settings: Digest of the settings with their defaults.
        is_memory_returned: Whether the C library returns the memory of freed
            long blocks to the system.
    """

    name: typing.ClassVar[str] = 'process_started'

    role: str
    version: str
    python: str
    machine: str
    descriptors: int
    memory_mb: int
    settings: str
    is_memory_returned: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reloaded(event_log.Event):
    """SIGHUP was received, and the settings were read again.

    Attributes:
        log_level: Log level in force.
        needs_restart: Changed keys that are in force after a restart only.
    """

    name: typing.ClassVar[str] = 'reloaded'

    log_level: str
    needs_restart: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadFailed(event_log.Event):
    """SIGHUP was received, and the settings cannot be read or are invalid.

    The earlier settings stay in force.

    Attributes:
        problem: What is wrong with the file.
    """

    name: typing.ClassVar[str] = 'reload_failed'
    level: typing.ClassVar[int] = logging.ERROR

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessEnded(event_log.Event):
    """The process exits.

    Attributes:
        reason: `signal`, or the kind of the error that ended it.
        exit_code: Exit code of the process.
        error: The error.
        place: File and line at which it was raised.
    """

    name: typing.ClassVar[str] = 'process_ended'
    is_rate_limited: typing.ClassVar[bool] = False

    reason: str
    exit_code: int
    error: str = ''
    place: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed(event_log.Event):
    """A background task met an error that it does not handle.

    Attributes:
        task: Name of the task's function.
        error: The error.
        place: File and line at which it was raised.
    """

    name: typing.ClassVar[str] = 'task_failed'
    level: typing.ClassVar[int] = logging.ERROR

    task: str
    error: str
    place: str
