"""Tests of what hosts know of the software versions that began streams."""

import dataclasses

import pytest

from ivystep.core import errors
from ivystep.gateway import request_state, upstream_state
from ivystep.platform import rows, stream_rows
from ivystep.runtime import clock
from ivystep.stream_origins import origins
from ivystep.traffic import calls, contracts
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.traffic import test_contracts

SERVICE = 'llm'


class FakeStore:
    """A store that counts its calls and can be away."""

    def __init__(self):
        self.calls = 0
        self.is_away = False
        self.delay_s = 0.0
        self.row_by_key = {}

    def transact(self, writes):
        self._count()
        for write in writes:
            self.row_by_key.pop(write.key, None)
            if write.content is not None:
                self.row_by_key[write.key] = rows.StoredRow(
                    write.table, write.key, write.content, 1
                )

    def read(self, table, first, end, limit):
        clock.sleep(self.delay_s)
        self._count()
        found = self.row_by_key.get(first)
        return rows.RowSet((found,) if found else (), 1)

    def read_all(self, table):
        self._count()
        return rows.RowSet(tuple(self.row_by_key.values()), 1)

    def _count(self):
        if self.is_away:
            raise errors.UnavailableError('away', step='read')
        self.calls += 1


def upstream(upstream_id, version):
    entry = dataclasses.replace(
        fakes.entry(upstream_id), service=SERVICE, software_version=version
    )
    return upstream_state.Upstream(entry)


OLD = upstream('i-1', 'v1')
NEW = upstream('i-2', 'v2')


class Answer:
    """An answer of which the caller has received some events."""

    def __init__(self, last_event_id):
        self.last_event_id = last_event_id


class Host:
    """A host that has run longer than any stream."""

    def __init__(self, store, *upstreams):
        self.log = fakes.FakeLog()
        self.origins = origins.StreamOrigins.from_store(store, self.log)
        for known in upstreams:
            self.origins.on_upstream(known)
        clock.sleep(origins.RETENTION_S)

    def begin(self, request_id, target):
        self.origins.record(state(request_id), target)
        clock.sleep(0.1)

    def take_up(self, request_id):
        """Return the software version that a taken-up stream needs."""
        taken_up = state('r-later', resumed=request_id)
        self.origins.resolve(taken_up)
        return taken_up.required_version


def restart(store, *upstreams):
    """Return what a host knows that starts after all others have ended."""
    started = origins.StreamOrigins.from_store(store, fakes.FakeLog())
    for known in upstreams:
        started.on_upstream(known)
    clock.sleep(0.1)
    return started


def state(request_id, resumed='', services=(SERVICE,)):
    after = '2' if resumed else ''
    call = calls.Call(
        request_id=request_id,
        method='POST',
        target='/a/',
        host='ficu.example',
        headers=(),
        body=b'',
        arrived=clock.now(),
        resumes_after=after,
        resumed_request_id=resumed,
    )
    route = test_contracts.route(
        '/a/',
        kind=contracts.Repeatability.STREAM,
        is_resumable=True,
        shares=tuple(contracts.ServiceShare(one, 1.0) for one in services),
    )
    return request_state.RequestState.from_call(call, route, Answer(after))


@clocks.on_virtual_clock
def test_one_version_costs_no_calls_to_the_store():
    """Guards against a write for each stream while nothing can be mixed."""
    store = FakeStore()
    host = Host(store, OLD)
    host.begin('r-1', OLD)
    assert host.take_up('r-1') == 'v1'
    assert host.take_up('r-of-another-host') is None
    assert store.calls == 0


@clocks.on_virtual_clock
def test_streams_in_progress_are_written_when_a_second_version_appears():
    """Guards against streams that nobody can place during an upgrade."""
    store = FakeStore()
    host = Host(store, OLD)
    host.begin('r-1', OLD)
    host.origins.on_upstream(NEW)
    clock.sleep(0.1)
    assert Host(store, OLD, NEW).take_up('r-1') == 'v1'


@clocks.on_virtual_clock
def test_attempt_at_another_version_replaces_the_origin():
    """Guards against the version of an attempt that brought no event."""
    store = FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    host.begin('r-1', NEW)
    assert host.take_up('r-1') == 'v2'
    assert Host(store, OLD, NEW).take_up('r-1') == 'v2'


@clocks.on_virtual_clock
def test_new_host_looks_for_versions_that_it_has_not_seen():
    """Guards against a stream of a version that left before a restart."""
    store = FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    restarted = origins.StreamOrigins.from_store(store, fakes.FakeLog())
    restarted.on_upstream(NEW)
    taken_up = state('r-2', resumed='r-1')
    restarted.resolve(taken_up)
    assert taken_up.required_version == 'v1'


@clocks.on_virtual_clock
def test_stream_is_refused_while_the_store_cannot_tell_its_version():
    """Guards against a guess during an outage of the store."""
    store = FakeStore()
    host = Host(store, OLD, NEW)
    store.is_away = True
    with pytest.raises(errors.RefusedError, match='No upstream is known'):
        host.take_up('r-of-another-host')


@clocks.on_virtual_clock
def test_stream_does_not_wait_long_for_a_silent_store():
    """Guards against a late stream where nothing can be mixed."""
    store = FakeStore()
    store.delay_s = 1.0
    started = origins.StreamOrigins.from_store(store, fakes.FakeLog())
    started.on_upstream(OLD)
    before = clock.now()
    started.resolve(state('r-2', resumed='r-1'))
    assert clock.now() - before <= origins.READ_TIMEOUT_S


@clocks.on_virtual_clock
def test_stream_of_a_service_that_its_route_has_left_is_refused():
    """Guards against the version of one service at another service."""
    store = FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    with pytest.raises(errors.RefusedError):
        host.origins.resolve(state('r-2', 'r-1', services=('other',)))


@clocks.on_virtual_clock
def test_rows_are_deleted_when_their_streams_have_ended():
    """Guards against rows that fill the store."""
    store = FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    clock.sleep(origins.RETENTION_S)
    host.begin('r-2', OLD)
    assert len(store.row_by_key) == 1


@clocks.on_virtual_clock
def test_rows_of_hosts_that_have_ended_are_deleted(monkeypatch):
    """Guards against rows that nobody deletes."""
    store = FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    later = clock.wall_time() + 3 * origins.RETENTION_S
    monkeypatch.setattr(clock, 'wall_time', lambda: later)
    leader = Host(store, OLD, NEW)
    leader.begin('r-2', OLD)
    leader.origins.remove_abandoned()
    clock.sleep(0.1)
    assert len(store.row_by_key) == 1


@clocks.on_virtual_clock
def test_malformed_row_is_ignored():
    """Guards against an exception on a row of another program."""
    store = FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    for key in store.row_by_key:
        store.row_by_key[key] = rows.StoredRow(stream_rows.TABLE, key, b'{', 2)
    with pytest.raises(errors.RefusedError):
        Host(store, OLD, NEW).take_up('r-1')


@clocks.on_virtual_clock
def test_stream_of_the_version_before_a_restart_is_refused():
    """Guards against a stream joined of two versions after a restart.

    While it ran, one version served, so that it has no row. The first host
    that starts again lists upstreams of the new version only.
    """
    store = FakeStore()
    Host(store, OLD).begin('r-1', OLD)
    restarted = restart(store, NEW)
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1'))


@clocks.on_virtual_clock
@pytest.mark.parametrize('delay_s', [0.0, 1.0])
def test_new_host_refuses_streams_while_the_store_does_not_tell(delay_s):
    """Guards against an unreadable row that is taken for no row."""
    store = FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    restarted = restart(store, NEW)
    store.is_away = not delay_s
    store.delay_s = delay_s
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1'))


@clocks.on_virtual_clock
def test_stream_whose_row_was_lost_with_its_host_is_refused():
    """Guards against a row that was never written taken for one version."""
    store = FakeStore()
    host = Host(store, OLD, NEW)
    store.is_away = True
    host.begin('r-1', OLD)
    # The queue of the writer ends with its host.
    host.origins._writer._pending.clear()
    store.is_away = False
    restarted = restart(store, NEW)
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1'))
