"""Relates the steady clock of a store to this host's uptime."""

import math


class StoreClock:
    """Difference of the two clocks, from the answers of the store.

    An answer may arrive late, because the host was paused or its event loop
    was busy. The answer that took the shortest time gives the difference.
    """

    def __init__(self) -> None:
        self._offset_s = math.inf

    def uptime_of(
        self, store_time_s: float, sent_at: float, received_at: float
    ) -> float:
        """Return the uptime at which the store gave an answer.

        Args:
            store_time_s: Time of the answer on the store's clock, in seconds.
            sent_at: Uptime at which the call was sent, in seconds.
            received_at: Uptime at which the answer was received, in seconds.

        Returns:
            A time that is late by the shortest latency of an answer at most.
        """
        self._offset_s = min(self._offset_s, received_at - store_time_s)
        return max(store_time_s + self._offset_s, sent_at)
