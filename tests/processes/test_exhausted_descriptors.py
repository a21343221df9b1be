"""Tests processes that run out of file descriptors."""

import contextlib
import resource
import socket
import time

import eventlet
import pytest

from tests.processes import daemons

DESCRIPTORS = 128
CONNECTIONS = 300
# Time for which the connections stay open.
HELD_S = 2.0
RECOVERY_S = 2.0


@contextlib.contextmanager
def open_connections(started, purpose, number=CONNECTIONS):
    """Hold connections that say nothing."""
    address = started.system.address, started.port_by_purpose[purpose]
    with contextlib.ExitStack() as stack:
        opened = []
        for _ in range(number):
            one = stack.enter_context(contextlib.closing(socket.socket()))
            one.setblocking(False)
            one.connect_ex(address)
            opened.append(one)
        yield opened


@pytest.fixture
def start(deployment):
    """Return a function that starts a daemon with few descriptors."""
    with contextlib.ExitStack() as stack:

        def start_limited(kind):
            made = daemons.Started(deployment, kind)
            stack.callback(made.stop)
            daemons.wait_until(made.is_ready, made)
            resource.prlimit(
                made.node.process.pid,
                resource.RLIMIT_NOFILE,
                (DESCRIPTORS, DESCRIPTORS),
            )
            return made

        yield start_limited


@pytest.mark.parametrize(('kind', 'purpose'), daemons.CASES)
def test_port_works_again_after_descriptors_ran_out(start, kind, purpose):
    """Guards against a port that is closed for good by an exhaustion."""
    started = start(kind)
    with open_connections(started, purpose):
        eventlet.sleep(HELD_S)
    deadline = time.monotonic() + RECOVERY_S
    while not started.answers(purpose):
        assert time.monotonic() < deadline, started.log()
        eventlet.sleep(0.05)
    assert started.is_ready()
    assert 'Traceback' not in started.log()
    assert 'task_failed' not in started.log()
    assert started.node.stop() == 0
