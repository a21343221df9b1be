"""Owns the life of a daemon: its start, its settings and its end.

The signals and standard descriptors are dealt with before, by the neighbouring
modules ``signals`` and ``descriptors``, which the program imports first.
"""

import hashlib
import logging
import os
import platform
import resource
import traceback
import typing
from collections.abc import Callable, Iterator

import pydantic

import ivystep
from ivystep.core import errors
from ivystep.runtime import event_log, memory_allocation, process_events

EXIT_DRAINED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
# Hexadecimal digits of the digest that tell settings apart.
DIGEST_LENGTH = 12
BYTES_PER_MB = 1048576
DEFAULT_LEVEL = 'INFO'
# The only key whose change is in force without a restart.
LEVEL_KEY = 'process.log_level'

Settings = typing.TypeVar('Settings', bound=pydantic.BaseModel)
Reload = Callable[[], None]


class Process(typing.Generic[Settings]):
    """One daemon.

    Args:
        role: Subcommand of the daemon.
        load: Reads and validates its settings.
    """

    def __init__(self, role: str, load: Callable[[], Settings]) -> None:
        self.role = role
        self.settings = load()
        self._load = load

    def run(
        self,
        serve: Callable[[Settings, Reload], None],
        write: Callable[[event_log.Event], None],
    ) -> None:
        """Write the first and the last line of the process around its work.

        Args:
            serve: Serves until the process has drained; takes the settings and
                what is to be called on SIGHUP.
            write: Writes an event.
        """
        is_returned = memory_allocation.map_long_blocks()
        write(
            describe_start(
                self.role, self.settings, is_memory_returned=is_returned
            )
        )
        try:
            serve(self.settings, lambda: write(self.reload()))
        except BaseException as error:
            write(describe_end(error))
            raise
        write(process_events.ProcessEnded('signal', EXIT_DRAINED))

    def reload(self) -> event_log.Event:
        """Read the settings again and apply what can change meanwhile."""
        try:
            latest = self._load()
        except errors.SettingsError as error:
            return process_events.ReloadFailed(str(error))
        level = log_level(latest)
        logging.getLogger().setLevel(level)
        changed = changed_keys(self.settings, latest) - {LEVEL_KEY}
        return process_events.Reloaded(level, ', '.join(sorted(changed)))


def log_level(settings: pydantic.BaseModel) -> str:
    """Return the log level of the settings; those of a console have none."""
    section = getattr(settings, 'process', None)
    return getattr(section, 'log_level', DEFAULT_LEVEL)


def changed_keys(
    before: pydantic.BaseModel, after: pydantic.BaseModel
) -> set[str]:
    """Return the keys, as ``section.key``, that differ between settings."""
    different = set(_flatten(before)) ^ set(_flatten(after))
    return {key for key, _ in different}


def describe_start(
    role: str, settings: pydantic.BaseModel, *, is_memory_returned: bool
) -> process_events.ProcessStarted:
    """Return the first event of a process.

    Args:
        role: Subcommand of the daemon.
        settings: Its settings.
        is_memory_returned: Whether freed long blocks are returned.
    """
    memory = resource.getrlimit(resource.RLIMIT_AS)[0]
    digest = hashlib.sha256(settings.model_dump_json().encode()).hexdigest()
    return process_events.ProcessStarted(
        role=role,
        version=ivystep.__version__,
        python=platform.python_version(),
        machine=platform.machine(),
        descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        memory_mb=-1 if memory < 0 else memory // BYTES_PER_MB,
        settings=digest[:DIGEST_LENGTH],
        is_memory_returned=is_memory_returned,
    )


def describe_end(error: BaseException) -> process_events.ProcessEnded:
    """Return the last event of a process that an error ends."""
    is_settings = isinstance(error, errors.SettingsError)
    frames = traceback.extract_tb(error.__traceback__)
    place = ''
    if frames:
        place = f'{os.path.basename(frames[-1].filename)}:{frames[-1].lineno}'
    return process_events.ProcessEnded(
        type(error).__name__,
        EXIT_SETTINGS if is_settings else EXIT_FAILED,
        str(error),
        place,
    )


def _flatten(settings: pydantic.BaseModel) -> Iterator[tuple[str, str]]:
    for section, values in settings.model_dump().items():
        if isinstance(values, dict):
            for key, setting in values.items():
                yield f'{section}.{key}', repr(setting)
        else:
            yield section, repr(values)
