"""Writes what was sent, answered and run to the record of a case."""

import pathlib
import threading
import time


class Record:
    """The record of one run of a case.

    Args:
        path: The file, which is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, who: str, text: str) -> None:
        """Write one line with the time since the start.

        Args:
            who: The process or stand-in that did it.
            text: What it did.
        """
        elapsed_s = time.monotonic() - self._started
        with self._lock:
            self._file.write(f'{elapsed_s:9.3f} {who}: {text}\n')
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()
