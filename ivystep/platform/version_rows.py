"""Encodes and decodes ivystep's rows on the software versions of services.

One row for each service outlives all hosts: a stream that began at a version
may be taken up by a host that never saw an upstream of it.
"""

import dataclasses
import json
from collections.abc import Mapping

from ivystep.core import errors, units
from ivystep.platform import decoding, rows

TABLE = 'ivystep-versions'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceVersions:
    """The software versions that a service had lately.

    Attributes:
        gone_s_by_version: Time on the store's clock since when a version has
            no upstream; None while it has one.
        era: Era of the store in which the row was written.
        complete_from_s: Time on the store's clock from which on no version is
            missing; 0 if none ever was.
    """

    gone_s_by_version: Mapping[str, float | None]
    era: int
    complete_from_s: float = 0.0


def encode(
    service: str, versions: ServiceVersions, expected: int
) -> rows.RowWrite:
    """Return the write of a service's row.

    Args:
        service: Name of the service.
        versions: Its versions.
        expected: Version that the row must have; 0 if it must not exist.
    """
    document = {
        'versions': {
            version: None if gone_s is None else _to_ms(gone_s)
            for version, gone_s in versions.gone_s_by_version.items()
        },
        'era': versions.era,
        'complete_from_ms': _to_ms(versions.complete_from_s),
    }
    content = json.dumps(document).encode()
    return rows.RowWrite(TABLE, service, content, expected)


def decode(row: rows.StoredRow) -> ServiceVersions:
    """Decode a row.

    Raises:
        errors.SetupError: The row is malformed.
    """
    try:
        document = decoding.load(row.content)
        return ServiceVersions(
            {
                str(version): None
                if gone_ms is None
                else decoding.seconds(gone_ms)
                for version, gone_ms in document['versions'].items()
            },
            decoding.whole(document['era']),
            decoding.seconds(document['complete_from_ms']),
        )
    except decoding.DECODE_ERRORS as error:
        raise errors.SetupError(
            f'row {row.key!r} is malformed: {error}', step='decode versions'
        ) from error


def _to_ms(seconds: float) -> int:
    return round(seconds * units.MS_PER_S)
