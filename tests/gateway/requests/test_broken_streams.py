"""Tests of streams that an upstream breaks off."""

import contextlib
import socket

import eventlet
import pytest
from eventlet import event

from tests.gateway import harness

EVENTS = harness.EVENTS
CUT_BYTES = 9
ENDLESS_PIECE = b'x' * 65536
HALF_OF_DEADLINE_S = 0.75
FRAMINGS = ('until_close', 'chunked', 'length')


def answer_with(headers, body, framing):
    """Return an answer whose framing says that the body is complete."""
    lines = [
        'HTTP/1.1 200 OK',
        f'Request-Id: {headers["request-id"]}',
        'Response-Seal: seal',
        'Content-Type: text/event-stream',
    ]
    if framing == 'length':
        lines.append(f'Content-Length: {len(body)}')
    if framing == 'chunked':
        lines.append('Transfer-Encoding: chunked')
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    return '\r\n'.join((*lines, '', '')).encode() + body


def script(body, framing='until_close'):
    """Return a script that answers with a body and closes the connection."""

    def answer(connection, headers):
        connection.sendall(answer_with(headers, body, framing))
        connection.shutdown(socket.SHUT_WR)

    return answer


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('path', ['/stream/2f', '/resume/2f'])
def test_stream_cut_inside_an_event_does_not_look_complete(
    build, path, framing
):
    """Guards against a stream that was broken off and is framed as complete."""
    cut = b''.join(EVENTS[:3])[:-CUT_BYTES]
    gateway, _ = build(script(cut, framing))
    answer = gateway.send(path)
    assert answer.was_reset or answer.status == 502
    assert not (answer.status == 200 and answer.is_complete)


def test_stream_cut_inside_an_event_is_reset_for_an_old_caller(build):
    """Guards against a cut stream whose connection ends in order.

    An answer to an HTTP/1.0 caller has no other sign of its end.
    """
    gateway, _ = build(script(EVENTS[0][:-CUT_BYTES]))
    connection = gateway.connect()
    connection.sendall(
        harness.request('/stream/2f').replace(b'HTTP/1.1', b'HTTP/1.0', 1)
    )
    assert harness.read_to_end(connection).was_reset


@pytest.mark.parametrize('framing', FRAMINGS)
def test_stream_cut_inside_an_event_is_resumed(build, framing):
    """Guards against a part of an event, and events that are missing."""
    heads = []

    def answer(connection, headers):
        heads.append(headers.get('last-event-id', ''))
        after = int(headers.get('last-event-id', 0))
        body = b''.join(EVENTS[after:])
        if not after:
            body = body[: len(EVENTS[0]) * 2 + CUT_BYTES]
        script(body, framing)(connection, headers)

    gateway, _ = build(answer, answer)
    received = gateway.send('/resume/2f')
    assert received.body == b''.join(EVENTS)
    assert received.is_complete
    assert heads == ['', '2']


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('path', ['/stream/2f', '/resume/2f'])
@pytest.mark.parametrize('rest', [b'', b': done\n', b'\n'])
def test_stream_that_ends_after_an_event_is_complete(
    build, path, framing, rest
):
    """Guards against a failure in place of a complete stream."""
    body = b''.join(EVENTS) + rest
    gateway, _ = build(script(body, framing))
    answer = gateway.send(path)
    assert answer.is_complete
    assert answer.body == body


@pytest.mark.parametrize('path', ['/stream/2f', '/resume/2f'])
def test_stream_without_length_and_events_is_not_complete(build, path):
    """Guards against an empty success of a request that was broken off."""
    gateway, _ = build(script(b''))
    answer = gateway.send(path)
    assert not (answer.status == 200 and answer.is_complete)


def test_stream_without_event_ids_is_not_started_again(build):
    """Guards against events that the caller gets twice."""
    bodies = [b'data: one\n\ndata: two\n\nda', b'data: one\n\n']

    def answer(connection, headers):
        script(bodies.pop(0))(connection, headers)

    gateway, _ = build(answer, answer)
    received = gateway.send('/resume/2f')
    assert received.body == b'data: one\n\ndata: two\n\n'
    assert received.was_reset


def test_resumed_stream_may_have_no_further_events(build):
    """Guards against a failure of a stream that broke off at its end."""

    def answer(connection, headers):
        body = b'' if 'last-event-id' in headers else b''.join(EVENTS) + b'id'
        script(body)(connection, headers)

    gateway, _ = build(answer, answer)
    received = gateway.send('/resume/2f')
    assert received.body == b''.join(EVENTS)
    assert received.is_complete


def test_truncated_answer_with_two_encodings_is_not_complete(build):
    """Guards against chunks that are taken for a body without a length."""

    def cut(connection, headers):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n'
            b'Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'8\r\nabcd'
        )
        connection.shutdown(socket.SHUT_WR)

    gateway, _ = build(cut)
    assert gateway.send('/once/2f').status == 502


@pytest.mark.parametrize('path', ['/stream/2f', '/resume/2f'])
def test_answer_without_a_body_stays_without_one(build, path):
    """Guards against chunks in an answer that must not have a body."""
    answer = b'HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n'
    gateway, _ = build(lambda *_: answer)
    received = gateway.send(path)
    assert received.status == 204
    assert 'transfer-encoding' not in received.headers
    assert not received.body


@pytest.mark.parametrize('path', ['/stream/2f', '/resume/2f'])
def test_stream_with_a_length_is_forwarded_as_it_arrives(build, path):
    """Guards against events that are held back until the last one."""
    first_received = event.Event()

    def answer(connection, headers):
        encoded = answer_with(headers, b''.join(EVENTS), 'length')
        connection.sendall(encoded[: -len(EVENTS[-1])])
        first_received.wait()
        connection.sendall(EVENTS[-1])

    gateway, _ = build(answer)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(harness.request(path, headers=['Connection: close']))
        received = harness.receive_until(connection, EVENTS[0])
        first_received.send()
        rest = harness.read_to_end(connection, received)
    assert rest.body == b''.join(EVENTS)
    assert rest.is_complete


@pytest.mark.parametrize('path', ['/stream/2f', '/resume/2f'])
def test_event_without_end_is_broken_off(build, path):
    """Guards against an event that fills the memory of the gateway."""

    def answer(connection, headers):
        connection.sendall(answer_with(headers, EVENTS[0], 'until_close'))
        while True:
            connection.sendall(ENDLESS_PIECE)
            eventlet.sleep(0)

    routes = (
        harness.route('stream', 'stream'),
        harness.route('resume', 'stream', resumable=True),
    )
    gateway, (upstream,) = build(answer, config={'routes': routes})
    with eventlet.Timeout(HALF_OF_DEADLINE_S):
        assert gateway.send(path).was_reset
        while upstream.ended < len(upstream.requests):
            eventlet.sleep(0.01)
