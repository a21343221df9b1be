"""Bounds the connections of callers, and closes idle ones for new ones.

A connection that is idle serves nobody now, and HTTP/1.1 allows either side to
close it; a new one has a request to come. So the longest idle ones go first.
While all are in use, no more are accepted: they wait in the kernel, which
costs no descriptor, and are served in order.
"""

import heapq
import typing
from collections.abc import Collection

from ivystep.runtime import clock, listener_events, listeners

# Time in which the first request of a connection, or the next one, is usually
# under way. A request that crosses the close is lost for its caller.
MIN_IDLE_S = 1.0
# One in as many connections is closed at once, which bounds the searches.
CLOSED_PART = 32
POLL_S = 0.01
REPORT_S = 10.0


class Connection(typing.Protocol):
    """The part of a caller's connection that the limit uses."""

    idle_since: float

    def is_idle_for(self, seconds: float) -> bool:
        """Return whether it has been idle for a time."""

    def close_if_idle(self) -> None:
        """Close it if no byte of a request has arrived."""


class ConnectionLimit:
    """The limit on the connections of one listener.

    Args:
        max_connections: Connections that may be open at once.
        listener: The listener.
    """

    def __init__(
        self, max_connections: int, listener: listeners.Listener
    ) -> None:
        self._max_connections = max_connections
        self._listener = listener
        self._reported_at = -REPORT_S

    def wait_for_room(self, open_connections: Collection[Connection]) -> None:
        """Wait until one more connection may be accepted.

        Args:
            open_connections: The open connections, as they change.
        """
        while len(open_connections) >= self._max_connections:
            if not self._listener.is_open:
                return
            idle = [
                connection
                for connection in open_connections
                if connection.is_idle_for(MIN_IDLE_S)
            ]
            self._report(len(open_connections), len(idle))
            number = self._max_connections // CLOSED_PART + 1
            for connection in heapq.nsmallest(number, idle, key=_idle_since):
                connection.close_if_idle()
            clock.sleep(POLL_S)

    def _report(self, connections: int, idle: int) -> None:
        if clock.now() < self._reported_at + REPORT_S:
            return
        self._reported_at = clock.now()
        self._listener.report(
            listener_events.ConnectionsLimited(
                self._listener.purpose, connections, idle
            )
        )


def _idle_since(connection: Connection) -> float:
    return connection.idle_since
