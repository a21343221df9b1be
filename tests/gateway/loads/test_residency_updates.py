"""Tests of residency updates between hosts, over the loopback interface."""

import eventlet
import pytest

from ivystep.coordination import lease_renewal
from ivystep.core import errors, types
from ivystep.data_centres import planner
from ivystep.gateway.loads import residency_updates
from ivystep.gateway.store import table_progress
from ivystep.gateway.upstreams import upstream_state
from ivystep.runtime import clock
from ivystep.wire import channel, convert, tls
from ivystep.wire import listener as wire_listener
from ivystep.wire.gen import ttypes
from tests.coordination import fakes as clocks
from tests.gateway import fakes

REF = types.AdapterRef('m', 'a3', 2)


class Host:
    """A host that records what its residency updates pass on."""

    def __init__(self, name, own_requests):
        self.own_requests = own_requests
        self.received = []
        self.requests = []
        self.host_counts = []
        self.is_leader = True
        self.measured = fakes.measured()
        self.planner = planner.SharePlanner(0.0, 0.05, lambda event: None)
        self.centres = fakes.centre_exchange(
            name, f'dc of {name}', self.planner, {'accra-b': 0.002}
        )
        self.progress = table_progress.SharedProgress(
            1.0, lambda: self.is_leader, lambda: None
        )
        self.updates = residency_updates.ResidencyUpdates(
            name,
            self.received.append,
            lambda: self.own_requests,
            self.requests.append,
            self.host_counts.append,
            lambda: self.is_leader,
            residency_updates.HeartbeatContents(
                self.progress,
                lambda: lease_renewal.Renewal(7, 12, clock.uptime() - 0.5),
                self.measured,
                self.centres,
            ),
        )


@pytest.fixture
def pair():
    """Return a leader and a host that follows it."""
    leader = Host('leader', {'i-1': 2})
    other = Host('other', {'i-1': 3, 'i-2': 1})
    listener = eventlet.listen(('127.0.0.1', 0))

    def serve(link):
        link.receive(1)
        leader.updates.serve(link)

    server = eventlet.spawn(
        wire_listener.serve, listener, None, tls.ENTRY_NAME, serve
    )
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    follower = eventlet.spawn(other.updates.follow, link)
    yield leader, other, follower
    follower.kill()
    link.close()
    server.kill()
    listener.close()


def wait_until(condition):
    with eventlet.Timeout(3):
        while not condition():
            eventlet.sleep(0.01)


def test_residency_update_reaches_the_other_host(pair):
    """Guards against requests that wait until a report shows an adapter."""
    leader, other, _ = pair
    wait_until(lambda: other.requests)
    published = residency_updates.ResidencyUpdate(
        REF, 'i-1', is_held=True, ready_in_s=0.25
    )
    leader.updates.publish(published)
    wait_until(lambda: other.received)
    assert other.received == leader.received == [published]


def test_requests_of_all_hosts_are_summed(pair):
    """Guards against an engine that seems idle to every host."""
    leader, other, _ = pair
    wait_until(lambda: {'i-1': 5, 'i-2': 1} in other.requests)
    leader.updates.apply_total_requests()
    assert dict(leader.requests[-1]) == {'i-1': 5, 'i-2': 1}


def test_requests_of_a_disconnected_host_are_dropped(pair):
    """Guards against an engine that seems busy forever."""
    leader, other, follower = pair
    wait_until(lambda: {'i-1': 5, 'i-2': 1} in other.requests)
    follower.kill()

    def own_only():
        leader.updates.apply_total_requests()
        return dict(leader.requests[-1]) == {'i-1': 2}

    with eventlet.Timeout(4):
        while not own_only():
            eventlet.sleep(0.02)


def test_silent_leader_is_detected(monkeypatch):
    """Guards against a host that follows a leader that hangs."""
    monkeypatch.setattr(residency_updates, 'SILENCE_TIMEOUT_S', 0.1)
    listener = eventlet.listen(('127.0.0.1', 0))
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    with pytest.raises(errors.LinkError):
        Host('other', {}).updates.follow(link)
    listener.close()


def test_unexpected_message_ends_the_connection():
    """Guards against a peer that is not a gateway."""
    listener = eventlet.listen(('127.0.0.1', 0))

    def answer():
        accepted, _ = listener.accept()
        channel.Channel(accepted, 'peer').send(ttypes.SetupNotice(1))

    task = eventlet.spawn(answer)
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    with pytest.raises(errors.LinkError, match='expected residency updates'):
        Host('other', {}).updates.follow(link)
    task.kill()
    listener.close()


def test_hosts_are_counted(pair):
    """Guards against hosts that each use the whole retry budget."""
    leader, other, _ = pair
    wait_until(lambda: other.host_counts)
    assert other.host_counts[-1] == 2
    leader.updates.apply_total_requests()
    assert leader.host_counts == [2]


def test_host_that_is_no_longer_the_leader_releases_its_followers(pair):
    """Guards against hosts that hear nothing from the next leader."""
    leader, other, follower = pair
    wait_until(lambda: other.requests)
    leader.is_leader = False
    with pytest.raises(errors.LinkError), eventlet.Timeout(1):
        follower.wait()


class RecordingLink:
    """A connection of a host that sends nothing."""

    peer = 'other'

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def receive(self, timeout_s):
        clock.sleep(timeout_s)
        raise errors.LinkError('silent')


class BackloggedLink:
    """A connection to the leader on which messages have already arrived."""

    peer = 'leader'

    def __init__(self, *messages):
        self._messages = list(messages)
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def receive(self, timeout_s):
        if not self._messages:
            raise errors.LinkError('connection closed')
        return self._messages.pop(0)

    def receive_ready(self):
        return self._messages.pop(0) if self._messages else None


def test_host_that_is_behind_applies_only_the_latest_totals():
    """Guards against a late event loop while updates come in quickly."""
    host = Host('other', {})
    link = BackloggedLink(
        *(
            ttypes.News(
                [
                    ttypes.AdapterNews(
                        convert.adapter_id(REF), f'i-{n}', True, 0
                    )
                ],
                {'i-1': n},
                2,
            )
            for n in range(20)
        )
    )
    with pytest.raises(errors.LinkError):
        host.updates.follow(link)
    assert [one.upstream_id for one in host.received] == [
        f'i-{n}' for n in range(20)
    ]
    assert host.requests == [{'i-1': 19}]


def test_other_tasks_run_between_updates_that_have_arrived():
    """Guards against updates that keep callers' connections from being read."""
    host = Host('other', {})
    link = BackloggedLink(*(ttypes.News([], {}, 2) for _ in range(3)))
    link.receive_ready = lambda: None
    totals_seen = []
    eventlet.spawn(lambda: totals_seen.append(len(host.requests)))
    with pytest.raises(errors.LinkError):
        host.updates.follow(link)
    assert totals_seen == [1]


def test_renewal_of_the_lease_is_told_with_its_age(pair):
    """Guards against hosts that read the lease although the leader is heard."""
    _, other, follower = pair
    wait_until(lambda: other.updates.told_renewal() is not None)
    told = other.updates.told_renewal()
    assert (told.token, told.version) == (7, 12)
    assert clock.uptime() - told.sent_at == pytest.approx(0.5, abs=0.2)
    follower.kill()
    wait_until(lambda: other.updates.told_renewal() is None)


def test_progress_with_the_tables_is_told(pair):
    """Guards against hosts that poll although the leader knows of no change."""
    leader, other, _ = pair
    told = table_progress.TableProgress('op', 2, 40, 1234.567)
    leader.progress.own = lambda: [told]
    wait_until(lambda: other.progress.find('op') == told)


def test_measurements_of_all_hosts_reach_the_leader(pair):
    """Guards against a leader that learns from its own requests only."""
    leader, other, _ = pair
    upstream = upstream_state.Upstream(fakes.entry('i-1'))
    for host in (leader, other):
        host.measured.rates.add_engine(upstream.entry.incarnation, 'llm')
    leader.measured.times.correction.record_load(
        'i-1', REF.lora_name, 0.28, is_cached=False
    )
    expected_s = leader.measured.times.expected_s(is_cached=False)
    other.measured.record_prefill(upstream, 1000, 0.037, 0.0)
    other.measured.record_answer('i-1', REF, 0.02, is_held=False)
    wait_until(
        lambda: leader.measured.tokens_per_s(upstream) == pytest.approx(40000)
    )
    wait_until(
        lambda: leader.measured.times.expected_s(is_cached=False) > expected_s
    )


def test_host_that_begins_to_follow_is_told_of_the_last_updates():
    """Guards against requests that wait for seconds for a resident adapter.

    The leader may order loads before the other hosts have found it, and a host
    that relies on it reads the engines' entries only every few seconds.
    """
    leader = Host('leader', {})
    for number, ready_in_s in ((1, 0.0), (2, 5.0)):
        leader.updates.publish(
            residency_updates.ResidencyUpdate(
                REF, f'i-{number}', is_held=True, ready_in_s=ready_in_s
            )
        )
    link = RecordingLink()
    task = eventlet.spawn(leader.updates.serve, link)
    wait_until(lambda: link.sent)
    told = [item for message in link.sent for item in message.items]
    assert [item.upstream for item in told] == ['i-1', 'i-2']
    assert told[0].ready_in_ms == 0
    assert 4000 < told[1].ready_in_ms <= 5000
    task.kill()


@clocks.on_virtual_clock
def test_updates_that_entries_show_are_not_repeated():
    """Guards against an old residency that hides a newer entry."""
    leader = Host('leader', {})
    leader.updates.publish(
        residency_updates.ResidencyUpdate(REF, 'i-1', is_held=True)
    )
    clock.sleep(residency_updates.REPEATED_S)
    link = RecordingLink()
    task = eventlet.spawn(leader.updates.serve, link)
    clock.sleep(1)
    assert not any(message.items for message in link.sent)
    task.kill()


def test_arrivals_of_all_hosts_reach_the_leader(pair):
    """Guards against shares that are decided without a data centre's demand."""
    leader, other, _ = pair
    rates = leader.planner.rates
    # What arrived before this host followed the leader is not told.
    wait_until(lambda: 'dc of other' in rates.data_centres)
    for _ in range(3):
        other.centres.arrivals.record('llm')
    wait_until(lambda: ('llm', 'dc of other') in rates._rate_by_key)
    rates.advance(1.0, clock.now())
    assert rates.per_s('llm') == {'dc of other': 3.0}
    assert leader.planner.trips.smallest() == {
        ('dc of other', 'accra-b'): pytest.approx(0.002)
    }


def test_hosts_are_told_the_shares_of_their_data_centre(pair, monkeypatch):
    """Guards against hosts that draw from the shares of another one."""
    leader, other, follower = pair
    monkeypatch.setattr(
        leader.planner,
        'shares_from',
        lambda source: {'llm': {source: 0.75, 'elsewhere': 0.25}},
    )
    destinations = other.centres.destinations('llm')
    wait_until(lambda: destinations.choose(clock.now()))
    drawn = []
    for _ in range(40):
        drawn.append(destinations.choose(clock.now()))
        destinations.record(
            drawn[-1], clock.now(), drawn=drawn[-1], has_drawn=True
        )
    assert set(drawn) == {'dc of other', 'elsewhere'}
    assert 9 <= drawn.count('elsewhere') <= 11
    follower.kill()
    wait_until(lambda: not destinations.choose(clock.now()))


def test_leader_of_an_older_release_tells_no_shares():
    """Guards against a host that fails while the gateways are replaced."""
    host = Host('other', {})
    link = BackloggedLink(ttypes.News([], {}, 2))
    with pytest.raises(errors.LinkError):
        host.updates.follow(link)
    assert not host.centres.destinations('llm').choose(clock.now())
