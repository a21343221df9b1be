"""Tests of calls to peers that send bytes without an end."""

import contextlib
import gzip
import itertools
import tracemalloc

import eventlet
import pytest

from ivystep.core import errors, units
from ivystep.platform import engine_api, http
from ivystep.runtime import clock
from ivystep.traffic import upstreams
from tests import endless

OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
PIECE = 64 * units.KIB
# First bytes, and what follows them without an end.
ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'x' * PIECE),
    'header': (OK + b'a: ', b'x' * PIECE),
    'headers': (OK, b'a: b\r\n' * (PIECE // 6)),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2600),
    'interim headers': (b'', b'HTTP/1.1 100 Continue\r\na: b\r\n\r\n' * 2000),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n' * (PIECE // 6)),
    'chunk extension': (CHUNKED + b'1;', b'x' * PIECE),
    'small chunks': (CHUNKED, b'1\r\nx\r\n' * (PIECE // 6)),
    'body': (OK + b'\r\n', b'x' * PIECE),
}
ALLOWED_MEMORY_BYTES = 16 * units.MIB
# The target for others while a peer writes as fast as loopback allows.
MAX_LAG_S = 0.1


def _report(address):
    engine_api.EngineClient().read_report(upstreams.Endpoint('i-1', address))


def _read_page(address):
    http.PlatformHttp('store', f'http://127.0.0.1:{address[1]}', 1).get('/')


def _write_rows(address):
    http.PlatformHttp('store', f'http://127.0.0.1:{address[1]}', 1).send(
        'POST', '/', b'{}'
    )


CALLS = pytest.mark.parametrize('call', [_report, _read_page, _write_rows])


@contextlib.contextmanager
def _measured_lag(found):
    """Append how late a task runs that sleeps for a millisecond at a time.

    The sleep that has not ended counts too: a call that never lets the task
    run again is as late as it is long.
    """
    began = []

    def tick():
        while True:
            began[:] = [clock.now()]
            eventlet.sleep(0.001)
            found.append(clock.now() - began[0])

    task = eventlet.spawn(tick)
    # The first sleep begins before the call.
    eventlet.sleep(0)
    try:
        yield
    finally:
        found.append(clock.now() - began[0])
        task.kill()


def _fail(call, address):
    """Make a call that fails, and return its error and peak of memory."""
    tracemalloc.start()
    try:
        with (
            eventlet.Timeout(10),
            pytest.raises((errors.LinkError, errors.PlatformError)) as caught,
        ):
            call(address)
        return str(caught.value), tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@CALLS
@pytest.mark.parametrize('name', [name for name in ENDLESS if name != 'body'])
def test_answer_without_an_end_is_given_up(call, name):
    """Guards against a peer that takes memory and all time of the process."""
    first, rest = ENDLESS[name]
    writer = endless.Writer(itertools.chain([first], itertools.repeat(rest)))
    lags = []
    with writer.start() as address, _measured_lag(lags):
        _, peak = _fail(call, address)
        with eventlet.Timeout(1):
            writer.is_closed_by_caller.wait()
    assert peak < ALLOWED_MEMORY_BYTES
    assert max(lags) < MAX_LAG_S


def test_endless_body_of_an_engine_is_given_up():
    """Guards against an engine whose body takes memory and time."""
    first, rest = ENDLESS['body']
    writer = endless.Writer(itertools.chain([first], itertools.repeat(rest)))
    with writer.start() as address:
        error, peak = _fail(_report, address)
    assert 'too long' in error
    assert peak < ALLOWED_MEMORY_BYTES


@CALLS
def test_answer_sent_one_byte_at_a_time_ends_at_the_deadline(call):
    """Guards against calls without an end, each byte of which is in time."""
    whole = OK + b'Content-Length: 100\r\n\r\n' + b'x' * 100
    pieces = [whole[at : at + 1] for at in range(len(whole))]
    with endless.Writer(pieces, 0.2).start() as address:
        started_at = clock.now()
        error, _ = _fail(call, address)
        assert clock.now() - started_at < 1.5
    assert 'no whole answer' in error


@CALLS
def test_compressed_answer_is_inflated_within_a_bound(call):
    """Guards against a small body that takes gigabytes when inflated."""
    content = gzip.compress(b' ' * (80 * units.MIB))
    head = b'Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n'
    writer = endless.Writer([OK + head % len(content) + content])
    with writer.start() as address:
        _, peak = _fail(call, address)
    limit = units.MIB if call is _report else http.MAX_ANSWER_BYTES
    assert peak < 2.5 * limit + ALLOWED_MEMORY_BYTES


@CALLS
@pytest.mark.parametrize('status', ['000', '001', '099', '199', '600', '999'])
def test_status_of_no_answer_fails_the_call_at_once(call, status):
    """Guards against a peer in trouble whose bytes are taken for an answer."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n'.encode()
    with endless.Writer([head + b'{}']).start() as address:
        started_at = clock.now()
        error, _ = _fail(call, address)
        assert clock.now() - started_at < 0.5
    assert 'no whole answer' not in error
