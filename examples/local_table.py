"""Starts a local table service for the examples."""

import contextlib
from collections.abc import Generator

import eventlet

from ivystep.platform import table
from standins import table as table_standin
from standins import web

ADDRESS = ('127.0.0.1', 0)
TIMEOUT_S = 2.0


class LocalTable:
    """A simulated table service in this process, with a client.

    Attributes:
        rows: The client, configured as in a daemon.
    """

    def __init__(self) -> None:
        self._standin = table_standin.TableStandin()
        listener = web.serve(self._standin.handle, ADDRESS)
        address, port = listener.getsockname()
        url = f'http://{address}:{port}'
        self.rows = table.TableClient(url, TIMEOUT_S)

    @contextlib.contextmanager
    def losing_answers(self) -> Generator[None, None, None]:
        """Return a context in which writes take effect but get no answer."""
        self._standin.faults = {'mode': 'lose_answers'}
        try:
            yield
        finally:
            self._standin.faults = {'mode': 'none'}


def patch() -> None:
    """Patch the standard library so that its sockets yield to other tasks."""
    eventlet.monkey_patch()
