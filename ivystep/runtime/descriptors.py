"""Keeps the standard descriptors of a daemon open and never waits for them.

A process can be started without them. The next file or socket that it opened
would then have their numbers, and would get what is written to them.
"""

import errno
import os
import sys
import typing

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2

_closed_at_start: set[int] = set()


def open_standard() -> None:
    """Open the standard descriptors that are closed on the null device."""
    for number in range(STANDARD_ERROR + 1):
        if not _is_open(number):
            _closed_at_start.add(number)
            # The lowest number that is free is used.
            os.open(os.devnull, os.O_RDWR)
    if sys.stderr is None:
        sys.stderr = typing.cast(
            typing.TextIO, os.fdopen(STANDARD_ERROR, 'w', closefd=False)
        )


def was_closed(number: int) -> bool:
    """Return whether a standard descriptor was closed at the start."""
    return number in _closed_at_start


def _is_open(number: int) -> bool:
    try:
        os.fstat(number)
    except OSError as error:
        return error.errno != errno.EBADF
    return True
