"""Encodes and decodes ivystep's rows on where streams of callers began.

A row is written by the host that sends a stream to an upstream, and read by
the host at which the caller takes the stream up. It is written again if the
request is sent to another upstream before its first event.
"""

import dataclasses
import json
import typing

from ivystep.core import errors, units
from ivystep.platform import rows

TABLE = 'ivystep-streams'
# Raised when a malformed row, written by another program, is decoded.
DECODE_ERRORS = (KeyError, TypeError, ValueError, RecursionError)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Service of the upstream that began it.
        software_version: Version of that upstream's software.
        recorded: Wall-clock time in seconds since the epoch.
    """

    service: str
    software_version: str
    recorded: float

    def is_same(self, other: typing.Self) -> bool:
        """Return whether two streams began at the same service and version.

        Args:
            other: Origin of the other stream.
        """
        return (self.service, self.software_version) == (
            other.service,
            other.software_version,
        )


def encode(key: str, origin: StreamOrigin) -> rows.RowWrite:
    """Return the write of a stream's origin.

    Args:
        key: Key of the stream.
        origin: Where it began.
    """
    document = {
        'service': origin.service,
        'software_version': origin.software_version,
        'recorded_ms': int(origin.recorded * units.MS_PER_S),
    }
    return rows.RowWrite(TABLE, key, json.dumps(document).encode())


def encode_removal(key: str) -> rows.RowWrite:
    """Return the write that deletes a stream's row."""
    return rows.RowWrite(TABLE, key, None)


def decode(row: rows.StoredRow) -> StreamOrigin:
    """Decode a row.

    Raises:
        errors.SetupError: The row is malformed.
    """
    try:
        document = json.loads(row.content)
        return StreamOrigin(
            str(document['service']),
            str(document['software_version']),
            float(document['recorded_ms']) / units.MS_PER_S,
        )
    except DECODE_ERRORS as error:
        raise errors.SetupError(
            f'row {row.key!r} is malformed: {error}', step='decode stream'
        ) from error
