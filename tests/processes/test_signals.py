"""Tests what signals do to real daemons."""

import contextlib
import time

import eventlet
import pytest

from demo import cluster

ROLES = ('gateway', 'entry', 'sidecar', 'console')
TIMEOUT_S = 20.0
# A process without timers of its own once slept for a minute here.
STOP_TIME_S = 5.0


def start(system, role):
    """Start a daemon without any request in progress."""
    if role == 'gateway':
        store = system.node_by_name['table'].url
        return system.start_gateway('gateway', 'lier-a', store)
    if role == 'sidecar':
        url = system.node_by_name['table'].url
        return system.start_sidecar('sidecar', 'base', 'lier-a', url)
    if role == 'console':
        return system.start_console('console')
    with system.parallel():
        node = system.start_entry('entry', 'lier-a')
        system._starting.append((node, int(node.url.rpartition(':')[2])))
    return node


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start the platform."""
    made = cluster.Cluster(tmp_path_factory.mktemp('signals'))
    try:
        made.start_platform()
        yield made
    finally:
        made.stop()


@pytest.fixture(params=ROLES)
def daemon(system, request):
    """Start a daemon of each kind."""
    node = start(system, request.param)
    yield node
    with contextlib.suppress(ProcessLookupError):
        node.process.kill()
    node.process.wait()


def test_idle_daemon_stops_at_once(daemon):
    """Guards against a signal that waits for the next timer of the process."""
    eventlet.sleep(1)
    started = time.monotonic()
    assert daemon.stop() == 0
    assert time.monotonic() - started < STOP_TIME_S
