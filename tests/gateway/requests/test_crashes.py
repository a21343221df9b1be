"""Tests of what hosts remember of requests that upstreams crashed under."""

import types as builtin_types

import eventlet
import pytest

from ivystep.core import errors
from ivystep.gateway.requests import crashes, request_state
from ivystep.gateway.store import row_writer
from ivystep.platform import crash_rows, rows
from ivystep.policy import quarantine
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes

FINGERPRINT = b'f' * 32


class SharedRows:
    """A store that passes each write on to all hosts, unless it is away."""

    def __init__(self):
        self.version = 0
        self.is_away = False
        self.row_by_key = {}
        self.hosts = []
        self.transactions = 0

    def transact(self, writes):
        if self.is_away:
            raise errors.UncertainWriteError('timed out', step='send')
        self.version += 1
        self.transactions += 1
        for write in writes:
            row = rows.StoredRow(
                write.table,
                write.key,
                write.content or b'',
                self.version,
                write.content is None,
            )
            self.row_by_key[write.key] = row
            for host in self.hosts:
                host.crashes.apply_row(row)

    @property
    def kept(self):
        return [row for row in self.row_by_key.values() if not row.is_deleted]


class Host:
    """A host that sees crashes and follows those of the others."""

    def __init__(self, store):
        self.log = fakes.FakeLog()
        self.crashes = crashes.Crashes(
            row_writer.RowWriter(store, crash_rows.TABLE, self.log), self.log
        )
        store.hosts.append(self)

    def lose(self, upstream_id, *, is_refused=lambda: True, is_draining=False):
        """Lose the answer of the request to an upstream."""
        upstream = builtin_types.SimpleNamespace(
            upstream_id=upstream_id,
            entry=fakes.entry(upstream_id),
            is_draining=is_draining,
            connections=builtin_types.SimpleNamespace(
                is_refused=is_refused, is_unreachable=is_refused
            ),
        )
        self.crashes.on_answer_lost(request(), upstream)
        clock.sleep(0.1)

    def complete(self, status=200):
        self.crashes.on_completed(request(status=status))
        clock.sleep(0.1)

    @property
    def is_refused(self):
        try:
            self.crashes.raise_if_refused(request())
        except errors.RefusedError as error:
            return error.retry_after_s > 0
        return False


def request(fingerprints=(FINGERPRINT,), status=0):
    return builtin_types.SimpleNamespace(
        fingerprints=fingerprints,
        content_id='f',
        step='place',
        call=builtin_types.SimpleNamespace(request_id='r-1', caller='10.9.0.7'),
        route=builtin_types.SimpleNamespace(name='plans'),
        answer=builtin_types.SimpleNamespace(status=status),
        logged_parts='p-1',
        shared_parts=(),
        progress=request_state.AttemptProgress(),
    )


@pytest.fixture
def hosts():
    store = SharedRows()
    return store, Host(store), Host(store)


@clocks.on_virtual_clock
def test_crashes_seen_by_several_hosts_add_up(hosts):
    """Guards against three crashes for each host."""
    _, first, second = hosts
    first.lose('i-1')
    second.lose('i-2')
    assert not second.is_refused
    first.lose('i-3')
    assert (first.is_refused, second.is_refused) == (True, True)


@clocks.on_virtual_clock
def test_one_crash_that_several_hosts_see_counts_once(hosts):
    """Guards against a refusal after a single crash."""
    _, first, second = hosts
    for _ in range(crashes.CRASHES_TO_REFUSE):
        first.lose('i-1')
        second.lose('i-1')
    assert not first.is_refused


@pytest.mark.parametrize(
    'more', [{'is_refused': lambda: False}, {'is_draining': True}]
)
def test_upstream_that_lives_or_leaves_has_not_crashed(hosts, more):
    """Guards against refusals because of lost answers or planned stops."""

    @clocks.on_virtual_clock
    def scenario():
        _, first, _ = hosts
        for number in range(9):
            first.lose(f'i-{number}', **more)
        assert not first.is_refused

    scenario()


@clocks.on_virtual_clock
def test_crash_counts_if_its_request_ends_while_it_is_confirmed(hosts):
    """Guards against crashes that are lost as callers leave or time out."""
    _, first, _ = hosts

    def is_refused():
        clock.sleep(0.1)
        return True

    for number in range(crashes.CRASHES_TO_REFUSE):
        task = eventlet.spawn(first.lose, f'i-{number}', is_refused=is_refused)
        clock.sleep(0.05)
        task.kill()
        clock.sleep(0.1)
    assert first.is_refused


@clocks.on_virtual_clock
def test_crash_is_told_by_its_own_attempt_if_the_next_one_has_begun(hosts):
    """Guards against evidence of an attempt at another upstream."""
    _, first, _ = hosts
    lost = request()
    lost.progress.sent_at = clock.now() - 2.0

    def is_unreachable():
        clock.sleep(0.4)
        return True

    upstream = builtin_types.SimpleNamespace(
        upstream_id='i-1',
        entry=fakes.entry('i-1'),
        is_draining=False,
        connections=builtin_types.SimpleNamespace(
            is_unreachable=is_unreachable
        ),
    )
    eventlet.spawn(first.crashes.on_answer_lost, lost, upstream)
    clock.sleep(0.2)
    lost.progress = request_state.AttemptProgress(sent_at=clock.now())
    clock.sleep(0.5)
    (logged,) = first.log.named('upstream_crashed')
    assert 2000 <= logged.sent_ms < 2100


@clocks.on_virtual_clock
def test_first_row_of_a_crash_is_logged_by_the_other_hosts(hosts):
    """Guards against rows that come late without a trace in the log."""
    _, first, second = hosts
    for _ in range(2):
        first.lose('i-1')
    first.lose('i-2')
    learned = second.log.named('crash_learned')
    assert [one.upstream for one in learned] == ['i-1', 'i-2']
    assert all(0 <= one.age_ms < 100 for one in learned)
    assert not first.log.named('crash_learned')


@clocks.on_virtual_clock
def test_request_that_completes_is_cleared_at_all_hosts(hosts):
    """Guards against a refusal of requests that ran beside a crashing one."""
    store, first, second = hosts
    first.lose('i-1')
    first.lose('i-2')
    for _ in range(crashes.SUCCESSES_TO_CLEAR):
        second.complete()
    first.lose('i-3')
    assert not first.is_refused
    assert len(store.kept) == 1


@clocks.on_virtual_clock
def test_request_that_crashes_some_upstreams_only_is_not_cleared(hosts):
    """Guards against a crashing request that completes now and then."""
    _, first, second = hosts
    for number in range(crashes.CRASHES_TO_REFUSE):
        second.complete()
        first.lose(f'i-{number}')
        second.complete()
    assert second.is_refused


@clocks.on_virtual_clock
def test_failure_status_clears_nothing(hosts):
    """Guards against a crashing request cleared by an upstream's error."""
    _, first, second = hosts
    first.lose('i-1')
    first.lose('i-2')
    for _ in range(crashes.SUCCESSES_TO_CLEAR):
        second.complete(status=500)
    first.lose('i-3')
    assert first.is_refused


@clocks.on_virtual_clock
def test_crashes_during_an_outage_of_the_store_are_written_after_it(hosts):
    """Guards against crashes that other hosts never learn of."""
    store, first, second = hosts
    store.is_away = True
    for number in range(crashes.CRASHES_TO_REFUSE):
        first.lose(f'i-{number}')
    assert (first.is_refused, second.is_refused) == (True, False)
    store.is_away = False
    clock.sleep(2 * row_writer.MAX_RETRY_S)
    assert second.is_refused


@clocks.on_virtual_clock
def test_requests_of_one_crash_share_transactions():
    """Guards against a write call for each request of a crashed engine."""
    store = SharedRows()
    writer = row_writer.RowWriter(store, crash_rows.TABLE, fakes.FakeLog())
    for number in range(60):
        writer.write(rows.RowWrite(crash_rows.TABLE, str(number), b'{}'))
    clock.sleep(0.1)
    assert (store.transactions, len(store.kept)) == (1, 60)


@clocks.on_virtual_clock
def test_expired_crashes_are_forgotten_and_deleted(hosts, monkeypatch):
    """Guards against rows that stay in the store for ever."""
    store, first, second = hosts
    for number in range(crashes.CRASHES_TO_REFUSE):
        first.lose(f'i-{number}')
    elapsed_s = quarantine.RETENTION_S + 1
    started = clock.wall_time()
    monkeypatch.setattr(clock, 'wall_time', lambda: started + elapsed_s)
    clock.sleep(elapsed_s)
    assert not second.is_refused
    second.crashes.remove_expired()
    clock.sleep(0.1)
    assert not store.kept


@clocks.on_virtual_clock
def test_new_host_reads_the_crashes_of_the_others(hosts):
    """Guards against crashes that are forgotten with a host's restart."""
    store, first, _ = hosts
    for number in range(crashes.CRASHES_TO_REFUSE):
        first.lose(f'i-{number}')
    started = Host(store)
    started.crashes.replace_rows(store.kept)
    assert started.is_refused


@pytest.mark.parametrize(
    'content', [b'', b'[]', b'{"fingerprint": 4}', b'\xff', b'{}']
)
def test_malformed_row_is_ignored_and_logged(hosts, content):
    """Guards against one malformed row that stops the feed."""
    _, first, _ = hosts
    first.crashes.apply_row(rows.StoredRow(crash_rows.TABLE, 'k', content, 1))
    assert first.log.named('entry_ignored')


@clocks.on_virtual_clock
def test_crashes_are_written_again_after_the_store_was_restored(hosts):
    """Guards against crashes that a restored copy has forgotten."""
    store, first, second = hosts
    for number in range(crashes.CRASHES_TO_REFUSE):
        first.lose(f'i-{number}')
    store.row_by_key.clear()
    for host in (first, second):
        host.crashes.on_store_restored()
    clock.sleep(0.1)
    started = Host(store)
    started.crashes.replace_rows(store.kept)
    assert started.is_refused
    assert store.transactions == 1 + crashes.CRASHES_TO_REFUSE
