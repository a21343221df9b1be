"""Tests of the connections that a drain closes while callers use them."""

import contextlib

import eventlet
from eventlet import greenio, patcher

from ivystep.gateway.requests import draining
from tests.gateway import harness
from tests.gateway.requests import test_draining

# Shorter than a caller takes to send the first request of a connection.
CROSSES_CLOSE_S = 0.3


def test_first_request_of_a_connection_opened_before_the_close_is_answered(
    build,
):
    """Guards against a new connection that is closed as its request comes."""
    gateway, _ = build(config=test_draining.SLOW_CALLERS)
    drained = test_draining.start_drain(gateway)
    eventlet.sleep(draining.ACCEPT_AFTER_SIGTERM_S - CROSSES_CLOSE_S / 2)
    with contextlib.closing(gateway.connect()) as connection:
        eventlet.sleep(CROSSES_CLOSE_S)
        with contextlib.suppress(OSError):
            connection.sendall(test_draining.slow_request('/slow/2f'))
        answer = harness.read_to_end(connection)
    assert answer.status == 503
    assert answer.document['ran'] == 'no'
    drained.wait()


class ConnectingListener:
    """Lets a caller connect and send just before the listener closes."""

    def __init__(self, gateway):
        self._gateway = gateway
        self.caller = None

    def close(self):
        # No other task has a turn between these calls.
        caller = patcher.original('socket').create_connection(
            ('127.0.0.1', self._gateway.port)
        )
        caller.sendall(test_draining.slow_request('/slow/2f'))
        self.caller = greenio.GreenSocket(caller)
        self._gateway.listener.close()


def test_request_that_waits_in_the_kernel_at_the_close_is_answered(build):
    """Guards against resets of connections that a busy host did not accept."""
    gateway, _ = build(config=test_draining.SLOW_CALLERS)
    listener = ConnectingListener(gateway)
    drained = eventlet.spawn(gateway.daemon.drain, listener)
    drained.wait()
    answer = harness.read_to_end(listener.caller)
    assert answer.status == 503
    assert answer.document['ran'] == 'no'


def test_request_that_is_incomplete_at_the_end_of_a_stop_is_refused(build):
    """Guards against callers that still send and get no answer."""
    gateway, _ = build(
        config=test_draining.SLOW_CALLERS, **test_draining.SHORT_GRACE
    )
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(test_draining.slow_request('/slow/2f')[:-1])
        drained = test_draining.start_drain(gateway)
        drained.wait()
        answered = eventlet.spawn(harness.read_to_end, connection)
        with eventlet.Timeout(0.1, exception=False):
            answered.wait()
        assert answered.dead
    answer = answered.wait()
    assert (answer.status, answer.document['ran']) == (503, 'no')
