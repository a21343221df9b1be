"""Configures plain-text logging to standard error."""

import logging

from ivystep.runtime import descriptors, log_output

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
