"""Stand-in of a plain service; counts how often each call was run.

``POST /faults`` with ``{"mode": ...}`` sets what happens to calls: ``none``,
``lost`` (the call runs and the connection ends without an answer), ``fails``
(status 500 after the run) or ``refuses`` (the connection ends before the run).
"""

import json
import socket
import typing

import eventlet

from standins import web


class ServiceStandin:
    """Echoes calls and counts them by body."""

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
            return _break_off(environ)
        eventlet.sleep(self.delay_s)
        self.calls_by_body[body] = self.calls_by_body.get(body, 0) + 1
        if self.mode == 'lost':
            return _break_off(environ)
        if self.mode == 'fails':
            return 500, {'error': 'failed'}
        return 200, {'path': path, 'echo': json.loads(body)}


def _break_off(environ: web.Environ) -> tuple[int, typing.Any]:
    """End the connection; the answer that is returned reaches nobody."""
    environ['eventlet.input'].get_socket().shutdown(socket.SHUT_RDWR)
    return 500, {}
