"""Failure detector of a peer that has fallen silent.

A fixed silence was chosen over per-attempt evidence and an accrual level by
the figures in ``docs/failure-detection.md``. A suspicion is a reason to send
no new work and never proof that the peer has stopped.
"""

import math

# Three times the interval of status reports. On traces with loss, jitter and
# pauses, 2.5 s gave 2.35 wrong suspicions per hour and 3 s gave 0.80.
TIMEOUT_S = 3.0


class FailureDetector:
    """Suspects a peer that has sent nothing for too long.

    A peer that has never been heard of is suspected.

    Args:
        timeout_s: Longest silence of a peer that is trusted, in seconds.
    """

    def __init__(self, timeout_s: float = TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._last = -math.inf

    def heartbeat(self, now: float) -> None:
        """Note that the peer was heard of.

        Args:
            now: Time on the runtime's clock, in seconds.
        """
        self._last = max(self._last, now)

    def is_suspected(self, now: float) -> bool:
        """Return whether the peer should get no new work.

        Args:
            now: Time on the runtime's clock, in seconds.
        """
        return now - self._last > self._timeout_s
