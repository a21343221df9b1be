"""Serves a stand-in within the process of a test."""

import contextlib
import json

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


class RepeatingServer:
    """Writes an earlier answer once more, before the one to the next call.

    An extra answer may come late, where the next one is due.

    Args:
        first: Status and body of the answer to the first call.
        then: Status and body of the answers to the others.
    """

    def __init__(self, first, then):
        self.connections = 0
        self._first = encoded(*first)
        self._then = encoded(*then)
        self._is_first = True

    @contextlib.contextmanager
    def start(self):
        """Serve on loopback and yield the address."""
        listener = eventlet.listen(('127.0.0.1', 0))
        server = eventlet.spawn(self._accept, listener)
        try:
            yield listener.getsockname()
        finally:
            server.kill()
            listener.close()

    def _accept(self, listener):
        while True:
            connection, _ = listener.accept()
            self.connections += 1
            eventlet.spawn(self._serve, connection)

    def _serve(self, connection):
        is_used = False
        with contextlib.suppress(OSError, EOFError):
            while read_call(connection):
                if is_used:
                    connection.sendall(self._first)
                    eventlet.sleep(0.05)
                is_used = True
                connection.sendall(
                    self._first if self._is_first else self._then
                )
                self._is_first = False


class NamingServer(RepeatingServer):
    """Names the call in its answers, and writes earlier ones once more.

    Args:
        first: Status and body of the answer to the first call.
        then: Status and body of the answers to the others.
        repeats: How often an earlier answer is written once more.
        names_repeats: Whether a repeat names its call.

    Attributes:
        closes_after_answer: Whether it closes connections that it answered on.
    """

    def __init__(self, first, then, repeats=0, names_repeats=True):
        super().__init__(first, then)
        self._answers = (first, then)
        self._repeats = repeats
        self._names_repeats = names_repeats
        self.closes_after_answer = False

    def _serve(self, connection):
        earlier = b''
        with contextlib.suppress(OSError, EOFError):
            while call := read_call(connection):
                if earlier and self._repeats:
                    self._repeats -= 1
                    connection.sendall(earlier)
                    eventlet.sleep(0.05)
                answer = self._answers[0 if self._is_first else 1]
                self._is_first = False
                connection.sendall(encoded(*answer, named(call)))
                earlier = encoded(
                    *answer, named(call) if self._names_repeats else ''
                )
                if self.closes_after_answer:
                    connection.close()


def read_call(connection):
    """Return the head of one call, or nothing after the last one."""
    received = b''
    while b'\r\n\r\n' not in received:
        part = connection.recv(65536)
        if not part:
            return b''
        received += part
    return received


def named(call):
    """Return the header of a call that names it; empty if there is none."""
    lines = call.decode().split('\r\n')
    names = [one for one in lines if one.lower().startswith('request-id:')]
    return ''.join(f'{line}\r\n' for line in names)


def encoded(status, body, headers=''):
    """Return an answer with a JSON body as bytes."""
    content = json.dumps(body).encode()
    return (
        f'HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n'
        f'{headers}Content-Length: {len(content)}\r\n\r\n'
    ).encode() + content
