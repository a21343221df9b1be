"""Bounds what is read and discarded in search of a request's own answer."""

from ivystep.gateway.upstreams import connections
from ivystep.traffic import peer_bounds


class OwnAnswerSearch:
    """The search for one request's answer on one connection.

    Args:
        connection: The connection, on which the request was sent.
    """

    def __init__(self, connection: connections.UpstreamConnection) -> None:
        self._connection = connection
        self._received_before = connection.received_bytes
        self._discarded = 0

    def on_discarded(self) -> None:
        """Count an answer to another request.

        Raises:
            peer_bounds.BoundExceededError: There are too many.
        """
        self._discarded += 1
        self._raise_if_above('discarded_answers', self._discarded)

    def on_skipped(self) -> None:
        """Look at the length of what is not the own answer.

        Raises:
            peer_bounds.BoundExceededError: It is too long.
        """
        received = self._connection.received_bytes - self._received_before
        self._raise_if_above('discarded_bytes', received)

    def _raise_if_above(self, bound: str, reached: int) -> None:
        limit = getattr(self._connection.bounds, bound)
        if reached > limit:
            raise peer_bounds.BoundExceededError(
                bound, limit, self._connection.peer
            )
