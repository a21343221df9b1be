"""Stand-in of the platform's object store."""

from standins import web


class ObjectsStandin:
    """A store in memory; ``POST /faults`` with ``down`` disables it."""

    def __init__(self) -> None:
        self.body_by_digest: dict[str, bytes] = {}
        self.is_down = False

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        if environ['PATH_INFO'] == '/faults':
            self.is_down = web.read_body(environ) == b'down'
            return 200, {}
        if self.is_down:
            return 503, {'error': 'down'}
        digest = environ['PATH_INFO'].rpartition('/')[2]
        if environ['REQUEST_METHOD'] == 'PUT':
            self.body_by_digest[digest] = web.read_body(environ)
            return 200, {}
        body = self.body_by_digest.get(digest)
        return (404, {}) if body is None else (200, body)
