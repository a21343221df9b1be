"""Group commit: puts that arrive close together share one transaction.

The table service handles several hundred transactions per second; one
transaction for each put would exceed its capacity at full load.
"""

import dataclasses

import eventlet
from eventlet import event

from ivystep.core import errors
from ivystep.platform import table

MAX_PUTS = 100
MAX_WAIT_S = 0.005
# After a conflict, the puts of a batch are committed one by one, with at most
# this many transactions in parallel.
MAX_PARALLEL_COMMITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A put and the task that waits for its outcome."""

    put: table.Put
    outcome: event.Event


class _Batch:
    """Puts to different rows that are committed together."""

    def __init__(self) -> None:
        self.pending_by_key: dict[str, _Pending] = {}
        self.is_closed = False


class GroupCommit:
    """Commits single puts in shared transactions.

    Args:
        rows: The table service.
    """

    def __init__(self, rows: table.Table) -> None:
        self._rows = rows
        self._batch = _Batch()

    def put(self, put: table.Put) -> None:
        """Write one row.

        Args:
            put: The conditional write.

        Raises:
            errors.ConflictError: The row has another version.
            errors.UnavailableError: The put was not applied.
            errors.UncertainWriteError: The put may have been applied.
        """
        if put.key in self._batch.pending_by_key:
            # A transaction checks every put against the rows as they were
            # before it, so two puts to one row would both succeed.
            self._rows.transact((put,))
            return
        pending = _Pending(put, event.Event())
        self._add(pending)
        pending.outcome.wait()

    def _add(self, pending: _Pending) -> None:
        batch = self._batch
        batch.pending_by_key[pending.put.key] = pending
        if len(batch.pending_by_key) == 1:
            eventlet.spawn_after(MAX_WAIT_S, self._commit, batch)
        if len(batch.pending_by_key) == MAX_PUTS:
            self._batch = _Batch()
            eventlet.spawn(self._commit, batch)

    def _commit(self, batch: _Batch) -> None:
        if batch.is_closed:
            return
        batch.is_closed = True
        if batch is self._batch:
            self._batch = _Batch()
        batched = tuple(batch.pending_by_key.values())
        try:
            self._rows.transact([pending.put for pending in batched])
        except errors.ConflictError as conflict:
            self._commit_singly(batched, conflict)
        except Exception as error:
            # Any error is raised in the tasks that wait for their puts.
            for pending in batched:
                pending.outcome.send_exception(error)
        else:
            for pending in batched:
                pending.outcome.send()

    def _commit_singly(
        self, batched: tuple[_Pending, ...], conflict: errors.ConflictError
    ) -> None:
        """Commit each put on its own, so that only those in conflict fail."""
        if len(batched) == 1:
            batched[0].outcome.send_exception(conflict)
            return
        pool = eventlet.GreenPool(MAX_PARALLEL_COMMITS)
        for pending in batched:
            pool.spawn_n(self._commit_one, pending)

    def _commit_one(self, pending: _Pending) -> None:
        try:
            self._rows.transact((pending.put,))
        except Exception as error:
            pending.outcome.send_exception(error)
        else:
            pending.outcome.send()
