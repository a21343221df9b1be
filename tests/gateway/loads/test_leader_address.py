"""Tests of a leader whose address is another host's, on loopback."""

import eventlet
import pytest

from ivystep.core import errors
from ivystep.entry import peer_server, peers
from ivystep.metrics import registry
from ivystep.prefill import prefill
from ivystep.quotas import admission, timing
from ivystep.runtime import clock
from ivystep.wire import listener, tls
from ivystep.wire.gen import ttypes
from tests.coordination import fakes as clocks
from tests.gateway import fakes
from tests.gateway.loads import test_leadership


class OtherHost:
    """A host at the address of the leader, which records what it serves."""

    def __init__(self):
        self.served = []
        self.hellos = 0
        socket = eventlet.listen(('127.0.0.1', 0))
        self.address = socket.getsockname()
        server = peer_server.PeerServer(
            'host-9',
            lambda pool: self,
            self,
            self.watch,
            self.permit,
            self.quota,
        )
        self.task = eventlet.spawn(
            listener.serve, socket, None, tls.ENTRY_NAME, server.handle
        )

    def version(self):
        self.hellos += 1
        return 1

    def report_demand(self, entry_id, demands):
        self.served.append('demand')
        return ()

    def watch(self, link):
        self.served.append('watch')
        link.send(ttypes.News([], {'i-1': 7}, 40))
        link.receive(1)

    def permit(self, message):
        self.served.append('permit')
        return ttypes.Permit(message.engine, 'alone')

    def quota(self, message):
        self.served.append('quota')
        return ttypes.QuotaGrants(1, 1, 1, 1.0, 1)


@pytest.fixture(name='other')
def other_fixture():
    other = OtherHost()
    yield other
    other.task.kill()


@pytest.fixture(name='follower')
def follower_fixture(other):
    """Return a host that sees a leader whose address is the other host's."""
    shared = clocks.FakeTable()
    leader = test_leadership.Host(shared, 'host-1', address=other.address)
    test_leadership.wait_until(lambda: leader.leadership.is_leader)
    leader.task.kill()
    follower = test_leadership.Host(shared, 'host-2')
    test_leadership.wait_until(lambda: follower.leadership.leader is not None)
    yield follower.leadership
    follower.task.kill()


def test_demand_is_not_reported_to_another_host(follower, other):
    """Guards against demand that only a host without orders knows."""
    with pytest.raises(errors.MisdirectedError):
        follower.sink('llm/m', None).report_demand('host-2', ())
    assert not other.served


def test_permit_of_another_host_is_not_believed(follower, other):
    """Guards against prompts that no queue of the leader has seen."""
    now = clock.now()
    ticket = prefill.Ticket(100, now + 1, now + 4, 1.0, 0.3, 10000.0)
    permit = follower.wait_for_permit('i-1', ticket)
    assert permit.decision is prefill.PermitDecision.UNKNOWN
    assert not other.served


def test_updates_of_another_host_are_not_applied(follower, other):
    """Guards against residency and totals of another system, and against a
    connection with each retry.
    """
    started = clock.now()
    task = eventlet.spawn(follower.follow)
    eventlet.sleep(0.7)
    task.kill()
    assert not other.served
    periods = (clock.now() - started) / peers.MISDIRECTED_PERIOD_S
    assert 1 <= other.hellos <= 1 + periods


def test_credit_of_another_host_is_not_applied(follower, other):
    """Guards against credit for quotas that another leader grants."""
    quotas = admission.QuotaAdmission(
        'host-2',
        follower,
        timing.Window(8.0, 11_000),
        registry.Metrics(),
        fakes.FakeLog(),
    )
    with pytest.raises(errors.LinkError):
        quotas._exchange._exchange()
    assert not other.served


def test_host_does_not_follow_itself(other):
    """Guards against a host that counts itself twice as it becomes leader."""
    own = test_leadership.Host(
        clocks.FakeTable(), 'host-9', address=other.address
    )
    test_leadership.wait_until(lambda: own.leadership.is_leader)
    own.rows.planned.extend([clocks.Fault(clocks.Kind.DOWN)] * 500)
    test_leadership.wait_until(lambda: not own.leadership.is_leader)
    assert own.leadership.holder == 'host-9'
    task = eventlet.spawn(own.leadership.follow)
    eventlet.sleep(0.5)
    task.kill()
    own.task.kill()
    assert not other.served
