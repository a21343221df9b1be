"""Configures plain-text logging to standard error."""

import dataclasses
import functools
import logging
import sys
from collections.abc import Callable

from ivystep.runtime import event_log

FORMAT = '%(asctime)s %(levelname)s %(name)s: %(message)s'


def configure(level: str) -> None:
    """Send log lines to standard error.

    Args:
        level: Name of the lowest level that is written, such as ``INFO``.
    """
    logging.basicConfig(stream=sys.stderr, level=level, format=FORMAT)
    logging.getLogger('urllib3').setLevel(logging.WARNING)


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
