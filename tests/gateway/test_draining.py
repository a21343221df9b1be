"""Tests of the drain of a gateway."""

import contextlib

import eventlet

from ivystep.gateway import callers, draining
from ivystep.runtime import clock
from tests.coordination import fakes as clocks
from tests.gateway import fakes, harness

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


GRACE_S = 8.0


class Listener:
    """A listener that records when it was closed."""

    def __init__(self):
        self.closed_at = None

    def close(self):
        self.closed_at = clock.now()


def drain_for(release):
    """Drain a gateway without connections; return the listener and the time."""
    listener = Listener()
    started = clock.now()
    draining.Drain(
        callers.ServerState(), release, GRACE_S, fakes.FakeLog()
    ).run(listener)
    return listener.closed_at - started, clock.now() - started


@clocks.on_virtual_clock
def test_release_without_an_answer_does_not_delay_the_end():
    """Guards against a process that the platform kills while it waits."""
    closed_s, drained_s = drain_for(lambda: clock.sleep(100))
    assert closed_s == draining.ACCEPT_AFTER_SIGTERM_S
    assert drained_s < GRACE_S


@clocks.on_virtual_clock
def test_process_does_not_exit_before_its_release_is_answered():
    """Guards against a lease that others must wait for after a fast drain."""
    answered = []

    def release():
        clock.sleep(draining.ACCEPT_AFTER_SIGTERM_S + 1)
        answered.append(clock.now())

    _, drained_s = drain_for(release)
    assert answered
    assert drained_s < GRACE_S
