"""Tests what signals do to real daemons."""

import pathlib
import signal
import time

import eventlet
import pytest

from tests.processes import single_daemon

# A process without timers of its own once slept for a minute here.
STOP_TIME_S = 5.0
# Extension modules that are mapped early and late in the imports.
EARLY_IMPORT = 'greenlet'
LATE_IMPORT = '_pydantic_core'


def has_mapped(process, module):
    maps = pathlib.Path(f'/proc/{process.pid}/maps')
    return process.poll() is not None or module in maps.read_text()


@pytest.fixture
def daemon(node, system):
    """Return a daemon that accepts connections."""
    if node.process.poll() is not None:
        single_daemon.launch(system, node)
    single_daemon.await_service(node)
    return node


@pytest.fixture
def starting(node, system):
    """Start a daemon and return it before its modules are imported."""
    node.stop(signal.SIGKILL)
    single_daemon.launch(system, node)
    return node


def has_reloaded(system, node):
    return 'reloaded' in single_daemon.read_log(system, node)


def test_idle_daemon_stops_at_once(daemon):
    """Guards against a signal that waits for the next timer of the process."""
    eventlet.sleep(1)
    started = time.monotonic()
    assert daemon.stop() == 0
    assert time.monotonic() - started < STOP_TIME_S


def test_second_signal_does_not_end_a_process_that_exits(daemon):
    """Guards against a stopped process that reports that a signal ended it."""
    daemon.process.send_signal(signal.SIGTERM)
    for _ in range(200):
        daemon.process.send_signal(signal.SIGINT)
        eventlet.sleep(0.002)
    assert daemon.stop() == 0


@pytest.mark.parametrize('module', [EARLY_IMPORT, LATE_IMPORT])
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_the_imports_ends_with_0(starting, number, module):
    """Guards against a stop that looks like a crash as the process starts."""
    single_daemon.wait_until(lambda: has_mapped(starting.process, module))
    assert starting.stop(number) == 0


@pytest.mark.parametrize('module', [EARLY_IMPORT, LATE_IMPORT])
def test_reload_signal_during_the_imports_is_kept(system, starting, module):
    """Guards against a process that a change of settings ends as it starts."""
    single_daemon.wait_until(lambda: has_mapped(starting.process, module))
    starting.process.send_signal(signal.SIGHUP)
    single_daemon.await_service(starting)
    single_daemon.wait_until(lambda: has_reloaded(system, starting))
    assert starting.stop() == 0


def test_burst_of_reload_signals_is_held(system, daemon):
    """Guards against signals that pile up or end the process."""
    for _ in range(400):
        daemon.process.send_signal(signal.SIGHUP)
        eventlet.sleep(0.005)
    single_daemon.await_service(daemon)
    single_daemon.wait_until(lambda: has_reloaded(system, daemon))
    assert daemon.stop() == 0
