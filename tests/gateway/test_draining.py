"""Tests of the drain of a gateway."""

import contextlib

import eventlet

from ivystep.runtime import clock
from tests.gateway import harness

# The store answers later than the gateway waits, and after the test has ended.
SILENT = {'mode': 'slow', 'delay_s': 30.0}
# Connections are accepted for 2.6 s after SIGTERM; a busy machine may be late.
CLOSED_WITHIN_S = 3.2


def test_idle_connections_close_in_time_while_the_store_is_silent(build):
    """Guards against requests that come on open connections and are cut off.

    A leader that waits for the store to release its lease closes none of them
    until its grace period is nearly over.
    """
    gateway, _ = build(lambda _, headers: harness.ok_answer(headers))
    with eventlet.Timeout(3):
        while gateway.daemon.status().details['holder'] != 'host-1':
            eventlet.sleep(0.02)
    idle = gateway.connect()
    idle.sendall(harness.request('/read/2f'))
    harness.receive_until(idle, b'whole answer')
    gateway.store.faults = SILENT
    started = clock.now()
    drained = eventlet.spawn(gateway.daemon.drain, gateway.listener)
    with contextlib.closing(idle):
        assert harness.read_to_end(idle).received == b''
    assert clock.now() - started < CLOSED_WITHIN_S
    drained.wait()
    assert clock.now() - started < gateway.daemon.settings.bounds.grace_s
