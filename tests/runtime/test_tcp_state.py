"""Tests of the state of TCP connections, as the kernel tells it."""

import contextlib
import socket

import eventlet
import pytest

from ivystep.runtime import sockets, tcp_state
from tests import dark_peers


@pytest.fixture
def ends():
    """Return both ends of a connection: the opened and the accepted one."""
    with (
        contextlib.closing(socket.create_server(('127.0.0.1', 0))) as listener,
        contextlib.closing(
            socket.create_connection(listener.getsockname())
        ) as opened,
    ):
        accepted, _ = listener.accept()
        with contextlib.closing(accepted):
            yield opened, accepted


@pytest.mark.parametrize('end', [0, 1])
def test_new_connection_has_a_state(ends, end):
    """Guards against a user time-out for a kernel that tells the state."""
    state = tcp_state.TcpState.of_connection(ends[end])
    assert state is not None
    assert state.is_settled
    sockets.set_tcp_options(ends[end])
    user_timeout_ms = ends[end].getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )
    assert not user_timeout_ms


def test_closed_connection_has_no_state(ends):
    """Guards against a check that fails as its connection closes."""
    ends[0].close()
    assert tcp_state.TcpState.of_connection(ends[0]) is None


def test_what_a_peer_does_not_take_is_unsent(ends):
    """Guards against a closed window that is taken for silence."""
    opened, accepted = ends
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    opened.sendall(b'x' * 400_000)
    eventlet.sleep(0.5)
    before = tcp_state.TcpState.of_connection(opened)
    eventlet.sleep(1.0)
    after = tcp_state.TcpState.of_connection(opened)
    assert before.unsent_bytes
    assert not after.is_settled
    assert after.sent_segments > before.sent_segments
    assert after.since_ack_s < 1.0


def test_what_a_dark_peer_is_sent_stays_unacknowledged(ends):
    """Guards against a state that does not show that nobody answers."""
    opened, accepted = ends
    dark_peers.go_dark(accepted)
    opened.sendall(b'x')
    eventlet.sleep(0.8)
    state = tcp_state.TcpState.of_connection(opened)
    assert state.unacknowledged_segments == 1
    assert state.since_ack_s >= 0.75
    assert state.sent_segments > 2
    dark_peers.come_back(accepted)
    assert accepted.recv(1) == b'x'
    eventlet.sleep(0.1)
    assert tcp_state.TcpState.of_connection(opened).is_settled


def test_user_timeout_stands_in_where_the_state_is_unknown(ends, monkeypatch):
    """Guards against gone peers that nobody finds on such a kernel."""
    monkeypatch.setattr(
        tcp_state.TcpState, 'of_connection', lambda connection: None
    )
    sockets.set_tcp_options(ends[0])
    options = [
        ends[0].getsockopt(socket.IPPROTO_TCP, option)
        for option in (socket.TCP_USER_TIMEOUT, socket.TCP_KEEPCNT)
    ]
    assert options == [3000, 3]
