"""Tests of frames received in arbitrary pieces, and of unexpected data."""

import socket

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ivystep.core import errors
from ivystep.wire import channel
from ivystep.wire.gen import ttypes


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.binary(max_size=300), min_size=1, max_size=8),
    st.lists(st.integers(1, 400), max_size=20),
    st.booleans(),
)
def test_frames_survive_any_cuts(bodies, cuts, ready):
    """Guards against frames lost or joined when they arrive in pieces."""
    near, far = socket.socketpair()
    link = channel.Channel(near, 'near')
    sent = b''.join(channel.encode(ttypes.AnswerChunk(body)) for body in bodies)

    def send_in_pieces():
        rest = sent
        for cut in cuts:
            far.sendall(rest[:cut])
            rest = rest[cut:]
            eventlet.sleep(0)
        far.sendall(rest)
        far.close()

    writer = eventlet.spawn(send_in_pieces)
    received = []
    while len(received) < len(bodies):
        message = link.receive_ready() if ready else None
        received.append(message or link.receive(5))
    assert [message.data for message in received] == bodies
    writer.wait()
    with pytest.raises(errors.LinkError):
        link.receive(5)
    assert link.is_closed


def test_a_connection_with_stray_bytes_is_stale():
    """Guards against a late answer that reaches the next request."""
    near, far = socket.socketpair()
    link = channel.Channel(near, 'near')
    assert not link.is_stale()
    chunk = channel.encode(ttypes.AnswerChunk(b'x'))
    far.sendall(chunk + chunk)
    assert link.receive(5).data == b'x'
    # The second frame was read with the first and is in the buffer.
    assert link.is_stale()


def test_a_frame_that_is_too_long_is_refused_before_it_is_read():
    """Guards against a length that makes the process run out of memory."""
    near, far = socket.socketpair()
    link = channel.Channel(near, 'near')
    far.sendall(channel.HEADER.pack(channel.MAX_FRAME_BYTES + 1))
    with pytest.raises(errors.LinkError, match='too long'):
        link.receive(5)
