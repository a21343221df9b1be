"""Crash evidence: which requests were running when the upstream failed.

The evidence is part of every status report, so that an entry that connects
after the failure receives it too.
"""

import collections
from collections.abc import Iterable

from ivystep.runtime import clock

MAX_FINGERPRINTS = 256
MAX_INCARNATIONS = 64
RETENTION_S = 3600.0
# A request that was running in two failures is refused by the sidecar too.
MAX_LOSSES_PER_REQUEST = 2


class CrashLog:
    """Fingerprints by failure, bounded in number and age."""

    def __init__(self) -> None:
        self._crashes: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=MAX_FINGERPRINTS)
        )
        self._incarnations: collections.deque[str] = collections.deque(
            maxlen=MAX_INCARNATIONS
        )

    def has(self, incarnation: str) -> bool:
        """Return whether the failure of an incarnation is recorded."""
        return incarnation in self._incarnations

    def record(self, incarnation: str, fingerprints: Iterable[bytes]) -> bool:
        """Record the failure of an upstream incarnation.

        Args:
            incarnation: The incarnation that failed; each counts once.
            fingerprints: Requests that it was running.

        Returns:
            False if the failure is recorded already.
        """
        if self.has(incarnation):
            return False
        self._incarnations.append(incarnation)
        current = clock.now()
        # One request in several attempts is lost once with each failure.
        self._crashes.extend((current, one) for one in set(fingerprints))
        return True

    def fingerprints(self) -> tuple[bytes, ...]:
        """Return one fingerprint for each failure and request."""
        horizon = clock.now() - RETENTION_S
        while self._crashes and self._crashes[0][0] <= horizon:
            self._crashes.popleft()
        return tuple(fingerprint for _, fingerprint in self._crashes)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request may not run here any more."""
        losses = self.fingerprints().count(fingerprint)
        return losses >= MAX_LOSSES_PER_REQUEST
