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
