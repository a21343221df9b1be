"""Tests of the rows on where streams began."""

import pytest

from ivystep.core import errors
from ivystep.platform import rows, stream_rows

ORIGIN = stream_rows.StreamOrigin('llm', 'v1.1', 1700000000.25)


def stored(content, key='key'):
    return rows.StoredRow(stream_rows.TABLE, key, content, 1)


def test_origin_is_read_as_it_was_written():
    """Guards against a host that reads another origin than was written."""
    write = stream_rows.encode('key', 3, ORIGIN)
    assert stream_rows.decode(stored(write.content)) == ORIGIN
    assert stream_rows.decode_number(stored(write.content, write.key)) == 3


def test_rows_of_one_stream_are_in_their_range_in_order():
    """Guards against the row of an earlier attempt taken for the last one."""
    first, end = stream_rows.key_range('ab')
    keys = [stream_rows.row_key('ab', number) for number in (0, 2, 10, 999)]
    assert keys == sorted(keys)
    assert all(first <= key < end for key in keys)
    assert not first <= stream_rows.row_key('abc', 0) < end


@pytest.mark.parametrize('key', ['', 'ab', 'ab/', 'ab/x', 'ab/-1', 'ab/\u0663'])
def test_key_without_a_number_is_an_error(key):
    """Guards against a row of another program that hides those of a stream."""
    with pytest.raises(errors.SetupError):
        stream_rows.decode_number(stored(b'', key))


@pytest.mark.parametrize(
    'content', [b'', b'{', b'[]', b'{}', b'{"service": "llm"}', b'\xff']
)
def test_malformed_origin_is_an_error(content):
    """Guards against a row of another program that names a version."""
    with pytest.raises(errors.SetupError):
        stream_rows.decode(stored(content))
