"""Crash evidence: which requests were running when the upstream failed.

The evidence is part of every status report, so that an entry that connects
after the failure receives it too.
"""

import collections
from collections.abc import Iterable

from ivystep.core import types
from ivystep.runtime import clock

MAX_FINGERPRINTS = 256
MAX_INCARNATIONS = 64
RETENTION_S = 3600.0
# The sidecar itself refuses a request that was running in this many failures,
# because the entry that sends it may know of none of them.
MAX_CRASHES_PER_REQUEST = 2


class CrashLog:
    """Fingerprints by failure, bounded in number and age.

    Attributes:
        count: Failures recorded so far.
    """

    def __init__(self) -> None:
        self.count = 0
        self._crashes: collections.deque[types.CrashFingerprint] = (
            collections.deque(maxlen=MAX_FINGERPRINTS)
        )
        self._incarnations: collections.deque[str] = collections.deque(
            maxlen=MAX_INCARNATIONS
        )

    def is_recorded(self, incarnation: str) -> bool:
        """Return whether the failure of an incarnation is recorded."""
        return incarnation in self._incarnations

    def record(self, incarnation: str, fingerprints: Iterable[bytes]) -> bool:
        """Record the failure of an upstream incarnation.

        Args:
            incarnation: The incarnation that failed; it is recorded once.
            fingerprints: Requests that it was running.

        Returns:
            False if the failure is recorded already.
        """
        if self.is_recorded(incarnation):
            return False
        self._incarnations.append(incarnation)
        self.count += 1
        current = clock.now()
        # A request with several running attempts counts once per failure.
        self._crashes.extend(
            types.CrashFingerprint(fingerprint, incarnation, current)
            for fingerprint in set(fingerprints)
        )
        return True

    def fingerprints(self) -> tuple[types.CrashFingerprint, ...]:
        """Return one record for each failure and running request."""
        horizon = clock.now() - RETENTION_S
        while self._crashes and self._crashes[0].recorded <= horizon:
            self._crashes.popleft()
        return tuple(self._crashes)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request was running in too many failures."""
        matching = [
            crash
            for crash in self.fingerprints()
            if crash.fingerprint == fingerprint
        ]
        return len(matching) >= MAX_CRASHES_PER_REQUEST
