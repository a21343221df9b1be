"""Tests of how an entry follows the host list."""

import pytest

from ivystep.core import types
from ivystep.entry import links, membership

LIVE, LEAVING = types.HostState.LIVE, types.HostState.LEAVING


def host(state=LIVE, port=7000, role='sidecar'):
    return types.HostEntry('up-1', role, '127.0.0.1', port, 'dc', 'base', state)


class FakeLink:
    """A link whose status reports come from the test."""

    created = ()

    def __init__(self, process_id, addressee, contexts):
        self.addressee = addressee
        self.is_closed = False
        self.report_status = self.report_lost = None
        FakeLink.created = (*FakeLink.created, self)

    def watch(self, on_status, on_lost):
        self.report_status, self.report_lost = on_status, on_lost

    def close(self):
        self.is_closed = True


class FakePools:
    """Records the calls that the pools receive."""

    def __init__(self):
        self.events = []

    def add(self, entry):
        self.events.append(('add', entry.port))

    def on_status(self, name, status, link):
        self.events.append(('status', link.addressee.address[1]))

    def on_lost(self, name, upstream_id):
        self.events.append(('lost', upstream_id))


class FakePeers:
    """Records the live peers."""

    def set_entries(self, entry_by_host):
        self.known = set(entry_by_host)


@pytest.fixture(name='parts')
def parts_fixture(monkeypatch):
    monkeypatch.setattr(links, 'ThriftLink', FakeLink)
    monkeypatch.setattr(
        membership.eventlet,
        'spawn',
        lambda watch, *callbacks: watch(*callbacks),
    )
    FakeLink.created = ()
    target = FakePools()
    peers = FakePeers()
    created = membership.Membership('self', None, None, target, peers)
    return created, target, peers


def test_host_listed_as_leaving_gets_no_new_work(parts):
    """Guards against work for a leaving host that reports no drain."""
    members, target, _ = parts
    members.apply_host_list({'up-1': host()})
    (link,) = FakeLink.created
    link.report_status('healthy')
    members.apply_host_list({'up-1': host(LEAVING)})
    link.report_status('healthy')
    link.report_lost()
    assert target.events == [('add', 7000), ('status', 7000), ('lost', 'up-1')]
    assert link.is_closed


def test_replaced_host_gets_a_new_link(parts):
    """Guards against reports of an earlier host with the same name."""
    members, target, _ = parts
    members.apply_host_list({'up-1': host()})
    members.apply_host_list({'up-1': host(port=7001)})
    earlier, current = FakeLink.created
    earlier.report_status('old')
    current.report_status('new')
    assert target.events[-2:] == [('add', 7001), ('status', 7001)]


def test_leaving_entry_is_removed_from_the_peers(parts):
    """Guards against demand that is reported to a leaving entry."""
    members, _, peers = parts
    members.apply_host_list({'up-1': host(role='entry')})
    assert peers.known == {'up-1'}
    members.apply_host_list({'up-1': host(LEAVING, role='entry')})
    assert peers.known == set()
