"""Tests of how often one request is sent while its attempts fail."""

import contextlib
import itertools
import socket

import eventlet
import pytest

from ivystep.gateway.requests import answer_body, request_state
from ivystep.runtime import clock
from tests.gateway import harness

EVENTS = harness.EVENTS
ATTEMPTS = 3
FAILURE_TEXT = b'failure of an upstream'
FAILURE = (
    b'HTTP/1.1 500 Oops\r\nResponse-Seal: failed\r\n'
    b'Content-Length: %d\r\n\r\n' % len(FAILURE_TEXT)
) + FAILURE_TEXT
ROUTES = (
    harness.route('read', 'idempotent', attempts=ATTEMPTS),
    harness.route(
        'resume',
        'stream',
        attempts=ATTEMPTS,
        gap_target_ms=300,
        resumable=True,
    ),
)
COMMENT = b': still there\n\n'
# What arrives with a reset is lost, so it must be read before.
ARRIVAL_S = 0.05
SETTLED_S = 0.05
# Far below the time budget of the requests.
TOLD_WITHIN_S = 1.0


def close(connection):
    connection.shutdown(socket.SHUT_WR)


def begin_stream(connection, headers, event=EVENTS[0]):
    """Send the head of a stream and an event."""
    connection.sendall(harness.stream_head(headers) + harness.chunk(event))
    eventlet.sleep(ARRIVAL_S)


def break_off_and_fail(end):
    """Return a script that breaks a stream off and fails its take-ups."""

    def answer(connection, headers):
        if 'last-event-id' in headers:
            return FAILURE
        begin_stream(connection, headers)
        end(connection)
        return None

    return answer


def sends(upstreams):
    return sum(len(one.requests) for one in upstreams)


@pytest.mark.parametrize('end', [close, harness.reset])
@pytest.mark.parametrize('upstreams', [1, 2, 4])
def test_failed_take_ups_of_a_stream_are_bounded_by_the_attempts(
    build, upstreams, end
):
    """Guards against sends that go on until the retry budget is used up."""
    scripts = [break_off_and_fail(end)] * upstreams
    gateway, built = build(*scripts, config={'routes': ROUTES})
    started = clock.now()
    answer = gateway.send('/resume/2f')
    assert sends(built) == ATTEMPTS
    assert clock.now() - started < TOLD_WITHIN_S
    assert (answer.was_reset, answer.is_complete) == (True, False)
    assert answer.body == EVENTS[0]
    assert FAILURE_TEXT not in answer.received


@pytest.mark.parametrize('end', [close, harness.reset])
def test_request_without_an_answer_is_sent_as_often_as_its_route_allows(
    build, end
):
    """Guards against a count that leaves out sends to the same upstream."""
    gateway, built = build(
        lambda connection, _: end(connection), config={'routes': ROUTES}
    )
    assert gateway.send('/read/2f').status == 502
    assert sends(built) == ATTEMPTS


def test_failing_stream_leaves_retries_to_other_requests(build):
    """Guards against one stream that uses up its service's retry budget."""
    is_first = True

    def script(connection, headers):
        nonlocal is_first
        if headers['request-id'] != 'r-other':
            return break_off_and_fail(close)(connection, headers)
        if is_first:
            is_first = False
            close(connection)
            return None
        return harness.ok_answer(headers)

    gateway, _ = build(
        script, script, config={'routes': ROUTES}, retry_extra=8.0
    )
    gateway.send('/resume/2f')
    assert gateway.send('/read/2f', 'r-other').status == 200


def test_stream_stays_whole_if_upstreams_crash_one_after_another(
    build, monkeypatch
):
    """Guards against crashed upstreams that count as attempts of a stream."""
    monkeypatch.setattr(answer_body, 'SETTLED_S', SETTLED_S)
    crashed = []

    def script(connection, headers):
        after = int(headers.get('last-event-id', 0))
        if len(crashed) < ATTEMPTS - 1:
            begin_stream(connection, headers, EVENTS[after])
            for _ in range(2):
                eventlet.sleep(SETTLED_S)
                connection.sendall(harness.chunk(COMMENT))
            eventlet.sleep(ARRIVAL_S)
            port = connection.getsockname()[1]
            upstream = next(one for one in built if one.port == port)
            crashed.append(upstream)
            upstream.crash()
            return None
        rest = b''.join(EVENTS[after:])
        return harness.stream_head(headers) + harness.chunk(rest) + b'0\r\n\r\n'

    routes = (
        harness.route(
            'resume', 'stream', attempts=1, gap_target_ms=300, resumable=True
        ),
    )
    gateway, built = build(*([script] * 4), config={'routes': routes})
    answer = gateway.send('/resume/2f')
    assert answer.body.replace(COMMENT, b'') == b''.join(EVENTS)
    assert answer.is_complete
    assert sends(built) == ATTEMPTS


def test_failed_take_ups_come_at_growing_intervals(build):
    """Guards against a burst of attempts that no upstream can serve."""
    sent_at = []

    def script(connection, headers):
        sent_at.append(clock.now())
        return break_off_and_fail(close)(connection, headers)

    routes = (
        harness.route(
            'resume', 'stream', attempts=5, gap_target_ms=300, resumable=True
        ),
    )
    gateway, _ = build(*([script] * 5), config={'routes': routes})
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(harness.request('/resume/2f'))
        harness.read_to_end(connection)
    pauses = [
        later - earlier for earlier, later in itertools.pairwise(sent_at[1:])
    ]
    assert len(pauses) == 3
    for number, pause_s in enumerate(pauses, 1):
        assert pause_s >= request_state.RETRY_PAUSE_S * 2**number
