"""Tests gateways beside crowds of callers that do not behave.

Each crowd and its bounds were fixed before the gateway was changed.
"""

import contextlib
import time

import eventlet
import pytest
import urllib3

from demo import platform
from tests.processes import crowds

# The smallest machine of a site.
MEMORY_MB = 160
MAX_FDS = 800
CROWD = 200
# As many callers as a gateway with so few descriptors cannot hold.
FEW_FDS = 320
LARGE_CROWD = 400
SLOW_CROWD = 100
# No time-out ends a crowd before its test.
LIMITS = {'header_timeout_ms': 600000, 'idle_timeout_ms': 600000}
READY_TIMEOUT_S = 20.0
MEMORY_CROWDS = (
    crowds.whole_requests,
    crowds.pipelined_requests,
    crowds.short_of_the_end,
    crowds.small_chunks,
    crowds.single_byte_chunks,
    crowds.endless_chunks,
    crowds.mixed_chunks,
    crowds.incomplete_heads,
    crowds.silent_connections,
    crowds.announced_gigabyte,
    crowds.chunk_of_a_gigabyte,
    crowds.endless_extension,
    crowds.endless_trailers,
)
CONNECTION_CROWDS = (
    crowds.incomplete_heads,
    crowds.silent_connections,
    crowds.single_byte_chunks,
    crowds.short_of_the_end,
    crowds.whole_requests,
)


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """Start a store and an engine."""
    made = platform.Platform(tmp_path_factory.mktemp('deployment'))
    try:
        store = made.system.start_standin('store', 'table').url
        made.write(store, 'op', 'config', {**platform.CONFIG, 'limits': LIMITS})
        made.system.start_platform_engine('engine', store)
        yield made
    finally:
        made.stop()


@pytest.fixture
def start(deployment):
    """Return a function that starts a gateway with its own capacity."""
    with contextlib.ExitStack() as stack:

        def start_gateway(**capacity):
            system = deployment.system
            name = f'gateway-{len(system.node_by_name)}'
            node = system.start_gateway(
                name,
                'accra-a',
                system.node_by_name['store'].url,
                capacity=capacity,
            )
            stack.callback(node.stop)
            deadline = time.monotonic() + READY_TIMEOUT_S
            while not deployment.knows_upstreams(node, 1):
                assert time.monotonic() < deadline
                eventlet.sleep(0.05)
            assert crowds.await_answer(node.url) == 200
            return node

        yield start_gateway


def address_of(node):
    host, _, port = node.url.removeprefix('http://').partition(':')
    return host, int(port)


def check(node, watch, memory_mb=MEMORY_MB, max_fds=MAX_FDS):
    """Check that a gateway lives within its bounds and serves."""
    assert node.process.poll() is None
    assert watch.peak_bytes <= memory_mb * crowds.MEGABYTE
    assert watch.descriptors <= max_fds
    assert crowds.await_answer(node.url) == 200


@pytest.mark.parametrize('pieces', MEMORY_CROWDS, ids=lambda one: one.__name__)
def test_crowd_does_not_use_up_the_memory(start, pieces):
    """Guards against a gateway that callers end by its memory."""
    node = start(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    with crowds.crowd(address, pieces, CROWD):
        eventlet.sleep(crowds.SETTLED_S)
    watch.stop()
    check(node, watch)


def test_second_crowd_costs_no_more_than_the_first(start):
    """Guards against freed memory that the process keeps beside new one."""
    node = start(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    for pieces in (crowds.mixed_chunks, crowds.whole_requests) * 2:
        with crowds.crowd(address, pieces, CROWD):
            eventlet.sleep(crowds.SETTLED_S)
    watch.stop()
    check(node, watch)


@pytest.mark.parametrize(
    'pieces', CONNECTION_CROWDS, ids=lambda one: one.__name__
)
def test_crowd_does_not_hold_all_connections(start, pieces):
    """Guards against callers who get no answer beside idle connections."""
    node = start(memory_mb=MEMORY_MB, max_fds=FEW_FDS)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    with crowds.crowd(address, pieces, LARGE_CROWD):
        assert crowds.await_answer(node.url) == 200
    watch.stop()
    check(node, watch, max_fds=FEW_FDS)


@pytest.mark.parametrize(
    'pieces',
    [crowds.refused_requests, crowds.refused_and_run_requests],
    ids=lambda one: one.__name__,
)
def test_slow_readers_do_not_hold_all_connections(start, pieces):
    """Guards against callers who get no answer beside others' full buffers."""
    node = start(memory_mb=MEMORY_MB, max_fds=FEW_FDS)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    with crowds.crowd(address, pieces, SLOW_CROWD, is_slow_reader=True):
        assert crowds.await_answer(node.url) == 200
    watch.stop()
    check(node, watch, max_fds=FEW_FDS)


def test_busy_connections_do_not_keep_others_out(start):
    """Guards against callers who get no answer beside kept connections."""
    node = start(memory_mb=MEMORY_MB, max_fds=FEW_FDS)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    pieces = crowds.refused_requests_without_end
    with crowds.crowd(address, pieces, SLOW_CROWD, is_endless=True):
        assert crowds.await_answer(node.url) == 200
    watch.stop()
    check(node, watch, max_fds=FEW_FDS)


@pytest.mark.parametrize(
    'pieces',
    [crowds.short_of_the_end, crowds.single_byte_chunks],
    ids=lambda one: one.__name__,
)
def test_unread_bytes_of_many_connections_fit(start, pieces):
    """Guards against unread bytes of as many callers as descriptors allow."""
    node = start(memory_mb=MEMORY_MB, max_fds=4100)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    with crowds.crowd(address, pieces, 1500):
        eventlet.sleep(crowds.SETTLED_S)
    watch.stop()
    check(node, watch, max_fds=4100)


# The machines of the sites, and as many callers as their descriptors allow.
SITE_MEMORY_MB = (160, 232, 300)
SITE_FDS = 4100
SITE_CROWD = 1706


@pytest.mark.parametrize('memory_mb', SITE_MEMORY_MB)
def test_longest_body_is_served_in_calm(start, memory_mb):
    """Guards against a machine too small for a request within the limits."""
    node = start(memory_mb=memory_mb, max_fds=SITE_FDS)
    answer = urllib3.request(
        'POST',
        f'{node.url}/plans/longest',
        body=b'x' * crowds.BODY_BYTES,
        headers={
            'Host': platform.HOST,
            'Request-Id': 'longest',
            'Model': 'base',
            'Token-Count': '400,80',
            'Deadline-Ms': '60000',
            'X-Events': '1',
        },
        retries=False,
        timeout=crowds.ANSWER_TIMEOUT_S,
    )
    assert answer.status == 200


@pytest.mark.parametrize('memory_mb', SITE_MEMORY_MB)
@pytest.mark.parametrize(
    'pieces',
    [
        crowds.whole_requests,
        crowds.pipelined_requests,
        crowds.short_of_the_end,
        crowds.single_byte_chunks,
    ],
    ids=lambda one: one.__name__,
)
def test_most_callers_fit_each_size_of_machine(start, memory_mb, pieces):
    """Guards against terms of the memory that grow with the connections."""
    node = start(memory_mb=memory_mb, max_fds=SITE_FDS)
    address = address_of(node)
    watch = crowds.ProcessWatch(node.process.pid, address)
    with crowds.crowd(address, pieces, SITE_CROWD):
        assert crowds.await_answer(node.url) == 200
    watch.stop()
    check(node, watch, memory_mb, SITE_FDS)
