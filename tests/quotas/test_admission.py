"""Tests of the admission of requests on several hosts, on the virtual clock."""

import dataclasses

import eventlet
import pytest

from ivystep.accounts import directory
from ivystep.core import errors
from ivystep.metrics import registry
from ivystep.quotas import admission, exchange, timing
from ivystep.runtime import clock
from ivystep.traffic import contracts
from ivystep.wire import channel, handshake
from tests.coordination import fakes as clocks
from tests.gateway import fakes

DELAY_S = 0.001
SECOND = handshake.Addressee('host-1', ('10.0.0.2', 1))


@dataclasses.dataclass
class FakeLeadership:
    """Election whose result the test sets."""

    term: int = 0
    leader: handshake.Addressee | None = None


class FakeNetwork:
    """Carries messages between hosts through the codec of the wire."""

    def __init__(self):
        self.host_by_address = {}
        self.is_down = False
        self.messages = 0

    def link(self, name, addressee, contexts):
        return FakeLink(self, addressee)


@dataclasses.dataclass
class FakeLink:
    """Connection to the leader."""

    network: FakeNetwork
    addressee: handshake.Addressee

    def ask(self, message, timeout_s):
        clock.sleep(DELAY_S)
        if self.network.is_down:
            clock.sleep(timeout_s)
            raise errors.LinkError('timed out')
        self.network.messages += 1
        host = self.network.host_by_address[self.addressee.address]
        answer = host.admission.answer(_coded(message))
        clock.sleep(DELAY_S)
        return _coded(answer)

    def close(self):
        """Nothing to close."""


def _coded(message):
    return channel.decode(channel.encode(message)[channel.HEADER.size :])


WINDOW = timing.Window(8.0, 11_000)


class Host:
    def __init__(self, name, window=WINDOW):
        self.leadership = FakeLeadership()
        self.log = fakes.FakeLog()
        self.statuses = set()
        self.admission = admission.QuotaAdmission(
            name,
            self.leadership,
            window,
            registry.Metrics(),
            self.log,
        )
        self.task = eventlet.spawn(self.admission.run)

    def admit(self, account, cost):
        try:
            self.admission.admit(account, cost)
        except errors.RefusedError as error:
            self.statuses.add(error.status)
            return error.retry_after_s
        return 0.0


class Cluster:
    def __init__(self, monkeypatch, hosts=3, **quota):
        self.network = FakeNetwork()
        monkeypatch.setattr(exchange.peers, 'PeerLink', self.network.link)
        self.hosts = [Host(f'host-{number}') for number in range(hosts)]
        self.leader = self.hosts[0]
        self.leader.leadership.term = 1
        self.network.host_by_address['10.0.0.1', 1] = self.leader
        for host in self.hosts[1:]:
            host.leadership.leader = handshake.Addressee(
                'host-0', ('10.0.0.1', 1)
            )
        self.configure(1, **quota)
        # Shares are equal after a few reports of each host.
        clock.sleep(4)

    def configure(self, version, unit=contracts.QuotaUnit.TOKENS, **quota):
        self.account = contracts.ClientAccount(
            'team-a', quota=contracts.Quota(unit, **quota)
        )
        config = contracts.RouteConfig.from_routes(
            version,
            (),
            (),
            contracts.ClientLimits(),
            directory.AccountDirectory.from_accounts([self.account]),
        )
        for host in self.hosts:
            host.admission.on_config(config)


@clocks.on_virtual_clock
@pytest.mark.parametrize('number', [0, 1])
def test_burst_is_admitted_at_the_leader_and_elsewhere(monkeypatch, number):
    """Guards against quotas that only the leader's host can use."""
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=5_000)
    host = cluster.hosts[number]
    before = clock.now()
    assert not any(host.admit(cluster.account, 1_000) for _ in range(5))
    assert clock.now() - before < 5 * 10 * DELAY_S
    assert 0.5 < host.admit(cluster.account, 1_000) <= 1.1
    assert host.statuses == {429}


@clocks.on_virtual_clock
def test_hosts_share_one_limit(monkeypatch):
    """Guards against a limit for each host."""
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=3_000)
    admitted = [
        not host.admit(cluster.account, 1_000)
        for host in cluster.hosts
        for _ in range(3)
    ]
    assert sum(admitted) == 3


@clocks.on_virtual_clock
def test_refusals_of_a_saturated_account_take_no_time(monkeypatch):
    """Guards against a wait for each request over the limit."""
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=1_000)
    host = cluster.hosts[1]
    host.admit(cluster.account, 1_000)
    host.admit(cluster.account, 1_000)
    before, messages = clock.now(), cluster.network.messages
    assert all(host.admit(cluster.account, 1_000) for _ in range(100))
    assert clock.now() == before
    assert cluster.network.messages == messages


@clocks.on_virtual_clock
def test_refund_can_be_used_again(monkeypatch):
    """Guards against charges for requests that have not run."""
    cluster = Cluster(monkeypatch, rate_per_s=10, burst=1_000)
    host = cluster.hosts[1]
    charge = host.admission.admit(cluster.account, 1_000)
    assert host.admit(cluster.account, 900)
    host.admission.refund(charge)
    clock.sleep(0.4)
    assert not host.admit(cluster.account, 900)


@clocks.on_virtual_clock
def test_request_that_was_not_charged_is_not_refunded(monkeypatch):
    """Guards against credit for a request from before there was a limit."""
    cluster = Cluster(monkeypatch)
    host = cluster.hosts[1]
    charge = host.admission.admit(cluster.account, 5_000)
    cluster.configure(2, rate_per_s=1, burst=1_000)
    clock.sleep(10)
    assert not host.admit(cluster.account, 1_000)
    host.admission.refund(charge)
    clock.sleep(0.6)
    assert host.admit(cluster.account, 900)


@clocks.on_virtual_clock
@pytest.mark.parametrize(
    'unit', [contracts.QuotaUnit.REQUESTS, contracts.QuotaUnit.TOKENS]
)
def test_charge_of_an_earlier_quota_is_not_refunded(monkeypatch, unit):
    """Guards against a refund in the unit or the size of another quota."""
    cluster = Cluster(monkeypatch, rate_per_s=100, burst=50_000)
    host = cluster.hosts[1]
    charge = host.admission.admit(cluster.account, 1_000)
    cluster.configure(2, rate_per_s=100, burst=1_000, unit=unit)
    clock.sleep(20)
    assert not host.admit(cluster.account, 1_000)
    host.admission.refund(charge)
    clock.sleep(0.6)
    assert host.admit(cluster.account, 900)


@clocks.on_virtual_clock
def test_silent_leader_delays_a_request_by_a_bounded_time(monkeypatch):
    """Guards against requests that wait for a leader that has failed."""
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=5_000)
    host = cluster.hosts[1]
    cluster.network.is_down = True
    before = clock.now()
    assert host.admit(cluster.account, 100) == pytest.approx(0.5)
    assert clock.now() - before <= 0.06
    clock.sleep(4)
    assert not host.admit(cluster.account, 100)
    assert host.log.named('quota_contact_lost')
    cluster.network.is_down = False
    clock.sleep(1)
    assert not host.admit(cluster.account, 2_000)
    assert len(host.log.named('quota_contact_gained')) == 2


@clocks.on_virtual_clock
def test_next_leader_takes_over(monkeypatch):
    """Guards against hosts that keep to the leader before."""
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=5_000)
    first, second, third = cluster.hosts
    first.leadership.term = 0
    first.leadership.leader = SECOND
    cluster.network.host_by_address['10.0.0.2', 1] = second
    second.leadership.term = 2
    second.leadership.leader = None
    third.leadership.leader = SECOND
    clock.sleep(4)
    assert [event.is_first for event in second.log.named('quota_term_began')]
    for host in cluster.hosts:
        assert not host.admit(cluster.account, 1_000)


@clocks.on_virtual_clock
def test_limit_changes_with_the_configuration(monkeypatch):
    """Guards against a limit that applies only after a restart."""
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=5_000)
    host = cluster.hosts[1]
    assert not host.admit(cluster.account, 1_000)
    cluster.configure(2, rate_per_s=100, burst=200)
    clock.sleep(3)
    assert not host.admit(cluster.account, 200)
    assert host.admit(cluster.account, 200)
    cluster.configure(3)
    assert not host.admit(cluster.account, 10_000)


@clocks.on_virtual_clock
def test_deployment_without_quotas_sends_nothing(monkeypatch):
    """Guards against work for accounts without a limit."""
    cluster = Cluster(monkeypatch)
    host = cluster.hosts[1]
    assert not host.admit(cluster.account, 10**9)
    clock.sleep(60)
    assert not cluster.network.messages


@clocks.on_virtual_clock
def test_host_that_is_idle_reports_rarely(monkeypatch):
    """Guards against reports at the full rate without requests."""
    cluster = Cluster(monkeypatch, hosts=2, rate_per_s=1_000, burst=5_000)
    cluster.hosts[1].admit(cluster.account, 100)
    clock.sleep(5)
    before = cluster.network.messages
    clock.sleep(30)
    assert cluster.network.messages - before <= 51


@clocks.on_virtual_clock
def test_leader_without_a_configuration_lifts_no_limit(monkeypatch):
    """Guards against unlimited accounts while a new leader reads its
    configuration.
    """
    cluster = Cluster(monkeypatch, rate_per_s=1_000, burst=5_000)
    successor = Host('host-new')
    successor.leadership.term = 2
    cluster.network.host_by_address['10.0.0.2', 1] = successor
    cluster.leader.leadership.term = 0
    for host in cluster.hosts:
        host.leadership.leader = SECOND
    clock.sleep(1)
    host = cluster.hosts[1]
    admitted = sum(not host.admit(cluster.account, 1_000) for _ in range(50))
    assert admitted <= 5


@clocks.on_virtual_clock
def test_request_larger_than_the_burst_is_admitted_after_its_retry_after(
    monkeypatch,
):
    """Guards against a large request that is refused for ever while its
    account sends small ones.
    """
    cluster = Cluster(monkeypatch, rate_per_s=2_700, burst=2_700)
    host = cluster.hosts[1]
    for _ in range(10):
        host.admit(cluster.account, 300)
        clock.sleep(0.3)
    waits_s = []
    while not waits_s or waits_s[-1]:
        waits_s.append(host.admit(cluster.account, 4_000))
        clock.sleep(waits_s[-1])
        assert len(waits_s) <= 4


@clocks.on_virtual_clock
def test_one_request_does_not_raise_the_burst_without_bound(monkeypatch):
    """Guards against a caller that names a huge cost to lift its limit."""
    cluster = Cluster(monkeypatch, rate_per_s=2_700, burst=2_700)
    host = cluster.hosts[1]
    assert host.admit(cluster.account, 1_000_000)
    clock.sleep(20)
    admitted = sum(
        1_000 * (not host.admit(cluster.account, 1_000)) for _ in range(100)
    )
    assert admitted <= 2_700 + 11_000


@clocks.on_virtual_clock
def test_account_below_its_limit_is_served_by_a_new_leader_at_once(monkeypatch):
    """Guards against refusals of all accounts after each change of leader."""
    cluster = Cluster(monkeypatch, rate_per_s=70_000, burst=70_000)
    window = timing.Window(8.0, 11_000, 0.1)
    successor = Host('host-new', window)
    successor.leadership.term = 2
    cluster.network.host_by_address['10.0.0.2', 1] = successor
    cluster.leader.leadership.term = 0
    cluster.hosts = [successor]
    cluster.configure(2, rate_per_s=70_000, burst=70_000)
    clock.sleep(0.3)
    admitted = sum(
        not successor.admit(cluster.account, 1_500) for _ in range(20)
    )
    assert admitted == 20
    allowed = 0.1 * (70_000 * 8 + 70_000) + 11_000
    start = window.start_level(70_000, 70_000)
    assert 2 * start <= allowed
