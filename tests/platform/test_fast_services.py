"""Tests of platform services that write as fast as loopback allows."""

import contextlib

import eventlet
import pytest

from ivystep.core import errors
from ivystep.platform import http
from tests import flooding

MAX_TURN_S = 0.05
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ANSWERS = {
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'one-byte chunks': (CHUNKED_HEAD, b'1\r\nx\r\n'),
    'large chunks': (CHUNKED_HEAD, b'10000\r\n%b\r\n' % (b'x' * 65_536)),
    'a long body': (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 65_536),
}


@pytest.mark.parametrize('kind', ANSWERS)
def test_service_that_writes_fast_leaves_the_loop_its_turns(kind):
    """Guards against timers that wait for a service to pause."""

    def read(url):
        with contextlib.suppress(errors.UnavailableError):
            http.PlatformHttp('store', url, 2).read('/rows')

    with (
        flooding.serving(*ANSWERS[kind]) as port,
        flooding.LongestTurn() as measured,
    ):
        task = eventlet.spawn(read, f'http://127.0.0.1:{port}')
        eventlet.sleep(flooding.WRITING_S)
        task.kill()
    assert measured.longest_s < MAX_TURN_S
