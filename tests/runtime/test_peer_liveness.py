"""Tests of the decision whether a peer's host is gone."""

import contextlib
import gc
import socket

import eventlet
import pytest

from ivystep.runtime import peer_liveness, tcp_state

SENT_AT = 100.0


def apply(looks):
    """Return whether a peer is gone after each look at its connection.

    Args:
        looks: Time of each look after the first send, time of the last
            acknowledgement on the same clock, and segments sent by then.
    """
    silence = peer_liveness.PeerSilence(SENT_AT)
    found = []
    for at_s, acknowledged_at_s, sent_segments in looks:
        state = tcp_state.TcpState(
            since_ack_s=at_s - acknowledged_at_s,
            acknowledged_bytes=0,
            sent_segments=sent_segments,
            unacknowledged_segments=1,
            unsent_bytes=0,
        )
        silence.update(state, SENT_AT + at_s)
        found.append(silence.is_gone(SENT_AT + at_s))
    return found


@pytest.mark.parametrize('acknowledged_at_s', [-60.0, -0.001, 0.0])
def test_peer_that_acknowledges_nothing_is_gone_after_three_seconds(
    acknowledged_at_s,
):
    """Guards against requests that wait longer than for a user time-out."""
    looks = [
        (1.0, acknowledged_at_s, 4),
        (1.5, acknowledged_at_s, 5),
        (2.75, acknowledged_at_s, 5),
        (3.0, acknowledged_at_s, 6),
    ]
    assert apply(looks) == [False, False, False, True]


def test_peer_that_answers_probes_ever_more_seldom_lives():
    """Guards against a closed window that is taken for a dead host."""
    looks = []
    probed_at_s = 0.2
    segments = 2
    while probed_at_s < 200:
        looks.extend(
            (
                (probed_at_s + 0.01, probed_at_s, segments),
                (probed_at_s * 2 - 0.1, probed_at_s, segments),
                # A probe whose answer is on its way.
                (probed_at_s * 2 + 0.05, probed_at_s, segments + 1),
            )
        )
        probed_at_s *= 2
        segments += 1
    assert not any(apply(looks))


def test_peer_that_answers_no_more_probes_is_gone():
    """Guards against a closed window that hides a dead host for good."""
    looks = [
        (1.5, 1.4, 5),
        (3.1, 1.4, 6),
        (6.1, 1.4, 6),
        (6.3, 1.4, 7),
    ]
    assert apply(looks) == [False, False, False, True]


def test_single_probe_that_is_lost_ends_no_peer():
    """Guards against the end of a live peer by one lost packet."""
    looks = [(1.5, 1.4, 5), (3.1, 1.4, 6), (6.1, 1.4, 6), (6.3, 6.2, 7)]
    assert not any(apply(looks))


def test_acknowledgement_begins_the_silence_again():
    """Guards against silences that are added up."""
    looks = [(1.0, 0.0, 4), (2.5, 2.4, 6), (4.0, 2.4, 7), (5.0, 2.4, 8)]
    assert apply(looks) == [False, False, False, False]
    assert apply([*looks, (5.5, 2.4, 8)])[-1]


def test_stall_of_this_process_ends_no_live_peer():
    """Guards against looks that come late and find a peer silent."""
    looks = [(1.0, 0.5, 4), (31.0, 20.0, 9), (32.0, 20.0, 9)]
    assert not any(apply(looks))


class Owner:
    """Owns a connection, as those of callers and upstreams do."""

    def __init__(self, connection):
        self.connection = connection
        self.liveness = peer_liveness.LivenessCheck(connection, self.on_gone)

    def on_gone(self):
        """Take note that the peer is gone."""


def test_connection_that_is_dropped_closes_its_socket():
    """Guards against descriptors that stay until a garbage collection."""
    gc.disable()
    try:
        with (
            contextlib.closing(
                socket.create_server(('127.0.0.1', 0))
            ) as listener,
        ):
            owner = Owner(socket.create_connection(listener.getsockname()))
            accepted, _ = listener.accept()
            with contextlib.closing(accepted), eventlet.Timeout(1):
                del owner
                assert accepted.recv(1) == b''
    finally:
        gc.enable()
