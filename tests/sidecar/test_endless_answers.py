"""Tests of an upstream beside a sidecar whose answers do not end."""

import itertools
import tracemalloc

import eventlet
import pytest

from ivystep.core import errors, types, units
from ivystep.runtime import clock
from ivystep.sidecar import answers, run, upstream
from tests import endless

REF = types.AdapterRef('acme', 'a1', 1)
OK = b'HTTP/1.1 200 OK\r\n'
ALLOWED_MEMORY_BYTES = 32 * units.MIB
ENDLESS = {
    'body': (OK + b'\r\n', b'x' * 65536),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 2600),
    'trailers': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'a: b\r\n' * 10000,
    ),
}


def _load(client):
    client.load(REF, 'blob:1', 1)


CALLS = pytest.mark.parametrize('call', [upstream.EngineHttp.process, _load])


def _fail(call, client):
    """Make a call that fails, and return its peak of memory."""
    tracemalloc.start()
    try:
        with eventlet.Timeout(5), pytest.raises(errors.PlatformError):
            call(client)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@CALLS
@pytest.mark.parametrize('name', ENDLESS)
def test_answer_without_an_end_is_given_up(monkeypatch, call, name):
    """Guards against an engine that takes memory and time of its sidecar."""
    monkeypatch.setattr(upstream, 'LOAD_TIMEOUT_S', 1.0)
    first, rest = ENDLESS[name]
    pieces = itertools.chain([first], itertools.repeat(rest))
    with endless.Writer(pieces).start() as (ip, port):
        client = upstream.EngineHttp(f'http://{ip}:{port}')
        assert _fail(call, client) < ALLOWED_MEMORY_BYTES


@CALLS
def test_answer_sent_one_byte_at_a_time_ends_at_the_deadline(monkeypatch, call):
    """Guards against calls without an end, each byte of which is in time."""
    monkeypatch.setattr(upstream, 'LOAD_TIMEOUT_S', 1.0)
    whole = OK + b'Content-Length: 100\r\n\r\n' + b'x' * 100
    pieces = [whole[at : at + 1] for at in range(len(whole))]
    with endless.Writer(pieces, 0.2).start() as (ip, port):
        started_at = clock.now()
        _fail(call, upstream.EngineHttp(f'http://{ip}:{port}'))
        assert clock.now() - started_at < 2.5


def test_document_without_an_end_is_refused():
    """Guards against an answer that is kept until the memory is used up."""
    received = itertools.repeat(bytes(units.MIB), 200)
    with pytest.raises(errors.RequestError, match='too long'):
        next(answers.check_document(received, REF))
    assert len(list(received)) > 180


def test_deeply_nested_answer_is_malformed():
    """Guards against a task that ends by an error that nobody handles."""
    nested = b'[' * 100000
    with pytest.raises(errors.RequestError, match='malformed'):
        next(answers.check_document([nested], REF))
    with pytest.raises(errors.RequestError, match='malformed'):
        next(answers.check_stream([b'data: ', nested, b'\n\n'], REF))
    assert run._model_of(nested) is None


def test_deeply_nested_list_of_models_is_malformed():
    """Guards against an upstream that stays unread without a reason."""
    nested = b'[' * 100000
    head = OK + b'Content-Length: %d\r\n\r\n' % len(nested)
    with endless.Writer([head + nested]).start() as (ip, port):
        client = upstream.EngineHttp(f'http://{ip}:{port}')
        with pytest.raises(errors.UnavailableError, match='malformed'):
            client._resident()
