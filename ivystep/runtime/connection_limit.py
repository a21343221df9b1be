"""Bounds the connections of callers, and closes some of them for new ones.

A connection that is idle serves nobody now, and HTTP/1.1 allows either side to
close it; a new one has a request to come. So the longest idle ones go first.
If there are none, a request that is still being received is refused, the one
that has taken longest: an ordinary request arrives within a moment, and
connections that never send a whole one would keep everybody out. A request
that has arrived is never refused for a new connection. While all are in use,
no more are accepted: they wait in the kernel, which costs no descriptor, and
are served in order. So that callers who send one request after the other do not
keep others out, the connections that are open for longest close after their
answer then, which tells their callers to open another one. A user of the limit
may end further ones, such as those whose callers take no answer.
"""

import heapq
import socket
import typing
from collections.abc import Callable, Collection, Iterable

import eventlet

from ivystep.runtime import clock, listener_events, listeners

# Time in which the first request of a connection, or the next one, is usually
# under way. A request that crosses the close is lost for its caller.
MIN_IDLE_S = 1.0
# Time in which a request usually arrives in full, and the first one of a
# connection begins. Callers that are slower are refused only at the limit.
MIN_RECEIVING_S = 0.25
# One in as many connections is closed at once, which bounds the searches.
CLOSED_PART = 32
POLL_S = 0.01
REPORT_S = 10.0


class Connection(typing.Protocol):
    """The part of a caller's connection that the limit uses."""

    idle_since: float
    receiving_since: float
    opened_at: float
    is_new: bool
    is_lingering: bool
    is_last_answer: bool

    def is_idle_for(self, seconds: float) -> bool:
        """Return whether it has been idle for a time."""

    def close_if_idle(self) -> None:
        """Close it if no byte of a request has arrived."""

    def is_receiving_for(self, seconds: float) -> bool:
        """Return whether a request has been incomplete for a time."""

    def refuse_for_room(self) -> None:
        """Refuse the request that is being received, or close it unanswered."""

    def stop_lingering(self) -> None:
        """Close it, as its last answer has been sent."""

    def close_after_next_answer(self) -> None:
        """Close it after the next answer that begins."""


def _end_none(_: int) -> None:
    """End no further connection."""


class ConnectionLimit:
    """The limit on the connections of one listener.

    Args:
        max_connections: Connections that may be open at once.
        listener: The listener.
        end_more: Called with a number if no connection is idle and no request
            incomplete; ends at most as many of the others.

    Attributes:
        refused: Number of incomplete requests refused for new connections.
    """

    def __init__(
        self,
        max_connections: int,
        listener: listeners.Listener,
        end_more: Callable[[int], None] = _end_none,
    ) -> None:
        self._end_more = end_more
        self._max_connections = max_connections
        self._listener = listener
        self._reported_at = -REPORT_S
        self.refused = 0

    def wait_for_room(self, open_connections: Collection[Connection]) -> None:
        """Wait until one more connection may be accepted.

        Args:
            open_connections: The open connections, as they change.
        """
        while len(open_connections) >= self._max_connections:
            if not self._listener.is_open:
                return
            idle = list(filter(_is_idle, open_connections))
            incomplete = [
                connection
                for connection in open_connections
                if connection.is_receiving_for(MIN_RECEIVING_S)
            ]
            self._report(len(open_connections), len(idle), len(incomplete))
            number = self._max_connections // CLOSED_PART + 1
            for connection in heapq.nsmallest(number, idle, key=_idle_since):
                connection.close_if_idle()
            if not idle:
                self._refuse(
                    heapq.nsmallest(number, incomplete, key=_receiving_since)
                )
            if not (idle or incomplete):
                _end_kept(open_connections, number)
                self._end_more(number)
            for connection in list(open_connections):
                if connection.is_lingering:
                    connection.stop_lingering()
            clock.sleep(POLL_S)

    def _refuse(self, incomplete: Iterable[Connection]) -> None:
        for connection in incomplete:
            self.refused += 1
            connection.refuse_for_room()

    def _report(self, connections: int, idle: int, incomplete: int) -> None:
        if clock.now() < self._reported_at + REPORT_S:
            return
        self._reported_at = clock.now()
        self._listener.report(
            listener_events.ConnectionsLimited(
                self._listener.purpose,
                connections,
                idle,
                incomplete,
                self.refused,
            )
        )


def _end_kept(open_connections: Iterable[Connection], number: int) -> None:
    """Close those open for longest after their answers, a number of them."""
    kept = [each for each in open_connections if not each.is_last_answer]
    for connection in heapq.nsmallest(number, kept, key=_opened_at):
        connection.close_after_next_answer()


def _is_idle(connection: Connection) -> bool:
    return connection.is_idle_for(
        MIN_RECEIVING_S if connection.is_new else MIN_IDLE_S
    )


def _idle_since(connection: Connection) -> float:
    return connection.idle_since


def _receiving_since(connection: Connection) -> float:
    return connection.receiving_since


def _opened_at(connection: Connection) -> float:
    return connection.opened_at


class LimitedListener:
    """Makes room for a connection before it accepts one.

    It takes the place of a listener of ``wsgi.server``, whose own limit would
    wait for a connection to end.

    Args:
        listener: The listener.
        max_connections: Connections that may be open at once.
        open_connections: The open connections, as they change.
    """

    def __init__(
        self,
        listener: listeners.Listener,
        max_connections: int,
        open_connections: Collection[Connection],
    ) -> None:
        self._listener = listener
        self._limit = ConnectionLimit(max_connections, listener)
        self._open_connections = open_connections

    @property
    def family(self) -> socket.AddressFamily:
        """The address family, as ``wsgi.server`` reads it."""
        return self._listener.family

    def getsockname(self) -> typing.Any:
        """Return the address; see ``listeners.Listener``."""
        return self._listener.getsockname()

    def accept(self) -> tuple[typing.Any, typing.Any]:
        """Return the next connection and the address of its peer.

        Raises:
            listeners.ListenerClosedError: The listener was closed.
        """
        # The task of the last connection adds it as it begins.
        eventlet.sleep(0)
        self._limit.wait_for_room(self._open_connections)
        return self._listener.accept()

    def close(self) -> None:
        """Close the listener."""
        self._listener.close()
