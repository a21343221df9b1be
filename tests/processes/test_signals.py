"""Tests what signals do to real daemons."""

import contextlib
import pathlib
import signal
import time

import eventlet
import pytest
import urllib3

from demo import cluster

ROLES = ('gateway', 'entry', 'sidecar', 'console')
TIMEOUT_S = 20.0
# A process without timers of its own once slept for a minute here.
STOP_TIME_S = 5.0
# Extension modules that are mapped early and late in the imports.
EARLY_IMPORT = 'greenlet'
LATE_IMPORT = '_pydantic_core'


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
    return system.start_entry('entry', 'lier-a')


def wait_until(is_true):
    deadline = time.monotonic() + TIMEOUT_S
    while not is_true():
        assert time.monotonic() < deadline
        eventlet.sleep(0.002)


def await_service(node):
    """Wait until a daemon accepts connections."""
    url = urllib3.util.parse_url(node.url or node.operators_url)

    def accepts():
        assert node.process.poll() is None
        with contextlib.suppress(OSError):
            eventlet.connect((url.host, url.port)).close()
            return True
        return False

    wait_until(accepts)


def has_mapped(process, module):
    maps = pathlib.Path(f'/proc/{process.pid}/maps')
    return process.poll() is not None or module in maps.read_text()


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start the platform."""
    made = cluster.Cluster(tmp_path_factory.mktemp('signals'))
    try:
        made.start_platform()
        yield made
    finally:
        made.stop()


@pytest.fixture(scope='module', params=ROLES)
def module_node(system, request):
    """Start a daemon of each kind once."""
    node = start(system, request.param)
    yield node
    node.stop(signal.SIGKILL)


@pytest.fixture
def daemon(module_node, system):
    """Return a daemon that accepts connections."""
    if module_node.process.poll() is not None:
        launch(system, module_node)
    await_service(module_node)
    return module_node


@pytest.fixture
def starting(module_node, system):
    """Start a daemon and return it before its modules are imported."""
    module_node.stop(signal.SIGKILL)
    launch(system, module_node)
    return module_node


def launch(system, node):
    with (system.folder / f'{node.name}.log').open('wb') as log:
        node.process = cluster.launch(node.arguments, log)


def read_log(system, node):
    return (system.folder / f'{node.name}.log').read_text()


def has_reloaded(system, node):
    text = read_log(system, node)
    return 'reloaded' in text or 'keeps its settings' in text


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
    wait_until(lambda: has_mapped(starting.process, module))
    assert starting.stop(number) == 0


@pytest.mark.parametrize('module', [EARLY_IMPORT, LATE_IMPORT])
def test_reload_signal_during_the_imports_is_kept(system, starting, module):
    """Guards against a process that a change of settings ends as it starts."""
    wait_until(lambda: has_mapped(starting.process, module))
    starting.process.send_signal(signal.SIGHUP)
    await_service(starting)
    wait_until(lambda: has_reloaded(system, starting))
    assert starting.stop() == 0


def test_burst_of_reload_signals_is_held(system, daemon):
    """Guards against signals that pile up or end the process."""
    for _ in range(400):
        daemon.process.send_signal(signal.SIGHUP)
        eventlet.sleep(0.005)
    await_service(daemon)
    wait_until(lambda: has_reloaded(system, daemon))
    assert daemon.stop() == 0
