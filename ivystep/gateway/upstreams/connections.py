"""Pool of connections to one upstream, opened on demand and kept alive.

A connection carries one request at a time. It is reused only if the answer was
complete and no bytes follow it, and is closed before the upstream's time-out.
"""

import collections
import contextlib
import enum
import errno
import os
import socket
import typing
from collections.abc import Iterable

import eventlet

from ivystep.core import errors, types
from ivystep.data_centres import round_trips
from ivystep.runtime import clock, peer_liveness, sockets, turns
from ivystep.traffic import calls, http1, peer_bounds

CONNECT_TIMEOUT_S = 0.6
# For a connection that only finds out whether an upstream has ended.
PROBE_TIMEOUT_S = 0.2
SILENT_PROBES = 2
# For upstreams that announce no idle time-out; theirs may be short.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# A connection is closed this long before the upstream's idle time-out, which
# is announced in whole seconds.
IDLE_MARGIN_S = 0.7


class Reachability(enum.Enum):
    """What a connection to an upstream's address has found."""

    OPEN = 'open'
    REUSED = 'reused'
    REFUSED = 'refused'
    SILENT = 'silent'
    UNKNOWN = 'unknown'


# An upstream's address is reused only after it has ended.
ENDED = (Reachability.REFUSED, Reachability.REUSED)


class UpstreamConnection:
    """One connection to an upstream.

    Args:
        connection: The connected socket.
        peer: Name of the upstream for errors.
        bounds: Bounds of what the upstream may send.

    Attributes:
        bounds: Bounds of what the upstream may send.
        names_requests: Whether an answer on it has named its request.
    """

    def __init__(
        self,
        connection: typing.Any,
        peer: str,
        bounds: peer_bounds.PeerBounds = peer_bounds.DEFAULT_BOUNDS,
    ) -> None:
        self.peer = peer
        self.bounds = bounds
        self.names_requests = False
        self.usable_until = 0.0
        self._socket = connection
        self._reader = http1.AnswerReader(bounds, peer)
        self._unparsed = memoryview(b'')
        self._is_peer_gone = False
        self._liveness = peer_liveness.LivenessCheck(
            connection, self._on_peer_gone
        )

    def send(self, pieces: Iterable[calls.Body]) -> None:
        """Send a complete request.

        Args:
            pieces: Its bytes, which are written as they are.

        Raises:
            errors.LinkError: The connection failed; the request may still run.
        """
        self._liveness.before_send()
        try:
            for piece in pieces:
                self._socket.sendall(piece)
        except OSError as error:
            cause = _peer_gone_error() if self._is_peer_gone else error
            raise errors.LinkError(
                str(cause), step='send', peer=self.peer
            ) from cause

    def next_event(self) -> http1.AnswerEvent:
        """Wait for the next event of an answer.

        Raises:
            errors.LinkError: The connection closed before the answer was
                complete, or the answer is malformed.
        """
        event = self._reader.next_event()
        while event is None:
            self._reader.raise_if_failed()
            self._parse_more()
            event = self._reader.next_event()
        return event

    def buffered_event(self) -> http1.AnswerEvent | None:
        """Return an event that has already been received, or None."""
        return self._reader.next_event()

    @property
    def received_bytes(self) -> int:
        """Number of all bytes that the upstream has sent."""
        return self._reader.received_bytes

    @property
    def is_clean(self) -> bool:
        """Whether the last answer is complete and nothing follows it."""
        if self._unparsed:
            return False
        return self._reader.is_clean and self._reader.next_event() is None

    def is_usable(self) -> bool:
        """Return whether an idle connection can take a request."""
        if clock.now() >= self.usable_until:
            return False
        try:
            # The socket that eventlet wraps raises an error instead of waiting.
            self._socket.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The peer has closed the connection or sent unsolicited bytes.
        return False

    def close(self) -> None:
        """Close the connection; further calls have no effect."""
        self._liveness.stop()
        with contextlib.suppress(OSError):
            self._socket.close()

    def _parse_more(self) -> None:
        """Parse what has arrived until the turn is spent."""
        if self._unparsed:
            turns.give()
        else:
            self._unparsed = memoryview(self._receive())
        if not self._unparsed:
            self._reader.feed_eof()
        while self._unparsed:
            part = self._unparsed[: turns.PARSED_BYTES]
            self._unparsed = self._unparsed[turns.PARSED_BYTES :]
            self._reader.feed(part)
            if self._unparsed and turns.is_spent_after(0):
                return

    def _receive(self) -> bytes:
        try:
            received = turns.receive(self._socket, http1.READ_BYTES)
            if not received and self._is_peer_gone:
                raise _peer_gone_error()
        except OSError as error:
            raise errors.LinkError(
                str(error), step='read answer', peer=self.peer
            ) from error
        return received

    def _on_peer_gone(self) -> None:
        """Wake the task up that waits for the peer.

        It sees the end of the connection, which must not be taken for the end
        of an answer.
        """
        self._is_peer_gone = True
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)


def _peer_gone_error() -> TimeoutError:
    """Return the error that the kernel would raise for a peer that is gone."""
    return TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))


class UpstreamConnections:
    """The connection pool of this host for one upstream.

    Args:
        address: IP address and port.
        name: Id of the upstream for errors.
        bounds: Bounds of what the upstream may send.

    Attributes:
        is_reused: Whether the address is known to be another upstream's, so
            that this one has ended, whoever accepts connections there.
        opened: Number of connections that this host has tried to open.
        connect_time: Smallest time that a connection took lately.
    """

    def __init__(
        self,
        address: tuple[str, int],
        name: str,
        bounds: peer_bounds.PeerBounds = peer_bounds.DEFAULT_BOUNDS,
    ) -> None:
        self.address = address
        self._bounds = bounds
        self.is_reused = False
        self.opened = 0
        self.connect_time = round_trips.SmallestTime()
        self._name = name
        self._idle: collections.deque[UpstreamConnection] = collections.deque()
        self._is_closed = False

    def acquire(self) -> UpstreamConnection:
        """Return an idle connection, or open one.

        Raises:
            errors.LinkError: Connecting to the upstream failed.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return self._open()

    def has_ended(self) -> bool:
        """Return whether the upstream is known to have ended.

        An idle connection that is open is no sign of it. Without one, a
        connection is opened, unless the upstream has been removed. Another
        upstream at the address may accept it, so that does not prove that this
        one lives.
        """
        if self.is_reused:
            return True
        is_open = any(connection.is_usable() for connection in self._idle)
        if is_open or self._is_closed:
            return False
        return self.is_refused()

    def is_refused(self) -> bool:
        """Return whether the address refuses connections or is reused."""
        return self._probe() in ENDED

    def is_unreachable(self) -> bool:
        """Return whether the address refuses connections or answers nothing.

        Silence is believed after several tries, because a packet may be lost.
        """
        for _ in range(SILENT_PROBES):
            found = self._probe()
            if found is not Reachability.SILENT:
                return found in ENDED
        return True

    def release(
        self, connection: UpstreamConnection, idle_timeout_s: float | None
    ) -> None:
        """Return a connection to the pool after a complete answer.

        Args:
            connection: The connection.
            idle_timeout_s: Idle time-out that the upstream announced, or None.
        """
        kept_idle_s = (
            DEFAULT_IDLE_TIMEOUT_S if idle_timeout_s is None else idle_timeout_s
        )
        connection.usable_until = clock.now() + kept_idle_s - IDLE_MARGIN_S
        if self._is_closed or kept_idle_s <= IDLE_MARGIN_S:
            connection.close()
            return
        self._idle.append(connection)

    def drop_expired(self) -> None:
        """Close idle connections that are near the upstream's time-out."""
        kept = collections.deque()
        now = clock.now()
        for connection in self._idle:
            if connection.usable_until > now:
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close idle connections and stop keeping released ones."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    def _probe(self) -> Reachability:
        """Try to connect; an accepted connection is kept for a request."""
        if self.is_reused:
            return Reachability.REUSED
        try:
            connection = self._open(PROBE_TIMEOUT_S)
        except errors.LinkError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Reachability.REFUSED
            if isinstance(error.__cause__, TimeoutError):
                return Reachability.SILENT
            return Reachability.UNKNOWN
        self.release(connection, None)
        return Reachability.OPEN

    def _open(self, timeout_s: float = CONNECT_TIMEOUT_S) -> UpstreamConnection:
        self.opened += 1
        connection = None
        started = clock.now()
        try:
            with eventlet.Timeout(timeout_s, TimeoutError):
                connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                connection.connect(self.address)
            self.connect_time.record(clock.now() - started, clock.now())
            sockets.set_tcp_options(connection)
            # An upstream must not receive a request that was given up, also
            # if this process ends.
            sockets.reset_on_close(connection)
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
        return UpstreamConnection(connection, self._name, self._bounds)


def to_request_error(
    error: errors.LinkError, *, has_sent: bool
) -> errors.RequestError:
    """Return the request error for a failed connection.

    Args:
        error: Why the connection failed.
        has_sent: Whether any byte of the request may have been sent.
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
