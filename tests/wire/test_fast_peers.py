"""Tests of processes that write frames as fast as loopback allows."""

import contextlib
import socket

import eventlet
import pytest

from ivystep.core import errors
from ivystep.wire import channel
from ivystep.wire.gen import ttypes
from tests import flooding

MAX_TURN_S = 0.05
FRAMES = {
    'empty': channel.encode(ttypes.Watch()),
    'large': channel.encode(ttypes.AnswerChunk(b'x' * 2_000_000)),
}


def receive_each(link):
    """Receive like a server, which handles one message after the other."""
    while True:
        link.receive(1)


def receive_all_that_arrived(link):
    """Receive like a host that follows the leader."""
    while True:
        message = link.receive(1)
        while message is not None:
            message = link.receive_ready()


@pytest.mark.parametrize('size', FRAMES)
@pytest.mark.parametrize('receive', [receive_each, receive_all_that_arrived])
def test_peer_that_writes_fast_leaves_the_loop_its_turns(receive, size):
    """Guards against timers that wait for another process to pause."""

    def receive_to_the_end(link):
        with contextlib.suppress(errors.LinkError):
            receive(link)

    with (
        flooding.serving(b'', FRAMES[size]) as port,
        contextlib.closing(
            socket.create_connection(('127.0.0.1', port))
        ) as connection,
        flooding.LongestTurn() as measured,
    ):
        connection.sendall(b'\r\n\r\n')
        task = eventlet.spawn(
            receive_to_the_end, channel.Channel(connection, 'near')
        )
        eventlet.sleep(flooding.WRITING_S)
        task.kill()
    assert measured.longest_s < MAX_TURN_S
