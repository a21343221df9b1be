"""Tests of callers that write as fast as loopback allows."""

import eventlet
import pytest

from ivystep.entry import connections
from ivystep.runtime import listeners
from tests import flooding
from tests.entry import harness

MAX_TURN_S = 0.05
HEAD = (
    b'POST /v1/completions HTTP/1.1\r\nHost: e\r\n'
    b'Authorization: Bearer %b\r\n' % harness.KEY.encode()
)
CALLS = {
    'requests': (b'', HEAD + b'Content-Length: 2\r\n\r\n[]'),
    'unknown pages': (b'', b'GET / HTTP/1.1\r\nHost: e\r\n\r\n'),
    'one-byte chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n',
    ),
    'a long line': (b'GET /', b'x'),
}


@pytest.mark.parametrize('kind', CALLS)
def test_caller_that_writes_fast_leaves_the_loop_its_turns(kind):
    """Guards against timers that wait for a caller to pause."""
    entry = harness.Entry(virtual=True)
    listener = listeners.Listener.open('callers', ('127.0.0.1', 0), print)
    server = eventlet.spawn(
        connections.serve, listener, entry.api, entry.server_state, 64
    )
    port = listener.getsockname()[1]
    with (
        flooding.calling(port, *CALLS[kind]),
        flooding.LongestTurn() as measured,
    ):
        eventlet.sleep(flooding.WRITING_S)
    listener.close()
    server.kill()
    assert measured.longest_s < MAX_TURN_S
