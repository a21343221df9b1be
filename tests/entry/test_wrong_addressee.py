"""Tests of frames that arrive at another process than the one meant."""

import contextlib

import eventlet
import pytest

from ivystep.core import errors, types
from ivystep.entry import peer_server
from ivystep.settings import models
from ivystep.sidecar import host, server
from ivystep.wire import channel, convert, listener, tls
from ivystep.wire.gen import ttypes

REF = types.AdapterRef('authority', 'plans', 3)
UPSTREAM = models.Upstream(url='http://127.0.0.1:1', slots=2)
PEER_MESSAGES = (
    ttypes.Demand('base', 'self', []),
    ttypes.PermitRequest('engine', 1, 1, 1, 1.0, 1, 1.0, 1),
    ttypes.QuotaReport('self', 1, 1, 0, 0, 1.0, 1),
    ttypes.SetupNotice(7),
    ttypes.GetManifest(),
    ttypes.GetSection('digest'),
    ttypes.Watch(),
)
SIDECAR_MESSAGES = (
    ttypes.Watch(),
    ttypes.RevokeAttempt('att-1', 'incarnation'),
    ttypes.LoadAdapter(convert.adapter_id(REF), 'weights', [], 'self', 1),
)


def _name(message):
    return type(message).__name__


class PeerParts:
    """Records what a peer server passes on."""

    def __init__(self):
        self.served = []

    def planner(self, pool):
        return self

    def report_demand(self, entry_id, demands):
        self.served.append(ttypes.Demand)
        return ()

    def version(self):
        return 5

    def announce_version(self, version):
        self.served.append(ttypes.SetupNotice)

    def manifest(self):
        self.served.append(ttypes.GetManifest)
        return 5, {}

    def section(self, digest):
        self.served.append(ttypes.GetSection)
        return b''

    def watch(self, link):
        self.served.append(ttypes.Watch)
        link.send(ttypes.News([], {}, 1))

    def permit(self, message):
        self.served.append(ttypes.PermitRequest)
        return ttypes.Permit(message.engine, 'unknown')

    def quota(self, message):
        self.served.append(ttypes.QuotaReport)
        return ttypes.QuotaGrants(1, 1, 1, 1.0, 1)


def make_peer_server(parts):
    return peer_server.PeerServer(
        'other', parts.planner, parts, parts.watch, parts.permit, parts.quota
    )


@pytest.fixture(name='listen')
def listen_fixture():
    """Return a function that starts a server and returns its address."""
    started = []

    def listen(handle):
        socket = eventlet.listen(('127.0.0.1', 0))
        started.append(
            eventlet.spawn(listener.serve, socket, None, tls.ENTRY_NAME, handle)
        )
        return socket.getsockname()

    yield listen
    for task in started:
        task.kill()


def introduce(address, hello):
    """Connect, send a hello, and return the connection and the answer."""
    link = channel.Channel.connect(address, None, tls.ENTRY_NAME)
    return link, link.request(hello, 1)


@pytest.mark.parametrize('message', PEER_MESSAGES, ids=_name)
def test_peer_serves_processes_that_name_no_addressee(listen, message):
    """Guards against a rolling upgrade that cuts older processes off."""
    parts = PeerParts()
    address = listen(make_peer_server(parts).handle)
    link, hello = introduce(address, ttypes.Hello('self', '', 'entry', 0))
    assert hello.process_id == 'other'
    link.request(message, 1)
    assert parts.served == [type(message)]


@pytest.mark.parametrize('message', SIDECAR_MESSAGES, ids=_name)
def test_sidecar_serves_processes_that_name_no_addressee(listen, message):
    """Guards against a rolling upgrade that cuts older processes off."""
    address = listen(
        server.SidecarServer(host.UpstreamHost('up-2', UPSTREAM)).serve
    )
    link, hello = introduce(address, ttypes.Hello('self', '', 'entry', 0))
    assert hello.process_id == 'up-2'
    answer = link.request(message, 3)
    assert isinstance(
        answer, ttypes.UpstreamStatus | ttypes.AttemptState | ttypes.LoadResult
    )


def is_ended(link):
    """Return whether the other side ends a connection without a message."""
    with pytest.raises(errors.LinkError, match=r'connection closed|reset'):
        link.receive(1)
    return True


@pytest.mark.parametrize('message', PEER_MESSAGES, ids=_name)
def test_peer_serves_nothing_that_is_meant_for_another_process(
    listen, caplog, message
):
    """Guards against work of a host whose address is another one's now."""
    parts = PeerParts()
    address = listen(make_peer_server(parts).handle)
    hello = ttypes.Hello('self', '', 'entry', 0, addressee_id='gone')
    link, answer = introduce(address, hello)
    assert answer.process_id == 'other'
    with contextlib.suppress(errors.LinkError):
        link.send(message)
    assert is_ended(link)
    assert not parts.served
    assert 'self means gone' in caplog.text


@pytest.mark.parametrize('message', SIDECAR_MESSAGES, ids=_name)
def test_sidecar_serves_nothing_that_is_meant_for_another_process(
    listen, caplog, message
):
    """Guards against loads at an engine that nobody ordered to load."""
    address = listen(
        server.SidecarServer(host.UpstreamHost('up-2', UPSTREAM)).serve
    )
    hello = ttypes.Hello('self', '', 'entry', 0, addressee_id='up-1')
    link, answer = introduce(address, hello)
    assert answer.process_id == 'up-2'
    with contextlib.suppress(errors.LinkError):
        link.send(message)
    assert is_ended(link)
    assert 'self means up-1' in caplog.text
