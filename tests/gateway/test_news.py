"""Tests of the news between hosts over loopback."""

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.gateway import news
from ivystep.wire import channel, tls
from ivystep.wire import listener as wire_listener
from ivystep.wire.gen import ttypes

REF = types.AdapterRef('m', 'a3', 2)


class Host:
    """A host with its board."""

    def __init__(self, name, load):
        self.load = load
        self.told = []
        self.loads = []
        self.hosts = []
        self.board = news.NewsBoard(
            name,
            self.told.append,
            lambda: self.load,
            self.loads.append,
            self.hosts.append,
        )


@pytest.fixture
def pair():
    """Return a holder and a host that follows it."""
    holder = Host('holder', {'i-1': 2})
    other = Host('other', {'i-1': 3, 'i-2': 1})
    listener = eventlet.listen(('127.0.0.1', 0))

    def serve(link):
        link.receive(1)
        holder.board.serve(link)

    server = eventlet.spawn(
        wire_listener.serve, listener, None, tls.ENTRY_NAME, serve
    )
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    follower = eventlet.spawn(other.board.follow, link)
    yield holder, other, follower
    follower.kill()
    link.close()
    server.kill()
    listener.close()


def wait_until(condition):
    with eventlet.Timeout(3):
        while not condition():
            eventlet.sleep(0.01)


def test_news_reach_the_other_host(pair):
    """Guards against requests that wait for the next heartbeat."""
    holder, other, _ = pair
    wait_until(lambda: other.loads)
    told = news.AdapterNews(REF, 'i-1', is_held=True, ready_in_s=0.25)
    holder.board.publish(told)
    wait_until(lambda: other.told)
    assert other.told == holder.told == [told]


def test_loads_of_all_hosts_are_added_up(pair):
    """Guards against an engine that every host believes to be idle."""
    holder, other, _ = pair
    wait_until(lambda: {'i-1': 5, 'i-2': 1} in other.loads)
    holder.board.apply_total_load()
    assert dict(holder.loads[-1]) == {'i-1': 5, 'i-2': 1}


def test_load_of_a_host_that_has_gone_is_forgotten(pair):
    """Guards against an engine that seems busy for good."""
    holder, other, follower = pair
    wait_until(lambda: {'i-1': 5, 'i-2': 1} in other.loads)
    follower.kill()

    def own_only():
        holder.board.apply_total_load()
        return dict(holder.loads[-1]) == {'i-1': 2}

    with eventlet.Timeout(4):
        while not own_only():
            eventlet.sleep(0.02)


def test_silent_holder_is_noticed(monkeypatch):
    """Guards against a host that follows a holder that stands still."""
    monkeypatch.setattr(news, 'SILENCE_S', 0.1)
    listener = eventlet.listen(('127.0.0.1', 0))
    link = channel.Channel.connect(listener.getsockname(), None, tls.ENTRY_NAME)
    with pytest.raises(errors.LinkError):
        Host('other', {}).board.follow(link)
    listener.close()


def test_unexpected_message_ends_the_connection():
    """Guards against a peer of another kind."""
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
    """Guards against a retry budget that each host takes for its own."""
    holder, other, _ = pair
    wait_until(lambda: other.hosts)
    assert other.hosts[-1] == 2
    holder.board.apply_total_load()
    assert holder.hosts == [2]
