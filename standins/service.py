"""Stand-in of a service without a model; counts how often each call was run.

``POST /faults`` with ``{"mode": ...}`` sets the fault of calls: ``none``,
``lost`` (the call runs and the connection ends without an answer), ``fails``
(status 500 after the run) or ``refuses`` (the connection ends before the run).
"""

import json
import socket
import typing

import eventlet

from standins import web


class ServiceStandin:
    """A service that echoes calls and counts them by body."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.calls_by_body: dict[str, int] = {}
        self.started = 0.0
        self.mode = 'none'

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        path = environ['PATH_INFO']
        if path == '/health':
            return 200, {}
        if path == '/metrics':
            return 200, f'process_start_time_seconds {self.started}\n'.encode()
        if path == '/counts':
            return 200, self.calls_by_body
        body = web.read_body(environ).decode()
        if path == '/faults':
            self.mode = json.loads(body)['mode']
            return 200, {}
        return self._call(environ, path, body)

    def _call(
        self, environ: web.Environ, path: str, body: str
    ) -> tuple[int, typing.Any]:
        if self.mode == 'refuses':
            return _close_connection(environ)
        eventlet.sleep(self.delay_s)
        self.calls_by_body[body] = self.calls_by_body.get(body, 0) + 1
        if self.mode == 'lost':
            return _close_connection(environ)
        if self.mode == 'fails':
            return 500, {'error': 'failed'}
        return 200, {'path': path, 'echo': json.loads(body)}


def _close_connection(environ: web.Environ) -> tuple[int, typing.Any]:
    """Shut down the connection; the returned answer is not delivered."""
    environ['eventlet.input'].get_socket().shutdown(socket.SHUT_RDWR)
    return 500, {}
