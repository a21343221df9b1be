"""Tests of the versions that hosts record in the store."""

import eventlet
import pytest

from ivystep.core import errors
from ivystep.platform import rows, version_rows
from ivystep.runtime import clock
from ivystep.stream_origins import recorder, service_versions
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.stream_origins import fakes as stores

SERVICE = 'llm'
SOON_S = 0.3


class Feed:
    """A feed of the upstreams that follows its table."""

    def __init__(self, store, is_followed):
        self.store = store
        self.is_followed = is_followed

    @property
    def era(self):
        return self.store.era

    def progress(self):
        return self.is_followed or None


class Host:
    """A host that records the versions of one service."""

    def __init__(self, store, *versions, is_leader=False, is_followed=True):
        self.is_leader = is_leader
        self.feed = Feed(store, is_followed)
        self.log = fakes.FakeLog()
        self.recorder = recorder.VersionRecorder(store, self.log)
        self.recorder.configure(frozenset([SERVICE]))
        for version in versions:
            self.recorder.add(SERVICE, version)
        eventlet.spawn_n(
            self.recorder.maintain, self.feed, lambda: self.is_leader
        )
        clock.sleep(SOON_S)

    def may_use(self, version):
        return self.recorder.may_use(SERVICE, version)


def recorded(store):
    (row,) = store.rows(version_rows.TABLE)
    return version_rows.decode(row)


@clocks.on_virtual_clock
def test_version_is_not_used_before_it_is_in_the_store():
    """Guards against streams of a version of which no row tells."""
    store = stores.FakeStore()
    store.is_away = True
    host = Host(store, 'v1')
    assert not host.may_use('v1')
    store.is_away = False
    clock.sleep(recorder.MAX_RETRY_S)
    assert host.may_use('v1')
    assert recorded(store).gone_s_by_version == {'v1': None}


@clocks.on_virtual_clock
def test_known_version_stays_in_use_while_the_store_refuses_this_host():
    """Guards against an outage of the store that takes all upstreams away."""
    store = stores.FakeStore()
    host = Host(store, 'v1')
    store.is_away = True
    host.recorder.add(SERVICE, 'v2')
    clock.sleep(9)
    assert host.may_use('v1')
    assert not host.may_use('v2')


@clocks.on_virtual_clock
def test_second_host_finds_the_version_with_one_read():
    """Guards against a write by each of many hosts."""
    store = stores.FakeStore()
    Host(store, 'v1')
    store.calls = 0
    assert Host(store, 'v1').may_use('v1')
    assert store.calls == 1


@clocks.on_virtual_clock
def test_refused_condition_tells_the_row_of_the_faster_host():
    """Guards against a host that waits although another one was faster."""
    store = stores.FakeStore()
    store.write_delay_s = 0.01
    hosts = [recorder.VersionRecorder(store, fakes.FakeLog()) for _ in range(4)]
    for one in hosts:
        one.configure(frozenset([SERVICE]))
        one.add(SERVICE, 'v1')
    clock.sleep(SOON_S)
    assert all(one.may_use(SERVICE, 'v1') for one in hosts)
    assert store.calls == 2 * len(hosts)
    assert recorded(store).gone_s_by_version == {'v1': None}


@clocks.on_virtual_clock
def test_hosts_that_see_different_versions_record_both():
    """Guards against a version that another host's write removes."""
    store = stores.FakeStore()
    store.write_delay_s = 0.01
    hosts = [recorder.VersionRecorder(store, fakes.FakeLog()) for _ in range(2)]
    for number, one in enumerate(hosts):
        one.configure(frozenset([SERVICE]))
        one.add(SERVICE, f'v{number}')
    clock.sleep(SOON_S)
    assert recorded(store).gone_s_by_version == {'v0': None, 'v1': None}


@clocks.on_virtual_clock
def test_write_whose_answer_was_lost_is_found_by_a_read():
    """Guards against a version that stays unused after a lost answer."""
    store = stores.FakeStore()
    store.loses_answers = True
    assert Host(store, 'v1').may_use('v1')


@clocks.on_virtual_clock
def test_late_write_does_not_remove_a_version_that_has_returned():
    """Guards against a row without a version that serves, which would let its
    streams be joined to those of another one.
    """
    store = stores.FakeStore()
    host = Host(store, 'v1', is_leader=True)
    store.holds_writes = True
    host.recorder.remove(SERVICE, 'v1')
    clock.sleep(1)
    assert store.held
    host.recorder.add(SERVICE, 'v1')
    store.holds_writes = False
    clock.sleep(5)
    store.carry_out_held()
    assert recorded(store).gone_s_by_version == {'v1': None}


@clocks.on_virtual_clock
def test_leader_removes_a_version_after_the_retention_time():
    """Guards against versions that cause refusals for ever, or too early."""
    store = stores.FakeStore()
    host = Host(store, 'v1', 'v2', is_leader=True)
    host.recorder.remove(SERVICE, 'v1')
    clock.sleep(1)
    gone_s = recorded(store).gone_s_by_version['v1']
    assert 0 <= clock.now() + stores.CLOCK_OFFSET_S - gone_s <= 1
    clock.sleep(service_versions.RETENTION_S - 3)
    assert host.recorder.possible(SERVICE) == {'v1', 'v2'}
    clock.sleep(3)
    assert recorded(store).gone_s_by_version == {'v2': None}
    assert host.recorder.possible(SERVICE) == {'v2'}


@clocks.on_virtual_clock
def test_version_before_a_restart_of_all_is_remembered():
    """Guards against the guess of a host that has just started."""
    store = stores.FakeStore()
    Host(store, 'v1')
    restarted = Host(store, 'v2', is_leader=True)
    assert restarted.recorder.possible(SERVICE) == {'v1', 'v2'}
    clock.sleep(service_versions.RETENTION_S + 3)
    assert restarted.recorder.possible(SERVICE) == {'v2'}


@clocks.on_virtual_clock
def test_new_leader_does_not_remove_versions_before_it_knows_upstreams():
    """Guards against a leader that takes what it has not read for gone."""
    store = stores.FakeStore()
    Host(store, 'v1')
    leader = Host(store, is_leader=True, is_followed=False)
    leader.recorder.add(SERVICE, 'v2')
    clock.sleep(5)
    assert recorded(store).gone_s_by_version == {'v1': None, 'v2': None}


@clocks.on_virtual_clock
def test_other_hosts_learn_that_a_version_was_removed():
    """Guards against rows for each stream long after an upgrade."""
    store = stores.FakeStore()
    leader = Host(store, 'v1', 'v2', is_leader=True)
    other = Host(store, 'v1', 'v2')
    for host in (leader, other):
        host.recorder.remove(SERVICE, 'v1')
    clock.sleep(service_versions.RETENTION_S + recorder.REFRESH_S + 3)
    assert other.recorder.possible(SERVICE) == {'v2'}


@clocks.on_virtual_clock
def test_version_that_returns_is_recorded_before_it_is_used():
    """Guards against a version that the leader has removed meanwhile."""
    store = stores.FakeStore()
    leader = Host(store, 'v1', 'v2', is_leader=True)
    other = Host(store, 'v1', 'v2')
    for host in (leader, other):
        host.recorder.remove(SERVICE, 'v1')
    clock.sleep(1)
    store.is_away = True
    other.recorder.add(SERVICE, 'v1')
    clock.sleep(1)
    assert not other.may_use('v1')
    store.is_away = False
    clock.sleep(recorder.MAX_RETRY_S * 2)
    assert other.may_use('v1')


@clocks.on_virtual_clock
@pytest.mark.parametrize('is_old', [True, False])
def test_restored_store_counts_as_incomplete(is_old):
    """Guards against a copy from before a version appeared.

    Hosts that have known the service for the retention time know all.
    """
    store = stores.FakeStore()
    host = Host(store, 'v1')
    copied = dict(store.row_by_key)
    host.recorder.add(SERVICE, 'v2')
    clock.sleep(service_versions.RETENTION_S if is_old else 1)
    store.restore(copied)
    clock.sleep(1)
    assert recorded(store).gone_s_by_version == {'v1': None, 'v2': None}
    assert host.recorder.is_complete(SERVICE) is is_old
    assert host.recorder.read(SERVICE).is_complete is is_old
    clock.sleep(service_versions.RETENTION_S)
    assert host.recorder.is_complete(SERVICE)


@clocks.on_virtual_clock
def test_malformed_row_is_replaced_and_counts_as_incomplete():
    """Guards against a row of another program that stops a version's use."""
    store = stores.FakeStore()
    store.put(rows.StoredRow(version_rows.TABLE, SERVICE, b'{', 3))
    host = Host(store, 'v1')
    assert host.may_use('v1')
    assert not host.recorder.is_complete(SERVICE)


@clocks.on_virtual_clock
def test_answer_without_a_time_is_not_used():
    """Guards against ages that nobody knows."""
    store = stores.FakeStore()
    store.read = lambda *_, **__: rows.RowSet((), 1)
    with pytest.raises(errors.UnavailableError):
        Host(store, 'v1').recorder.read(SERVICE)


@clocks.on_virtual_clock
def test_service_whose_route_becomes_resumable_is_recorded_first():
    """Guards against a row that nobody kept while no route needed it."""
    store = stores.FakeStore()
    host = Host(store, 'v1')
    host.recorder.configure(frozenset())
    assert host.may_use('v1')
    store.is_away = True
    host.recorder.configure(frozenset([SERVICE]))
    assert not host.may_use('v1')
    store.is_away = False
    clock.sleep(1)
    assert host.may_use('v1')
