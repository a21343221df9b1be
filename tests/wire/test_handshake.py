"""Tests of the first messages on a connection, over a pair of sockets."""

import re
import socket

import eventlet
import pytest

from ivystep.core import errors
from ivystep.wire import channel, handshake
from ivystep.wire.gen import ttypes

MEANT = handshake.Addressee('host-1', ('10.0.0.1', 7))


@pytest.fixture(name='ends')
def ends_fixture():
    """Return the end that connects and the one that accepts."""
    ends = [channel.Channel(one, 'peer') for one in socket.socketpair()]
    yield ends
    for end in ends:
        end.close()


def hello(process_id, addressee_id=None):
    return ttypes.Hello(process_id, '', 'entry', 0, addressee_id=addressee_id)


def test_process_that_is_meant_is_accepted_on_both_sides(ends):
    """Guards against hosts that refuse the right peer."""
    near, far = ends
    task = eventlet.spawn(handshake.accept, far, hello('host-1'))
    handshake.introduce(near, 'self', MEANT, 1)
    task.wait()
    assert not near.is_closed


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        (hello('host-2'), errors.MisdirectedError),
        (hello(''), errors.MisdirectedError),
        (hello(None), errors.MisdirectedError),
        (ttypes.SetupNotice(1), errors.LinkError),
    ],
    ids=['other', 'empty', 'unnamed', 'no_hello'],
)
def test_nothing_is_sent_to_a_process_that_is_not_meant(ends, answer, expected):
    """Guards against work for, and belief in, whoever holds an address, also
    in one of a release that does not check whom a hello means.
    """
    near, far = ends
    far.send(answer)
    with pytest.raises(expected, match=re.escape(str(MEANT))):
        handshake.introduce(near, 'self', MEANT, 1)
    assert near.is_closed
    assert far.receive(1) == hello('self', 'host-1')
    with pytest.raises(errors.LinkError, match='connection closed'):
        far.receive(1)


@pytest.mark.parametrize('addressee_id', ['host-2', ''])
def test_process_that_is_not_meant_tells_who_it_is(ends, addressee_id):
    """Guards against a caller that does not learn that it is wrong."""
    near, far = ends
    near.send(hello('self', addressee_id))
    with pytest.raises(errors.MisdirectedError, match='self means'):
        handshake.accept(far, hello('host-1'))
    assert near.receive(1).process_id == 'host-1'


def test_process_of_an_older_release_is_accepted(ends):
    """Guards against a rolling upgrade that cuts older processes off."""
    near, far = ends
    near.send(hello('self'))
    handshake.accept(far, hello('host-1'))
    assert near.receive(1).process_id == 'host-1'
