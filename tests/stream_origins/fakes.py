"""A store of rows that counts its calls and can be away."""

import contextlib

from ivystep.core import errors
from ivystep.platform import rows
from ivystep.runtime import clock

# The store's clock differs from that of hosts.
CLOCK_OFFSET_S = 7000.0


class FakeStore:
    """A store that counts its calls, can be away and can be restored.

    Attributes:
        calls: Number of calls that were answered.
        is_away: Whether all calls are refused.
        delay_s: Time until a read is answered.
        write_delay_s: Time until a write is carried out.
        loses_answers: Whether writes are carried out and not answered.
        holds_writes: Whether writes are not answered and wait in ``held``.
        era: Number of times that it was restored.
    """

    def __init__(self):
        self.calls = 0
        self.is_away = False
        self.delay_s = 0.0
        self.write_delay_s = 0.0
        self.loses_answers = False
        self.holds_writes = False
        self.held = []
        self.era = 0
        self.row_by_key = {}
        self._version = 0

    def rows(self, table):
        return [row for row in self.row_by_key.values() if row.table == table]

    def put(self, row):
        self.row_by_key[row.table, row.key] = row

    def restore(self, copied):
        """Return to a copy of ``row_by_key``."""
        self.row_by_key = dict(copied)
        self.era += 1

    def transact(self, writes):
        clock.sleep(self.write_delay_s)
        self._count()
        if self.holds_writes:
            self.held.append(writes)
            raise errors.UncertainWriteError('held', step='transact')
        refused = [write for write in writes if not self._is_expected(write)]
        if refused:
            found = (self._find(write) for write in refused)
            raise rows.RowConflictError(
                'conflict', tuple(row for row in found if row), peer='store'
            )
        self._version += 1
        for write in writes:
            self.row_by_key.pop((write.table, write.key), None)
            if write.content is not None:
                self.put(
                    rows.StoredRow(
                        write.table, write.key, write.content, self._version
                    )
                )
        if self.loses_answers:
            raise errors.UncertainWriteError('lost', step='transact')
        return self._version

    def carry_out_held(self):
        """Carry out the held writes whose conditions still hold."""
        self.holds_writes = False
        while self.held:
            with contextlib.suppress(errors.ConflictError):
                self.transact(self.held.pop(0))

    def read(self, table, first='', end='', limit=500):
        clock.sleep(self.delay_s)
        self._count()
        found = sorted(
            (
                row
                for row in self.rows(table)
                if row.key >= first and (not end or row.key < end)
            ),
            key=lambda row: row.key,
        )
        return self._page(found[:limit])

    def read_all(self, table):
        self._count()
        return self._page(self.rows(table))

    def _page(self, found):
        return rows.RowSet(
            tuple(found),
            self._version,
            era=self.era,
            store_time_s=clock.now() + CLOCK_OFFSET_S,
        )

    def _find(self, write):
        return self.row_by_key.get((write.table, write.key))

    def _is_expected(self, write):
        row = self._find(write)
        version = row.version if row else 0
        return write.expected in {None, version}

    def _count(self):
        if self.is_away:
            raise errors.UnavailableError('away', step='read')
        self.calls += 1
