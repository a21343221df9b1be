"""Estimates how long the loads of a pool take."""

# A load that has run this many times the expected duration no longer blocks
# the next one.
OVERDUE_FACTOR = 4.0
# Weight of a new sample in the moving average of the load duration.
DURATION_WEIGHT = 0.3
# Share by which each refusal, while no load runs, moves the expected duration
# of a load back to the nominal one. Without it, one slow load made every
# request look late, and no further load corrected the estimate.
ESTIMATE_DECAY = 0.1


class LoadEstimate:
    """Moving average of the duration of a pool's loads.

    Args:
        loads_per_s: Loads per second that the weight store allows.

    Attributes:
        load_s: Expected duration of a load, in seconds.
    """

    def __init__(self, loads_per_s: float) -> None:
        self.load_s = 1 / loads_per_s
        self._loads_per_s = loads_per_s

    @property
    def overdue_s(self) -> float:
        """Duration from which on a load is overdue, in seconds."""
        return OVERDUE_FACTOR * self.load_s

    def reset(self, loads_per_s: float) -> None:
        """Start again from the nominal duration at another rate.

        Args:
            loads_per_s: Loads per second that the weight store allows.
        """
        self._loads_per_s = loads_per_s
        self.load_s = 1 / loads_per_s

    def update(self, duration_s: float) -> None:
        """Add a sample to the moving average of the load duration.

        A load that hung does not predict the next one, so its duration
        counts only up to that at which a load is overdue.

        Args:
            duration_s: Duration of a load that succeeded, in seconds.
        """
        longest_s = OVERDUE_FACTOR / self._loads_per_s
        self.load_s += DURATION_WEIGHT * (
            min(duration_s, longest_s) - self.load_s
        )

    def decay(self) -> None:
        """Move the expected load duration towards the nominal one."""
        nominal_s = 1 / self._loads_per_s
        self.load_s += ESTIMATE_DECAY * (nominal_s - self.load_s)
