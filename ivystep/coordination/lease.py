"""A lease with fencing tokens, held in one row of the table service.

Clocks of different processes are never compared. A waiting process measures on
its own monotonic clock that the row stays unchanged for the duration of the
lease. The holder counts the same duration, less a margin, from before it sent
its last confirmed write, so that the lease always ends first for the holder.

A process can still be paused between a check of ``is_held`` and the action
that follows. Only the receiver of the action can guard against this, by
rejecting fencing tokens lower than the highest one that it has seen. The clock
runs on while the process is stopped and while the host is suspended.

The table service may be restored from an older copy, which lacks the latest
acquisition. Tokens of a later era are higher (see ``lease_row``). A lease that
was acquired in an earlier era is not extended, but acquired again. A row from a
copy does not tell who held the lease when the service was restored. So any
process waits for the duration of a lease, unless it held the lease itself.

A service that does not count its restorations leaves only what each process
remembers: the highest token that it has seen, and its holder.
"""

import random
from collections.abc import Callable

import eventlet
from eventlet import semaphore

from ivystep.coordination import lease_renewal, lease_row
from ivystep.core import errors, ids
from ivystep.platform import table
from ivystep.runtime import clock, logs

# The holder stops relying on the lease this share of its duration before it
# expires: far more than the difference between the rates of two clocks.
SAFETY_MARGIN_SHARE = 0.1
# Intervals as shares of the duration: between renewals, between tries after a
# failure, and between reads of another holder's row.
RENEWAL_SHARE = 1 / 3
RETRY_SHARE = 1 / 12
POLL_SHARE = 1 / 4
JITTER_SHARE = 0.2
RELEASE_TRIES = 3
# A process that no longer recognizes its own write waits for its own lease to
# expire, which is safe. So many unanswered writes occur only in a long outage.
MAX_TRACKED_WRITES = 32
# Holder before an acquisition if nobody knows it.
UNKNOWN_HOLDER_ID = '?'

log = logs.get('lease')


class Lease:
    """A lease that this process acquires, renews and releases.

    Attributes:
        token: Fencing token of the last acquisition; 0 before the first.
        seen_holder_id: Holder named by the row when it was last read; empty
            if the row was not read or its lease was released.
        previous_holder_id: Holder before the last acquisition, possibly this
            process itself; empty if there was none, ``UNKNOWN_HOLDER_ID`` if
            the row was lost that named it.
        acquisition: How the lease was acquired last.

    Args:
        rows: The table service.
        key: Key of the lease's row.
        holder_id: Id of this process, recorded for operators.
        duration_s: Time in seconds without a renewal after which others may
            acquire the lease; several times the time-out of the table service.
        is_sole: Whether at most one process with this holder id exists, so
            that a row which names it was written by a process that has ended.
        told_renewal: Returns the last renewal that the holder has told this
            process of, or None. While it is recent, the row is not read.
        delay_s: Time in seconds for which others may acquire a free lease
            before this process does.
    """

    def __init__(
        self,
        rows: table.Table,
        key: str,
        holder_id: str,
        duration_s: float,
        *,
        is_sole: bool = False,
        told_renewal: Callable[[], lease_renewal.Renewal | None] | None = None,
        delay_s: float = 0.0,
    ) -> None:
        self.token = 0
        self.seen_holder_id = ''
        self.previous_holder_id = ''
        self.acquisition = lease_row.Acquisition()
        self._is_sole = is_sole
        self._told_renewal = told_renewal
        self._delay_s = delay_s
        self._rows = rows
        self._key = key
        self._holder_id = holder_id
        self._duration_s = duration_s
        self._valid_until = 0.0
        # Until then, no other process can have acquired the lease in the era
        # in which this one did.
        self._excludes_until = 0.0
        self._renewed_at = 0.0
        # Version and token of the row that the next write replaces.
        self._version = 0
        self._row_read: table.ReadState | None = None
        self._row_token = 0
        # Highest token that was seen, its holder and the holder's duration.
        self._highest_token = 0
        self._highest_holder_id = ''
        self._highest_duration_s = 0.0
        self._sent_at_by_write_id: dict[str, float] = {}
        self._write_lock = semaphore.Semaphore(1)
        self._is_releasing = False

    def is_held(self) -> bool:
        """Return whether the lease is certainly still held."""
        return clock.uptime() < self._valid_until

    def renewal(self) -> lease_renewal.Renewal:
        """Return the last write of this process that took effect."""
        return lease_renewal.Renewal(
            self.token, self._version, self._renewed_at
        )

    def acquire(self) -> int:
        """Wait until the lease is acquired.

        Errors of the table service are retried without limit; use
        ``eventlet.Timeout`` to bound the wait. Only one task at a time may
        acquire or release.

        Returns:
            The fencing token, higher than every earlier one of this lease.
        """
        self._valid_until = 0.0
        earlier = self.token
        if earlier:
            self.previous_holder_id = self._holder_id
        # A renewal that was still in transit may extend the earlier token.
        while not self.is_held() or self.token == earlier:
            try:
                self._try_acquire()
            except errors.PlatformError as error:
                log.debug('Lease %s not acquired: %s.', self._key, error)
                self._sleep_share(RETRY_SHARE)
        return self.token

    def keep(self) -> None:
        """Renew the lease until it is lost or released; run this as a task."""
        share = RENEWAL_SHARE
        while self.is_held():
            self._sleep_share(share)
            try:
                self._renew()
            except errors.PlatformError as error:
                log.warning('Lease %s not renewed: %s.', self._key, error)
                share = RETRY_SHARE
            else:
                share = RENEWAL_SHARE
        log.info('Lease %s with token %s has ended.', self._key, self.token)

    def observe(self) -> None:
        """Keep ``seen_holder_id`` up to date until the task is killed."""
        while True:
            try:
                self._read()
            except errors.PlatformError as error:
                log.debug('Lease %s not read: %s.', self._key, error)
            clock.sleep(POLL_SHARE * self._duration_s)

    def release(self, limit_s: float | None = None) -> bool:
        """Release the lease, so that others need not wait for it to expire.

        If the table service is unavailable, the lease expires instead.

        Args:
            limit_s: Longest time in seconds to wait for the table service;
                None for a few tries.

        Returns:
            Whether the row shows that this process does not hold the lease.
        """
        self._is_releasing = True
        self._valid_until = 0.0
        self._excludes_until = 0.0
        with eventlet.Timeout(limit_s, exception=False):
            return self._write_release()
        return False

    def _write_release(self) -> bool:
        with self._write_lock:
            for _ in range(RELEASE_TRIES):
                try:
                    is_done = self._write(self._row_token, is_released=True)
                except errors.ConflictError:
                    return True
                except errors.PlatformError as error:
                    log.info('Lease %s not released: %s.', self._key, error)
                    continue
                if is_done:
                    return True
        return False

    def _try_acquire(self) -> None:
        row = self._read()
        read_at = clock.uptime()
        era = self._rows.era
        record = lease_row.Record.from_row(row) if row else None
        row_token = record.token if record else 0
        basis = self._find_basis(record, row_token)
        if basis is lease_row.Basis.FORGOTTEN:
            self._wait_for_forgotten_holder(row)
        elif basis is lease_row.Basis.EXPIRED:
            row = self._wait_for_expiry(row)
            # Another process may have acquired the lease and told of it.
            record = lease_row.Record.from_row(row)
            row_token = record.token
        clock.sleep(self._delay_s)
        with self._write_lock:
            if self._rows.era != era:
                raise errors.ConflictError(
                    f'the store was restored from a copy, era {self._rows.era}',
                    step='acquire',
                )
            self._is_releasing = False
            self._version = _version(row)
            self._row_read = row.read if row else None
            self._row_token = row_token
            row_holder_id = record.holder_id if record else ''
            self._set_previous_holder(basis, row_holder_id)
            self.acquisition = lease_row.Acquisition(
                basis, row_token, row_holder_id, clock.uptime() - read_at
            )
            last_token = max(row_token, self._highest_token)
            self._write(lease_row.next_token(last_token, era))

    def _set_previous_holder(
        self, basis: lease_row.Basis, row_holder_id: str
    ) -> None:
        replaced_id = row_holder_id
        if basis is lease_row.Basis.CONTINUED:
            replaced_id = self._holder_id
        elif basis is lease_row.Basis.FORGOTTEN:
            replaced_id = self._highest_holder_id
            if replaced_id in {'', self._holder_id}:
                replaced_id = UNKNOWN_HOLDER_ID
        if replaced_id != self._holder_id:
            # A retry after an unanswered write may replace its own row.
            self.previous_holder_id = replaced_id

    def _renew(self) -> None:
        with self._write_lock:
            if not self.is_held():
                return
            try:
                self._write(self.token)
            except errors.ConflictError:
                self._valid_until = 0.0
                raise

    def _read(self) -> table.Row | None:
        row = self._rows.get(self._key)
        if row is not None:
            record = lease_row.Record.from_row(row)
            is_open = not record.is_released
            self._remember(record)
            self.seen_holder_id = record.holder_id if is_open else ''
        return row

    def _find_basis(
        self, record: lease_row.Record | None, row_token: int
    ) -> lease_row.Basis:
        """Return why no other process holds the lease, maybe after a wait.

        A row that this object wrote itself is free, because it does not use an
        earlier acquisition any more.
        """
        if self._is_from_copy(row_token):
            if clock.uptime() < self._excludes_until:
                return lease_row.Basis.CONTINUED
            return lease_row.Basis.FORGOTTEN
        if row_token < self._highest_token:
            return lease_row.Basis.FORGOTTEN
        if record is None:
            return lease_row.Basis.ABSENT
        if record.is_released:
            return lease_row.Basis.RELEASED
        if self._is_sole and record.holder_id == self._holder_id:
            return lease_row.Basis.OWN_ROW
        if record.write_id in self._sent_at_by_write_id:
            return lease_row.Basis.OWN_WRITE
        return lease_row.Basis.EXPIRED

    def _is_from_copy(self, row_token: int) -> bool:
        """Return whether a row was written before the last restoration."""
        return lease_row.is_of_earlier_era(row_token, self._rows.era)

    def _wait_for_expiry(self, row: table.Row) -> table.Row:
        """Wait until a row has been unchanged for the duration of its lease.

        The reads meanwhile only detect a change early. They may fail: the
        write that follows expects the version of the returned row. While the
        holder tells of recent renewals, the row is not read.

        Args:
            row: The row. It was written before the read of it ended, so its
                holder started to count the duration before this process does.

        Returns:
            The row whose lease has expired; the holder may have told of
            renewals since the given one.

        Raises:
            errors.ConflictError: The row has changed.
        """
        duration_s = lease_row.Record.from_row(row).duration_s
        deadline = clock.uptime() + duration_s
        while clock.uptime() < deadline:
            clock.sleep(
                min(deadline - clock.uptime(), POLL_SHARE * self._duration_s)
            )
            told = self._told_renewal() if self._told_renewal else None
            if told is not None and told.is_recent(duration_s):
                deadline = clock.uptime() + duration_s
                continue
            try:
                current = self._read_unchanged(row, told)
            except errors.UnavailableError:
                continue
            if told is not None and told.has_written(current):
                row = current
                duration_s = lease_row.Record.from_row(row).duration_s
                deadline = told.sent_at + duration_s
        return row

    def _read_unchanged(
        self, row: table.Row, told: lease_renewal.Renewal | None
    ) -> table.Row:
        """Read a row that is unchanged but for a renewal that was told.

        Raises:
            errors.ConflictError: The row has changed.
            errors.UnavailableError: The row could not be read.
        """
        current = self._read()
        if current is not None:
            is_told = told is not None and told.has_written(current)
            if is_told or current.version == row.version:
                return current
        raise errors.ConflictError(
            'another process holds the lease', step='acquire'
        )

    def _wait_for_forgotten_holder(self, row: table.Row | None) -> None:
        """Wait until a holder that the restored row does not name has ended.

        The duration is the holder's own, which may differ from this process's
        while a new one is rolled out. A holder that the row names has time to
        end, too.

        Args:
            row: The row, which is older than one that was seen or from a copy;
                None if the store has none.

        Raises:
            errors.ConflictError: The row has changed.
            errors.UnavailableError: The row could not be read.
        """
        durations_s = [self._duration_s, self._highest_duration_s]
        if row is not None:
            durations_s.append(lease_row.Record.from_row(row).duration_s)
        clock.sleep(max(durations_s))
        if _version(self._read()) != _version(row):
            raise errors.ConflictError(
                'another process holds the lease', step='acquire'
            )

    def _write(self, token: int, *, is_released: bool = False) -> bool:
        """Write the row and record the write that took effect.

        Returns:
            Whether this write took effect; otherwise an earlier one did.

        Raises:
            errors.ConflictError: Another process has written the row.
            errors.UnavailableError: The row was not written.
            errors.UncertainWriteError: The row may still be written.
        """
        record = lease_row.Record(
            holder_id=self._holder_id,
            token=token,
            duration_s=self._duration_s,
            write_id=ids.new_id('write'),
            is_released=is_released,
        )
        self._track_write(record.write_id)
        put = table.Put(
            self._key, record.to_value(), self._version, self._row_read
        )
        try:
            state = self._rows.transact((put,))
        except (errors.ConflictError, errors.UncertainWriteError):
            return self._read_back() == record.write_id
        self._record_write(record, self._version + 1)
        self._row_read = state
        return True

    def _read_back(self) -> str:
        """Find out whether this or an earlier write of this object took effect.

        Returns:
            Id of the write that took effect.

        Raises:
            errors.ConflictError: Another process has written the row.
            errors.UnavailableError: The row could not be read.
            errors.UncertainWriteError: The write may still take effect.
        """
        row = self._read()
        if row is None or self._is_replaced_row(row):
            raise errors.UncertainWriteError(
                'the table service did not answer', step='write lease'
            )
        record = lease_row.Record.from_row(row)
        if record.write_id not in self._sent_at_by_write_id:
            raise errors.ConflictError(
                f'{record.holder_id} holds the lease', step='write lease'
            )
        self._record_write(record, row.version)
        self._row_read = row.read
        return record.write_id

    def _is_replaced_row(self, row: table.Row) -> bool:
        """Return whether a row is still the one that a write replaces."""
        is_known = row.read is not None and self._row_read is not None
        is_same = row.read == self._row_read or not is_known
        return row.version == self._version and is_same

    def _record_write(self, record: lease_row.Record, version: int) -> None:
        """Record a write of this object that took effect.

        All other writes still in transit expected an older version and can no
        longer take effect.
        """
        sent_at = self._sent_at_by_write_id[record.write_id]
        self._sent_at_by_write_id = {record.write_id: sent_at}
        self._version = version
        self._row_token = record.token
        self.token = record.token
        self._remember(record)
        self.seen_holder_id = '' if record.is_released else record.holder_id
        if self._is_from_copy(record.token):
            # Another process may have been the last holder of that era.
            self._valid_until = 0.0
        elif not self._is_releasing and not record.is_released:
            valid_s = self._duration_s * (1 - SAFETY_MARGIN_SHARE)
            self._renewed_at = sent_at
            self._valid_until = sent_at + valid_s
            self._excludes_until = self._valid_until

    def _remember(self, record: lease_row.Record) -> None:
        if record.token >= self._highest_token:
            self._highest_token = record.token
            self._highest_holder_id = record.holder_id
            self._highest_duration_s = record.duration_s

    def _track_write(self, write_id: str) -> None:
        sent = {**self._sent_at_by_write_id, write_id: clock.uptime()}
        newest = list(sent.items())[-MAX_TRACKED_WRITES:]
        self._sent_at_by_write_id = dict(newest)

    def _sleep_share(self, share: float) -> None:
        jitter = random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        clock.sleep(share * jitter * self._duration_s)


def _version(row: table.Row | None) -> int:
    """Return the version of a row; 0 if it does not exist."""
    return row.version if row else 0
