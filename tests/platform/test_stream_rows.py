"""Tests of the rows on where streams began."""

import pytest

from ivystep.core import errors
from ivystep.platform import rows, stream_rows

ORIGIN = stream_rows.StreamOrigin('llm', 'v1.1', 1700000000.25)


def stored(content):
    return rows.StoredRow(stream_rows.TABLE, 'key', content, 1)


def test_origin_is_read_as_it_was_written():
    """Guards against a host that reads another origin than was written."""
    write = stream_rows.encode('key', ORIGIN)
    assert stream_rows.decode(stored(write.content)) == ORIGIN


@pytest.mark.parametrize(
    'content', [b'', b'{', b'[]', b'{}', b'{"service": "llm"}', b'\xff']
)
def test_malformed_origin_is_an_error(content):
    """Guards against a row of another program that names a version."""
    with pytest.raises(errors.SetupError):
        stream_rows.decode(stored(content))
