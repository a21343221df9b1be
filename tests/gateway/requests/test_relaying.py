"""Tests of requests and answers through a gateway on loopback."""

import contextlib
import socket

import eventlet
import pytest
from eventlet import event

from tests.gateway import harness

EVENTS = harness.EVENTS


def test_answer_is_forwarded_unchanged(build):
    """Guards against a changed body, status or ``Response-Seal``."""
    gateway, (upstream,) = build(lambda _, headers: harness.ok_answer(headers))
    answer = gateway.send('/once/2f?x=1', body=b'abc')
    assert (answer.status, answer.body) == (200, b'whole answer')
    assert answer.headers['response-seal'] == 'seal-r-1'
    head, body = upstream.requests[0]
    assert head.startswith(b'POST /once/2f?x=1 HTTP/1.1\r\n')
    assert body == b'abc'
    assert harness.parse_head(head)['expect-instance'] == 'i-1'
    assert int(harness.parse_head(head)['deadline-ms']) <= 1500


def test_failure_of_an_upstream_is_forwarded_with_its_seal(build):
    """Guards against a success answer in place of the failure."""
    failed = (
        b'HTTP/1.1 500 Oops\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n'
        b'Content-Length: 2\r\n\r\nno'
    )
    gateway, (upstream,) = build(lambda *_: failed)
    answer = gateway.send('/once/2f')
    assert (answer.status, answer.body) == (500, b'no')
    assert answer.headers['response-seal'] == 's'
    assert len(upstream.requests) == 1


def test_failed_idempotent_request_is_retried(build):
    """Guards against a failure that a retry on another upstream avoids."""
    seen = []

    def script(_, headers):
        seen.append(headers)
        if len(seen) == 1:
            return b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'
        return harness.ok_answer(headers)

    gateway, _ = build(script, script)
    assert gateway.send('/read/2f').status == 200
    assert len(seen) == 2


def test_request_that_was_not_run_goes_to_another_upstream(build):
    """Guards against a refusal while another upstream has capacity."""
    gateway, (_full, free) = build(
        lambda *_: harness.not_run_answer(),
        lambda _, headers: harness.ok_answer(headers),
    )
    answers = [gateway.send('/once/2f', f'r-{n}').status for n in range(6)]
    assert answers == [200] * 6
    assert len(free.requests) == 6


def test_address_of_another_upstream_gets_no_further_requests(build):
    """Guards against requests by turns to an address that is another's."""

    def refuse(_, headers):
        return (
            b'HTTP/1.1 421 Misdirected\r\nInstance-Id: i-9\r\n'
            b'Content-Length: 0\r\n\r\n'
        )

    gateway, (other, right) = build(
        refuse, lambda _, headers: harness.ok_answer(headers)
    )
    for number in range(12):
        assert gateway.send('/once/2f', f'r-{number}').status == 200
        eventlet.sleep(0.1)
    assert len(other.requests) == 1
    assert len(right.requests) == 12


def test_non_idempotent_request_is_not_retried_after_a_reset(build):
    """Guards against a second run, and a ``Retry-After`` that invites one."""

    def lose(connection, headers):
        harness.reset(connection)

    gateway, upstreams = build(lose, lose)
    answer = gateway.send('/once/2f')
    assert answer.status == 502
    assert 'retry-after' not in answer.headers
    assert answer.document['ran'] == 'unknown'
    assert sum(len(one.requests) for one in upstreams) == 1


def test_request_that_no_upstream_ran_is_answered_as_not_run(build):
    """Guards against a caller that does not know that it may retry."""
    gateway, _ = build(lambda *_: harness.not_run_answer())
    answer = gateway.send('/once/2f')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert answer.document['ran'] == 'no'


@pytest.mark.parametrize('path', ['/once/2f', '/read/2f'])
def test_truncated_short_answer_is_not_forwarded(build, path):
    """Guards against a truncated body in an answer that looks complete."""

    def cut(connection, headers):
        complete = harness.ok_answer(headers)
        connection.sendall(complete[:-3])
        connection.shutdown(socket.SHUT_WR)

    gateway, _ = build(cut, cut)
    answer = gateway.send(path)
    assert answer.status == 502


def test_answer_without_length_that_is_reset_is_not_complete(build):
    """Guards against a reset mistaken for the end of an answer.

    Eventlet's sockets report a reset as an orderly shutdown.
    """

    def cut(connection, headers):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\nab'
        )
        eventlet.sleep(0.05)
        harness.reset(connection)

    gateway, _ = build(cut)
    answer = gateway.send('/once/2f')
    assert answer.status == 502


def test_answer_without_length_ends_with_its_connection(build):
    """Guards against the loss of a complete answer without a length."""

    def unframed(connection, headers):
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\nab'
        )
        connection.shutdown(socket.SHUT_WR)

    gateway, _ = build(unframed)
    answer = gateway.send('/once/2f')
    assert (answer.status, answer.body) == (200, b'ab')
    assert answer.is_complete


def test_late_answer_of_another_request_is_dropped(build):
    """Guards against forwarding an answer that belongs to another request."""

    def late(connection, headers):
        other = {'request-id': 'r-0'}
        return harness.ok_answer(other, b'other') + harness.ok_answer(headers)

    gateway, (_upstream,) = build(late)
    answer = gateway.send('/once/2f')
    assert answer.body == b'whole answer'
    assert answer.headers['request-id'] == 'r-1'


def test_stream_is_forwarded_as_it_arrives(build):
    """Guards against events that are buffered until the stream ends."""
    first_received = event.Event()

    def stream(connection, headers):
        connection.sendall(
            harness.stream_head(headers) + harness.chunk(EVENTS[0])
        )
        first_received.wait()
        return harness.chunk(EVENTS[1]) + b'0\r\n\r\n'

    gateway, _ = build(stream)
    with contextlib.closing(gateway.connect()) as connection:
        connection.sendall(
            harness.request('/stream/2f', headers=['Connection: close'])
        )
        first = harness.receive_until(connection, EVENTS[0])
        first_received.send()
        rest = harness.read_to_end(connection, first)
    assert rest.body == EVENTS[0] + EVENTS[1]


def test_truncated_stream_does_not_look_complete(build):
    """Guards against a truncated stream with a regular last chunk."""

    def stream(connection, headers):
        connection.sendall(
            harness.stream_head(headers) + harness.chunk(EVENTS[0])
        )
        eventlet.sleep(0.05)
        harness.reset(connection)

    gateway, (upstream,) = build(stream)
    answer = gateway.send('/stream/2f')
    assert answer.status == 200
    assert not answer.is_complete
    assert len(upstream.requests) == 1


def test_resumable_stream_goes_on_after_the_last_whole_event(build):
    """Guards against missing, duplicate or split events after a resume."""

    def script(connection, headers):
        after = int(headers.get('last-event-id', 0))
        body = b''.join(EVENTS[after:])
        if not after:
            connection.sendall(
                harness.stream_head(headers) + harness.chunk(body[:60])
            )
            eventlet.sleep(0.05)
            harness.reset(connection)
            return None
        return harness.stream_head(headers) + harness.chunk(body) + b'0\r\n\r\n'

    gateway, upstreams = build(script, script)
    answer = gateway.send('/resume/2f')
    assert answer.body == b''.join(EVENTS)
    assert answer.is_complete
    heads = [head for one in upstreams for head, _ in one.requests]
    resumed = [harness.parse_head(head).get('last-event-id') for head in heads]
    assert sorted(resumed, key=str) == ['2', None]
    assert answer.received.count(b'Response-Seal') == 1


def test_timeout_of_the_route_ends_a_request(build):
    """Guards against requests that outlive the time-out of their route."""
    gateway, _ = build(lambda *_: None)
    with eventlet.Timeout(1):
        answer = gateway.send('/short/2f')
    assert answer.status == 504
    assert answer.document['ran'] == 'unknown'


def test_path_without_a_route_is_answered_with_404(build):
    """Guards against requests that are sent to an upstream without a route."""
    gateway, (upstream,) = build(lambda _, headers: harness.ok_answer(headers))
    assert gateway.send('/other/2f').status == 404
    assert not upstream.requests
