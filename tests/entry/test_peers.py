"""Tests of the links between entries, over real connections on loopback."""

import eventlet
import pytest
import trustme

from ivystep.core import errors, types
from ivystep.entry import peer_server, peers
from ivystep.wire import handshake, listener, tls
from ivystep.wire.gen import ttypes
from tests.wire import certificates

REF = types.AdapterRef('authority', 'plans', 3)
DEMAND = types.AdapterDemand(
    REF, 'plans-3', 7, 1.5, 2, 0.25, 9.5, 4, software_versions=('v1', 'v2')
)
FORECAST = types.LoadForecast(REF, 12.5, 30.0)


class FakePlanner:
    """Records demand reports and returns one forecast."""

    def __init__(self):
        self.reports = []

    def report_demand(self, entry_id, demands):
        self.reports.append((entry_id, demands))
        return (FORECAST,)


class FakeSetup:
    """A setup at a fixed version that records the offered versions."""

    def __init__(self, version):
        self.offers = []
        self._version = version

    def version(self):
        return self._version

    def announce_version(self, version):
        self.offers.append(version)

    def manifest(self):
        return self._version, {'common': 'digest'}

    def section(self, digest):
        return b'body' if digest == 'digest' else None


class Entry:
    """A peer server on loopback."""

    def __init__(self, contexts, version=5):
        self.planner = FakePlanner()
        self.setup = FakeSetup(version)
        self.socket = eventlet.listen(('127.0.0.1', 0))
        self.server = peer_server.PeerServer(
            'other', lambda pool: self._planner_of(pool), self.setup
        )
        self.task = eventlet.spawn(
            listener.serve,
            self.socket,
            contexts,
            tls.ENTRY_NAME,
            self.server.handle,
        )

    def _planner_of(self, pool):
        return self.planner if pool == 'base' else None

    def addressee(self, process_id='other'):
        return handshake.Addressee(process_id, self.socket.getsockname())

    def host_entry(self, host='other'):
        address, port = self.socket.getsockname()
        return types.HostEntry(
            host, 'entry', address, port, 'lier-a', '', types.HostState.LIVE
        )

    def stop(self):
        self.task.kill()
        self.socket.close()


@pytest.fixture(name='authority')
def authority_fixture():
    return trustme.CA()


@pytest.fixture(name='contexts')
def contexts_fixture(tmp_path, authority):
    return certificates.contexts(tmp_path, authority, tls.ENTRY_NAME)


def make_peers(contexts, received_versions):
    return peers.Peers('self', contexts, lambda: 4, received_versions.append)


def remote_pool(known_peers):
    """Return a pool whose planner is the other entry."""
    local = FakePlanner()
    names = ('base', *(f'pool-{number}' for number in range(64)))
    return next(
        name for name in names if known_peers.sink(name, local) is not local
    )


def test_demand_reaches_the_planner_unchanged(contexts):
    """Guards against fields or units lost between entries."""
    other = Entry(contexts)
    other._planner_of = lambda pool: other.planner
    link = peers.PeerLink('self', other.addressee(), contexts)
    forecasts = peers.RemotePlanner('base', link).report_demand(
        'self', (DEMAND,)
    )
    assert forecasts == (FORECAST,)
    assert other.planner.reports == [('self', (DEMAND,))]


def test_planner_moves_when_its_entry_stops(contexts):
    """Guards against demand that is reported to a stopped planner forever."""
    other = Entry(contexts)
    known_peers = make_peers(contexts, [])
    known_peers.set_entries({'other': other.host_entry()})
    pool = remote_pool(known_peers)
    local = FakePlanner()
    other.stop()
    with pytest.raises(errors.LinkError):
        known_peers.sink(pool, local).report_demand('self', (DEMAND,))
    assert known_peers.sink(pool, local) is local


def test_peer_that_answers_again_is_asked_again(contexts):
    """Guards against seconds without a planner after its restart."""
    other = Entry(contexts)
    link = peers.PeerLink('self', other.addressee(), contexts)
    with pytest.raises(errors.LinkError):
        link.ask(ttypes.SetupNotice(1), timeout_s=0.0)
    assert not link.is_reachable
    link.open().close()
    assert link.is_reachable


def test_versions_are_exchanged_both_ways(contexts):
    """Guards against an entry that misses a version in an outage."""
    other = Entry(contexts, version=9)
    received_versions = []
    known_peers = make_peers(contexts, received_versions)
    known_peers.set_entries({'other': other.host_entry()})
    known_peers.exchange_versions()
    assert (received_versions, other.setup.offers) == ([9], [4])


def test_sidecar_certificate_is_refused(tmp_path, authority, contexts):
    """Guards against a sidecar that acts as an entry."""
    other = Entry(contexts)
    (tmp_path / 'sidecar').mkdir()
    wrong = certificates.contexts(
        tmp_path / 'sidecar', authority, tls.SIDECAR_NAME
    )
    link = peers.PeerLink('self', other.addressee(), wrong)
    with pytest.raises(errors.LinkError):
        link.ask(peer_server.ttypes.SetupNotice(1))
    assert other.setup.offers == []


def test_demand_for_another_host_at_the_address_is_not_reported(contexts):
    """Guards against demand, and belief in forecasts, at a host that was
    given the address of the planner.
    """
    other = Entry(contexts)
    other._planner_of = lambda pool: other.planner
    link = peers.PeerLink('self', other.addressee('gone'), contexts)
    with pytest.raises(errors.MisdirectedError):
        peers.RemotePlanner('base', link).report_demand('self', (DEMAND,))
    assert not other.planner.reports
    assert not link.is_reachable


def test_version_of_another_host_at_the_address_is_not_believed(contexts):
    """Guards against an entry that waits for the setup of another system."""
    other = Entry(contexts, version=9)
    received_versions = []
    known_peers = make_peers(contexts, received_versions)
    known_peers.set_entries({'gone': other.host_entry('gone')})
    known_peers.exchange_versions()
    assert (received_versions, other.setup.offers) == ([], [])


def test_host_that_replaces_another_at_its_address_gets_a_new_link(contexts):
    """Guards against a host that is unreachable under the name of the last."""
    other = Entry(contexts)
    known_peers = make_peers(contexts, [])
    known_peers.set_entries({'gone': other.host_entry('gone')})
    known_peers.exchange_versions()
    known_peers.set_entries({'other': other.host_entry()})
    known_peers.exchange_versions()
    assert other.setup.offers == [4]


def test_address_of_another_host_is_tried_again_only_after_a_while(
    monkeypatch, contexts
):
    """Guards against a connection with each call to a wrong host, and against
    a host that is never asked because it started late at its address.
    """
    monkeypatch.setattr(peers, 'MISDIRECTED_PERIOD_S', 0.2)
    other = Entry(contexts)
    link = peers.PeerLink('self', other.addressee('late'), contexts)
    with pytest.raises(errors.MisdirectedError):
        link.open()
    other.server.process_id = 'late'
    with pytest.raises(errors.MisdirectedError):
        link.open()
    eventlet.sleep(0.25)
    link.open().close()
    assert link.is_reachable
