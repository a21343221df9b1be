"""Relates the steady clock of a store to this host's uptime."""

import math


class StoreClock:
    """Smallest possible difference of the two clocks, from a store's answers.

    The store gives an answer after the call was sent. When the answer arrives
    says little, because the host may be paused or its event loop busy. The
    answer that was given soonest after its call tells the difference best.
    """

    def __init__(self) -> None:
        self._offset_s = -math.inf

    def uptime_of(self, store_time_s: float, sent_at: float) -> float:
        """Return an uptime at which the store had not given an answer yet.

        Args:
            store_time_s: Time of the answer on the store's clock, in seconds.
            sent_at: Uptime at which the call was sent, in seconds.

        Returns:
            A time between the call and the answer.
        """
        self._offset_s = max(self._offset_s, sent_at - store_time_s)
        return store_time_s + self._offset_s

    def to_uptime(self, store_time_s: float) -> float:
        """Convert a time of the store that another host was told.

        Args:
            store_time_s: Time on the store's clock, in seconds.

        Returns:
            An uptime that is not after it; minus infinity if the store has not
            answered this host yet.
        """
        return store_time_s + self._offset_s
