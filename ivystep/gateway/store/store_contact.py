"""Records when the platform's store has returned from an outage.

Entries of upstreams may expire during an outage. One failed call is no outage:
a connection may break while the store answers on others. All calls of this host
therefore count.
"""

from ivystep.platform import http
from ivystep.runtime import clock

# Statuses with which a store that is away may refuse a call.
REFUSALS = frozenset(('429', '503'))


class StoreContact:
    """Time of the last return of the store.

    Args:
        outage_s: Shortest time without an answer that counts as an outage.
        on_call: Called with each call after it was recorded.

    Attributes:
        returned_at: Time of the first answer after the last outage.
    """

    def __init__(self, outage_s: float, on_call: http.OnCall) -> None:
        self.returned_at = float('-inf')
        self._outage_s = outage_s
        self._on_call = on_call
        self._answered_at = clock.now()
        self._is_failing = False

    def on_call(self, method: str, outcome: str) -> None:
        """Record a call; see ``http.OnCall``."""
        if outcome != http.NO_ANSWER and outcome not in REFUSALS:
            now = clock.now()
            if now - self._answered_at >= self._outage_s:
                self.returned_at = now
            self._answered_at = now
            self._is_failing = False
        else:
            self._is_failing = True
        self._on_call(method, outcome)

    def on_not_needed(self) -> None:
        """Record that no call was needed, since the leader reaches the store.

        The silence of a host that has nothing to ask is no outage. Failed calls
        are, whatever the leader can reach.
        """
        if not self._is_failing:
            self._answered_at = clock.now()
