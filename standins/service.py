"""Stand-in of a plain service; counts how often each call was run."""

import json

import eventlet

from standins import web


class ServiceStandin:
    """Echoes calls and counts them by body."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.calls_by_body: dict[str, int] = {}
        self.started = 0.0

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
        eventlet.sleep(self.delay_s)
        self.calls_by_body[body] = self.calls_by_body.get(body, 0) + 1
        return 200, {'path': path, 'echo': json.loads(body)}
