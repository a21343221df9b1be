"""Encodes and decodes ivystep's rows on where streams of callers began.

A row is written by the host that sends a stream to an upstream, and read by
the host at which the caller takes the stream up. A further row with a higher
number is written if the request moves to another service or version before its
first event, so that a late write of the first row does not replace it.
"""

import dataclasses
import json
import typing

from ivystep.core import errors, units
from ivystep.platform import decoding, rows

TABLE = 'ivystep-streams'
# Separates a stream's key from the number of its row; END sorts after it.
SEPARATOR = '/'
END = '0'
# Rows of one stream are sorted by their number.
NUMBER_DIGITS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Service of the upstream that began it.
        software_version: Version of that upstream's software.
        recorded: Wall-clock time in seconds since the epoch.
        era: Era of the store as its writer knew it. A copy of the store may
            lack a later row of the stream.
    """

    service: str
    software_version: str
    recorded: float
    era: int = 0

    @property
    def place(self) -> tuple[str, str]:
        """The service and the software version."""
        return self.service, self.software_version

    def is_same(self, other: typing.Self) -> bool:
        """Return whether two streams began at the same service and version.

        Args:
            other: Origin of the other stream.
        """
        return self.place == other.place


def encode(key: str, number: int, origin: StreamOrigin) -> rows.RowWrite:
    """Return the write of a stream's origin.

    Args:
        key: Key of the stream.
        number: Number of the row among those of the stream.
        origin: Where it began.
    """
    document = {
        'service': origin.service,
        'software_version': origin.software_version,
        'recorded_ms': int(origin.recorded * units.MS_PER_S),
        'era': origin.era,
    }
    content = json.dumps(document).encode()
    return rows.RowWrite(TABLE, row_key(key, number), content)


def encode_removal(key: str, expected: int | None = None) -> rows.RowWrite:
    """Return the write that deletes a row.

    Args:
        key: Key of the row.
        expected: Version that the row must have; None for any.
    """
    return rows.RowWrite(TABLE, key, None, expected)


def row_key(key: str, number: int) -> str:
    """Return the key of a row of a stream."""
    return f'{key}{SEPARATOR}{number:0{NUMBER_DIGITS}}'


def key_range(key: str) -> tuple[str, str]:
    """Return the first key of a stream's rows, and the end of their range."""
    return f'{key}{SEPARATOR}', f'{key}{END}'


def decode(row: rows.StoredRow) -> StreamOrigin:
    """Decode a row.

    Raises:
        errors.SetupError: The row is malformed.
    """
    try:
        document = decoding.load(row.content)
        return StreamOrigin(
            str(document['service']),
            str(document['software_version']),
            decoding.seconds(document['recorded_ms']),
            decoding.whole(document.get('era', 0)),
        )
    except decoding.DECODE_ERRORS as error:
        raise errors.SetupError(
            f'row {row.key!r} is malformed: {error}', step='decode stream'
        ) from error


def decode_number(row: rows.StoredRow) -> int:
    """Return the number of a row among those of its stream.

    Raises:
        errors.SetupError: The key has no number.
    """
    number = row.key.rpartition(SEPARATOR)[2]
    if not number.isascii() or not number.isdecimal():
        raise errors.SetupError(
            f'row {row.key!r} has no number', step='decode stream'
        )
    return int(number)
