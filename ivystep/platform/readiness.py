"""Implements the platform's readiness check of this host."""

import dataclasses
import typing
from collections.abc import Callable, Iterable

READINESS_PATH = '/ivystep/readiness'


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessApp:
    """A WSGI application that serves the readiness check.

    Attributes:
        is_ready: Returns whether the host accepts new connections.
    """

    is_ready: Callable[[], bool]

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: Callable[..., typing.Any],
    ) -> Iterable[bytes]:
        """Answer one HTTP request; see PEP 3333."""
        if environ['PATH_INFO'] != READINESS_PATH:
            status, body = '404 Not Found', b'There is no such page.\n'
        elif self.is_ready():
            status, body = '200 OK', b'ready\n'
        else:
            status, body = '503 Service Unavailable', b'not ready\n'
        start_response(
            status,
            [
                ('Content-Type', 'text/plain'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]
