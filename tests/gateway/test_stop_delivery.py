"""Tests of how answers reach their callers as a planned stop ends."""

import contextlib
import socket

import eventlet
import pytest

from ivystep.traffic import http1
from tests.gateway import harness

SLOW_CALLERS = {
    'limits': {**harness.LIMITS, 'idle_timeout_ms': 9000},
    'routes': (
        harness.route('slow', 'non_idempotent', timeout_ms=9000),
        harness.route('flow', 'stream', timeout_ms=9000),
        harness.route(
            'resume', 'stream', timeout_ms=9000, attempts=2, resumable=True
        ),
    ),
}
# Shorter than the kernel waits for a caller that reads nothing.
GRACE_S = 2.5
# What the kernel of a host buffers at first for a caller on a network; on
# loopback it buffers more.
SEND_BUFFER_BYTES = 16384
# Longer than the buffers of both sides together.
EVENT = b'id: 1\ndata: ' + b'x' * 1000 + b'\n\n'
EVENTS = 64


def whole_request(path, request_id='r-1'):
    """Return a request whose deadline lies behind the stop."""
    return (
        f'POST {path} HTTP/1.1\r\nHost: {harness.HOST}\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: 9000\r\n'
        'Content-Length: 2\r\n\r\n{}'
    ).encode()


def connect_slow_reader(gateway):
    """Open a connection whose buffers hold less than an answer."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect(('127.0.0.1', gateway.port))
    eventlet.sleep(0.1)
    (accepted,) = gateway.daemon._server_state.open_connections
    accepted._socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
    )
    return connection


def answer_stream(_, headers):
    return (
        harness.stream_head(headers)
        + harness.chunk(EVENT) * EVENTS
        + http1.LAST_CHUNK
    )


def answer_plainly(_, headers):
    return harness.ok_answer(headers, EVENT * EVENTS)


@pytest.mark.parametrize(
    ('path', 'script'),
    [
        ('/flow/2f', answer_stream),
        ('/resume/2f', answer_stream),
        ('/slow/2f', answer_plainly),
    ],
)
def test_complete_answer_reaches_a_slow_reader_after_the_end_of_the_stop(
    build, path, script
):
    """Guards against a reset that destroys what the upstream has completed."""
    gateway, _ = build(script, config=SLOW_CALLERS, grace_s=GRACE_S)
    with contextlib.closing(connect_slow_reader(gateway)) as connection:
        connection.sendall(whole_request(path))
        eventlet.sleep(0.2)
        gateway.daemon.drain(gateway.listener)
        assert not gateway.daemon._server_state.requests
        answer = harness.read_to_end(connection)
    assert not answer.was_reset
    assert answer.is_complete
    assert answer.body == EVENT * EVENTS
