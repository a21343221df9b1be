"""Tests of the task that writes rows to the store."""

from ivystep.gateway.store import row_writer
from ivystep.platform import crash_rows, rows
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes


class OddStore:
    """A store whose client fails once by an error that nobody expects."""

    def __init__(self):
        self.transactions = 0

    def transact(self, writes):
        self.transactions += 1
        if self.transactions == 1:
            raise OverflowError('odd')
        return self.transactions


@clocks.on_virtual_clock
def test_rows_are_written_after_an_unexpected_error():
    """Guards against crashes and stream origins that are never stored again."""
    writer = row_writer.RowWriter(OddStore(), crash_rows.TABLE, fakes.FakeLog())
    writer.write(rows.RowWrite(crash_rows.TABLE, 'first', b'{}'))
    clock.sleep(10)
    later = writer.write(rows.RowWrite(crash_rows.TABLE, 'later', b'{}'))
    assert later.wait(10)
