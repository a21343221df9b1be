"""Tests when callers reuse a connection and what counts as unanswered."""

import socket
import time
import types

import eventlet
import pytest

from soak import callers, oracle

BODY = b'{"choices": [{"text": "one"}]}'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (len(BODY), BODY)
REQUEST = callers.CallerRequest(
    'prompt 1', 'authority', 'once', 'letters', 1, stream=False
)


class Peer:
    """A server that answers one request per connection and drops the next."""

    def __init__(self):
        self.connections = 0
        self.listener = eventlet.listen(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self.listener.getsockname()[1]}'
        self.task = eventlet.spawn(self._serve)

    def _serve(self):
        while True:
            connection, _ = self.listener.accept()
            self.connections += 1
            eventlet.spawn(self._answer, connection)

    def _answer(self, connection):
        _read_request(connection)
        connection.sendall(ANSWER)
        _read_request(connection)
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()


def _read_request(connection):
    received = b''
    while not received.endswith(b'}'):
        piece = connection.recv(4096)
        if not piece:
            return
        received += piece


@pytest.fixture
def peer():
    started = Peer()
    yield started
    started.task.kill()
    started.listener.close()


def call(http, peer):
    return callers.call(http, 'entry-1', peer.url, REQUEST)


def test_lost_answer_on_a_reused_connection_is_a_violation(peer):
    """Guards against a caller that hides an answer that the entry owed."""
    http = callers.http_client()
    outcomes = [call(http, peer), call(http, peer)]
    assert peer.connections == 1
    assert outcomes[1].result is callers.CallResult.BROKEN
    found = oracle.violations(outcomes[1:], {}, ())
    assert [line.partition(':')[0] for line in found] == ['no answer']


def test_connection_is_not_reused_near_the_idle_limit(peer, monkeypatch):
    """Guards against a request sent while the entry closes the connection."""
    http = callers.http_client()
    call(http, peer)
    late = time.monotonic() + callers.REUSE_LIMIT_S
    later = types.SimpleNamespace(monotonic=lambda: late)
    monkeypatch.setattr(callers, 'time', later)
    assert call(http, peer).status == 200
    assert peer.connections == 2
