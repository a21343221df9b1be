"""Tests of how answers reach their callers as a planned stop ends."""

import contextlib
import socket

import eventlet
import pytest

from ivystep.gateway.requests import caller_connection
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


# Longer than a connection is read after its last answer.
AFTER_LINGER_S = caller_connection.LINGER_S + 0.3


@pytest.mark.parametrize('sent_after_s', [0.0, AFTER_LINGER_S])
def test_answer_survives_bytes_that_its_caller_sends_before_it_reads(
    build, sent_after_s
):
    """Guards against a reset, by bytes left unread, that destroys an answer."""
    gateway, _ = build(answer_stream, config=SLOW_CALLERS, grace_s=GRACE_S)
    with contextlib.closing(connect_slow_reader(gateway)) as connection:
        connection.sendall(whole_request('/flow/2f'))
        drained = eventlet.spawn(gateway.daemon.drain, gateway.listener)
        eventlet.sleep(0.2)
        gateway.daemon._server_state.grow_send_buffers()
        eventlet.sleep(sent_after_s)
        connection.sendall(whole_request('/flow/2f', 'r-2')[:-1])
        eventlet.sleep(0.1)
        answer = harness.read_to_end(connection)
    drained.wait()
    assert not answer.was_reset
    assert answer.body == EVENT * EVENTS


def test_caller_that_never_reads_does_not_keep_its_connection(build):
    """Guards against connections that stay open for an answer not taken."""
    limits = {**harness.LIMITS, 'idle_timeout_ms': 1000}
    gateway, _ = build(answer_stream, config={**SLOW_CALLERS, 'limits': limits})
    with contextlib.closing(connect_slow_reader(gateway)) as connection:
        gateway.daemon._server_state.is_closing = True
        connection.sendall(whole_request('/flow/2f'))
        eventlet.sleep(0.2)
        gateway.daemon._server_state.grow_send_buffers()
        eventlet.sleep(0.5)
        assert gateway.daemon._server_state.open_connections
        eventlet.sleep(1.0)
        assert not gateway.daemon._server_state.open_connections


AT_ONCE = 40


def test_many_requests_that_end_with_their_host_all_get_an_answer(build, stack):
    """Guards against answers that are not written before the process ends."""
    services = [{'name': 'app', 'max_connections': AT_ONCE}]
    gateway, _ = build(
        config={**SLOW_CALLERS, 'services': services}, grace_s=GRACE_S
    )
    upstream = harness.ScriptedUpstream(lambda *_: None)
    stack.callback(upstream.close)
    gateway.add(upstream, slots=AT_ONCE)
    gateway.wait_for(1)
    connections = [gateway.connect() for _ in range(AT_ONCE)]
    for number, connection in enumerate(connections):
        path = '/slow/2f' if number % 2 else '/flow/2f'
        connection.sendall(whole_request(path, f'r-{number}'))
    with eventlet.Timeout(5):
        while len(upstream.requests) < AT_ONCE:
            eventlet.sleep(0.02)
    gateway.daemon.drain(gateway.listener)
    assert not gateway.daemon._server_state.requests
    for connection in connections:
        answer = harness.read_to_end(connection)
        connection.close()
        assert (answer.status, answer.document['ran']) == (502, 'unknown')
