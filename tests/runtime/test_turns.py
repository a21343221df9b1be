"""Tests of the bound on how long a task keeps the event loop."""

import contextlib
import socket

import eventlet
import pytest

from ivystep.runtime import turns
from tests.coordination import fakes as clocks


@clocks.on_virtual_clock
def test_turn_is_spent_by_bytes_and_begins_again_with_the_loop():
    """Guards against a turn without an end on a clock that stands still."""
    turns.count(turns.TURN_BYTES - 1)
    assert not turns.is_spent()
    assert turns.is_spent_after(1)
    turns.give()
    assert not turns.is_spent()


@clocks.on_virtual_clock
def test_task_that_has_time_left_does_not_wait():
    """Guards against a round of the loop for each small read."""
    ran = []
    turns.count(1)
    eventlet.spawn(ran.append, 'other task')
    turns.give()
    assert not ran


READS = {
    'socket': lambda connection: connection.recv(1),
    'function': lambda connection: turns.receive(connection, 1),
}


@pytest.mark.parametrize('way', READS)
def test_other_tasks_run_before_more_is_read_after_a_spent_turn(way):
    """Guards against timers that wait until a peer has no more bytes."""
    ran = []
    with contextlib.ExitStack() as opened:
        writer, reader = map(
            opened.enter_context, map(contextlib.closing, socket.socketpair())
        )
        turns.end_with_turn(reader)
        writer.sendall(b'xyz')
        turns.count(turns.TURN_BYTES)
        eventlet.spawn(ran.append, 'other task')
        assert READS[way](reader) == b'x'
        assert ran
        eventlet.spawn(ran.append, 'another')
        assert READS[way](reader) == b'y'
        assert len(ran) == 1
        writer.close()
        turns.count(turns.TURN_BYTES)
        assert [READS[way](reader) for _ in range(2)] == [b'z', b'']
