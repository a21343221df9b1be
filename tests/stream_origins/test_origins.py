"""Tests of what hosts know of the software versions that began streams."""

import dataclasses

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.gateway.requests import request_state
from ivystep.gateway.store import row_writer
from ivystep.gateway.upstreams import upstream_state
from ivystep.platform import stream_rows
from ivystep.runtime import clock
from ivystep.stream_origins import lookup, origins, service_versions
from ivystep.traffic import calls, contracts
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.stream_origins import fakes as stores
from tests.stream_origins import test_recorder
from tests.traffic import test_contracts

SERVICE = 'llm'
# Rounding of the virtual clock.
MARGIN_S = 1e-6


def upstream(upstream_id, version):
    entry = dataclasses.replace(
        fakes.entry(upstream_id), service=SERVICE, software_version=version
    )
    return upstream_state.Upstream(entry)


OLD = upstream('i-1', 'v1')
NEW = upstream('i-2', 'v2')


def make_route(*services):
    return test_contracts.route(
        '/a/',
        kind=contracts.Repeatability.STREAM,
        is_resumable=True,
        shares=tuple(contracts.ServiceShare(one, 1.0) for one in services),
    )


ROUTE = make_route(SERVICE)


class Answer:
    """An answer of which the caller has received some events."""

    def __init__(self, last_event_id):
        self.last_event_id = last_event_id


class Host:
    """A host that has run longer than any stream."""

    def __init__(self, store, *upstreams):
        self.log = fakes.FakeLog()
        self.origins = start(store, self.log, *upstreams)
        clock.sleep(service_versions.RETENTION_S)

    def begin(self, request_id, target):
        self.origins.record(state(request_id), target)
        clock.sleep(0.1)

    def take_up(self, request_id):
        """Return the software version that a taken-up stream needs."""
        taken_up = state('r-later', resumed=request_id)
        self.origins.resolve(taken_up)
        return taken_up.required_version


def start(store, log, *upstreams):
    """Return what a host knows that has just started."""
    started = origins.StreamOrigins.from_store(store, log)
    started.configure(test_contracts.config(ROUTE))
    for known in upstreams:
        started.on_upstream(known)
    clock.sleep(0.1)
    return started


def restart(store, *upstreams):
    """Return what a host knows that starts after all others have ended."""
    return start(store, fakes.FakeLog(), *upstreams)


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
    return request_state.RequestState.from_call(
        call, make_route(*services), Answer(after)
    )


@clocks.on_virtual_clock
def test_streams_of_one_version_cost_no_calls_to_the_store():
    """Guards against a call for each stream while nothing can be mixed."""
    store = stores.FakeStore()
    host = Host(store, OLD)
    store.calls = 0
    for number in range(5):
        host.begin(f'r-{number}', OLD)
        assert host.take_up(f'r-{number}') == 'v1'
    assert store.calls == 0


@clocks.on_virtual_clock
def test_stream_of_another_host_goes_on_at_the_only_version():
    """Guards against refusals while a service has had one version."""
    store = stores.FakeStore()
    Host(store, OLD).begin('r-1', OLD)
    assert Host(store, OLD).take_up('r-1') == 'v1'
    restarted = restart(store, OLD)
    taken_up = state('r-2', resumed='r-1')
    restarted.resolve(taken_up)
    assert taken_up.required_version == 'v1'


@clocks.on_virtual_clock
def test_new_host_writes_no_rows_once_it_has_read_that_of_its_service():
    """Guards against a write for each stream of a host's first minute."""
    store = stores.FakeStore()
    restarted = restart(store, OLD)
    store.calls = 0
    restarted.record(state('r-1'), OLD)
    clock.sleep(0.1)
    assert store.calls == 0


@clocks.on_virtual_clock
def test_streams_in_progress_are_written_when_a_second_version_appears():
    """Guards against streams that nobody can place during an upgrade."""
    store = stores.FakeStore()
    host = Host(store, OLD)
    host.begin('r-1', OLD)
    host.origins.on_upstream(NEW)
    clock.sleep(0.1)
    assert Host(store, OLD, NEW).take_up('r-1') == 'v1'


@clocks.on_virtual_clock
def test_all_streams_in_progress_are_written_when_a_second_version_appears():
    """Guards against a queue of rows that is shorter than the streams."""
    store = stores.FakeStore()
    host = Host(store, OLD)
    for number in range(row_writer.MAX_PENDING_ROWS + 1):
        host.origins.record(state(f'r-{number}'), OLD)
    host.origins.on_upstream(NEW)
    clock.sleep(0.1)
    written = len(store.rows(stream_rows.TABLE))
    assert written == row_writer.MAX_PENDING_ROWS + 1


@clocks.on_virtual_clock
def test_attempt_at_another_version_replaces_the_origin():
    """Guards against the version of an attempt that brought no event."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    host.begin('r-1', NEW)
    assert host.take_up('r-1') == 'v2'
    assert Host(store, OLD, NEW).take_up('r-1') == 'v2'


@clocks.on_virtual_clock
def test_new_host_looks_for_versions_that_it_has_not_seen():
    """Guards against a stream of a version that left before a restart."""
    store = stores.FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    restarted = restart(store, NEW)
    taken_up = state('r-2', resumed='r-1')
    restarted.resolve(taken_up)
    assert taken_up.required_version == 'v1'


@clocks.on_virtual_clock
def test_stream_is_refused_while_the_store_cannot_tell_its_version():
    """Guards against a guess during an outage of the store."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    store.is_away = True
    with pytest.raises(errors.RefusedError, match='No upstream is known'):
        host.take_up('r-of-another-host')


@clocks.on_virtual_clock
def test_stream_does_not_wait_long_for_a_silent_store():
    """Guards against a caller that waits for a refusal."""
    store = stores.FakeStore()
    started = restart(store, OLD)
    store.delay_s = 1.0
    before = clock.now()
    with pytest.raises(errors.RefusedError) as caught:
        started.resolve(state('r-2', resumed='r-1'))
    assert caught.value.retry_after_s == lookup.RETRY_S
    assert clock.now() - before <= lookup.READ_TIMEOUT_S


@clocks.on_virtual_clock
def test_stream_of_a_service_that_its_route_has_left_is_refused():
    """Guards against the version of one service at another service."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    with pytest.raises(errors.RefusedError):
        host.origins.resolve(state('r-2', 'r-1', services=('other',)))


@clocks.on_virtual_clock
def test_rows_are_deleted_when_their_streams_have_ended():
    """Guards against rows that fill the store."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    clock.sleep(service_versions.RETENTION_S)
    host.begin('r-2', OLD)
    assert len(store.rows(stream_rows.TABLE)) == 1


@clocks.on_virtual_clock
def test_rows_of_hosts_that_have_ended_are_deleted(monkeypatch):
    """Guards against rows that nobody deletes."""
    store = stores.FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    later = clock.wall_time() + 3 * service_versions.RETENTION_S
    monkeypatch.setattr(clock, 'wall_time', lambda: later)
    leader = Host(store, OLD, NEW)
    leader.begin('r-2', OLD)
    leader.origins.remove_abandoned()
    clock.sleep(0.1)
    assert len(store.rows(stream_rows.TABLE)) == 1


@clocks.on_virtual_clock
def test_malformed_row_is_ignored():
    """Guards against an exception on a row of another program."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    for row in store.rows(stream_rows.TABLE):
        store.put(dataclasses.replace(row, content=b'{'))
    with pytest.raises(errors.RefusedError):
        Host(store, OLD, NEW).take_up('r-1')


@clocks.on_virtual_clock
def test_stream_of_the_version_before_a_restart_is_refused():
    """Guards against a stream joined of two versions after a restart.

    While it ran, one version served, so that it has no row. The first host
    that starts again lists upstreams of the new version only.
    """
    store = stores.FakeStore()
    Host(store, OLD).begin('r-1', OLD)
    restarted = restart(store, NEW)
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1'))


@clocks.on_virtual_clock
@pytest.mark.parametrize('delay_s', [0.0, 1.0])
def test_new_host_refuses_streams_while_the_store_does_not_tell(delay_s):
    """Guards against an unreadable row that is taken for no row."""
    store = stores.FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    restarted = restart(store, NEW)
    store.is_away = not delay_s
    store.delay_s = delay_s
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1'))


@clocks.on_virtual_clock
def test_stream_whose_row_was_lost_with_its_host_is_refused():
    """Guards against a row that was never written taken for one version."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    store.is_away = True
    host.begin('r-1', OLD)
    # The queue of the writer ends with its host.
    host.origins._writer._pending.clear()
    store.is_away = False
    restarted = restart(store, NEW)
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1'))


@clocks.on_virtual_clock
def test_first_event_waits_for_the_row_of_its_stream():
    """Guards against a stream that can't be resumed after its host's end."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    store.write_delay_s = 0.05
    begun = state('r-1')
    host.origins.record(begun, OLD)
    assert not store.rows(stream_rows.TABLE)
    host.origins.hold(begun, OLD)
    assert len(store.rows(stream_rows.TABLE)) == 1
    assert not host.log.named('origin_late')


@clocks.on_virtual_clock
def test_first_event_does_not_wait_long_for_a_slow_store():
    """Guards against streams that are as slow as the store."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    store.write_delay_s = 5.0
    begun = state('r-1')
    host.origins.record(begun, OLD)
    before = clock.now()
    host.origins.hold(begun, OLD)
    assert clock.now() - before == pytest.approx(origins.MAX_HOLD_S)
    (late,) = host.log.named('origin_late')
    assert late.request_id == 'r-1'


@clocks.on_virtual_clock
def test_late_write_of_an_earlier_attempt_changes_nothing():
    """Guards against the version of an attempt that brought no event."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    (earlier,) = store.rows(stream_rows.TABLE)
    host.begin('r-1', NEW)
    store.put(dataclasses.replace(earlier, version=9))
    assert Host(store, OLD, NEW).take_up('r-1') == 'v2'


@clocks.on_virtual_clock
@pytest.mark.parametrize('is_away', [True, False])
def test_request_moves_to_another_version_only_with_its_row(is_away):
    """Guards against an earlier version that a late write names."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    store.is_away = is_away
    store.write_delay_s = 0.0 if is_away else 3.0
    before = clock.now()
    with pytest.raises(errors.RefusedError) as caught:
        host.origins.record(state('r-1'), NEW)
    assert caught.value.ran is types.ExecutionStatus.NO
    assert clock.now() - before <= origins.MOVE_TIMEOUT_S + MARGIN_S


@clocks.on_virtual_clock
def test_upstream_of_a_version_that_is_not_recorded_gets_no_stream():
    """Guards against a stream of which neither row tells."""
    store = stores.FakeStore()
    store.is_away = True
    started = restart(store, OLD)
    assert not started.may_use(OLD)
    with pytest.raises(errors.RefusedError):
        started.record(state('r-1'), OLD)


@clocks.on_virtual_clock
def test_service_without_a_resumable_route_needs_no_row():
    """Guards against an outage of the store that takes all services away."""
    store = stores.FakeStore()
    store.is_away = True
    started = origins.StreamOrigins.from_store(store, fakes.FakeLog())
    started.configure(test_contracts.config(test_contracts.route('/b/')))
    started.on_upstream(OLD)
    assert started.may_use(OLD)


@clocks.on_virtual_clock
def test_row_from_before_a_restoration_is_not_trusted():
    """Guards against the earlier of two rows, of which a copy lacks one."""
    store = stores.FakeStore()
    host = Host(store, OLD, NEW)
    host.begin('r-1', OLD)
    copied = dict(store.row_by_key)
    host.begin('r-1', NEW)
    store.restore(copied)
    with pytest.raises(errors.RefusedError):
        restart(store, OLD, NEW).resolve(state('r-2', resumed='r-1'))


@clocks.on_virtual_clock
def test_rows_are_written_again_after_a_restoration():
    """Guards against refusals of streams whose host still knows them."""
    store = stores.FakeStore()
    copied = dict(store.row_by_key)
    host = Host(store, OLD, NEW)
    eventlet.spawn_n(
        host.origins.maintain, test_recorder.Feed(store, True), lambda: False
    )
    host.begin('r-1', OLD)
    store.restore(copied)
    clock.sleep(1)
    assert Host(store, OLD, NEW).take_up('r-1') == 'v1'


@clocks.on_virtual_clock
def test_stream_resumed_at_another_host_outlives_the_row_of_its_first_one():
    """Guards against a row that the first host deletes after a minute."""
    store = stores.FakeStore()
    first, second = Host(store, OLD, NEW), Host(store, OLD, NEW)
    first.begin('r-1', OLD)
    clock.sleep(service_versions.RETENTION_S - 5)
    taken_up = state('r-2', resumed='r-1')
    second.origins.resolve(taken_up)
    second.origins.record(taken_up, OLD)
    clock.sleep(10)
    first.begin('r-3', OLD)
    clock.sleep(0.1)
    later = state('r-4', resumed='r-1')
    restart(store, OLD, NEW).resolve(later)
    assert later.required_version == 'v1'


def test_key_of_a_stream_names_its_account():
    """Guards against an account that resumes the stream of another one."""
    call = state('r-1').call
    keys = {origins._key(call, account) for account in ('', 'a', 'b')}
    assert len(keys) == 3


@clocks.on_virtual_clock
def test_stream_of_a_route_that_moved_before_a_restart_is_refused():
    """Guards against the only version of the service that the route has now."""
    store = stores.FakeStore()
    Host(store, OLD).begin('r-1', OLD)
    moved = make_route('other')
    entry = dataclasses.replace(NEW.entry, service='other')
    restarted = origins.StreamOrigins.from_store(store, fakes.FakeLog())
    restarted.configure(test_contracts.config(moved, version=2))
    restarted.on_upstream(upstream_state.Upstream(entry))
    clock.sleep(0.1)
    with pytest.raises(errors.RefusedError):
        restarted.resolve(state('r-2', resumed='r-1', services=('other',)))


@clocks.on_virtual_clock
def test_row_that_is_written_again_is_not_deleted_as_abandoned(monkeypatch):
    """Guards against a removal by the age of an earlier row."""
    store = stores.FakeStore()
    Host(store, OLD, NEW).begin('r-1', OLD)
    later = clock.wall_time() + 3 * service_versions.RETENTION_S
    monkeypatch.setattr(clock, 'wall_time', lambda: later)
    leader = Host(store, OLD, NEW)
    leader.begin('r-2', OLD)
    (row,) = (
        row
        for row in store.rows(stream_rows.TABLE)
        if stream_rows.decode(row).recorded < later - 1
    )
    origin = stream_rows.StreamOrigin(SERVICE, 'v1', later)
    key, number = row.key.split(stream_rows.SEPARATOR)
    read_all = store.read_all

    def read_before_a_write(table):
        page = read_all(table)
        store.transact([stream_rows.encode(key, int(number), origin)])
        return page

    monkeypatch.setattr(store, 'read_all', read_before_a_write)
    leader.origins.remove_abandoned()
    clock.sleep(1)
    assert len(store.rows(stream_rows.TABLE)) == 2
