"""Serves callers' HTTP/1.1 connections with time limits and strict parsing.

Overrides eventlet's HTTP protocol where it would accept an ambiguous request,
wait without limit, close a connection so that the kernel discards the last
answer, or buffer small chunks of a stream.
"""

import contextlib
import functools
import http
import re
import socket
import typing
from collections.abc import Callable
from types import MappingProxyType

import eventlet
from eventlet import hubs, wsgi

from ivystep.core import errors, ids, units
from ivystep.entry import answers
from ivystep.runtime import (
    clock,
    connection_limit,
    limited_connection,
    listeners,
    request_input,
    turns,
)

ENVIRON_KEY = 'ivystep.connection'
# A closing connection still reads from its caller up to these limits, because
# the kernel discards the answer if a socket is closed with unread bytes.
LINGER_S = 2.0
LINGER_BYTES = 16 * units.MIB
READ_BYTES = 64 * units.KIB

# A field name, a colon and a value without control characters. It excludes
# folded lines, spaces before the colon and bare carriage returns, which
# proxies and servers are known to parse differently (request smuggling).
HEADER_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?\n"
)
BLANK_LINES = frozenset((b'', b'\r\n', b'\n'))
CONTENT_LENGTH = re.compile(r'[0-9]{1,15}')
SINGLE_HEADERS = (
    'Authorization',
    'Content-Length',
    'Content-Type',
    'Host',
    'Idempotency-Key',
    'Transfer-Encoding',
    'X-Request-Timeout-Ms',
)
CODE_BY_STATUS = MappingProxyType(
    {
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: 'headers_too_long',
        http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED: 'invalid_http_version',
    }
)


class ServerState:
    """State shared by all connections of one listener.

    Args:
        read_timeout_s: Time limit for the head of a request, in seconds.

    Attributes:
        is_closing: Whether each connection closes after its current answer.
        open_connections: The open connections.
    """

    def __init__(self, read_timeout_s: float) -> None:
        self.read_timeout_s = read_timeout_s
        self.is_closing = False
        self.open_connections: set[CallerConnection] = set()

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open."""
        return not self.open_connections

    def mark_busy_connections(self) -> None:
        """Mark connections whose next request has arrived as busy.

        Must be called just before the server is killed, which closes idle
        connections without checking whether a request has arrived.
        """
        for connection in self.open_connections:
            connection.mark_busy_if_request_arrived()


def serve(
    listener: listeners.Listener,
    application: Callable[..., typing.Any],
    server_state: ServerState,
    max_connections: int,
) -> None:
    """Serve callers until the task is killed, then finish the open requests.

    Args:
        listener: The listening socket.
        application: WSGI application.
        server_state: State shared by all connections.
        max_connections: Connections served at once; some of them are closed
            for further ones, see ``connection_limit``.
    """
    wsgi.server(
        connection_limit.LimitedListener(
            listener, max_connections, server_state.open_connections
        ),
        application,
        max_size=max_connections + 1,
        protocol=functools.partial(CallerConnection, server_state=server_state),
        socket_timeout=server_state.read_timeout_s,
        log_output=False,
        debug=False,
    )


class _MalformedHeadError(Exception):
    """A header line is malformed."""


class _HeadReader:
    """Reads header lines and checks each of them."""

    def __init__(self, reader: typing.Any) -> None:
        self._reader = reader

    def readline(self, size: int = -1) -> bytes:
        line = self._reader.readline(size)
        if line not in BLANK_LINES and not HEADER_LINE.fullmatch(line):
            raise _MalformedHeadError
        return line


class CallerConnection(limited_connection.LimitedConnection):
    """Connection of one caller, created by ``wsgi.server``.

    Args:
        conn_state: See ``wsgi.HttpProtocol``.
        server: See ``wsgi.HttpProtocol``.
        server_state: State shared by all connections.
    """

    # Sends each chunk of a stream at once instead of buffering 4 KiB.
    minimum_chunk_size = 1

    def __init__(
        self,
        conn_state: typing.Any,
        server: typing.Any,
        server_state: ServerState,
    ) -> None:
        self._server_state = server_state
        self._head_deadline = 0.0
        self._hub_listener: typing.Any = None
        self._on_gone: typing.Any = None
        super().__init__(conn_state, server, server_state.open_connections)

    def setup(self) -> None:
        """Set up the connection; small chunks are sent without delay."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def parse_request(self) -> bool:
        """Read and check the head of a request.

        Returns:
            False if the request was refused and the answer has been sent.
        """
        self.rfile = _HeadReader(self.rfile)
        try:
            with eventlet.Timeout(self._head_time_left(), TimeoutError):
                is_parsed = super().parse_request()
        except (wsgi.HeaderLineTooLong, wsgi.HeadersTooLarge):
            return self._refuse(
                431, 'headers_too_long', 'The headers are too long.'
            )
        except _MalformedHeadError:
            return self._refuse(400, 'invalid_header', 'A header is malformed.')
        except TimeoutError:
            return self._refuse_slow()
        return is_parsed and self._check_framing()

    def send_error(
        self,
        code: int,
        message: str | None = None,
        explain: str | None = None,
    ) -> None:
        """Answer a request whose head cannot be parsed.

        The message of the standard library is not used, because it echoes
        what the caller sent.
        """
        stable_code = CODE_BY_STATUS.get(code, 'invalid_request')
        phrase = http.HTTPStatus(code).phrase
        self._refuse(code, stable_code, f'The request is invalid: {phrase}.')

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment with this connection in it."""
        environ = request_input.bound_input(super().get_environ())
        return {**environ, ENVIRON_KEY: self}

    def close_after_answer(self) -> None:
        """Close the connection after the current answer.

        Must be called before the answer starts, so that its headers announce
        the close.
        """
        self.close_connection = True

    @property
    def is_closing(self) -> bool:
        """Whether connections close after their current answer."""
        return self._server_state.is_closing

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Watch for a disconnect while nothing is read from the connection.

        A caller that closes only its sending side counts as disconnected,
        because the two cases cannot be distinguished.

        Args:
            on_gone: Called on a disconnect, at most once; runs on the hub and
                must not block.
        """
        hub = hubs.get_hub()
        self._on_gone = on_gone
        self._hub_listener = hub.add(
            hub.READ,
            self.connection.fileno(),
            lambda _: self.poll(),
            lambda _: None,
            lambda: None,
        )

    def poll(self) -> None:
        """Report a disconnect that has arrived; has no effect if not watched.

        Received bytes belong to a pipelined request. A disconnect cannot be
        detected until they are read, so the watch ends too.
        """
        if self._hub_listener is None:
            return
        try:
            received = self._peek()
        except BlockingIOError:
            return
        except OSError:
            received = b''
        self.unwatch()
        if not received:
            self._on_gone()

    def unwatch(self) -> None:
        """Stop watching; does nothing if the watch has ended."""
        if self._hub_listener is not None:
            hubs.get_hub().remove(self._hub_listener)
            self._hub_listener = None

    def finish(self) -> None:
        """Close the connection after the last answer was delivered."""
        try:
            self._linger()
        except OSError:
            # The caller has disconnected, so nothing is left to deliver.
            self.close_connection = True
        finally:
            super().finish()

    def mark_busy_if_request_arrived(self) -> None:
        """Mark as busy if the first bytes of a request have arrived."""
        if self.conn_state[2] != wsgi.STATE_IDLE:
            return
        with contextlib.suppress(OSError):
            if self._peek():
                self.conn_state[2] = wsgi.STATE_REQUEST

    def _read_request_line(self) -> bytes:
        """Wait for a request; return its first line, empty if none arrives."""
        try:
            # From the first byte of a request on, the connection is not idle:
            # the request must be answered even if the listener is closed now.
            is_ended = not self._wait_for_bytes()
        except (OSError, ValueError):
            return b''
        if is_ended:
            return b''
        self.conn_state[2] = wsgi.STATE_REQUEST
        self.receiving_since = clock.now()
        # Many requests can be read at once.
        turns.count(0)
        turns.give()
        self._head_deadline = clock.now() + self._server_state.read_timeout_s
        limit = self.server.url_length_limit
        try:
            with eventlet.Timeout(self._head_time_left(), TimeoutError):
                line = self.rfile.readline(limit)
        except TimeoutError:
            self._refuse_slow()
            return b''
        if len(line) >= limit:
            self._refuse(414, 'path_too_long', 'The request line is too long.')
            return b''
        return line

    def _wait_for_bytes(self) -> bytes:
        """Return received bytes without consuming them; empty at the end.

        Raises:
            OSError: Nothing arrived in time, or the connection is broken.
        """
        try:
            return self.rfile.peek(1)
        except TimeoutError:
            # The hub runs due timers before it looks for received bytes, so a
            # request that arrived in time may still be unread if this process
            # was paused or busy.
            self._peek()
        # A file object cannot be read again after a time-out.
        self.rfile.close()
        self.rfile = self.connection.makefile('rb', self.rbufsize)
        return self.rfile.peek(1)

    def _head_time_left(self) -> float:
        return max(self._head_deadline - clock.now(), 0)

    def _check_framing(self) -> bool:
        """Check that all servers and proxies agree on where the body ends."""
        for name in SINGLE_HEADERS:
            if len(self.headers.get_all(name, ())) > 1:
                return self._refuse(
                    400, 'duplicate_header', f'{name} is sent more than once.'
                )
        length = self.headers.get('Content-Length')
        encoding = self.headers.get('Transfer-Encoding')
        if length is not None and not CONTENT_LENGTH.fullmatch(length):
            return self._refuse(
                400, 'invalid_header', 'Content-Length is not a valid number.'
            )
        if encoding is not None and (
            length is not None
            or encoding.lower() != 'chunked'
            or self.request_version != 'HTTP/1.1'
        ):
            return self._refuse(
                400, 'invalid_header', 'The length of the body is ambiguous.'
            )
        if self._server_state.is_closing:
            self.close_connection = True
        return True

    def _refuse_slow(self) -> bool:
        return self._refuse(
            408, 'request_timeout', 'The request head did not arrive in time.'
        )

    def _refuse(self, status: int, code: str, reason: str) -> bool:
        """Answer with an error without calling the application."""
        error = errors.RefusedError(code, reason, status=status)
        headers, body = answers.error_answer(error, ids.new_id('req'))
        headers.append(('Connection', 'close'))
        lines = [f'HTTP/1.1 {answers.status_line(status)}']
        lines.extend(f'{name}: {header}' for name, header in headers)
        head = '\r\n'.join((*lines, '', ''))
        self.wfile.write(head.encode('latin-1') + body)
        self.close_connection = True
        return False

    def _linger(self) -> None:
        self.wfile.flush()
        self.connection.shutdown(socket.SHUT_WR)
        self.is_lingering = True
        total = 0
        with eventlet.Timeout(LINGER_S, exception=False):
            while total < LINGER_BYTES:
                received = len(self.connection.recv(READ_BYTES))
                if not received:
                    return
                total += received
