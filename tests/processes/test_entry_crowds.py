"""Tests entries, sidecars and consoles beside crowds that do not behave.

Each crowd and its bounds were fixed before the processes were changed.
"""

import itertools

import eventlet
import pytest
import urllib3

import demo.run
from demo import cluster
from ivystep.core import units
from tests.processes import crowds, daemons

MEMORY_MB = 200
MAX_FDS = 1024
CROWD = 400
PAGES_CROWD = 100
ACCOUNTS = tuple(demo.run.KEY_BY_ACCOUNT)
KEY = demo.run.KEY_BY_ACCOUNT[ACCOUNTS[0]]
OTHER_KEY = demo.run.KEY_BY_ACCOUNT[ACCOUNTS[1]]
CALL = {'model': 'letters', 'prompt': 'hello', 'max_tokens': 4}
TRAILERS = b'X-Trailer: value\r\n' * 3600


def head(path='/v1/completions', key=KEY):
    return (
        f'POST {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}'
        '\r\nContent-Type: application/json\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def endless_extension():
    """Send a chunk line that does not end."""
    yield head()
    yield b'1;name='
    yield from crowds.body(4 * units.MIB)


def endless_trailers():
    """Send trailers that do not end."""
    yield head()
    yield b'1\r\nx\r\n0\r\n'
    yield from itertools.repeat(TRAILERS, 64)


def small_chunks():
    """Send chunks of two bytes, without the last one."""
    yield head()
    yield from itertools.repeat(b'2\r\nab\r\n' * 9000, 50)


CROWDS = (endless_extension, endless_trailers, small_chunks)


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Start the platform, an upstream and an entry."""
    made = cluster.Cluster(tmp_path_factory.mktemp('system'))
    try:
        made.start_platform()
        made.submit(demo.run.setup_document(), 0)
        with made.parallel():
            made.start_upstream('up-1', 'base', 'lier-a')
            made.start_entry('entry', 'lier-a')
        made.await_ready('entry')
        yield made
    finally:
        made.stop()


def address_of(url):
    host, _, port = url.removeprefix('http://').partition(':')
    return host, int(port)


def call(system, key):
    """Call the entry; return the status, 0 without an answer."""
    try:
        return system.call('entry', key, CALL).status
    except urllib3.exceptions.HTTPError:
        return 0


def await_answer(system, key):
    """Call the entry until it answers, as callers do."""
    return crowds.await_status(lambda: call(system, key))


def check(node, watch):
    assert node.process.poll() is None
    assert watch.peak_bytes <= MEMORY_MB * crowds.MEGABYTE
    assert watch.descriptors <= MAX_FDS


@pytest.mark.parametrize('pieces', CROWDS, ids=lambda one: one.__name__)
def test_crowd_does_not_use_up_the_memory_of_an_entry(system, pieces):
    """Guards against lines and trailers of chunks that have no bound."""
    assert await_answer(system, KEY) == 200
    node = system.node_by_name['entry']
    address = address_of(node.url)
    watch = crowds.ProcessWatch(node.process.pid, address)
    with crowds.crowd(address, pieces, CROWD):
        # The limits of the crowd's account do not hold for other accounts.
        assert await_answer(system, OTHER_KEY) == 200
    watch.stop()
    check(node, watch)
    assert await_answer(system, KEY) == 200


@pytest.mark.parametrize(
    'kind', [kind for kind in daemons.PORTS_BY_KIND if kind != 'gateway']
)
@pytest.mark.parametrize('pieces', CROWDS, ids=lambda one: one.__name__)
def test_crowd_does_not_use_up_the_memory_by_operators_pages(
    system, kind, pieces
):
    """Guards against the same at the pages of each kind of process."""
    started = daemons.Started(system, kind)
    try:
        daemons.wait_until(started.is_ready, started)
        address = system.address, started.port_by_purpose['operators']
        watch = crowds.ProcessWatch(started.node.process.pid, address)
        with crowds.crowd(address, pieces, PAGES_CROWD):
            eventlet.sleep(crowds.SETTLED_S)
        watch.stop()
        check(started.node, watch)
        daemons.wait_until(started.is_ready, started)
    finally:
        started.stop()
