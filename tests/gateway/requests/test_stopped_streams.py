"""Tests of streams that the planned stop of their gateway cuts."""

import contextlib

import eventlet
import pytest

from ivystep.runtime import clock
from ivystep.traffic import http1
from tests.gateway import harness

EVENTS = harness.EVENTS
BEGUN = 2
STREAMS = 8
GRACE_S = 3.0
# Within which a caller has the rest of its stream from another host.
TAKEN_UP_WITHIN_S = 1.0
ROUTES = (
    harness.route(
        'resume', 'stream', timeout_ms=9000, attempts=2, resumable=True
    ),
)


def write_slowly(connection, headers):
    """Answer a new stream without an end, and a resumed one in full."""
    after = int(headers.get('last-event-id', 0))
    if after:
        rest = harness.chunk(b''.join(EVENTS[after:])) + http1.LAST_CHUNK
        return harness.stream_head(headers) + rest
    begun = harness.chunk(b''.join(EVENTS[:BEGUN]))
    connection.sendall(harness.stream_head(headers) + begun)
    return None


def request(path, request_id, *headers):
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {harness.HOST}',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 9000',
        *headers,
        'Content-Length: 2',
    )
    return '\r\n'.join((*lines, '', '{}')).encode()


class ResumingCaller:
    """A caller that takes its stream up at another host once it is cut.

    Attributes:
        events: The events that it has received from both hosts.
        taken_up_s: Time from the cut to the end of the stream.
    """

    def __init__(self, first, second, request_id):
        self.events = b''
        self.taken_up_s = None
        self._first = first
        self._second = second
        self._request_id = request_id

    def run(self):
        path = '/resume/2f'
        with contextlib.closing(self._first.connect()) as connection:
            connection.sendall(request(path, self._request_id))
            cut = harness.read_to_end(connection)
        assert not cut.is_complete
        cut_at = clock.now()
        self.events = cut.body
        again = request(
            path,
            f'{self._request_id}-2',
            f'Last-Event-Id: {cut.body.count(b"id: ")}',
            f'Resumes: {self._request_id}',
            'Connection: close',
        )
        with contextlib.closing(self._second.connect()) as connection:
            connection.sendall(again)
            answer = harness.read_to_end(connection)
        assert answer.is_complete
        self.events += answer.body
        self.taken_up_s = clock.now() - cut_at


@pytest.mark.parametrize('versions', [('v1', 'v1'), ('v1', 'v2')])
def test_caller_takes_a_cut_stream_up_at_another_host(
    build, build_peer, versions
):
    """Guards against events lost or sent twice when a host stops."""
    first, _ = build(
        write_slowly,
        write_slowly,
        versions=versions,
        config={'routes': ROUTES},
        grace_s=GRACE_S,
    )
    second = build_peer(first, 'host-2')
    callers = [ResumingCaller(first, second, f'r-{n}') for n in range(STREAMS)]
    running = [eventlet.spawn(each.run) for each in callers]
    eventlet.sleep(0.2)
    first.daemon.drain(first.listener)
    for caller, task in zip(callers, running, strict=True):
        task.wait()
        assert caller.events == b''.join(EVENTS)
        assert caller.taken_up_s < TAKEN_UP_WITHIN_S


def take_up(connection, request_id, sent_after_s):
    """Take a stream up with a request whose last byte comes late."""
    whole = request(
        '/resume/2f',
        f'{request_id}-2',
        'Last-Event-Id: 2',
        'Resumes: r-1',
        'Connection: close',
    )
    connection.sendall(whole[:-1])
    eventlet.sleep(sent_after_s)
    connection.sendall(whole[-1:])
    return harness.read_to_end(connection)


@pytest.mark.parametrize(
    ('sent_after_s', 'is_taken'), [(0.5, True), (2.8, False)]
)
def test_stream_is_taken_up_at_a_host_that_stops_or_refused(
    build, build_peer, sent_after_s, is_taken
):
    """Guards against streams that are cut twice in a series of stops."""
    limits = {**harness.LIMITS, 'idle_timeout_ms': 9000}
    first, (upstream,) = build(
        write_slowly,
        config={'routes': ROUTES, 'limits': limits},
        grace_s=2 * GRACE_S,
    )
    second = build_peer(first, 'host-2')
    with contextlib.closing(second.connect()) as begun:
        begun.sendall(request('/resume/2f', 'r-1'))
        harness.receive_until(begun, EVENTS[BEGUN - 1])
    with contextlib.closing(first.connect()) as connection:
        drained = eventlet.spawn(first.daemon.drain, first.listener)
        answer = take_up(connection, 'r-1', sent_after_s)
    if is_taken:
        assert answer.is_complete
        assert answer.body == b''.join(EVENTS[BEGUN:])
    else:
        assert (answer.status, answer.document['ran']) == (503, 'no')
        assert len(upstream.requests) == 1
        with contextlib.closing(second.connect()) as connection:
            again = take_up(connection, 'r-1-2', 0.0)
        assert again.is_complete
        assert again.body == b''.join(EVENTS[BEGUN:])
    drained.wait()


def test_new_configuration_in_a_stop_cuts_no_stream(build):
    """Guards against a setup and a stop that meet in the same seconds."""

    def write(connection, headers):
        begun = harness.chunk(b''.join(EVENTS[:BEGUN]))
        connection.sendall(harness.stream_head(headers) + begun)
        eventlet.sleep(1.5)
        return harness.chunk(b''.join(EVENTS[BEGUN:])) + http1.LAST_CHUNK

    gateway, _ = build(write, config={'routes': ROUTES}, grace_s=GRACE_S)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(request('/resume/2f', 'r-1'))
        received = harness.receive_until(connection, EVENTS[BEGUN - 1])
        drained = eventlet.spawn(gateway.daemon.drain, gateway.listener)
        gateway.configure({'version': 2, 'routes': ROUTES[:0]})
        answer = harness.read_to_end(connection, received)
    drained.wait()
    assert gateway.daemon._config.current.version == 2
    assert answer.is_complete
    assert answer.body == b''.join(EVENTS)
