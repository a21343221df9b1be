"""Tests of a feed that follows a table of the store."""

import contextlib
import math

import pytest

from ivystep.core import errors
from ivystep.gateway.store import feeds
from ivystep.platform import rows
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes


class FakeStore:
    """Store that gives scripted answers and records the calls."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.latency_s = 0.0

    def read_all(self, table):
        return self._next('read')

    def changes(self, table, after, wait_s):
        return self._next(f'changes after {after}')

    def _next(self, call):
        self.calls.append(call)
        if self.latency_s:
            clock.sleep(self.latency_s)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FakeSink:
    """Sink that records its calls."""

    def __init__(self):
        self.calls = []
        self.written_after = {}

    def replace_rows(self, found):
        for row in found:
            self.written_after[row.key] = row.written_after
        self.calls.append(('all', [row.key for row in found]))

    def apply_row(self, row):
        self.written_after[row.key] = row.written_after
        self.calls.append(('one', row.key))

    def on_store_lost(self):
        self.calls.append('lost')

    def on_store_restored(self):
        self.calls.append('restored')

    def on_store_regained(self):
        self.calls.append('regained')


def found(version, *keys, era=None, store_time_s=None):
    stored = tuple(rows.StoredRow('t', key, b'', version) for key in keys)
    return rows.RowSet(stored, version, era=era, store_time_s=store_time_s)


def feed_of(*answers):
    store = FakeStore(*answers)
    sink = FakeSink()
    return (
        feeds.TableFeed(
            store, 't', sink, fakes.FakeLog(), feeds.FeedTimings(1.0, 0.1)
        ),
        store,
        sink,
    )


def steps(feed, count):
    for _ in range(count):
        feed.step()


def test_changes_are_requested_after_the_last_version():
    """Guards against a change that is lost between a read and the feed."""
    feed, store, sink = feed_of(found(4, 'a'), found(6, 'b'), found(6))
    steps(feed, 3)
    assert store.calls == ['read', 'changes after 4', 'changes after 6']
    assert sink.calls == [('all', ['a']), ('one', 'b')]


def test_table_is_read_again_after_its_history_was_dropped():
    """Guards against an upstream kept because its deletion was dropped."""
    feed, _, sink = feed_of(
        found(4, 'a', 'b'),
        rows.HistoryGoneError('gone'),
        found(9, 'a'),
    )
    steps(feed, 2)
    assert sink.calls[-1] == ('all', ['a'])
    assert feed.version == 9


def test_older_state_is_not_applied():
    """Guards against a configuration that reverts after a stale read."""
    feed, _, sink = feed_of(
        found(9, 'a'), rows.HistoryGoneError('gone'), found(5, 'b')
    )
    feed.step()
    with pytest.raises(errors.UnavailableError):
        feed.step()
    assert sink.calls == [('all', ['a'])]
    assert feed.version == 9


def test_older_state_is_applied_if_the_store_was_restored():
    """Guards against a host that follows nothing after a restored copy."""
    feed, _, sink = feed_of(
        found(9, 'a', era=3),
        rows.HistoryGoneError('gone'),
        found(5, 'b', era=4),
        found(6, 'c', era=4),
    )
    steps(feed, 3)
    assert sink.calls == [
        ('all', ['a']),
        'lost',
        'restored',
        ('all', ['b']),
        'regained',
        ('one', 'c'),
    ]
    assert feed.version == 6


def test_restored_store_is_read_again_though_its_versions_have_caught_up():
    """Guards against rows that were written again below the feed's version."""
    feed, store, sink = feed_of(
        found(9, 'a', era=3),
        found(11, 'b', era=4),
        found(11, 'a', 'b', 'c', era=4),
    )
    steps(feed, 2)
    assert store.calls == ['read', 'changes after 9', 'read']
    assert sink.calls[-2:] == [('all', ['a', 'b', 'c']), 'regained']


def test_late_answer_from_before_the_restoration_changes_nothing():
    """Guards against a state that the store no longer has."""
    feed, _, sink = feed_of(
        found(5, 'a', era=4), found(9, 'b', era=3), found(6, 'c', era=4)
    )
    feed.step()
    with pytest.raises(errors.UnavailableError):
        feed.step()
    feed.step()
    assert sink.calls == [('all', ['a']), ('one', 'c')]


def test_answer_without_an_era_belongs_to_the_known_one():
    """Guards against a store that is read again and again."""
    feed, store, _ = feed_of(
        found(5, 'a', era=4), found(6, 'b'), found(7, 'c', era=4)
    )
    steps(feed, 3)
    assert store.calls == ['read', 'changes after 5', 'changes after 6']


@clocks.on_virtual_clock
def test_outage_is_reported_once_and_survived():
    """Guards against a feed that ends, or that floods the log, in an outage."""
    down = errors.UnavailableError('down')
    feed, store, sink = feed_of(found(1), down, down, down, found(2, 'a'))
    task = clocks.eventlet.spawn(feed.run)
    clock.sleep(10)
    task.kill()
    assert sink.calls == [('all', []), 'lost', ('one', 'a'), 'regained']
    assert not store.answers


@clocks.on_virtual_clock
def test_rows_tell_when_the_store_did_not_contain_them():
    """Guards against a change whose age the log does not show."""
    feed, _, sink = feed_of(
        found(4, 'a'), found(6, 'b'), rows.HistoryGoneError('gone'), found(9)
    )
    feed.step()
    assert sink.written_after == {'a': -math.inf}
    read_at = clock.uptime()
    clock.sleep(7)
    feed.step()
    assert sink.written_after['b'] == read_at


@clocks.on_virtual_clock
def test_age_of_a_change_follows_the_clock_of_the_store():
    """Guards against a long poll that makes a change look older than it is."""
    feed, store, sink = feed_of(
        found(4, store_time_s=50.0),
        found(4, store_time_s=51.0),
        found(6, 'b', store_time_s=52.0),
    )
    feed.step()
    store.latency_s = 1.0
    steps(feed, 2)
    age_s = clock.uptime() - sink.written_after['b']
    assert age_s == pytest.approx(1.0)


@clocks.on_virtual_clock
def test_stale_answer_does_not_say_that_the_store_lacked_a_row():
    """Guards against a version that seems newer than it is.

    The second answer is from a copy of the store that is behind; the row had
    been written by then.
    """
    feed, _, sink = feed_of(found(9, 'a'), found(6), found(10, 'b'))
    feed.step()
    read_at = clock.uptime()
    clock.sleep(3)
    with contextlib.suppress(errors.UnavailableError):
        feed.step()
    clock.sleep(0.1)
    feed.step()
    assert sink.written_after['b'] <= read_at


class FailingSink(FakeSink):
    """Sink in which one row raises an error that nobody expects."""

    def apply_row(self, row):
        if row.key == 'odd':
            raise OverflowError('int too large to convert to float')
        super().apply_row(row)


@clocks.on_virtual_clock
def test_row_that_raises_an_error_does_not_keep_back_the_others():
    """Guards against a host that stops to follow a table at one row."""
    log = fakes.FakeLog()
    store = FakeStore(found(1), found(2, 'odd', 'b'), found(3, 'c'))
    sink = FailingSink()
    feed = feeds.TableFeed(store, 't', sink, log, feeds.FeedTimings(1.0, 0.1))
    for _ in range(3):
        feed.step()
    assert sink.calls[1:] == [('one', 'b'), ('one', 'c')]
    assert [event.key for event in log.named('row_failed')] == ['odd']
