"""Configures plain-text logging to standard error."""

import logging
import sys

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
