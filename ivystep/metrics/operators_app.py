"""Implements the operators' HTTP interface of a daemon as a WSGI application.

Serves ``/healthz``, ``/readyz``, ``/metrics`` and ``/status.json``.
"""

import dataclasses
import json
import typing
from collections.abc import Callable, Iterable

from ivystep.metrics import registry

Environ = dict[str, typing.Any]
StartResponse = Callable[..., typing.Any]
TEXT_TYPE = 'text/plain; charset=utf-8'
MAX_PROBLEMS = 50
STATUS_OK = '200 OK'


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status of a process, as shown to operators.

    Attributes:
        process_id: Name of the host.
        role: ``entry`` or ``sidecar``.
        is_ready: Whether new work is accepted.
        is_draining: Whether the process is stopping.
        setup_version: Setup version in force; 0 if none has been read.
        setup_age_s: Seconds since that version was last confirmed as the
            newest.
        problems: One sentence per problem.
        details: Further values by name, for example ``waiting``.
    """

    process_id: str
    role: str
    is_ready: bool
    is_draining: bool
    setup_version: int
    setup_age_s: float
    problems: tuple[str, ...] = ()
    details: dict[str, int | float | str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorsApp:
    """Serves the operators of one daemon.

    Attributes:
        metrics: The registry of the daemon.
        read_status: Returns the current status of the daemon.
    """

    metrics: registry.Metrics
    read_status: Callable[[], ProcessStatus]

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request; see PEP 3333."""
        if environ['REQUEST_METHOD'] not in {'GET', 'HEAD'}:
            return _respond(
                start_response,
                '405 Method Not Allowed',
                TEXT_TYPE,
                b'Only GET is allowed.\n',
            )
        status, content_type, body = self._answer(environ['PATH_INFO'])
        return _respond(start_response, status, content_type, body)

    def _answer(self, path: str) -> tuple[str, str, bytes]:
        if path == '/healthz':
            return STATUS_OK, TEXT_TYPE, b'alive\n'
        if path == '/readyz':
            return self._readiness()
        if path == '/metrics':
            return self._metrics()
        if path == '/status.json':
            body = json.dumps(status_document(self.read_status())).encode()
            return STATUS_OK, 'application/json', body
        return '404 Not Found', TEXT_TYPE, b'There is no such page.\n'

    def _readiness(self) -> tuple[str, str, bytes]:
        status = self.read_status()
        if status.is_ready and not status.is_draining:
            return STATUS_OK, TEXT_TYPE, b'ready\n'
        reasons = status.problems or ('The process is not ready.',)
        body = '\n'.join((*reasons, '')).encode()
        return '503 Service Unavailable', TEXT_TYPE, body

    def _metrics(self) -> tuple[str, str, bytes]:
        status = self.read_status()
        self.metrics.set_setup(status.setup_version, status.setup_age_s)
        body, content_type = self.metrics.render()
        return STATUS_OK, content_type, body


def status_document(status: ProcessStatus) -> dict[str, typing.Any]:
    """Return a status as a JSON document, with the first few problems."""
    document = dataclasses.asdict(status)
    document['problems'] = list(status.problems[:MAX_PROBLEMS])
    return document


def _respond(
    start_response: StartResponse, status: str, content_type: str, body: bytes
) -> list[bytes]:
    headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    start_response(status, headers)
    return [body]
