"""Tests of servers whose connections give way to new ones."""

import contextlib
import functools
import socket

import eventlet
import pytest
from eventlet import wsgi

from ivystep.runtime import (
    connection_limit,
    limited_connection,
    listeners,
    request_input,
)

MAX_CONNECTIONS = 2
GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
POST_HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n'
OK = b'HTTP/1.1 200 OK'
SLOW_S = 2.0


class Connection(limited_connection.LimitedConnection):
    """A connection that counts as idle until its head has arrived."""

    def parse_request(self):
        self.conn_state[2] = wsgi.STATE_IDLE
        is_parsed = super().parse_request()
        self.conn_state[2] = wsgi.STATE_REQUEST
        return is_parsed

    def get_environ(self):
        return request_input.bound_input(super().get_environ())


def answer(environ, start_response):
    """Answer with the body, after a while at the path ``/slow``."""
    content = environ['wsgi.input'].read()
    if environ['PATH_INFO'] == '/slow':
        eventlet.sleep(SLOW_S)
    start_response('200 OK', [('Content-Length', str(len(content)))])
    return [content]


@pytest.fixture
def connect():
    """Start a server; return a function that connects and sends bytes."""
    opened = set()
    listener = listeners.Listener.open('callers', ('127.0.0.1', 0), print)
    server = eventlet.spawn(
        wsgi.server,
        connection_limit.LimitedListener(listener, MAX_CONNECTIONS, opened),
        answer,
        protocol=functools.partial(Connection, open_connections=opened),
        log_output=False,
    )
    with contextlib.ExitStack() as stack:

        def connect_and_send(content=b''):
            connection = stack.enter_context(
                socket.create_connection(listener.getsockname(), timeout=5)
            )
            connection.sendall(content)
            eventlet.sleep(0.05)
            return connection

        yield connect_and_send
    listener.close()
    server.kill()
    with eventlet.Timeout(5):
        while opened:
            eventlet.sleep(0.01)


def receive_head(connection):
    received = b''
    while not received.endswith(b'\r\n\r\n'):
        part = connection.recv(4096)
        if not part:
            break
        received += part
    return received


@pytest.mark.parametrize(
    'content', [b'', GET[:-2], POST_HEAD, POST_HEAD + b'1']
)
def test_connection_without_a_whole_request_gives_way(connect, content):
    """Guards against new callers who wait behind incomplete requests."""
    held = [connect(content) for _ in range(MAX_CONNECTIONS)]
    assert receive_head(connect(GET)).startswith(OK)
    assert held[0].recv(4096) == b''


def test_idle_connection_gives_way(connect):
    """Guards against new callers who wait behind connections without use."""
    held = [connect(GET) for _ in range(MAX_CONNECTIONS)]
    assert all(receive_head(one).startswith(OK) for one in held)
    assert receive_head(connect(GET)).startswith(OK)


def test_busy_connections_close_after_an_answer(connect):
    """Guards against callers who keep others out by their next requests."""
    held = [connect(GET) for _ in range(MAX_CONNECTIONS)]
    assert all(receive_head(one).startswith(OK) for one in held)
    waiting = connect(GET)
    held[0].sendall(GET)
    assert b'connection: close' in receive_head(held[0]).lower()
    assert receive_head(waiting).startswith(OK)


def test_request_that_is_handled_is_not_ended(connect):
    """Guards against requests that are cut off for new callers."""
    slow = GET.replace(b'/ ', b'/slow ', 1)
    held = [connect(slow) for _ in range(MAX_CONNECTIONS)]
    waiting = connect(GET)
    assert all(receive_head(one).startswith(OK) for one in held)
    assert receive_head(waiting).startswith(OK)
