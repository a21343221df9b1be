"""Starts each kind of daemon as a process, with some of its ports taken."""

import contextlib
import signal
import socket
import time

import eventlet
import urllib3

from ivystep.platform import readiness

START_TIMEOUT_S = 20.0
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
        # A connection that is kept would not show that others are accepted.
        with urllib3.PoolManager(retries=False, timeout=2.0) as http:
            try:
                return http.request('GET', url).status
            except urllib3.exceptions.HTTPError:
                return 0

    def answers(self, purpose):
        """Return whether the process accepts a connection and reads it."""
        address = self.system.address, self.port_by_purpose[purpose]
        try:
            with contextlib.closing(
                socket.create_connection(address, timeout=1.0)
            ) as probe:
                # Each of our protocols ends a connection with such bytes.
                probe.sendall(b'\xff' * 64 + b'\r\n\r\n')
                while probe.recv(4096):
                    continue
        except ConnectionResetError:
            return True
        except OSError:
            return False
        return True

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
