"""Tests of peers that write or read as fast as loopback allows."""

import types

import eventlet
import pytest

from tests import flooding
from tests.gateway import harness

# A tenth of a second late is the most that a deadline may be.
MAX_TURN_S = 0.05
PLAIN_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n'
CHUNKED_HEAD = PLAIN_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS_HEAD = (
    PLAIN_HEAD + b'Content-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
EVENT = harness.chunk(b'id: 1\ndata: x\n\n')
ANSWERS = {
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 'short'),
    'one-byte chunks': (CHUNKED_HEAD, harness.chunk(b'x'), 'once'),
    'large chunks': (CHUNKED_HEAD, harness.chunk(b'x' * 65_536), 'once'),
    'small events': (EVENTS_HEAD, EVENT, 'stream'),
    'small resumable events': (EVENTS_HEAD, EVENT, 'resume'),
}


@pytest.mark.parametrize('kind', ANSWERS)
def test_upstream_that_writes_fast_leaves_the_loop_its_turns(build, kind):
    """Guards against timers that wait for an upstream to pause."""
    head, piece, route = ANSWERS[kind]
    gateway, _ = build()
    with flooding.serving(head, piece) as port:
        add_upstream(gateway, port)
        request = harness.request(f'/{route}/2f')
        with (
            flooding.calling(gateway.port, request),
            flooding.LongestTurn() as measured,
        ):
            eventlet.sleep(flooding.WRITING_S)
    assert measured.longest_s < MAX_TURN_S


@pytest.mark.parametrize('kind', ['one-byte chunks', 'large chunks'])
def test_deadline_holds_while_an_upstream_writes_fast(build, kind):
    """Guards against requests whose end waits for an upstream to pause."""
    gateway, _ = build()
    head, piece, _ = ANSWERS[kind]
    with flooding.serving(head, piece) as port:
        add_upstream(gateway, port)
        with eventlet.Timeout(flooding.WRITING_S / 2):
            answer = gateway.send('/short/2f')
    # By then a part of the answer has been sent, or not.
    assert answer.was_reset or answer.status == 504


def test_interim_answers_without_an_end_are_broken_off(build):
    """Guards against requests that wait for an answer until their deadline."""
    gateway, _ = build()
    head, piece, route = ANSWERS['interim answers']
    with flooding.serving(head, piece) as port:
        add_upstream(gateway, port)
        with eventlet.Timeout(flooding.WRITING_S / 2):
            answer = gateway.send(f'/{route}/2f')
    assert (answer.status, answer.document['ran']) == (502, 'unknown')


def add_upstream(gateway, port):
    gateway.add(
        types.SimpleNamespace(
            upstream_id='i-1', software_version='v1', port=port
        )
    )
    gateway.wait_for(1)


CHUNKED_REQUEST = (
    b'POST /once/2f HTTP/1.1\r\nHost: ficu.example\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
CALLS = {
    'requests': (b'', harness.request('/none/2f', method='GET', body=b'')),
    'blank lines': (b'', b'\r\n'),
    'one-byte chunks': (CHUNKED_REQUEST, harness.chunk(b'x')),
    'an endless line': (b'GET /once/', b'x'),
}


@pytest.mark.parametrize('kind', CALLS)
@pytest.mark.parametrize('server', ['callers', 'readiness'])
def test_caller_that_writes_fast_leaves_the_loop_its_turns(build, kind, server):
    """Guards against timers that wait for a caller to pause."""
    gateway, _ = build()
    ports = {'callers': gateway.port, 'readiness': gateway.readiness_port}
    with (
        flooding.calling(ports[server], *CALLS[kind]),
        flooding.LongestTurn() as measured,
    ):
        eventlet.sleep(flooding.WRITING_S)
    assert measured.longest_s < MAX_TURN_S
