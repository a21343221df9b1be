"""Connections to one upstream: opened when needed, kept while idle.

A connection carries one request at a time. It is kept only after a complete
answer with nothing behind it, and closed well before the upstream would.
"""

import collections
import contextlib
import socket
import typing

import eventlet
from eventlet import hubs

from ivystep.core import errors, types
from ivystep.runtime import clock
from ivystep.traffic import http1

CONNECT_TIMEOUT_S = 0.6
# An upstream that names no idle time-out may use a short one.
DEFAULT_IDLE_S = 2.0
# A connection is dropped this long before the upstream's own time-out, which
# is given in whole seconds.
IDLE_MARGIN_S = 0.7
# A peer that has gone silent is noticed by keep-alive probes and by unsent
# bytes that are not acknowledged.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 3
UNACKNOWLEDGED_MS = 3000


def limit_silence(connection: socket.socket) -> None:
    """Have the kernel end a connection whose peer has gone silent.

    Args:
        connection: A connected TCP socket.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )


def receive(connection: typing.Any, size: int) -> bytes:
    """Wait for bytes; empty at an orderly end of the connection.

    The runtime's own ``recv`` reports a reset like an orderly end, which would
    make a broken answer without a length look complete.

    Args:
        connection: A socket of the runtime.
        size: The most bytes to return.

    Raises:
        OSError: The connection was reset or is broken.
    """
    while True:
        try:
            return connection.fd.recv(size)
        except BlockingIOError:
            hubs.trampoline(connection, read=True)


class UpstreamConnection:
    """One connection to an upstream.

    Args:
        connection: The connected socket.
        peer: Name of the upstream for errors.
    """

    def __init__(self, connection: typing.Any, peer: str) -> None:
        self.peer = peer
        self.usable_until = 0.0
        self._socket = connection
        self._reader = http1.AnswerReader()

    def send(self, encoded: bytes) -> None:
        """Send a whole request.

        Raises:
            errors.LinkError: The connection broke; the request may run.
        """
        try:
            self._socket.sendall(encoded)
        except OSError as error:
            raise errors.LinkError(
                str(error), step='send', peer=self.peer
            ) from error

    def next_event(self) -> http1.AnswerEvent:
        """Wait for the next event of an answer.

        Raises:
            errors.LinkError: The connection ended before the answer did, or
                carried bytes that are no answer.
        """
        event = self._reader.next_event()
        while event is None:
            try:
                received = receive(self._socket, http1.READ_BYTES)
            except OSError as error:
                raise errors.LinkError(
                    str(error), step='read answer', peer=self.peer
                ) from error
            if received:
                self._reader.feed(received)
            else:
                self._reader.feed_eof()
            event = self._reader.next_event()
        return event

    def ready_event(self) -> http1.AnswerEvent | None:
        """Return an event that has arrived already, or None."""
        return self._reader.next_event()

    @property
    def is_clean(self) -> bool:
        """Whether the last answer is complete and nothing follows it."""
        return self._reader.is_clean and self._reader.next_event() is None

    def is_usable(self) -> bool:
        """Return whether an idle connection can take a request."""
        if clock.now() >= self.usable_until:
            return False
        try:
            # The plain socket below the green one reports instead of waiting.
            self._socket.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The end of the connection, or bytes that belong to no request.
        return False

    def close(self) -> None:
        """Close the connection; safe to call twice."""
        with contextlib.suppress(OSError):
            self._socket.close()


class UpstreamConnections:
    """The connections of this host to one upstream.

    Args:
        address: IP address and port.
        name: Id of the upstream for errors.

    Attributes:
        opened: Connections opened so far.
    """

    def __init__(self, address: tuple[str, int], name: str) -> None:
        self.address = address
        self.opened = 0
        self._name = name
        self._idle: collections.deque[UpstreamConnection] = collections.deque()
        self._is_closed = False

    def acquire(self) -> UpstreamConnection:
        """Return an idle connection, or open one.

        Raises:
            errors.LinkError: The upstream cannot be reached.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return self._open()

    def release(
        self, connection: UpstreamConnection, idle_s: float | None
    ) -> None:
        """Keep a connection after a complete answer.

        Args:
            connection: The connection.
            idle_s: Time after which the upstream closes it when idle; None
                if it named none.
        """
        kept_s = DEFAULT_IDLE_S if idle_s is None else idle_s
        connection.usable_until = clock.now() + kept_s - IDLE_MARGIN_S
        if self._is_closed or kept_s <= IDLE_MARGIN_S:
            connection.close()
            return
        self._idle.append(connection)

    def drop_expired(self) -> None:
        """Close idle connections that are too old to be used."""
        kept = collections.deque()
        now = clock.now()
        for connection in self._idle:
            if connection.usable_until > now:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close idle connections and keep none from now on."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    def _open(self) -> UpstreamConnection:
        self.opened += 1
        connection = None
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT_S, TimeoutError):
                connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                connection.connect(self.address)
            limit_silence(connection)
        except OSError as error:
            if connection is not None:
                connection.close()
            raise errors.LinkError(
                str(error) or 'timed out', step='connect', peer=self._name
            ) from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        return UpstreamConnection(connection, self._name)


def lost(error: errors.LinkError, *, has_sent: bool) -> errors.RequestError:
    """Return the failure of an attempt whose connection failed.

    Args:
        error: What happened.
        has_sent: Whether any byte of the request may have left.
    """
    ran = (
        types.ExecutionStatus.UNKNOWN if has_sent else types.ExecutionStatus.NO
    )
    return errors.RequestError(
        'upstream_lost' if has_sent else 'upstream_unavailable',
        error.reason,
        status=502 if has_sent else 503,
        ran=ran,
        step=error.step,
        peer=error.peer,
    )
