"""Stand-in of the platform's host list; ``PUT /hosts`` replaces it."""

import json
import typing

from standins import web


class HostsStandin:
    """A host list in memory; ``POST /faults`` with ``down`` disables it."""

    def __init__(self) -> None:
        self.document: dict[str, typing.Any] = {'hosts': []}
        self.is_down = False

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        if environ['PATH_INFO'] == '/faults':
            self.is_down = web.read_body(environ) == b'down'
            return 200, {}
        if self.is_down:
            return 503, {'error': 'down'}
        if environ['REQUEST_METHOD'] == 'PUT':
            self.document = json.loads(web.read_body(environ))
        return 200, self.document
