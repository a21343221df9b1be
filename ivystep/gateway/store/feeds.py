"""Follows one table of the platform's store.

A table is read once and then followed through its change feed. It is read
again if the store has dropped the history or was restored from an older copy.
An older state is applied only after a restoration, which raises the store's
era.
"""

import dataclasses
import math
import random
import typing
from collections.abc import Callable, Sequence

from ivystep.core import errors
from ivystep.gateway import events
from ivystep.gateway.store import row_application, table_progress
from ivystep.platform import rows
from ivystep.policy import store_clock
from ivystep.runtime import clock, event_log

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
JITTER_SHARE = 0.3
# Longest time without a poll of an unchanged table. The store keeps its history
# for about this long, after which the whole table would be read.
MAX_SKIP_S = 15.0
# Consecutive failed calls that show an outage of the store. A single one may
# have been broken off because this host was frozen.
OUTAGE_CALLS = 2
# Age of the last failed call up to which the outage counts as lasting.
OUTAGE_AGE_S = 3.0


class TableSink(typing.Protocol):
    """Consumer of the rows of a table."""

    def replace_rows(self, found: Sequence[rows.StoredRow]) -> None:
        """Replace the state with all rows of the table."""

    def apply_row(self, row: rows.StoredRow) -> None:
        """Apply one changed or deleted row."""

    def on_store_lost(self) -> None:
        """Handle the start of an outage of the store."""

    def on_store_restored(self) -> None:
        """Handle a restoration from an older copy, before its rows.

        The store may lack rows that were written since the copy, and contain
        rows that were deleted since. They are written again by their writers.
        """

    def on_store_regained(self) -> None:
        """Handle the end of an outage, after the rows of the first answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class FeedTimings:
    """Timings of the polls of a feed.

    Attributes:
        wait_s: Longest time that the store waits for a change, in seconds.
        pause_s: Time between two calls, in seconds.
        max_skip_s: Longest time without a poll, in seconds.
    """

    wait_s: float
    pause_s: float = 0.0
    max_skip_s: float = MAX_SKIP_S


class TableFeed:
    """Keeps a sink up to date with a table.

    Args:
        client: Client of the store.
        table: Name of the table.
        sink: Consumer of the rows.
        log: Event log of outages.
        timings: Timings of the polls.
        shared: The leader's progress, which makes polls needless; None to poll
            always.
        needed_version: Returns the version of the last change that all hosts
            need; all changes are if None.

    Attributes:
        version: Store version up to which the sink has all changes.
        era: Era of the store to which the version belongs.
        confirmed_at: Time of the store's last answer; None before the first.
        complete_at: Uptime at which the sink had all changes of the table.
    """

    def __init__(
        self,
        client: rows.RowsClient,
        table: str,
        sink: TableSink,
        log: event_log.EventLog,
        timings: FeedTimings,
        shared: table_progress.SharedProgress | None = None,
        needed_version: Callable[[], int] | None = None,
    ) -> None:
        self.version = 0
        self.era = 0
        self.confirmed_at: float | None = None
        self._client = client
        self._table = table
        self._sink = sink
        self._log = log
        self._timings = timings
        self._shared = shared
        self._needed_version = needed_version
        # Versions of the last whole read and of the newest changed row.
        self._read_version = 0
        self._newest_row_version = 0
        self._answered_store_time_s: float | None = None
        self._has_rows = False
        self._lost_at: float | None = None
        self._store_clock = store_clock.StoreClock()
        self._failed_calls = 0
        self._failed_call_sent_at = -math.inf
        self.complete_at = -math.inf

    def run(self) -> None:
        """Follow the table until the task is killed."""
        retry_s = FIRST_RETRY_S
        while True:
            sent_at = clock.uptime()
            try:
                self.step()
            except errors.PlatformError as error:
                self._failed_calls += 1
                self._failed_call_sent_at = sent_at
                self._on_lost(error)
                clock.sleep(retry_s * random.uniform(1, 1 + JITTER_SHARE))
                retry_s = min(2 * retry_s, MAX_RETRY_S)
            else:
                retry_s = FIRST_RETRY_S
                self._failed_calls = 0
                clock.sleep(self._timings.pause_s)
                self._wait_while_unchanged()

    @property
    def is_failing(self) -> bool:
        """Whether calls to the store have failed until now."""
        age_s = clock.uptime() - self._failed_call_sent_at
        return self._failed_calls >= OUTAGE_CALLS and age_s <= OUTAGE_AGE_S

    def uptime_of(self, store_time_s: float) -> float:
        """Return a time of the store's clock as uptime of this host.

        Args:
            store_time_s: Time on the store's steady clock, in seconds.
        """
        return self._store_clock.to_uptime(store_time_s)

    def progress(self) -> table_progress.TableProgress | None:
        """Return how far the sink has followed the table.

        Returns:
            None before the first read, during an outage, or if the store does
            not tell its time.
        """
        complete_at_s = self._answered_store_time_s
        if self._lost_at is not None or complete_at_s is None:
            return None
        version = self._newest_row_version
        if self._needed_version is not None:
            version = self._needed_version()
        return table_progress.TableProgress(
            self._table,
            self.era,
            max(version, self._read_version),
            complete_at_s,
        )

    def step(self) -> None:
        """Read the table, or poll its change feed once.

        During an outage the feed is polled without a wait, so that its end is
        noticed although nothing has changed.

        Raises:
            errors.UnavailableError: The store gave no usable answer.
        """
        if not self._has_rows:
            self._read()
            return
        wait_s = self._poll_wait_s()
        sent_at = clock.uptime()
        try:
            changes = self._client.changes(self._table, self.version, wait_s)
        except rows.HistoryGoneError:
            self._has_rows = False
            self._read()
            return
        if self._era_of(changes) > self.era:
            self._has_rows = False
            self._read()
            return
        self._raise_if_stale(changes)
        for row in changes.rows:
            self._newest_row_version = max(
                self._newest_row_version, row.version
            )
        row_application.apply_each(
            self._dated(changes), self._sink.apply_row, self._log
        )
        self.version = changes.version
        self._on_answer(changes, sent_at)

    def _poll_wait_s(self) -> float:
        if self._lost_at is not None:
            return 0.0
        if self._shared is None:
            return self._timings.wait_s
        return self._shared.limit_poll_s(self._timings.wait_s)

    def _wait_while_unchanged(self) -> None:
        """Wait while the leader knows of no change that this host lacks."""
        if self._shared is None:
            return
        poll_at = clock.uptime() + self._timings.max_skip_s
        while True:
            wait_s = min(self._unchanged_s(), poll_at - clock.uptime())
            if wait_s <= 0:
                return
            self._shared.wait(wait_s)
            self._shared.on_current()

    def _unchanged_s(self) -> float:
        """Return for how long the leader's progress makes a poll needless."""
        told = self._shared and self._shared.find(self._table)
        if not told or self._lost_at is not None:
            return 0.0
        if told.era != self.era or told.version > self.version:
            return 0.0
        complete_at = self._store_clock.to_uptime(told.complete_at_s)
        if self._needed_version is None:
            self.complete_at = max(self.complete_at, complete_at)
        return complete_at + self._shared.max_age_s - clock.uptime()

    def _read(self) -> None:
        sent_at = clock.uptime()
        found = self._client.read_all(self._table)
        era = self._era_of(found)
        if era > self.era and self.confirmed_at is not None:
            self._on_restored(era, found.version)
        else:
            self._raise_if_stale(found)
        self._sink.replace_rows(self._dated(found))
        self.version = found.version
        self._read_version = found.version
        self._newest_row_version = found.version
        self.era = era
        self._has_rows = True
        self._on_answer(found, sent_at)

    def _dated(self, answer: rows.RowSet) -> list[rows.StoredRow]:
        """Return the rows of an answer with the time after which they changed.

        The sink had all earlier changes at the time of the answer before. Rows
        that the sink knows get the same time, which does not matter.
        """
        return [
            dataclasses.replace(row, written_after=self.complete_at)
            for row in answer.rows
        ]

    def _raise_if_stale(self, answer: rows.RowSet) -> None:
        """Raise an error if an answer is from a copy that is behind."""
        if answer.version < self.version:
            raise errors.UnavailableError(
                f'store version {answer.version} is older than {self.version}',
                step=f'read {self._table}',
                peer='store',
            )

    def _era_of(self, answer: rows.RowSet) -> int:
        """Return the era of an answer; the known one if it names none.

        Raises:
            errors.UnavailableError: The answer is from before a restoration.
        """
        if answer.era is None:
            return self.era
        if answer.era < self.era:
            raise errors.UnavailableError(
                f'era {answer.era} is older than {self.era}',
                step=f'read {self._table}',
                peer='store',
            )
        return answer.era

    def _on_restored(self, era: int, version: int) -> None:
        self._log.write(
            events.StoreRestored(
                self._table, self.era, era, self.version, version
            )
        )
        if self._lost_at is None:
            self._lost_at = clock.now()
            self._sink.on_store_lost()
        self._store_clock = store_clock.StoreClock()
        self._newest_row_version = 0
        self._sink.on_store_restored()

    def _on_answer(self, answer: rows.RowSet, sent_at: float) -> None:
        self.complete_at = sent_at
        self._answered_store_time_s = answer.store_time_s
        if answer.store_time_s is not None:
            self.complete_at = self._store_clock.uptime_of(
                answer.store_time_s, sent_at
            )
        self.confirmed_at = clock.now()
        if self._lost_at is None:
            return
        outage_s = clock.now() - self._lost_at
        self._lost_at = None
        self._log.write(
            events.DependencyRegained(
                f'store/{self._table}', int(outage_s * 1000)
            )
        )
        self._sink.on_store_regained()

    def _on_lost(self, error: errors.PlatformError) -> None:
        if self._lost_at is not None:
            return
        self._lost_at = clock.now()
        self._log.write(
            events.DependencyLost(f'store/{self._table}', str(error))
        )
        self._sink.on_store_lost()
