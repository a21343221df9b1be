"""Logging: one line an event, with a fixed prefix for each part."""

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
    """Return the logger of a part.

    Args:
        part: The prefix, for example ``entry``.
    """
    return logging.getLogger(part)
