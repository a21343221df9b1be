"""Writes the log lines of a daemon without ever waiting for their reader.

A line is dropped and counted if the reader is gone or the pipe is full. What
libraries write to ``sys.stderr`` takes the same way: eventlet reports errors of
callbacks there, and an error in that report would end its event loop.
"""

import io
import logging
import os
import sys
import typing

from eventlet import patcher

from ivystep.runtime import descriptors

# The patched ``os.write`` of eventlet waits while the pipe is full.
UNPATCHED_OS = patcher.original('os')
# Longest line that a library may write, in characters.
MAX_LINE = 4096


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops them if it is full.

    Args:
        descriptor: File descriptor, which is set to non-blocking mode.

    Attributes:
        dropped: Number of lines that were dropped so far.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        try:
            line = f'{self.format(record)}\n'.encode(errors='replace')
            self._write(line)
        except Exception:
            # The failure itself cannot be logged, only counted.
            self.dropped += 1

    def _write(self, line: bytes) -> None:
        if descriptors.was_closed(self._descriptor):
            self.dropped += 1
        else:
            UNPATCHED_OS.write(self._descriptor, line)


class LogStream(io.TextIOBase):
    """A text stream whose lines become log lines."""

    def __init__(self) -> None:
        super().__init__()
        self._log = logging.getLogger('stderr')
        self._rest = ''

    def write(self, text: str) -> int:
        """Log each whole line."""
        lines = f'{self._rest}{text}'.split('\n')
        self._rest = lines.pop()
        if len(self._rest) > MAX_LINE:
            lines.append(self._rest)
            self._rest = ''
        for line in lines:
            self._log.error('%s', line[:MAX_LINE])
        return len(text)


def install(
    descriptor: int, formatter: logging.Formatter, level: str
) -> NonBlockingHandler:
    """Send all log lines, and what libraries report, to a descriptor.

    Args:
        descriptor: File descriptor, which is set to non-blocking mode.
        formatter: Makes the lines.
        level: Name of the lowest level that is written, such as ``INFO``.
    """
    handler = NonBlockingHandler(descriptor)
    handler.setFormatter(formatter)
    logging.basicConfig(handlers=[handler], level=level)
    logging.getLogger('urllib3').setLevel(logging.WARNING)
    sys.stderr = typing.cast(typing.TextIO, LogStream())
    return handler


def dropped_lines() -> int:
    """Return the number of lines that were not written."""
    return sum(
        handler.dropped
        for handler in logging.getLogger().handlers
        if isinstance(handler, NonBlockingHandler)
    )
