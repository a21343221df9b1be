"""Tests of the connections of a gateway to its upstreams."""

import contextlib
import dataclasses
import socket
import types

import eventlet

from ivystep.gateway.upstreams import upstream_state
from tests.gateway import fakes, harness


def test_unsent_bytes_of_an_abandoned_request_are_discarded(build):
    """Guards against requests that upstreams receive after callers left."""
    body = b'x' * 60_000
    with contextlib.closing(socket.socket()) as listener:
        # With a small receive buffer, most bytes wait at the gateway.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        gateway, _ = build()
        gateway.add(
            types.SimpleNamespace(
                upstream_id='i-1',
                software_version='v1',
                port=listener.getsockname()[1],
            )
        )
        gateway.wait_for(1)
        caller = gateway.connect()
        caller.sendall(harness.request('/once/2f', body=body))
        upstream, _ = listener.accept()
        with contextlib.closing(upstream):
            eventlet.sleep(0.1)
            caller.close()
            with eventlet.Timeout(2):
                while gateway.daemon.status().details['requests']:
                    eventlet.sleep(0.01)
            received = read_until_closed(upstream)
    assert len(received) < len(body)


def read_until_closed(connection):
    """Return what a connection still delivers, also before a reset."""
    received = b''
    try:
        while part := connection.recv(65536):
            received += part
    except ConnectionError:
        return received
    return received


def test_connections_to_upstreams_are_reused(build):
    """Guards against a new connection for each request."""
    gateway, (upstream,) = build(lambda _, headers: harness.ok_answer(headers))
    for number in range(5):
        assert gateway.send('/once/2f', f'r-{number}').status == 200
    assert upstream.opened == 1


def test_connection_with_an_extra_answer_is_not_reused(build):
    """Guards against an extra answer relayed to the next request."""

    def extra(connection, headers):
        return harness.ok_answer(headers) + harness.ok_answer(headers, b'again')

    gateway, (upstream,) = build(extra)
    assert gateway.send('/once/2f', 'r-1').body == b'whole answer'
    assert gateway.send('/once/2f', 'r-2').headers['request-id'] == 'r-2'
    assert upstream.opened == 2


def test_requests_avoid_an_unreachable_upstream(build):
    """Guards against requests that fail because one upstream is down."""
    gateway, (down, up) = build(
        lambda _, headers: harness.ok_answer(headers),
        lambda _, headers: harness.ok_answer(headers),
    )
    down.close()
    answers = [gateway.send('/once/2f', f'r-{n}').status for n in range(8)]
    assert answers == [200] * 8
    assert len(up.requests) == 8


def test_connection_that_another_upstream_accepts_proves_no_life():
    """Guards against a crash that is not counted as the address is reused."""
    with contextlib.closing(eventlet.listen(('127.0.0.1', 0))) as listener:
        entry = dataclasses.replace(
            fakes.entry(), address=listener.getsockname()
        )
        upstream = upstream_state.Upstream(entry)
        assert findings(upstream) == [False, False, False]
        upstream.on_misdirected()
        assert findings(upstream) == [True, True, True]
        newer = dataclasses.replace(entry, version=entry.version + 1)
        upstream.replace_entry(newer, 0.0)
        assert findings(upstream) == [False, False, False]


def findings(upstream):
    """Return what is found out about an upstream by connections to it."""
    address = upstream.connections
    return [
        address.has_ended(),
        address.is_refused(),
        address.is_unreachable(),
    ]
