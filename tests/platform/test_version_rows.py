"""Tests of the rows on the software versions of services."""

import pytest

from ivystep.core import errors
from ivystep.platform import rows, version_rows

VERSIONS = version_rows.ServiceVersions({'v1': 12.345, 'v2': None}, 3, 70.5)


def stored(content):
    return rows.StoredRow(version_rows.TABLE, 'llm', content, 1)


def test_versions_are_read_as_they_were_written():
    """Guards against a version that another host does not find."""
    write = version_rows.encode('llm', VERSIONS, 4)
    assert version_rows.decode(stored(write.content)) == VERSIONS
    assert (write.key, write.expected) == ('llm', 4)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'{',
        b'[]',
        b'{}',
        b'{"versions": []}',
        b'{"versions": {"v1": "x"}, "era": 0, "complete_from_ms": 0}',
        b'{"versions": {}, "era": null, "complete_from_ms": 0}',
    ],
)
def test_malformed_versions_are_an_error(content):
    """Guards against a row of another program that names versions."""
    with pytest.raises(errors.SetupError):
        version_rows.decode(stored(content))
