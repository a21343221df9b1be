"""Tests of frames received in arbitrary pieces, and of unexpected data."""

import contextlib
import socket
import tracemalloc

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


@pytest.mark.parametrize('timeout_s', [None, 5])
def test_frame_sent_one_byte_at_a_time_ends_at_its_time_out(
    monkeypatch, timeout_s
):
    """Guards against peers that hold connections with frames without an end."""
    monkeypatch.setattr(channel, 'FRAME_TIMEOUT_S', 0.3)
    near, far = socket.socketpair()
    link = channel.Channel(near, 'near')

    def send_slowly():
        with contextlib.suppress(OSError):
            for byte in channel.encode(ttypes.AnswerChunk(bytes(1000))):
                far.sendall(bytes((byte,)))
                eventlet.sleep(0.05)

    writer = eventlet.spawn(send_slowly)
    with (
        eventlet.Timeout(2),
        pytest.raises(errors.LinkError, match=r'receive near: .*0\.3 s'),
    ):
        link.receive(timeout_s)
    assert link.is_closed
    writer.wait()


def test_idle_connection_is_not_ended_by_the_time_of_a_frame(monkeypatch):
    """Guards against connections closed while no frame is begun."""
    monkeypatch.setattr(channel, 'FRAME_TIMEOUT_S', 0.05)
    near, far = socket.socketpair()
    link = channel.Channel(near, 'near')
    whole = channel.encode(ttypes.AnswerChunk(b'x'))
    eventlet.spawn_after(0.2, far.sendall, whole)
    assert link.receive().data == b'x'
    eventlet.spawn_after(0.2, far.sendall, whole)
    assert link.receive().data == b'x'


# An unknown field of nested structs or lists, a list without its entries, and a
# text that is longer than the codec allows.
HOSTILE_PAYLOADS = (
    b'\x0c\xc8\x01' + b'\x1c' * 1_000_000,
    b'\x0c\xc8\x01' + b'\x19' * 1_000_000,
    b'\xec\x39\xfc\xff\xff\xff\xff\x07\x00\x00',
    b'\x5c\x18\x80\x80\x80\x08body',
    b'',
    b'\x00',
)


@pytest.mark.parametrize('payload', HOSTILE_PAYLOADS)
def test_hostile_frame_costs_no_more_than_its_bytes(payload):
    """Guards against a short frame that takes all memory or the stack."""
    near, far = socket.socketpair()
    link = channel.Channel(near, 'near')
    eventlet.spawn(far.sendall, channel.HEADER.pack(len(payload)) + payload)
    tracemalloc.start()
    try:
        with pytest.raises(errors.LinkError, match='frame'):
            link.receive(5)
        assert tracemalloc.get_traced_memory()[1] < 16_000_000
    finally:
        tracemalloc.stop()
    assert link.is_closed
