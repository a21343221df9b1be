"""Keeps the setup of an entry up to date.

The time between reads is spread at random, so that 1,200 entries do not read
together. During an outage the time doubles up to a limit that still puts a
change in force everywhere within 15 s of the recovery.
"""

import dataclasses
import random

from ivystep.core import errors
from ivystep.runtime import logs
from ivystep.setup import store

FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
MAX_DOUBLINGS = 16
LEAST_SHARE = 0.5

log = logs.get('setup')


@dataclasses.dataclass(slots=True)
class SetupFollower:
    """Reads the setup again and again.

    Attributes:
        setup: The store to refresh.
        interval_s: Mean time between reads in seconds.
        jitter: Source of random numbers.
        failures: Reads since the last one that gave the newest version.
    """

    setup: store.SetupStore
    interval_s: float
    jitter: random.Random = dataclasses.field(default_factory=random.Random)
    failures: int = 0

    def run(self) -> None:
        """Refresh until killed; an offer of a version refreshes at once."""
        while True:
            self.refresh_once()
            self.setup.wait_for_offer(self.pause_s())

    def refresh_once(self) -> None:
        """Refresh and note whether the platform answered."""
        try:
            self.setup.refresh()
        except errors.IvystepError as error:
            self.failures += 1
            log.warning('Setup not read: %s.', error)
        else:
            self.failures = self.failures + 1 if self.setup.is_behind else 0

    def pause_s(self) -> float:
        """Return the time until the next read, in seconds."""
        if not self.failures:
            spread = self.jitter.uniform(LEAST_SHARE, 2 - LEAST_SHARE)
            return self.interval_s * spread
        longest = max(MAX_BACKOFF_S, self.interval_s)
        doublings = min(self.failures, MAX_DOUBLINGS)
        backoff = min(longest, FIRST_BACKOFF_S * 2**doublings)
        return backoff * self.jitter.uniform(LEAST_SHARE, 1)
