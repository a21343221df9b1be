"""A table service on loopback for the examples."""

import contextlib
from collections.abc import Generator

import eventlet

from ivystep.platform import table
from standins import table as table_standin
from standins import web

ADDRESS = ('127.0.0.1', 0)
TIMEOUT_S = 2.0


class LocalTable:
    """The table stand-in in this process and a client of it.

    Attributes:
        rows: The client, as a daemon would make it.
    """

    def __init__(self) -> None:
        self._standin = table_standin.TableStandin()
        listener = web.serve(self._standin.handle, ADDRESS)
        address, port = listener.getsockname()
        url = f'http://{address}:{port}'
        self.rows = table.TableClient(url, TIMEOUT_S)

    @contextlib.contextmanager
    def losing_answers(self) -> Generator[None, None, None]:
        """Let writes take effect without an answer, inside a block."""
        self._standin.faults = {'mode': 'lose_answers'}
        try:
            yield
        finally:
            self._standin.faults = {'mode': 'none'}


def patch() -> None:
    """Let the standard library's sockets cooperate with other tasks."""
    eventlet.monkey_patch()
