"""Writes rows to the store in the background.

Writes that arrive while a transaction is in progress share the next one, since
the crash of an engine, or an upgrade, causes many at once.
"""

import collections
import random

import eventlet

from ivystep.core import errors
from ivystep.gateway import events
from ivystep.platform import rows
from ivystep.runtime import clock, event_log

# The store's limit on the rows of one transaction.
MAX_BATCH_ROWS = 100
# Rows that wait during an outage of the store; beyond it, the oldest are lost.
MAX_PENDING_ROWS = 1000
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 3.0
JITTER_SHARE = 0.3


class RowWriter:
    """Writes rows of one table and repeats failed writes.

    Args:
        client: Client of the store.
        table: Name of the table.
        log: Event log of outages.
    """

    def __init__(
        self, client: rows.RowsClient, table: str, log: event_log.EventLog
    ) -> None:
        self._client = client
        self._table = table
        self._log = log
        self._pending: collections.deque[rows.RowWrite] = collections.deque(
            maxlen=MAX_PENDING_ROWS
        )
        self._is_running = False

    def write(self, row_write: rows.RowWrite) -> None:
        """Write a row without waiting for the store.

        Args:
            row_write: A write without a condition, so that it may be repeated.
        """
        self._pending.append(row_write)
        if not self._is_running:
            self._is_running = True
            eventlet.spawn_n(self._run)

    def _run(self) -> None:
        retry_s = FIRST_RETRY_S
        while self._pending:
            batch = [
                self._pending.popleft()
                for _ in range(min(len(self._pending), MAX_BATCH_ROWS))
            ]
            try:
                self._client.transact(batch)
            except errors.PlatformError as error:
                self._log.write(
                    events.DependencyLost(f'store/{self._table}', str(error))
                )
                self._pending.extendleft(reversed(batch))
                clock.sleep(retry_s * random.uniform(1, 1 + JITTER_SHARE))
                retry_s = min(2 * retry_s, MAX_RETRY_S)
            else:
                retry_s = FIRST_RETRY_S
        self._is_running = False
