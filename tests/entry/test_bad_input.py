"""Tests malformed, slow and excessive input over real connections."""

import json
import socket
import struct

import eventlet
import pytest
from eventlet import hubs

from tests.entry import harness

BIG = b'{"model": "plan", "prompt": "' + b'x' * 5000 + b'"}'
HEAD = b'POST /v1/completions HTTP/1.1\r\nHost: e\r\n'
AUTH = f'Authorization: Bearer {harness.KEY}\r\n'.encode()
CHUNKED = HEAD + AUTH + b'Transfer-Encoding: chunked\r\n'

CALLS = {
    'not json': ({'body': b'{"model"'}, 400, 'invalid_request'),
    'no body': ({'body': b''}, 400, 'invalid_request'),
    'not an object': ({'body': b'[]'}, 400, 'invalid_request'),
    'deeply nested': (
        {'body': b'{"model":"plan","a":' + b'[' * 4000},
        400,
        'invalid_request',
    ),
    'number not representable in JSON': (
        {'body': b'{"model": "plan", "seed": 1e999}'},
        400,
        'invalid_request',
    ),
    'lone surrogate': (
        {'body': b'{"model": "plan", "prompt": "\\ud800"}'},
        400,
        'invalid_request',
    ),
    'wrong type': ({'body': {'model': 7}}, 400, 'invalid_request'),
    'unknown adapter': ({'body': {'model': 'no'}}, 404, 'model_not_found'),
    'unknown version': ({'body': {'model': 'plan@3'}}, 404, 'model_not_found'),
    'version with a sign': (
        {'body': {'model': 'plan@+1'}},
        404,
        'model_not_found',
    ),
    "engine's name of an adapter": (
        {'body': {'model': 'depot/plan@1'}},
        404,
        'model_not_found',
    ),
    'wrong key': ({'key': 'guess'}, 401, 'invalid_key'),
    'key with non-ASCII bytes': ({'key': 'caf\xe9\xb2'}, 401, 'invalid_key'),
    'timeout of zero': ({'X_Request_Timeout_Ms': '0'}, 400, 'invalid_request'),
    # The superscript two passes str.isdigit and is refused by int.
    'timeout that int refuses': (
        {'X_Request_Timeout_Ms': '\xb2'},
        400,
        'invalid_request',
    ),
    'timeout with too many digits': (
        {'X_Request_Timeout_Ms': '9' * 5000},
        400,
        'invalid_request',
    ),
    'idempotency key with a space': (
        {'Idempotency_Key': 'a b'},
        400,
        'invalid_idempotency_key',
    ),
    'unknown path': ({'path': '/v2'}, 404, 'no_such_path'),
    'other method': ({'method': 'PUT'}, 405, 'method_not_allowed'),
    'declared too long': ({'body': BIG}, 413, 'body_too_long'),
}
HEADS = {
    'duplicate bearer key': (HEAD + AUTH + AUTH, 400, 'duplicate_header'),
    'duplicate length': (
        HEAD + AUTH + b'Content-Length: 2\r\ncontent-length: 3\r\n',
        400,
        'duplicate_header',
    ),
    'length and chunks': (
        CHUNKED + b'Content-Length: 2\r\n',
        400,
        'invalid_header',
    ),
    'unknown encoding': (
        HEAD + b'Transfer-Encoding: gzip, chunked\r\n',
        400,
        'invalid_header',
    ),
    'negative length': (
        HEAD + b'Content-Length: -1\r\n',
        400,
        'invalid_header',
    ),
    'length with a sign': (
        HEAD + b'Content-Length: +1\r\n',
        400,
        'invalid_header',
    ),
    'bare carriage return hides a header': (
        HEAD + b'X-A: b\rTransfer-Encoding: chunked\r\n',
        400,
        'invalid_header',
    ),
    'folded line': (HEAD + b'X-A: b\r\n c\r\n', 400, 'invalid_header'),
    'space before colon': (HEAD + b'Host : e\r\n', 400, 'invalid_header'),
    'no colon': (HEAD + b'nonsense\r\n', 400, 'invalid_header'),
    'null byte': (HEAD + b'X-A: \0\r\n', 400, 'invalid_header'),
    'long line': (
        HEAD + b'X-A: ' + b'a' * 9000 + b'\r\n',
        431,
        'headers_too_long',
    ),
    'many headers': (HEAD + b'X-A: b\r\n' * 200, 431, 'headers_too_long'),
    'long path': (b'GET /' + b'a' * 9000, 414, 'path_too_long'),
    'not http': (b'\x16\x03\x01\x02\x00\x01\r\n', 400, 'invalid_request'),
    'http 2': (b'PRI * HTTP/2.0\r\n', 505, 'invalid_http_version'),
    'chunks too long': (
        CHUNKED + b'\r\n2000\r\n' + b'x' * 8192 + b'\r\n0\r\n',
        413,
        'body_too_long',
    ),
    'chunk without size': (CHUNKED + b'\r\nzz\r\n', 400, 'invalid_request'),
    'chunk line without an end': (
        CHUNKED + b'\r\n1;' + b'a' * 9000,
        400,
        'invalid_request',
    ),
    'trailers without an end': (
        CHUNKED + b'\r\n0\r\n' + b'X-A: b\r\n' * 9000,
        400,
        'invalid_request',
    ),
    'slow head': (HEAD + b'X-Slow: ', 408, 'request_timeout'),
    'slow body': (
        HEAD + AUTH + b'Content-Length: 9\r\n\r\n{',
        408,
        'request_timeout',
    ),
}


@pytest.fixture(scope='module')
def entry():
    return harness.Entry()


@pytest.mark.parametrize('name', CALLS)
def test_bad_call_is_refused_with_a_stable_code(entry, name):
    """Guards against internal errors (500) and changed error codes."""
    arguments, status, code = CALLS[name]
    got, headers, document = entry.call(**arguments)
    assert (got, document['error']['code']) == (status, code)
    assert document['error']['ran'] == 'no'
    assert document['error']['request_id'] == headers['X-Request-Id']
    assert harness.KEY not in json.dumps(document)
    assert entry.progress.is_idle


@pytest.mark.parametrize('name', HEADS)
def test_bad_framing_is_refused_and_the_connection_ends(entry, name):
    """Guards against request smuggling by heads parsed in different ways."""
    head, status, code = HEADS[name]
    got, headers, document = harness.parse(entry.raw(head + b'\r\n'))
    assert (got, document['error']['code']) == (status, code)
    assert document['error']['ran'] == 'no'
    assert headers['Connection'].lower() == 'close'


def test_slowly_sent_head_times_out(entry):
    """Guards against a head time-out that each received line restarts."""
    with entry.connect() as connection:
        connection.sendall(HEAD)

        def send_slowly():
            while True:
                connection.sendall(b'X-A: b\r\n')
                eventlet.sleep(0.02)

        sender = eventlet.spawn(send_slowly)
        status, _, document = harness.parse(harness.read_all(connection))
        sender.kill()
    assert (status, document['error']['code']) == (408, 'request_timeout')


def test_answer_to_an_oversized_body_arrives(entry):
    """Guards against a reset that makes the kernel discard the answer."""
    head = HEAD + AUTH + b'Content-Length: 8000000\r\n\r\n'
    pieces = [head] + [b'x' * 500000] * 16
    status, _, document = harness.parse(entry.raw(*pieces))
    assert (status, document['error']['code']) == (413, 'body_too_long')


def test_half_closed_caller_gets_an_answer_and_releases_the_upstream():
    """Guards against leaving a half-closed caller without an answer.

    It also guards against an upstream that continues to run its request.
    """
    gate = harness.new_gate()
    entry = harness.Entry(lambda _: gate.wait())
    with entry.connect() as connection:
        connection.sendall(harness.head_and_body())
        harness.wait_until(lambda: entry.pool.held == 1)
        connection.shutdown(socket.SHUT_WR)
        status, _, document = harness.parse(harness.read_all(connection))
    assert (status, document['error']['ran']) == (499, 'unknown')
    assert entry.pool.held == 0


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('place', ['queue', 'upstream', 'stream'])
def test_disconnect_releases_the_upstream_at_once(place, is_reset):
    """Guards against upstreams running requests of disconnected callers."""
    gate = harness.new_gate()

    def chunks():
        yield b'data: x\n\n'
        gate.wait()

    def run(attempt):
        return (
            harness.answer()
            if place == 'queue'
            else (
                gate.wait()
                if place == 'upstream'
                else harness.types.Answer(
                    harness.types.AnswerHead(200, 'text/event-stream'), chunks()
                )
            )
        )

    entry = harness.Entry(run)
    entry.pool.gate = gate if place == 'queue' else None
    connection = entry.connect()
    connection.sendall(
        harness.head_and_body({'model': 'plan', 'stream': place == 'stream'})
    )
    harness.wait_until(lambda: place == 'queue' or entry.pool.attempts)
    eventlet.sleep(0.02)
    if is_reset:
        linger = struct.pack('ii', 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()
    harness.wait_until(lambda: entry.progress.is_idle)
    assert entry.pool.held == 0
    assert len(entry.pool.attempts) == (place != 'queue')


def test_request_of_a_caller_that_left_unnoticed_is_not_run():
    """Guards against work for a caller whose disconnect is not yet read."""
    entry = harness.Entry()
    connection = entry.connect()
    place = entry.pool.place
    placed = []

    def place_during_stall(*arguments):
        connection.close()
        placed.append(place(*arguments))
        return placed[0]

    entry.pool.place = place_during_stall
    connection.sendall(harness.head_and_body())
    harness.wait_until(lambda: placed and entry.progress.is_idle)
    assert not entry.pool.attempts


def test_keep_alive_and_pipelined_requests_are_each_answered(entry):
    """Guards against a watch for disconnects that consumes a request."""
    one = harness.head_and_body(connection='keep-alive')
    raw = entry.raw(one + one, harness.head_and_body())
    assert raw.count(b'HTTP/1.1 200 OK') == 3


def test_request_that_arrives_before_the_idle_limit_is_answered(
    entry, monkeypatch
):
    """Guards against an entry that wakes late and discards a request.

    The hub runs timers that are due before it looks for received bytes.
    """
    with entry.connect() as connection:
        connection.sendall(harness.head_and_body(connection='keep-alive'))
        assert b'{}' in connection.recv(4096)
        # Received bytes resume this task, so the hub runs timers next.
        entry.call()
        hub = hubs.get_hub()
        connection.sendall(harness.head_and_body())
        late_s = 2 * harness.LIMITS.read_timeout_s
        real_clock = hub.clock
        monkeypatch.setattr(hub, 'clock', lambda: real_clock() + late_s)
        assert harness.parse(harness.read_all(connection))[0] == 200


def test_small_chunks_are_sent_at_once():
    """Guards against tokens that are buffered up to 4 KiB."""
    gate = harness.new_gate()

    def chunks():
        yield b'data: 1\n\n'
        gate.wait()
        yield b'data: 2\n\n'

    entry = harness.Entry(
        lambda _: harness.types.Answer(
            harness.types.AnswerHead(200, 'text/event-stream'), chunks()
        )
    )
    with entry.connect() as connection:
        connection.sendall(
            harness.head_and_body({'model': 'plan', 'stream': True})
        )
        received = b''
        while b'data: 1' not in received:
            received += connection.recv(4096)
        gate.send()
        assert b'data: 2' in harness.read_all(connection)


def test_a_flooding_application_is_refused_and_others_are_not():
    """Guards against account limits that the HTTP interface ignores."""
    narrow = {'requests_per_s': 0.01, 'burst': 1, 'concurrency': 1, 'queue': 1}
    entry = harness.Entry(setup=harness.setup(narrow))
    assert entry.call()[0] == 200
    status, headers, document = entry.call()
    assert (status, document['error']['code']) == (429, 'rate_limited')
    assert 95 < int(headers['Retry-After']) * 2 <= 120
    assert document['error']['ran'] == 'no'
    assert entry.call(key=harness.OTHER_KEY)[0] == 200
