"""Tests entries, consoles and pages beside crowds that keep connections.

Each crowd and its bounds were fixed before the processes were changed.
"""

import contextlib
import functools
import gc
import resource

import eventlet
import pytest
import urllib3

import demo.run
from tests.processes import crowds, daemons, test_entry_crowds

# An entry with so few descriptors serves 64 connections, as a console always.
MAX_FDS = 192
MEMORY_MB = 200
CROWD = 100
# No time-out ends a crowd before its test.
REQUESTS = {'read_timeout_s': 600}
KEY = test_entry_crowds.KEY
OTHER_KEY = test_entry_crowds.OTHER_KEY
PAGE = '/healthz'
# Processes whose pages are served by different code.
KINDS = ('console', 'sidecar')


def silent_connections():
    """Send nothing."""
    yield b''


def incomplete_heads():
    """Send a head without its end."""
    yield test_entry_crowds.head()[:-2]


def incomplete_bodies():
    """Send a body without its end."""
    yield test_entry_crowds.head()
    yield b'2\r\nab\r\n'


def repeated_requests():
    """Send a request without a key again and again."""
    while True:
        yield b'GET /v1/models HTTP/1.1\r\nHost: entry\r\n\r\n'
        eventlet.sleep(crowds.REQUEST_INTERVAL_S)


CROWDS = (
    silent_connections,
    incomplete_heads,
    incomplete_bodies,
    repeated_requests,
)


@contextlib.contextmanager
def few_descriptors():
    """Give processes that are started few descriptors."""
    # Sockets of earlier tests that nobody has closed count for this process.
    gc.collect()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start the platform, an upstream and an entry with few descriptors."""
    made = test_entry_crowds.cluster.Cluster(tmp_path_factory.mktemp('system'))
    try:
        made.start_platform()
        made.submit(demo.run.setup_document(), 0)
        with made.parallel():
            made.start_upstream('up-1', 'base', 'lier-a')
            with few_descriptors():
                made.start_entry('entry', 'lier-a', REQUESTS)
        made.await_ready('entry')
        yield made
    finally:
        made.stop()


def await_answer(node, key):
    """Call the entry on new connections until it answers, as callers do."""
    return crowds.await_status(lambda: call(node, key))


def call(node, key):
    """Call the entry on a new connection; return the status, 0 without one."""
    with urllib3.PoolManager(
        retries=False, timeout=crowds.ATTEMPT_TIMEOUT_S
    ) as http:
        try:
            return http.request(
                'POST',
                f'{node.url}/v1/completions',
                json=test_entry_crowds.CALL,
                headers={'Authorization': f'Bearer {key}'},
            ).status
        except urllib3.exceptions.HTTPError:
            return 0


@pytest.mark.parametrize('pieces', CROWDS, ids=lambda one: one.__name__)
def test_crowd_does_not_hold_all_connections_of_an_entry(system, pieces):
    """Guards against callers who get no answer beside others' connections."""
    node = system.node_by_name['entry']
    assert await_answer(node, KEY) == 200
    address = test_entry_crowds.address_of(node.url)
    watch = crowds.ProcessWatch(node.process.pid, address)
    is_endless = pieces is repeated_requests
    with crowds.crowd(address, pieces, CROWD, is_endless=is_endless):
        # The limits of the crowd's account do not hold for other accounts.
        assert await_answer(node, OTHER_KEY) == 200
    watch.stop()
    assert node.process.poll() is None
    assert watch.peak_bytes <= MEMORY_MB * crowds.MEGABYTE
    assert watch.descriptors <= MAX_FDS
    assert await_answer(node, KEY) == 200


def page_status(started):
    port = started.port_by_purpose['operators']
    url = f'http://{started.system.address}:{port}{PAGE}'
    with urllib3.PoolManager(
        retries=False, timeout=crowds.ATTEMPT_TIMEOUT_S
    ) as http:
        try:
            return http.request('GET', url).status
        except urllib3.exceptions.HTTPError:
            return 0


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('pieces', CROWDS, ids=lambda one: one.__name__)
def test_crowd_does_not_hold_all_connections_of_operators(system, kind, pieces):
    """Guards against operators who get no page beside others' connections."""
    started = daemons.Started(system, kind)
    try:
        daemons.wait_until(started.is_ready, started)
        usual = page_status(started)
        assert usual in {200, 303}
        address = system.address, started.port_by_purpose['operators']
        watch = crowds.ProcessWatch(started.node.process.pid, address)
        is_endless = pieces is repeated_requests
        with crowds.crowd(address, pieces, CROWD, is_endless=is_endless):
            ask = functools.partial(page_status, started)
            assert crowds.await_status(ask, usual) == usual
        watch.stop()
        assert started.node.process.poll() is None
        assert watch.peak_bytes <= MEMORY_MB * crowds.MEGABYTE
        assert page_status(started) == usual
    finally:
        started.stop()


# Ports of other processes of ivystep, and the connections of each crowd there.
PEER_PORTS = (('gateway', 'peers'), ('entry', 'peers'), ('sidecar', 'entries'))
PEER_CROWD = 300


@pytest.fixture
def start(deployment):
    """Return a function that starts a daemon with few descriptors."""
    with contextlib.ExitStack() as stack:

        def start_limited(kind):
            with few_descriptors():
                made = daemons.Started(deployment, kind)
            stack.callback(made.stop)
            daemons.wait_until(made.is_ready, made)
            return made

        yield start_limited


@pytest.mark.parametrize(('kind', 'purpose'), PEER_PORTS)
@pytest.mark.parametrize(
    'pieces',
    [silent_connections, incomplete_heads],
    ids=lambda one: one.__name__,
)
def test_crowd_at_a_port_for_peers_leaves_descriptors(
    start, kind, purpose, pieces
):
    """Guards against other ports without descriptors beside such a crowd."""
    started = start(kind)
    address = started.system.address, started.port_by_purpose[purpose]
    watch = crowds.ProcessWatch(started.node.process.pid, address)
    with crowds.crowd(
        address, pieces, PEER_CROWD, is_endless=True, returns=True
    ):
        eventlet.sleep(crowds.SETTLED_S)
        for other in daemons.PORTS_BY_KIND[kind]:
            if other != purpose:
                ask = functools.partial(started.answers, other)
                assert crowds.await_status(ask, expected=True)
    watch.stop()
    assert started.node.process.poll() is None
    assert watch.peak_bytes <= MEMORY_MB * crowds.MEGABYTE
    assert watch.descriptors < MAX_FDS
    assert started.is_ready()
