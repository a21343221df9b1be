"""Tests processes whose addresses are taken or missing as they start."""

import contextlib
import signal
import socket
import time

import eventlet
import pytest
import urllib3

from demo import platform
from ivystep.platform import readiness

START_TIMEOUT_S = 20.0
# Target of the time from a free address to a process that is ready.
READY_AFTER_S = 1.0
# Ports in the order in which ``demo.cluster`` assigns them.
PORTS_BY_KIND = {
    'gateway': ('callers', 'readiness', 'peers', 'operators'),
    'entry': ('callers', 'operators', 'peers'),
    'sidecar': ('entries', 'operators'),
    'console': ('operators',),
}
CASES = [
    (kind, purpose)
    for kind, purposes in PORTS_BY_KIND.items()
    for purpose in purposes
]
# An address for documentation, which no host has.
FOREIGN_ADDRESS = '192.0.2.1'


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    made = platform.Platform(tmp_path_factory.mktemp('system'))
    try:
        made.system.start_platform()
        store = made.system.start_standin('store', 'table').url
        made.write(store, 'op', 'config', dict(platform.CONFIG))
        yield made.system
    finally:
        made.stop()


class Started:
    """A process and its ports by purpose."""

    def __init__(self, system, kind, taken=None):
        self.first = next(system._ports) + 1
        self.port_by_purpose = {
            purpose: self.first + number
            for number, purpose in enumerate(PORTS_BY_KIND[kind])
        }
        self.system = system
        self.name = f'{kind}-{self.first}'
        self.holder = None
        if taken:
            self.holder = socket.socket()
            self.holder.bind((system.address, self.port_by_purpose[taken]))
            self.holder.listen()
        self.node = START_BY_KIND[kind](system, self.name)

    def log(self):
        return (self.system.folder / f'{self.name}.log').read_text()

    def is_connected(self, purpose):
        port = self.port_by_purpose[purpose]
        with contextlib.closing(socket.socket()) as probe:
            return probe.connect_ex((self.system.address, port)) == 0

    def is_connected_everywhere(self):
        return all(map(self.is_connected, self.port_by_purpose))

    def status(self, purpose, path):
        port = self.port_by_purpose[purpose]
        url = f'http://{self.system.address}:{port}{path}'
        try:
            return self.system.http.request('GET', url, timeout=2.0).status
        except urllib3.exceptions.HTTPError:
            return 0

    def is_ready(self):
        """Return whether each port is open and the process is ready."""
        if not self.is_connected_everywhere():
            return False
        if 'readiness' in self.port_by_purpose:
            path = readiness.READINESS_PATH
            return self.status('readiness', path) == 200
        return 0 < self.status('operators', '/healthz') < 500

    def stop(self):
        if self.holder is not None:
            self.holder.close()
        if self.node.process.poll() is None:
            self.node.stop(signal.SIGKILL)


def start_gateway(system, name):
    return system.start_gateway(name, 'dc', system.node_by_name['store'].url)


def start_sidecar(system, name):
    return system.start_sidecar(name, 'base', 'dc', 'http://127.0.0.1:9')


START_BY_KIND = {
    'gateway': start_gateway,
    'entry': lambda system, name: system.start_entry(name, 'dc'),
    'sidecar': start_sidecar,
    'console': lambda system, name: system.start_console(name),
}


def wait_until(is_done, started, timeout_s=START_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while not is_done():
        assert started.node.process.poll() is None, started.log()
        assert time.monotonic() < deadline, started.log()
        eventlet.sleep(0.02)


@pytest.mark.parametrize(('kind', 'purpose'), CASES)
def test_process_waits_for_an_address_that_is_taken(system, kind, purpose):
    """Guards against a process that ends as another holds one of its ports."""
    started = Started(system, kind, taken=purpose)
    try:
        wait_until(lambda: f'{purpose}' in unavailable(started), started)
        # The test's own socket takes connections to the other port.
        wait_until(started.is_connected_everywhere, started)
        eventlet.sleep(0.7)
        # A line for each try would fill the log.
        assert started.log().count('address_unavailable') == 1
        started.holder.close()
        wait_until(started.is_ready, started, READY_AFTER_S)
        assert started.node.stop() == 0
    finally:
        started.stop()


@pytest.mark.parametrize('kind', PORTS_BY_KIND)
def test_process_that_waits_for_an_address_can_be_stopped(system, kind):
    """Guards against a process that must be killed while its port is taken."""
    started = Started(system, kind, taken=PORTS_BY_KIND[kind][0])
    try:
        wait_until(lambda: unavailable(started), started)
        assert started.node.stop() == 0
    finally:
        started.stop()


def test_gateway_serves_callers_while_its_metrics_port_is_taken(system):
    """Guards against metrics that keep a host from serving."""
    started = Started(system, 'gateway', taken='operators')
    try:
        path = readiness.READINESS_PATH
        wait_until(lambda: started.status('readiness', path) == 200, started)
        assert started.status('callers', '/none') == 404
    finally:
        started.stop()


def test_gateway_is_not_ready_while_its_port_for_callers_is_taken(system):
    """Guards against callers that are routed to another program."""
    started = Started(system, 'gateway', taken='callers')
    try:
        wait_until(lambda: 'config_adopted' in started.log(), started)
        wait_until(lambda: unavailable(started), started)
        assert started.status('readiness', readiness.READINESS_PATH) == 503
    finally:
        started.stop()


def test_process_waits_for_an_address_that_the_host_lacks(system):
    """Guards against a process that ends if it starts before its network."""
    node = system.start_console('console-early')
    assert node.stop() == 0
    path = system.folder / 'console-early.ini'
    settings = path.read_text()
    path.write_text(settings.replace(system.address, FOREIGN_ADDRESS))
    node = system.restart('console-early')
    log = system.folder / 'console-early.log'
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        while 'address_unavailable' not in log.read_text():
            assert node.process.poll() is None, log.read_text()
            assert time.monotonic() < deadline
            eventlet.sleep(0.02)
        assert node.stop() == 0
    finally:
        node.stop(signal.SIGKILL)


def unavailable(started):
    lines = started.log().splitlines()
    return ' '.join(line for line in lines if 'address_unavailable' in line)
