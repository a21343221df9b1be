"""Tests of what follows each way in which an upstream's answer can end."""

import socket
from collections.abc import Callable

import eventlet
import pytest

from ivystep.runtime import turns
from tests.gateway import harness

# What arrives with a reset is lost, so it must be read before.
ARRIVAL_S = 0.03
# Longer than the time budget of the requests.
STALL_S = 2.0
BODY = b'whole answer'
HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n'
    b'Content-Length: 12\r\n\r\n'
)
CHUNKED_HEAD = HEAD.replace(
    b'Content-Length: 12', b'Transfer-Encoding: chunked'
)
FAILURE_HEAD = (
    b'HTTP/1.1 %d Oops\r\nRequest-Id: r-1\r\nResponse-Seal: failed\r\n'
    b'Content-Length: 4\r\n\r\n'
)
REFUSAL_HEAD = (
    b'HTTP/1.1 %d Busy\r\nRequest-Id: r-1\r\nNot-Executed: 1\r\n'
    b'Content-Length: 4\r\n\r\n'
)
ROUTES = tuple(
    harness.route(name, kind, attempts=2, gap_target_ms=300, **more)
    for name, kind, more in (
        ('read', 'idempotent', {}),
        ('once', 'non_idempotent', {}),
        ('stream', 'stream', {}),
        ('resume', 'stream', {'resumable': True}),
    )
)
PATHS = tuple(one['name'] for one in ROUTES)
REPEATABLE = frozenset(('read', 'resume'))
Manner = Callable[[object], None]


def close(connection):
    connection.shutdown(socket.SHUT_WR)


def reset(connection):
    eventlet.sleep(ARRIVAL_S)
    harness.reset(connection)


def stall(connection):
    eventlet.sleep(STALL_S)


def whole_answer(headers, path):
    """Return a complete answer of the kind that a route has."""
    if path in {'stream', 'resume'}:
        events = b''.join(harness.EVENTS)
        return (
            harness.stream_head(headers) + harness.chunk(events) + b'0\r\n\r\n'
        )
    return harness.ok_answer(headers, BODY)


class Play:
    """Requests whose first attempt ends in a given way, one on each route.

    Attributes:
        path: Route of the present request.
        sent: Number of its attempts that reached an upstream.
        answer: Its answer as the caller received it.
    """

    def __init__(self, build, begun, manner, *, is_always=False):
        self.path = ''
        self.sent = 0
        self.answer = None
        self._begun = begun
        self._manner = manner
        self._is_always = is_always
        self._gateway, _ = build(
            self._answer, self._answer, config={'routes': ROUTES}
        )

    def routes(self):
        """Send a request on each route; yield whether it may run again."""
        for name in PATHS:
            self.path = name
            self.sent = 0
            self.answer = self._gateway.send(f'/{name}/2f')
            yield name in REPEATABLE

    def assert_whole(self):
        """Check that the caller has the answer of a second attempt."""
        assert self.sent == 2, (self.path, self.answer.received)
        assert (self.answer.status, self.answer.is_complete) == (200, True)
        whole = whole_answer({'request-id': 'r-1'}, self.path)
        assert self.answer.body in whole

    def assert_lost(self):
        """Check that the caller is told that the request may have run.

        A stream whose head was forwarded ends with a reset.
        """
        assert self.sent == 1, (self.path, self.answer.received)
        if self.path == 'stream' and self.answer.status == 200:
            assert self.answer.was_reset
            assert not self.answer.is_complete
            return
        assert (self.answer.status, self.answer.is_complete) == (502, True)
        assert 'response-seal' not in self.answer.headers
        assert self.answer.document['ran'] == 'unknown'

    def assert_repeated_by_route(self):
        """Check that only the routes decide whether requests run again."""
        for may_repeat in self.routes():
            if may_repeat:
                self.assert_whole()
            else:
                self.assert_lost()

    def _answer(self, connection, headers):
        self.sent += 1
        if self.sent > 1 and not self._is_always:
            return whole_answer(headers, self.path)
        connection.sendall(self._begun)
        self._manner(connection)
        return None


# What has arrived of an answer that does not state whether the request ran.
BROKEN_OFF = {
    'nothing': b'',
    'part of the head': HEAD[:30],
    'head only': HEAD,
    'short body': HEAD + BODY[:-3],
    'head of chunks only': CHUNKED_HEAD,
    'incomplete chunk': CHUNKED_HEAD + b'c\r\nwhole',
    'no last chunk': CHUNKED_HEAD + harness.chunk(BODY),
    'failure without its body': FAILURE_HEAD % 500,
    'failure with a part of its body': FAILURE_HEAD % 502 + b'no',
}


@pytest.mark.parametrize('manner', [close, reset])
@pytest.mark.parametrize('begun', BROKEN_OFF)
def test_answer_that_breaks_off_is_repeated_by_its_route_alone(
    build, begun, manner
):
    """Guards against ends of one kind that are treated in different ways."""
    play = Play(build, BROKEN_OFF[begun], manner)
    play.assert_repeated_by_route()


NO_ANSWERS = {
    'other protocol': b'SSH-2.0-server\r\n\r\n',
    'malformed header': HEAD[:17] + b'no colon\r\n\r\n',
    'malformed chunk': CHUNKED_HEAD + b'xyz\r\n',
}


@pytest.mark.parametrize('received', NO_ANSWERS)
def test_bytes_that_are_no_answer_are_treated_like_an_answer_that_breaks_off(
    build, received
):
    """Guards against malformed answers that end a request, or reach it."""
    play = Play(build, NO_ANSWERS[received], lambda connection: None)
    play.assert_repeated_by_route()


def test_connection_that_times_out_is_treated_like_one_that_is_closed(
    build, monkeypatch
):
    """Guards against a link that is cut and ends a request."""
    receive = turns.receive
    timed_out = set()

    def time_out_first(connection, size):
        if play.path in timed_out:
            return receive(connection, size)
        timed_out.add(play.path)
        while not play.sent:
            eventlet.sleep(ARRIVAL_S)
        raise TimeoutError('timed out')

    monkeypatch.setattr(turns, 'receive', time_out_first)
    play = Play(build, b'', lambda connection: None)
    play.assert_repeated_by_route()


@pytest.mark.parametrize('status', [500, 502, 503])
def test_failure_is_repeated_or_forwarded_unchanged(build, status):
    """Guards against a failure of an upstream under another status."""
    play = Play(build, FAILURE_HEAD % status + b'oops', lambda connection: None)
    for may_repeat in play.routes():
        if may_repeat:
            play.assert_whole()
            continue
        assert play.sent == 1
        assert (play.answer.status, play.answer.body) == (status, b'oops')
        assert play.answer.headers['response-seal'] == 'failed'


@pytest.mark.parametrize('status', [421, 503])
@pytest.mark.parametrize('manner', [close, reset, stall])
@pytest.mark.parametrize('body', [b'', b'bu', b'busy'])
def test_refused_request_is_sent_again_however_the_refusal_ends(
    build, body, manner, status
):
    """Guards against a statement that is lost with the body after it."""
    play = Play(build, REFUSAL_HEAD % status + body, manner)
    for _ in play.routes():
        play.assert_whole()


@pytest.mark.parametrize('is_always', [True, False])
@pytest.mark.parametrize('manner', [close, reset])
@pytest.mark.parametrize('part', [1, 12, 16, 30, 45, 50, 66, 70, 71])
def test_head_that_is_cut_is_no_success_without_a_body(
    build, part, manner, is_always
):
    """Guards against an empty or short body in a success framed as whole."""
    assert part < len(HEAD)
    play = Play(build, HEAD[:part], manner, is_always=is_always)
    if not is_always:
        play.assert_repeated_by_route()
        return
    for may_repeat in play.routes():
        assert play.sent == 1 + may_repeat
        assert play.answer.status == 502
