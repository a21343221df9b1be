"""WSGI plumbing shared by the stand-ins."""

import dataclasses
import json
import socket
import types
import typing
from collections.abc import Callable, Iterable

import eventlet
from eventlet import wsgi

from standins import faults

Environ = dict[str, typing.Any]
Reply = typing.Any
Handler = Callable[[dict[str, typing.Any]], tuple[int, typing.Any]]
REASONS = types.MappingProxyType(
    {
        200: 'OK',
        201: 'Created',
        400: 'Bad Request',
        404: 'Not Found',
        409: 'Conflict',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyWithHeaders:
    """A reply with its own headers; only bytes get a ``Content-Length``."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | Iterable[bytes]


def read_body(environ: Environ) -> bytes:
    """Return the request body."""
    return environ['wsgi.input'].read()


def is_gone(environ: Environ) -> bool:
    """Return whether the caller has closed its connection."""
    # The underlying socket raises an error where the green one would wait.
    connection = environ['eventlet.input'].get_socket().fd
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def app(handle: Callable[[Environ], Reply]) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application for a handler.

    Args:
        handle: Function from the WSGI environment to ``ReplyWithHeaders``, or
            to a status and a body: a JSON value, bytes or an iterator.
    """

    def application(
        environ: Environ, start_response: Callable[..., typing.Any]
    ) -> Iterable[bytes]:
        reply = handle(environ)
        if isinstance(reply, ReplyWithHeaders):
            return _send(reply, start_response)
        status, body = reply
        reason = REASONS.get(status, 'Status')
        content_type = 'application/json'
        headers = []
        if isinstance(body, (dict, list)):
            chunks: Iterable[bytes] = [json.dumps(body).encode()]
        elif isinstance(body, bytes):
            chunks = [body]
            content_type = 'text/plain'
        elif isinstance(body, faults.Truncated):
            chunks = body
            headers = [('Content-Length', str(body.length))]
        else:
            chunks = body
            content_type = 'text/event-stream'
        start_response(
            f'{status} {reason}', [('Content-Type', content_type), *headers]
        )
        return chunks

    return application


def _send(
    reply: ReplyWithHeaders, start_response: Callable[..., typing.Any]
) -> Iterable[bytes]:
    headers = list(reply.headers)
    body = reply.body
    if isinstance(body, bytes):
        headers.append(('Content-Length', str(len(body))))
        body = [body]
    start_response(f'{reply.status} Status', headers)
    return body


def serve(
    handle: Callable[[Environ], Reply], address: tuple[str, int]
) -> typing.Any:
    """Serve a handler in a background task.

    Args:
        handle: See ``app``.
        address: IP address and port, 0 for a free one.

    Returns:
        The listening socket.
    """
    listener = eventlet.listen(address)
    eventlet.spawn(
        wsgi.server,
        listener,
        app(handle),
        log_output=False,
        debug=False,
        # Sends each chunk of a stream immediately, as engines do.
        minimum_chunk_size=1,
    )
    return listener
