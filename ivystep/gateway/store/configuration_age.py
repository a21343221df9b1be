"""Tells whether the configuration that is in force at this host is current.

Beside this host's own reads of the store, the leader tells in its heartbeats
which configuration version it has and up to which time it has seen all changes.
"""

import math

from ivystep.accounts import authentication, freshness
from ivystep.core import errors
from ivystep.gateway.store import configuration, feeds, table_progress
from ivystep.runtime import clock

# Name under which the leader tells of the configuration version. It is not the
# store version of the table, which also rises with each adapter version.
PROGRESS_NAME = 'op/config'
# Longest wait of a request for the store's answer. A host that was frozen reads
# the store within 0.2 s; with a store that does not answer, the second time-out
# of a call is over by then.
MAX_WAIT_S = 0.8
CHECK_INTERVAL_S = 0.02
RETRY_AFTER_S = 0.3


class ConfigurationAge:
    """The age of what this host knows of the configuration.

    Args:
        config: The configuration in force.
        feed: Reads the configuration.
        shared: The leader's progress.
        limit_s: Time within which a change must apply, in seconds.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        feed: feeds.TableFeed,
        shared: table_progress.SharedProgress,
        limit_s: float,
    ) -> None:
        self._config = config
        self._feed = feed
        self._shared = shared
        self._limit_s = limit_s
        # Uptime at which the store had no later version.
        self._confirmed_at = -math.inf

    def progress(self) -> table_progress.TableProgress | None:
        """Return the configuration version; see ``ProgressSource``."""
        own = self._feed.progress()
        if own is None:
            return None
        return table_progress.TableProgress(
            PROGRESS_NAME, own.era, self._config.version, own.complete_at_s
        )

    def wait_until_current(self) -> None:
        """Wait until the configuration may be used.

        Raises:
            errors.RefusedError: It may not be used after a short wait either.
        """
        wait_until = clock.now() + MAX_WAIT_S
        while self._known().judge(self._limit_s) is not (
            freshness.Freshness.CURRENT
        ):
            if clock.now() >= wait_until:
                raise errors.RefusedError(
                    authentication.OUTDATED,
                    'This host may lack a newer configuration.',
                    status=503,
                    retry_after_s=RETRY_AFTER_S,
                    step='authenticate',
                )
            clock.sleep(CHECK_INTERVAL_S)

    def _known(self) -> freshness.Knowledge:
        confirmed_at = max(self._confirmed_at, self._feed.complete_at)
        told = self._shared.find(PROGRESS_NAME)
        told_version = told.version if told else 0
        if told and told_version == self._config.version:
            confirmed_at = max(confirmed_at, self._told_complete_at(told))
        self._confirmed_at = confirmed_at
        return freshness.Knowledge(
            clock.uptime() - confirmed_at,
            told_version > self._config.version,
            self._feed.is_failing,
        )

    def _told_complete_at(self, told: table_progress.TableProgress) -> float:
        """Return the uptime up to which the leader has seen all changes."""
        if told.era != self._feed.era:
            return -math.inf
        return self._feed.uptime_of(told.complete_at_s)
