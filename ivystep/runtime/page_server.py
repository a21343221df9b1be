"""Serves the small HTTP pages of a process, such as readiness and metrics.

Any program on the network can connect to them. So the number of connections
is bounded, one that says nothing is closed, and malformed requests cost at
most one log line in a period. Nothing is written to standard error, which
would block the process while its reader is slow.
"""

import dataclasses
import functools
import itertools
import socket
import typing
from collections.abc import Callable

import eventlet
from eventlet import greenio, wsgi

from ivystep.runtime import (
    clock,
    limited_connection,
    listener_events,
    listeners,
    request_input,
    turns,
)

MAX_CONNECTIONS = 16
# Time for a request and its answer, and for a connection without a request.
REQUEST_TIMEOUT_S = 4.0
# Shortest time between two log lines on requests that failed.
FAILURE_REPORT_S = 10.0
# Time in which a request arrives after its connection.
ARRIVAL_S = 0.05
POLL_S = 0.01

Application = Callable[..., typing.Any]


class PageConnection(limited_connection.LimitedConnection):
    """A connection to a page server.

    Args:
        conn_state: See ``wsgi.HttpProtocol``.
        server: See ``wsgi.HttpProtocol``.
        on_failure: Called with the peer's address and an error.
        request_timeout_s: Time for a request and its answer; None for no limit.
        open_connections: Set to which it belongs while it is open.
    """

    def __init__(
        self,
        conn_state: typing.Any,
        server: typing.Any,
        on_failure: Callable[[str, str], None],
        request_timeout_s: float | None,
        open_connections: set[typing.Any] | None = None,
    ) -> None:
        self._on_failure = on_failure
        self._request_timeout_s = request_timeout_s
        opened = set() if open_connections is None else open_connections
        super().__init__(conn_state, server, opened)

    def handle_one_request(self) -> None:
        """Serve one request within its time."""
        with eventlet.Timeout(self._request_timeout_s, exception=False):
            super().handle_one_request()
            return
        self.close_connection = True

    def parse_request(self) -> bool:
        """Read the head; until it is complete the connection counts as idle."""
        self.conn_state[2] = wsgi.STATE_IDLE
        is_parsed = super().parse_request()
        self.conn_state[2] = wsgi.STATE_REQUEST
        # Many requests can be read at once.
        turns.count(0)
        turns.give()
        return is_parsed

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment, in which the body is bounded."""
        return request_input.bound_input(super().get_environ())

    def log_error(self, text: str, *values: typing.Any) -> None:
        """Report a malformed request without its bytes."""
        status = values[0] if values else ''
        self._on_failure(self.client_address[0], f'malformed, status {status}')

    def log_message(self, text: str, *values: typing.Any) -> None:
        """Write nothing to standard error."""


class FailureReports:
    """Reports requests that failed, at most once in a period.

    Args:
        listener: The listener of their connections.
    """

    def __init__(self, listener: listeners.Listener) -> None:
        self._listener = listener
        self._failures = 0
        self._reported_at = -FAILURE_REPORT_S

    def add(self, peer: str, error: str) -> None:
        """Count a failure.

        Args:
            peer: IP address of the peer.
            error: The error.
        """
        self._failures += 1
        if clock.now() < self._reported_at + FAILURE_REPORT_S:
            return
        self._listener.report(
            listener_events.PageRequestsFailed(
                self._listener.purpose, peer, error, self._failures
            )
        )
        self._failures = 0
        self._reported_at = clock.now()


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenConnection:
    """A connection and its task.

    Attributes:
        state: Address, socket and state, which ``PageConnection`` changes.
        task: The task that serves it.
        opened_at: Time at which it was accepted.
    """

    state: list[typing.Any]
    task: typing.Any
    opened_at: float

    def is_idle(self) -> bool:
        """Return whether no request has arrived, neither in full nor unread."""
        return (
            self.state[2] == wsgi.STATE_IDLE
            and clock.now() >= self.opened_at + ARRIVAL_S
            and not self._has_unread()
        )

    def _has_unread(self) -> bool:
        try:
            return bool(
                self.state[1].fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        except OSError:
            return False


class PageServer:
    """Serves a WSGI application on a listener.

    If all connections are in use, the oldest one whose request is not complete
    is closed for a new one, so silent connections keep nobody out.

    Args:
        listener: The listener.
        application: WSGI application.
        max_connections: Connections served at once.
        request_timeout_s: Time for a request and its answer; None for no limit.
        socket_timeout_s: Longest wait for bytes from or to the peer.
    """

    def __init__(
        self,
        listener: listeners.Listener,
        application: Application,
        max_connections: int = MAX_CONNECTIONS,
        request_timeout_s: float | None = REQUEST_TIMEOUT_S,
        socket_timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> None:
        self._listener = listener
        self._application = application
        self._max_connections = max_connections
        self._socket_timeout_s = socket_timeout_s
        self._numbers = itertools.count()
        self._open_by_number: dict[int, _OpenConnection] = {}
        self._failures = FailureReports(listener)
        self._server = wsgi.Server(
            listener,
            listener.getsockname(),
            self._answer,
            protocol=functools.partial(
                PageConnection,
                on_failure=self._failures.add,
                request_timeout_s=request_timeout_s,
            ),
            log_output=False,
            debug=False,
            socket_timeout=socket_timeout_s,
        )

    def run(self) -> None:
        """Serve until the listener is closed."""
        while True:
            try:
                accepted, address = self._listener.accept()
            except listeners.ListenerClosedError:
                return
            self._make_room()
            accepted.settimeout(self._socket_timeout_s)
            number = next(self._numbers)
            state = [address, accepted, wsgi.STATE_IDLE]
            self._open_by_number[number] = _OpenConnection(
                state,
                eventlet.spawn(self._serve, number, state),
                clock.now(),
            )

    def _make_room(self) -> None:
        while len(self._open_by_number) >= self._max_connections:
            idle = (
                (number, connection)
                for number, connection in self._open_by_number.items()
                if connection.is_idle()
            )
            number, oldest = next(idle, (None, None))
            if oldest is None:
                clock.sleep(POLL_S)
            else:
                # Without the shutdown, the task could wait to send as it ends.
                greenio.shutdown_safe(oldest.state[1])
                oldest.task.kill()
                self._close(number, oldest.state[1])

    def _serve(self, number: int, state: list[typing.Any]) -> None:
        try:
            self._server.process_request(state)
        except Exception as error:
            # The text of an error can contain what the peer has sent.
            self._failures.add(state[0][0], type(error).__name__)
        finally:
            self._close(number, state[1])

    def _close(self, number: int, connection: typing.Any) -> None:
        # A task that was ended before its start has closed nothing.
        self._open_by_number.pop(number, None)
        greenio.shutdown_safe(connection)
        connection.close()

    def _answer(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> typing.Any:
        try:
            return self._application(environ, start_response)
        except Exception as error:
            self._failures.add(environ['REMOTE_ADDR'], repr(error))
            raise
