"""Tests processes to which programs connect that are not their peers."""

import contextlib
import json
import resource
import socket

import eventlet
import pytest

from ivystep.platform import readiness
from tests.processes import daemons

DESCRIPTORS = 128
SILENT_CONNECTIONS = 300
MALFORMED_REQUESTS = 200
HTTP_PORTS = [
    ('gateway', 'readiness'),
    ('gateway', 'operators'),
    ('entry', 'callers'),
    ('entry', 'operators'),
    ('sidecar', 'operators'),
    ('console', 'operators'),
]
PAGE_PORTS = [
    (kind, purpose)
    for kind, purpose in HTTP_PORTS
    if purpose != 'callers' and kind != 'console'
]
PATH_BY_PURPOSE = {
    'readiness': readiness.READINESS_PATH,
    'operators': '/healthz',
}


@pytest.fixture
def start(deployment):
    """Return a function that starts a daemon."""
    with contextlib.ExitStack() as stack:

        def start_ready(kind):
            made = daemons.Started(deployment, kind)
            stack.callback(made.stop)
            daemons.wait_until(made.is_ready, made)
            return made

        yield start_ready


@pytest.mark.parametrize(('kind', 'purpose'), HTTP_PORTS)
def test_malformed_requests_do_not_fill_the_log(start, kind, purpose):
    """Guards against output that grows, and blocks, with each bad request."""
    started = start(kind)
    before = started.log()
    address = started.system.address, started.port_by_purpose[purpose]
    for number in range(MALFORMED_REQUESTS):
        with contextlib.closing(socket.create_connection(address)) as sender:
            sender.sendall(b'GET / HTTP/9.%d\r\n\r\n' % number)
            sender.recv(1)
    added = started.log().removeprefix(before).splitlines()
    named = [line for line in added if 'page_requests_failed' in line]
    assert len(named) <= 1
    # A gateway also logs its first events, such as that of its lease.
    assert len(added) <= 10
    if kind == 'gateway':
        assert all(json.loads(line)['message'] for line in added)


@pytest.mark.parametrize(('kind', 'purpose'), PAGE_PORTS)
def test_pages_are_served_beside_silent_connections(start, kind, purpose):
    """Guards against a host that others make seem not ready."""
    started = start(kind)
    resource.prlimit(
        started.node.process.pid,
        resource.RLIMIT_NOFILE,
        (DESCRIPTORS, DESCRIPTORS),
    )
    address = started.system.address, started.port_by_purpose[purpose]
    with contextlib.ExitStack() as stack:
        for _ in range(SILENT_CONNECTIONS):
            silent = stack.enter_context(contextlib.closing(socket.socket()))
            silent.setblocking(False)
            silent.connect_ex(address)
        eventlet.sleep(1)
        for _ in range(10):
            path = PATH_BY_PURPOSE[purpose]
            assert started.status(purpose, path) == 200, started.log()
