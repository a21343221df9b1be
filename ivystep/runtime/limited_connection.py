"""Connections of ``wsgi.server`` that give way to new ones at a limit."""

import contextlib
import math
import socket
import typing

from eventlet import wsgi

from ivystep.runtime import clock


class LimitedConnection(wsgi.HttpProtocol):
    """A connection that implements ``connection_limit.Connection``.

    The state of ``wsgi.server`` is idle until a request has begun; which part
    of it that is, a subclass decides.

    Args:
        conn_state: See ``wsgi.HttpProtocol``.
        server: See ``wsgi.HttpProtocol``.
        open_connections: Set of the open connections, to which it belongs
            while it is open.

    Attributes:
        opened_at: Time at which its task began.
        idle_since: Time at which the last wait for a request began.
        receiving_since: Time at which the request began that is being received.
        is_new: Whether no request has arrived on it in full.
        is_lingering: Whether its last answer has been sent.
        is_last_answer: Whether it closes after its next request.
    """

    def __init__(
        self,
        conn_state: typing.Any,
        server: typing.Any,
        open_connections: set[typing.Any],
    ) -> None:
        self.opened_at = clock.now()
        self.idle_since = self.opened_at
        self.receiving_since = math.inf
        self.is_new = True
        self.is_lingering = False
        self.is_last_answer = False
        self._open_connections = open_connections
        self._has_head = False
        super().__init__(conn_state, server)

    def setup(self) -> None:
        """Set up the connection; it counts as open from now on."""
        super().setup()
        self._open_connections.add(self)

    def handle_one_request(self) -> None:
        """Wait for a request and serve it."""
        self.idle_since = clock.now()
        self.receiving_since = math.inf
        self._has_head = False
        super().handle_one_request()

    def parse_request(self) -> bool:
        """Read the head of a request; see ``wsgi.HttpProtocol``."""
        is_parsed = super().parse_request()
        if self.is_last_answer:
            self.close_connection = True
        return bool(is_parsed)

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment of a request whose head has arrived."""
        environ = super().get_environ()
        self._has_head = True
        self.receiving_since = min(self.receiving_since, clock.now())
        self.is_new = False
        return environ

    def finish(self) -> None:
        """Close the connection."""
        try:
            super().finish()
        finally:
            self._open_connections.discard(self)

    def is_idle_for(self, seconds: float) -> bool:
        """Return whether the connection has been idle for a time.

        Args:
            seconds: The time.
        """
        is_idle = self.conn_state[2] == wsgi.STATE_IDLE
        return is_idle and clock.now() >= self.idle_since + seconds

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived unread."""
        if self.conn_state[2] == wsgi.STATE_IDLE and not self._has_unread():
            self._shut_down()

    def is_receiving_for(self, seconds: float) -> bool:
        """Return whether a request has been incomplete for a time.

        Args:
            seconds: The time.
        """
        is_late = clock.now() >= self.receiving_since + seconds
        return is_late and self._is_receiving()

    def refuse_for_room(self) -> None:
        """Close the connection, on which no whole request has arrived."""
        self._shut_down()

    def stop_lingering(self) -> None:
        """Close the connection, as its last answer has been sent."""
        self._shut_down()

    def close_after_next_answer(self) -> None:
        """Close the connection after its next request."""
        self.is_last_answer = True

    def _is_receiving(self) -> bool:
        if self.conn_state[2] != wsgi.STATE_REQUEST:
            return False
        return not self._has_head or has_unread_body(self.environ)

    def _has_unread(self) -> bool:
        try:
            return bool(self._peek())
        except OSError:
            return False

    def _peek(self) -> bytes:
        """Return a received byte without consuming it; empty at the end.

        Raises:
            OSError: Nothing has arrived, or the connection is broken.
        """
        return self.connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)

    def _shut_down(self) -> None:
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)


def has_unread_body(environ: dict[str, typing.Any]) -> bool:
    """Return whether a part of the body of a request has not been read.

    Args:
        environ: The WSGI environment of the request.
    """
    body = environ['wsgi.input']
    if body.chunked_input:
        return body.chunk_length != 0
    return body.position < (body.content_length or 0)
