"""Tests of hosts that rely on the leader's progress instead of polling."""

import contextlib

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.store import feeds, table_progress
from ivystep.platform import rows
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes

MAX_AGE_S = 1.2
HEARTBEAT_S = 0.15
WAIT_S = 1.0
TABLE = 'op'


class FakeStore:
    """A store with one table, whose steady clock starts at 1,000 s."""

    def __init__(self):
        self.version = 7
        self.era = 0
        self.polls = 0
        self.is_down = False
        self._changed = []

    def write(self, key):
        self.version += 1
        self._changed.append(rows.StoredRow(TABLE, key, b'', self.version))

    def read_all(self, table):
        return self._answer(self._changed)

    def changes(self, table, after, wait_s):
        self.polls += 1
        end = clock.now() + wait_s
        while clock.now() < end and not self._later_than(after):
            clock.sleep(0.01)
        if self.is_down:
            raise errors.UnavailableError('down', step='read', peer='store')
        return self._answer(self._later_than(after))

    @property
    def time_s(self):
        return 1000 + clock.now()

    def _later_than(self, version):
        return [row for row in self._changed if row.version > version]

    def _answer(self, found):
        return rows.RowSet(
            tuple(found), self.version, era=self.era, store_time_s=self.time_s
        )


class RecordingSink:
    """A sink that records when each row arrived."""

    def __init__(self):
        self.arrived_at = {}
        self.written_after = {}

    def replace_rows(self, found):
        for row in found:
            self.apply_row(row)

    def apply_row(self, row):
        self.arrived_at[row.key] = clock.now()
        self.written_after[row.key] = row.written_after

    def on_store_lost(self):
        return

    on_store_regained = on_store_restored = on_store_lost


class Host:
    """A host that follows the table, and the leader that tells of it."""

    def __init__(self, needed_version=None):
        self.store = FakeStore()
        self.sink = RecordingSink()
        self.not_needed = 0
        self.shared = table_progress.SharedProgress(
            MAX_AGE_S, lambda: False, self._on_current
        )
        self.feed = feeds.TableFeed(
            self.store,
            TABLE,
            self.sink,
            fakes.FakeLog(),
            feeds.FeedTimings(WAIT_S),
            shared=self.shared,
            needed_version=needed_version,
        )

    def tell(self, version, age_s=0.1, era=0):
        self.shared.record(
            [
                table_progress.TableProgress(
                    TABLE, era, version, self.store.time_s - age_s
                )
            ]
        )

    def tell_for(self, seconds, version, **more):
        end = clock.now() + seconds
        while clock.now() < end:
            self.tell(version, **more)
            clock.sleep(HEARTBEAT_S)

    def _on_current(self):
        self.not_needed += 1


@contextlib.contextmanager
def following(**more):
    """Run a host whose leader has just told that it knows all changes."""
    host = Host(**more)
    host.feed.step()
    host.tell(7)
    task = eventlet.spawn(host.feed.run)
    host.tell_for(2 * WAIT_S, 7)
    host.store.polls = 0
    try:
        yield host
    finally:
        task.kill()


@clocks.on_virtual_clock
def test_host_does_not_poll_while_the_leader_knows_of_no_change():
    """Guards against store calls in proportion to the hosts."""
    with following() as host:
        host.tell_for(10, 7)
        assert host.store.polls == 0
        assert host.not_needed > 5


@clocks.on_virtual_clock
def test_change_that_the_leader_tells_of_is_read_at_once():
    """Guards against a change that waits for the age of the progress."""
    with following() as host:
        host.store.write('config')
        told_at = clock.now()
        host.tell(8)
        clock.sleep(0.1)
        assert host.sink.arrived_at['config'] == pytest.approx(
            told_at, abs=0.05
        )


@pytest.mark.parametrize('is_silent', [True, False])
def test_change_is_found_without_a_leader_that_knows_of_it(is_silent):
    """Guards against changes missed when the leader stops or loses the store.

    A leader that has lost the store goes on to tell of its old progress.
    """

    @clocks.on_virtual_clock
    def scenario():
        with following() as host:
            complete_at = host.store.time_s
            host.store.write('config')
            for _ in range(20):
                if not is_silent:
                    host.tell(7, age_s=host.store.time_s - complete_at)
                clock.sleep(HEARTBEAT_S)
            waited_s = host.sink.arrived_at['config'] - (complete_at - 1000)
            assert waited_s <= MAX_AGE_S + HEARTBEAT_S

    scenario()


@clocks.on_virtual_clock
def test_host_polls_once_the_store_was_restored():
    """Guards against versions of two eras that are compared."""
    with following() as host:
        host.store.era = 1
        host.tell(3, era=1)
        clock.sleep(0.1)
        assert host.store.polls > 0


@clocks.on_virtual_clock
def test_host_polls_during_its_own_outage():
    """Guards against an outage of which only this host does not notice."""
    with following() as host:
        host.store.is_down = True
        host.tell_for(3, 8)
        assert host.store.polls > 3


@clocks.on_virtual_clock
def test_time_of_a_change_is_bounded_by_the_leaders_progress():
    """Guards against a replaced adapter version whose time is over at once."""
    with following() as host:
        host.tell_for(5, 7)
        written_at = clock.uptime()
        host.store.write('version')
        host.tell(8)
        clock.sleep(0.1)
        after = host.sink.written_after['version']
        assert written_at - MAX_AGE_S <= after <= written_at


@clocks.on_virtual_clock
def test_progress_without_all_changes_bounds_no_time():
    """Guards against a bound on a change that the leader does not report."""
    with following(needed_version=lambda: 7) as host:
        host.tell_for(5, 7)
        told_at = clock.uptime()
        host.store.write('adapter')
        host.tell(8)
        clock.sleep(0.1)
        assert host.sink.written_after['adapter'] < told_at - 4


@clocks.on_virtual_clock
def test_table_is_polled_before_the_store_drops_its_history():
    """Guards against a whole read after each long time without a change."""
    with following() as host:
        host.tell_for(feeds.MAX_SKIP_S + WAIT_S, 7)
        assert 1 <= host.store.polls <= 2


@clocks.on_virtual_clock
def test_leader_polls_often_enough_for_the_other_hosts():
    """Guards against a progress that is too old when it is told."""
    leader = table_progress.SharedProgress(
        MAX_AGE_S, lambda: True, lambda: None
    )
    assert leader.limit_poll_s(30.0) < MAX_AGE_S / 2
    other = table_progress.SharedProgress(
        MAX_AGE_S, lambda: False, lambda: None
    )
    assert other.limit_poll_s(30.0) == pytest.approx(30)


@clocks.on_virtual_clock
def test_leader_tells_the_version_of_the_last_change_that_others_need():
    """Guards against polls of all hosts for each adapter that is loaded."""
    needed = [7]
    host = Host(needed_version=lambda: needed[0])
    assert host.feed.progress() is None
    host.feed.step()
    host.store.write('adapters')
    host.feed.step()
    assert host.feed.progress().version == 7
    needed[0] = 8
    assert host.feed.progress().version == 8
    assert host.feed.progress().complete_at_s <= host.store.time_s


@clocks.on_virtual_clock
def test_leader_tells_nothing_of_a_table_that_it_cannot_read():
    """Guards against hosts that rely on a leader without the store."""
    host = Host()
    host.feed.step()
    task = eventlet.spawn(host.feed.run)
    host.store.is_down = True
    clock.sleep(2 * WAIT_S)
    assert host.feed.progress() is None
    task.kill()
