"""Writes rows to the store in the background.

Writes that arrive while a transaction is in progress share the next one, since
the crash of an engine, or an upgrade, causes many at once.
"""

import collections
import random

import eventlet
from eventlet import event

from ivystep.core import errors
from ivystep.gateway import events
from ivystep.platform import rows
from ivystep.runtime import background, clock, event_log, process_events

# The store's limit on the rows of one transaction.
MAX_BATCH_ROWS = 100
# Rows that wait during an outage of the store, unless said otherwise.
MAX_PENDING_ROWS = 1000
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 3.0
JITTER_SHARE = 0.3


class PendingWrite:
    """A write that the store may not have acknowledged yet."""

    def __init__(self) -> None:
        self._acknowledged = event.Event()

    @property
    def is_acknowledged(self) -> bool:
        """Whether the row is in the store."""
        return bool(self._acknowledged.ready())

    def acknowledge(self) -> None:
        """Record that the row is in the store."""
        if not self.is_acknowledged:
            self._acknowledged.send()

    def wait(self, timeout_s: float) -> bool:
        """Wait until the row is in the store.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether it is.
        """
        with eventlet.Timeout(timeout_s, exception=False):
            self._acknowledged.wait()
        return self.is_acknowledged


class RowWriter:
    """Writes rows of one table and repeats failed writes.

    Args:
        client: Client of the store.
        table: Name of the table.
        log: Event log of outages.
        max_pending: Rows that may wait; beyond it, the oldest are lost.
    """

    def __init__(
        self,
        client: rows.RowsClient,
        table: str,
        log: event_log.EventLog,
        max_pending: int = MAX_PENDING_ROWS,
    ) -> None:
        self._client = client
        self._table = table
        self._log = log
        self._pending: collections.deque[tuple[rows.RowWrite, PendingWrite]] = (
            collections.deque(maxlen=max_pending)
        )
        self._is_running = False

    def write(self, row_write: rows.RowWrite) -> PendingWrite:
        """Write a row without waiting for the store.

        Args:
            row_write: A write without a condition, so that it may be repeated.
        """
        pending = PendingWrite()
        self._pending.append((row_write, pending))
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)
        return pending

    def _run(self) -> None:
        try:
            while self._pending:
                self._write_pending()
        finally:
            self._is_running = False

    def _write_pending(self) -> None:
        """Write all rows; a batch that raises an unexpected error is lost."""
        try:
            self._write_batches()
        except Exception as error:
            self._log.write(
                process_events.TaskFailed(
                    f'rows to {self._table}',
                    background.describe(error),
                    background.place(error),
                )
            )

    def _write_batches(self) -> None:
        retry_s = FIRST_RETRY_S
        while self._pending:
            batch = [
                self._pending.popleft()
                for _ in range(min(len(self._pending), MAX_BATCH_ROWS))
            ]
            try:
                self._client.transact([row_write for row_write, _ in batch])
            except errors.PlatformError as error:
                self._log.write(
                    events.DependencyLost(f'store/{self._table}', str(error))
                )
                room = (self._pending.maxlen or 0) - len(self._pending)
                self._pending.extendleft(
                    reversed(batch[-room:] if room else [])
                )
                clock.sleep(retry_s * random.uniform(1, 1 + JITTER_SHARE))
                retry_s = min(2 * retry_s, MAX_RETRY_S)
            else:
                retry_s = FIRST_RETRY_S
                for _, pending in batch:
                    pending.acknowledge()
