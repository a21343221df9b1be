"""Polls the platform for new versions of the setup.

Random jitter on the poll interval keeps 1,200 entries from reading at the same
time. During an outage, exponential back-off applies; its maximum is low enough
that a change is in force at every entry within 15 s of the recovery.
"""

import dataclasses
import random

from ivystep.core import errors
from ivystep.runtime import clock, logs
from ivystep.setup import store

FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
MAX_DOUBLINGS = 16  # bounds the power of two in a long outage
MIN_JITTER_FACTOR = 0.5
# Delay of the event loop that is not taken for a pause of the process.
MAX_LOOP_DELAY_S = 1.0

log = logs.get('setup')


@dataclasses.dataclass(slots=True)
class SetupPoller:
    """Polls the setup at a jittered interval, with back-off on failures.

    Attributes:
        setup: The store to refresh.
        interval_s: Mean time between reads, in seconds.
        jitter: Source of random numbers.
        failures: Consecutive reads that failed or did not load the newest
            known version.
        read_timeout_s: Longest time that a read of the manifest takes, in
            seconds.
    """

    setup: store.SetupStore
    interval_s: float
    jitter: random.Random = dataclasses.field(default_factory=random.Random)
    failures: int = 0
    read_timeout_s: float = 2.0

    def run(self) -> None:
        """Poll until killed; news of a higher version triggers a read."""
        while True:
            started_at = clock.uptime()
            self.refresh_once()
            pause_s = self.pause_s()
            # Both this read and the next one may take until their time-out.
            self.setup.expect_read(
                started_at
                + pause_s
                + 2 * self.read_timeout_s
                + MAX_LOOP_DELAY_S
            )
            if self.failures or not self.setup.is_read_overdue:
                self.setup.wait_for_announcement(pause_s)

    def refresh_once(self) -> None:
        """Refresh the setup and count consecutive failures."""
        try:
            self.setup.refresh()
        except errors.IvystepError as error:
            self.failures += 1
            log.warning('Setup could not be read: %s.', error)
        else:
            self.failures = self.failures + 1 if self.setup.is_behind else 0

    def pause_s(self) -> float:
        """Return the time until the next read, in seconds."""
        if not self.failures:
            spread = self.jitter.uniform(
                MIN_JITTER_FACTOR, 2 - MIN_JITTER_FACTOR
            )
            return self.interval_s * spread
        longest = max(MAX_BACKOFF_S, self.interval_s)
        doublings = min(self.failures, MAX_DOUBLINGS)
        backoff = min(longest, FIRST_BACKOFF_S * 2**doublings)
        return backoff * self.jitter.uniform(MIN_JITTER_FACTOR, 1)
