"""Starts single daemons for tests of their start, their life and their end."""

import contextlib
import time

import eventlet
import urllib3
from eventlet import patcher

from demo import cluster

# The patched functions of eventlet wait while a pipe is full.
UNPATCHED_OS = patcher.original('os')
ROLES = ('gateway', 'entry', 'sidecar', 'console')
TIMEOUT_S = 20.0
HTTP = urllib3.PoolManager(retries=False, timeout=5.0)


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


def answers(node):
    """Return whether a daemon answers operators."""
    url = f'{node.operators_url}/healthz' if node.operators_url else node.url
    return HTTP.request('GET', url, redirect=False).status < 500


def launch(system, node):
    """Start a daemon again with a new log."""
    with (system.folder / f'{node.name}.log').open('wb') as log:
        node.process = cluster.launch(node.arguments, log)


def read_log(system, node):
    return (system.folder / f'{node.name}.log').read_text()
