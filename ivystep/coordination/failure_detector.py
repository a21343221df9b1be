"""Failure detector with a fixed time-out for peers that send heartbeats.

``docs/failure-detection.md`` has the figures by which a fixed time-out was
preferred to evidence from attempts and to an accrual detector. A suspected
peer gets no new requests, but suspicion never proves that it has stopped.
"""

import math

# Three times the interval of status reports. On traces with loss, jitter and
# pauses, 2.5 s gave 2.35 false suspicions per hour and 3 s gave 0.80.
TIMEOUT_S = 3.0


class FailureDetector:
    """Suspects a peer whose last heartbeat is too old.

    A peer that has not sent a heartbeat yet is suspected.

    Args:
        timeout_s: Longest accepted time without a heartbeat, in seconds.
    """

    def __init__(self, timeout_s: float = TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._last_heartbeat = -math.inf

    def heartbeat(self, now: float) -> None:
        """Record a heartbeat of the peer.

        Args:
            now: Time on the runtime's clock, in seconds.
        """
        self._last_heartbeat = max(self._last_heartbeat, now)

    def is_suspected(self, now: float) -> bool:
        """Return whether the peer should get no new requests.

        Args:
            now: Time on the runtime's clock, in seconds.
        """
        return now - self._last_heartbeat > self._timeout_s
