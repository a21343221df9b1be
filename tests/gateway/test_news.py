"""Tests of news between hosts, over the loopback interface."""

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.gateway import news
from ivystep.wire import channel, tls
from ivystep.wire import listener as wire_listener
from ivystep.wire.gen import ttypes

REF = types.AdapterRef('m', 'a3', 2)


class Host:
    """A host that records the calls of its news board."""

    def __init__(self, name, load):
        self.load = load
        self.received = []
        self.loads = []
        self.hosts = []
        self.board = news.NewsBoard(
            name,
            self.received.append,
            lambda: self.load,
            self.loads.append,
            self.hosts.append,
        )


@pytest.fixture
def pair():
    """Return a leader and a host that follows it."""
    leader = Host('leader', {'i-1': 2})
    other = Host('other', {'i-1': 3, 'i-2': 1})
    listener = eventlet.listen(('127.0.0.1', 0))

    def serve(link):
        link.receive(1)
        leader.board.serve(link)

    server = eventlet.spawn(
        wire_listener.serve, listener, None, tls.ENTRY_NAME, serve
    )
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    follower = eventlet.spawn(other.board.follow, link)
    yield leader, other, follower
    follower.kill()
    link.close()
    server.kill()
    listener.close()


def wait_until(condition):
    with eventlet.Timeout(3):
        while not condition():
            eventlet.sleep(0.01)


def test_news_reaches_the_other_host(pair):
    """Guards against requests that wait until a report shows an adapter."""
    leader, other, _ = pair
    wait_until(lambda: other.loads)
    published = news.AdapterNews(REF, 'i-1', is_held=True, ready_in_s=0.25)
    leader.board.publish(published)
    wait_until(lambda: other.received)
    assert other.received == leader.received == [published]


def test_loads_of_all_hosts_are_summed(pair):
    """Guards against an engine that seems idle to every host."""
    leader, other, _ = pair
    wait_until(lambda: {'i-1': 5, 'i-2': 1} in other.loads)
    leader.board.apply_total_load()
    assert dict(leader.loads[-1]) == {'i-1': 5, 'i-2': 1}


def test_load_of_a_disconnected_host_is_dropped(pair):
    """Guards against an engine that seems busy forever."""
    leader, other, follower = pair
    wait_until(lambda: {'i-1': 5, 'i-2': 1} in other.loads)
    follower.kill()

    def own_only():
        leader.board.apply_total_load()
        return dict(leader.loads[-1]) == {'i-1': 2}

    with eventlet.Timeout(4):
        while not own_only():
            eventlet.sleep(0.02)


def test_silent_leader_is_detected(monkeypatch):
    """Guards against a host that follows a leader that hangs."""
    monkeypatch.setattr(news, 'SILENCE_TIMEOUT_S', 0.1)
    listener = eventlet.listen(('127.0.0.1', 0))
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    with pytest.raises(errors.LinkError):
        Host('other', {}).board.follow(link)
    listener.close()


def test_unexpected_message_ends_the_connection():
    """Guards against a peer that is not a gateway."""
    listener = eventlet.listen(('127.0.0.1', 0))

    def answer():
        accepted, _ = listener.accept()
        channel.Channel(accepted, 'peer').send(ttypes.SetupNotice(1))

    task = eventlet.spawn(answer)
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    with pytest.raises(errors.LinkError, match='news'):
        Host('other', {}).board.follow(link)
    task.kill()
    listener.close()


def test_hosts_are_counted(pair):
    """Guards against hosts that each use the whole retry budget."""
    leader, other, _ = pair
    wait_until(lambda: other.hosts)
    assert other.hosts[-1] == 2
    leader.board.apply_total_load()
    assert leader.hosts == [2]
