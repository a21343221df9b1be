"""Tests of how an entry counts the connections of its callers."""

import contextlib
import socket

import eventlet

from ivystep.entry import connections
from ivystep.runtime import listeners
from tests.entry import harness


def test_connection_that_fails_as_it_closes_is_counted_no_more(monkeypatch):
    """Guards against a drain that waits for connections that have ended."""

    def fail(connection):
        raise ValueError(connection)

    monkeypatch.setattr(connections.CallerConnection, '_linger', fail)
    entry = harness.Entry(virtual=True)
    listener = listeners.Listener.open('callers', ('127.0.0.1', 0), print)
    server = eventlet.spawn(
        connections.serve, listener, entry.api, entry.server_state, 64
    )
    with contextlib.closing(
        socket.create_connection(listener.getsockname(), timeout=5)
    ) as caller:
        caller.sendall(
            b'GET / HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n'
        )
        assert caller.recv(4096)
        with eventlet.Timeout(5):
            while not entry.server_state.is_empty:
                eventlet.sleep(0.01)
    listener.close()
    server.kill()
