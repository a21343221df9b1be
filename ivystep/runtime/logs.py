"""Configures plain-text logging to standard error."""

import dataclasses
import functools
import logging
from collections.abc import Callable

from ivystep.runtime import descriptors, event_log, log_output

FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s'


def configure(level: str) -> None:
    """Send log lines to standard error; see ``log_output`` for its limits.

    Args:
        level: Name of the lowest level that is written, such as ``INFO``.
    """
    log_output.install(
        descriptors.STANDARD_ERROR, logging.Formatter(FORMAT), level
    )


def get(part: str) -> logging.Logger:
    """Return the logger of a component.

    Args:
        part: Name of the component, for example ``entry``.
    """
    return logging.getLogger(part)


def event_writer(part: str) -> Callable[[event_log.Event], None]:
    """Return what writes events as plain text.

    Args:
        part: Name of the component.
    """
    return functools.partial(_write_event, get(part))


def _write_event(log: logging.Logger, event: event_log.Event) -> None:
    fields = ', '.join(
        f'{name}={value}' for name, value in dataclasses.asdict(event).items()
    )
    log.log(event.level, '%s: %s', event.name, fields)
