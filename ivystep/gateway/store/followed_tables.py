"""Follows the tables of the store that a gateway needs, one feed for each."""

import dataclasses
from collections.abc import Callable

from ivystep.gateway.store import feeds, table_progress
from ivystep.platform import (
    crash_rows,
    operator_config,
    rows,
    upstream_entries,
)
from ivystep.runtime import clock, event_log
from ivystep.settings import gateway as settings_models

# Longest time between two reads of the adapters that engines hold. The leader
# tells of its orders, but a host may have missed one while it was cut off.
RESIDENCY_REFRESH_S = 4.0
FIRST_READ_POLL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class FollowedTables:
    """The feeds of one gateway.

    Attributes:
        client: Client of the store.
        settings: Waits of the polls.
        shared: The leader's progress, which makes polls needless.
        log: Event log of outages.
    """

    client: rows.RowsClient
    settings: settings_models.Store
    shared: table_progress.SharedProgress
    log: event_log.EventLog

    def feed_of_configuration(self, sink: feeds.TableSink) -> feeds.TableFeed:
        """Return a feed of the operator's configuration."""
        timings = feeds.FeedTimings(self.settings.config_wait_s)
        return self._build(operator_config.TABLE, sink, timings)

    def feed_of_upstreams(
        self, sink: feeds.TableSink, needed_version: Callable[[], int]
    ) -> feeds.TableFeed:
        """Return a feed of the upstreams' entries.

        Args:
            sink: Consumer of the entries.
            needed_version: See ``feeds.TableFeed``.
        """
        timings = feeds.FeedTimings(
            self.settings.config_wait_s,
            self.settings.upstream_pause_s,
            RESIDENCY_REFRESH_S,
        )
        return self._build(
            upstream_entries.TABLE, sink, timings, needed_version
        )

    def feed_of_crashes(self, sink: feeds.TableSink) -> feeds.TableFeed:
        """Return a feed of the crashes that all hosts have seen."""
        timings = feeds.FeedTimings(self.settings.crash_wait_s)
        return self._build(crash_rows.TABLE, sink, timings)

    def run_after(self, first: feeds.TableFeed, later: feeds.TableFeed) -> None:
        """Follow a table once another one has been read.

        Args:
            first: Feed of the table that must be known.
            later: Feed to run until the task is killed.
        """
        while first.confirmed_at is None:
            clock.sleep(FIRST_READ_POLL_S)
        later.run()

    def _build(
        self,
        table: str,
        sink: feeds.TableSink,
        timings: feeds.FeedTimings,
        needed_version: Callable[[], int] | None = None,
    ) -> feeds.TableFeed:
        feed = feeds.TableFeed(
            self.client,
            table,
            sink,
            self.log,
            timings,
            self.shared,
            needed_version,
        )
        self.shared.add_source(feed)
        return feed
