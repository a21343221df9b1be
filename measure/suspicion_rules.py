"""Failure detection rules to compare.

Each rule has ``heartbeat``, ``attempt_timed_out`` and ``is_suspected``.
"""

import collections
import itertools
import math

from ivystep.coordination import failure_detector
from measure import suspicion_traces as traces

WINDOW = 64
FIRST_INTERVALS = 8
MIN_DEVIATION_S = 0.1


class FixedTimeout(failure_detector.FailureDetector):
    """Suspects a sidecar after a fixed time without a report.

    Args:
        timeout_s: Time without a report in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        super().__init__(timeout_s)
        self.name = f'fixed {timeout_s:g} s'
        self.heartbeat(0)

    def attempt_timed_out(self, now: float) -> None:
        """Ignore attempts."""


class AttemptEvidence:
    """Suspects a sidecar after attempts that were not accepted in time.

    Args:
        needed: Number of such attempts without a report in between.
    """

    def __init__(self, needed: int) -> None:
        self.name = f'{needed} attempts'
        self._needed = needed
        self._failed = 0

    def heartbeat(self, now: float) -> None:
        """Clear the suspicion."""
        self._failed = 0

    def attempt_timed_out(self, now: float) -> None:
        """Count an attempt that was not accepted in time."""
        self._failed += 1

    def is_suspected(self, now: float) -> bool:
        """Return whether enough attempts have failed."""
        return self._failed >= self._needed


class Accrual:
    """Phi accrual failure detector.

    The suspicion level is the negative decimal logarithm of the probability
    that the next report arrives even later, for normally distributed
    intervals.

    Args:
        threshold: Level from which the sidecar is suspected.
        min_interval_s: Shortest mean interval to assume.
    """

    def __init__(self, threshold: float, min_interval_s: float) -> None:
        floor = f', mean at least {min_interval_s:g} s' * (min_interval_s > 0)
        self.name = f'accrual {threshold:g}{floor}'
        self._threshold = threshold
        self._min_interval_s = min_interval_s
        self._intervals: collections.deque[float] = collections.deque(
            itertools.repeat(traces.HEARTBEAT_S, FIRST_INTERVALS),
            maxlen=WINDOW,
        )
        self._sum = sum(self._intervals)
        self._sum_of_squares = sum(one * one for one in self._intervals)
        self._last = 0.0
        self._shape = (traces.HEARTBEAT_S, MIN_DEVIATION_S)

    def heartbeat(self, now: float) -> None:
        """Record a report and the interval before it."""
        interval = now - self._last
        self._last = now
        dropped = 0.0
        if len(self._intervals) == WINDOW:
            dropped = self._intervals[0]
        self._intervals.append(interval)
        self._sum += interval - dropped
        self._sum_of_squares += interval * interval - dropped * dropped
        count = len(self._intervals)
        mean = self._sum / count
        deviation = math.sqrt(
            max(self._sum_of_squares / count - mean * mean, 0)
        )
        self._shape = (
            max(mean, self._min_interval_s),
            max(deviation, MIN_DEVIATION_S),
        )

    def attempt_timed_out(self, now: float) -> None:
        """Ignore attempts."""

    def is_suspected(self, now: float) -> bool:
        """Return whether the level has reached the threshold."""
        mean, deviation = self._shape
        excess = (now - self._last - mean) / deviation
        later = 0.5 * math.erfc(excess / math.sqrt(2))
        return later < 10**-self._threshold
