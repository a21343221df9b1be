"""Serves a stand-in within the process of a test."""

import contextlib

import eventlet
from eventlet import hubs, wsgi

from standins import web


@contextlib.contextmanager
def serve(handle):
    """Serve a handler on loopback and yield the port.

    The server's task is ended before its socket is closed. Otherwise it would
    wait on the next socket that gets the same file descriptor.
    """
    listener = eventlet.listen(('127.0.0.1', 0))
    server = eventlet.spawn(
        wsgi.server,
        listener,
        web.app(handle),
        log_output=False,
        debug=False,
        keepalive=False,
    )
    try:
        yield listener.getsockname()[1]
    finally:
        server.kill()
        listener.close()


def read_silently(listener):
    """Accept one connection and never answer.

    Returns:
        How the peer ended the connection: ``reset`` or ``closed``.
    """
    connection, _ = listener.accept()
    with contextlib.closing(connection):
        while True:
            hubs.trampoline(connection, read=True)
            try:
                # Eventlet's own ``recv`` reports a reset as an orderly close.
                received = connection.fd.recv(65536)
            except ConnectionResetError:
                return 'reset'
            if not received:
                return 'closed'
