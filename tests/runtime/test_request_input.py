"""Tests the reader of the bodies of requests that ``eventlet.wsgi`` serves."""

import io
import tracemalloc

import pytest
from eventlet import wsgi

from ivystep.core import units
from ivystep.runtime import request_input

LINE = request_input.MAX_LINE_BYTES
TRAILER = b'X-Trailer: value\r\n'
TRAILERS = request_input.MAX_TRAILER_BYTES // len(TRAILER)
MALFORMED = {
    'no size': b'zz\r\n',
    'negative size': b'-5\r\nabcde\r\n',
    'size with a sign': b'+5\r\nabcde\r\n',
    'size with an underscore': b'1_0\r\n' + b'a' * 16 + b'\r\n',
    'endless extension': b'1;' + b'a' * 2 * LINE,
    'endless size': b'0' * 2 * LINE,
    'endless line behind a chunk': b'1\r\nx' + b'a' * 2 * LINE,
    'endless trailer': b'0\r\n' + b'a' * 2 * LINE,
    'endless trailers': b'0\r\n' + TRAILER * (TRAILERS + 1),
}


def body(sent):
    return request_input.BoundedInput(
        io.BytesIO(sent), None, None, chunked_input=True
    )


@pytest.mark.parametrize('size', [None, 1, 3, 100])
def test_body_in_chunks_is_read(size):
    """Guards against a body that is changed on its way."""
    reader = body(
        b'3;a=b\r\nabc\r\n1\r\nd\r\n5\r\nefghi\r\n0\r\n' + TRAILER + b'\r\nnext'
    )
    received = b''
    while part := reader.read(size):
        assert size is None or len(part) <= size
        received += part
    assert received == b'abcdefghi'
    assert reader.rfile.read() == b'next'


@pytest.mark.parametrize('kind', MALFORMED)
def test_malformed_chunks_are_refused_for_good(kind):
    """Guards against lines without a bound, and a body taken for a request."""
    reader = body(MALFORMED[kind] + b'\r\n0\r\n\r\n')
    for _ in range(2):
        with pytest.raises(wsgi.ChunkReadError):
            reader.read()
    assert reader.rfile.tell() <= LINE + request_input.MAX_TRAILER_BYTES + 64


def test_connection_that_ends_inside_a_chunk_is_an_error():
    """Guards against a part of a body that is taken for all of it."""
    with pytest.raises(OSError, match='inside a chunk'):
        body(b'5\r\nab').read()


def test_small_chunks_take_little_more_memory_than_their_bytes():
    """Guards against a body that takes many times its length."""
    sent = b'2\r\nab\r\n' * (units.MIB // 2) + b'0\r\n\r\n'
    reader = body(sent)
    tracemalloc.start()
    try:
        received = reader.read()
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(received) == units.MIB
    assert peak < 3 * units.MIB
