"""Tests the memory that the requests of all callers take together."""

import contextlib

import eventlet
import pytest

from ivystep.gateway.requests import disconnect_watch
from ivystep.platform import messages
from ivystep.traffic import http1
from tests.gateway import harness

BODY_BYTES = 60000
LIMIT_BYTES = 4 * BODY_BYTES
CALLERS = 12
PIECES = 200
PIECE_REQUESTS = 50


@pytest.fixture
def gateway(build):
    made, _ = build(lambda _, headers: harness.ok_answer(headers))
    made.daemon._server_state.buffered.limit_bytes = LIMIT_BYTES
    return made


def begin(stack, gateway, number, body_bytes=BODY_BYTES):
    """Send a request but for the last byte of its body."""
    connection = stack.enter_context(contextlib.closing(gateway.connect()))
    sent = harness.request('/once/2f', f'slow-{number}', body=b'x' * body_bytes)
    connection.sendall(sent[:-1])
    return connection


def used_bytes(gateway):
    return gateway.daemon._server_state.buffered.used_bytes


def test_incomplete_bodies_do_not_use_up_the_memory(stack, gateway):
    """Guards against a process that exceeds its memory by slow requests."""
    slow = [begin(stack, gateway, number) for number in range(CALLERS)]
    eventlet.sleep(0.2)
    assert used_bytes(gateway) <= LIMIT_BYTES
    state = gateway.daemon._server_state
    refused = CALLERS - len(state.buffered._bytes_by_holder)
    assert refused >= CALLERS - LIMIT_BYTES // BODY_BYTES
    for connection in slow:
        connection.sendall(b'x')
    answers = [harness.read_to_end(one) for one in slow]
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200] * (CALLERS - refused) + [503] * refused
    for answer in answers:
        assert answer.status == 200 or float(answer.headers['retry-after'])
    assert not used_bytes(gateway)


def test_small_requests_are_served_while_memory_is_short(stack, gateway):
    """Guards against callers refused for the long bodies of others."""
    for number in range(CALLERS):
        begin(stack, gateway, number)
    answers = [gateway.send('/once/2f', f'r-{n}') for n in range(CALLERS)]
    assert {answer.status for answer in answers} == {200}


def test_largest_incomplete_request_is_refused_first(stack, gateway):
    """Guards against refusing many requests for the sake of a long one."""
    small = [begin(stack, gateway, number, 8000) for number in range(CALLERS)]
    for number in range(CALLERS):
        begin(stack, gateway, CALLERS + number)
    eventlet.sleep(0.2)
    for connection in small:
        connection.sendall(b'x')
        assert harness.receive_until(connection, b'whole answer')


def test_requests_in_progress_are_not_refused_for_lack_of_memory(stack, build):
    """Guards against refusing as not run a request that runs."""

    def answer_later(_, headers):
        eventlet.sleep(0.5)
        return harness.ok_answer(headers)

    made, (upstream,) = build(answer_later)
    made.daemon._server_state.buffered.limit_bytes = LIMIT_BYTES
    running = [begin(stack, made, number) for number in range(3)]
    for connection in running:
        connection.sendall(b'x')
    with eventlet.Timeout(2):
        while len(upstream.requests) < 3:
            eventlet.sleep(0.01)
    for number in range(3, CALLERS):
        begin(stack, made, number)
    for connection in running:
        assert harness.receive_until(connection, b'whole answer')
    assert len(upstream.requests) == 3


def test_pipelined_bytes_count(stack, build):
    """Guards against memory used up behind requests in progress."""
    made, (upstream,) = build(lambda *_: None)
    made.daemon._server_state.buffered.limit_bytes = LIMIT_BYTES
    behind = harness.request('/once/2f', 'b-1', body=b'x' * BODY_BYTES)
    for number in range(CALLERS):
        connection = stack.enter_context(contextlib.closing(made.connect()))
        connection.sendall(harness.request('/once/2f', f'r-{number}'))
        eventlet.sleep(0.02)
        connection.sendall(behind)
    eventlet.sleep(0.1)
    # The last read may begin just below the limit.
    assert used_bytes(made) <= LIMIT_BYTES + BODY_BYTES
    assert upstream.requests


def kept_bytes(gateway, sent_bytes):
    """Return the length of the requests that wait behind those in progress."""
    state = gateway.daemon._server_state
    return sent_bytes * sum(
        len(one._reader._ready) for one in state.open_connections
    )


def test_pipelined_heads_count(stack, build):
    """Guards against memory used up by requests without a body."""
    made, (upstream,) = build(lambda *_: None)
    made.daemon._server_state.buffered.limit_bytes = LIMIT_BYTES
    behind = harness.request('/once/2f', 'b-1')
    for number in range(CALLERS):
        connection = stack.enter_context(contextlib.closing(made.connect()))
        connection.sendall(harness.request('/once/2f', f'r-{number}'))
        eventlet.sleep(0.02)
        connection.sendall(behind * (BODY_BYTES // len(behind)))
    eventlet.sleep(0.1)
    assert kept_bytes(made, len(behind)) <= LIMIT_BYTES + BODY_BYTES
    assert upstream.requests


def test_pipelined_bytes_of_a_connection_are_bounded(stack, build):
    """Guards against a bound that each request of the connection renews."""

    def answer_later(_, headers):
        eventlet.sleep(0.02)
        return harness.ok_answer(headers)

    made, _ = build(answer_later)
    behind = harness.request('/once/2f', 'b-1')
    connection = stack.enter_context(contextlib.closing(made.connect()))
    for _ in range(PIECES):
        connection.sendall(behind * PIECE_REQUESTS)
        eventlet.sleep(0.005)
    # The last read may begin just below the limit.
    limit = disconnect_watch.MAX_PIPELINED_BYTES + http1.READ_BYTES
    assert PIECES * PIECE_REQUESTS * len(behind) > 2 * limit
    assert kept_bytes(made, len(behind)) <= limit


def announce(stack, gateway, body_bytes, request_id='r-announced'):
    """Send the head of a request with a body that never comes."""
    connection = stack.enter_context(contextlib.closing(gateway.connect()))
    head = harness.request('/once/2f', request_id, body=b'x')[:-1]
    announced = b'Content-Length: %d\r\n' % body_bytes
    assert b'Content-Length: 1\r\n' in head
    connection.sendall(head.replace(b'Content-Length: 1\r\n', announced))
    return connection


@pytest.mark.parametrize('more', [1, 10**9])
def test_body_above_the_limit_is_refused_by_its_length(stack, gateway, more):
    """Guards against reading megabytes that can only be refused."""
    limit = gateway.daemon._server_state.limits.max_body_bytes
    connection = announce(stack, gateway, limit + more)
    assert harness.read_to_end(connection).status == 413


def test_body_without_room_is_refused_by_its_length(stack, build):
    """Guards against a caller that sends what cannot be taken."""
    made, (upstream,) = build(lambda *_: None)
    made.daemon._server_state.buffered.limit_bytes = LIMIT_BYTES
    for number in range(3):
        begin(stack, made, number).sendall(b'x')
    with eventlet.Timeout(2):
        while len(upstream.requests) < 3:
            eventlet.sleep(0.01)
    answer = harness.read_to_end(announce(stack, made, BODY_BYTES))
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0
    assert len(upstream.requests) == 3


def test_announced_body_goes_before_incomplete_ones(stack, gateway):
    """Guards against callers refused for the incomplete bodies of others."""
    for number in range(CALLERS):
        begin(stack, gateway, number)
    eventlet.sleep(0.2)
    answer = gateway.send('/once/2f', 'r-1', body=b'x' * (BODY_BYTES // 2))
    assert answer.status == 200


def test_body_is_handed_on_without_a_copy():
    """Guards against bodies that are held several times on their way."""
    raw = http1.RawRequest('POST', '/once/2f')
    raw.body = bytearray(BODY_BYTES)
    received = raw.body
    call = messages.decode_call(raw, 0.0, '10.9.0.7')
    assert call.body is received
    assert not raw.body
    attempt = messages.AttemptHeaders('i-1', 1.0)
    assert any(
        piece is received for piece in messages.encode_call(call, attempt)
    )
