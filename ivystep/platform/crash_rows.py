"""Encodes and decodes ivystep's rows on what upstreams crashed under.

A row says that one upstream crashed while it ran one request, or as it began to
answer a prompt with one part. It is written once and deleted if the request, or
another one with the part, is answered later, so rows need no condition and a
write that is carried out late does no harm.
"""

import dataclasses
import functools
import json
import typing

from ivystep.core import errors, ids, units
from ivystep.platform import decoding, rows

TABLE = 'ivystep-crashes'


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The crash of an upstream while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream_id: The upstream.
        incarnation: Incarnation of the upstream that crashed.
        recorded: Wall-clock time in seconds since the epoch.
    """

    fingerprint: bytes
    upstream_id: str
    incarnation: str
    recorded: float

    @property
    def key(self) -> str:
        """Key of the row, equal for all hosts that saw the crash."""
        return ids.digest(
            self.fingerprint,
            self.upstream_id.encode(),
            self.incarnation.encode(),
        ).hex()


@dataclasses.dataclass(frozen=True, slots=True)
class PartCrash:
    """The crash of an upstream while it had a prompt with a part.

    Attributes:
        part_id: Part of the prompt.
        upstream_id: The upstream.
        incarnation: Incarnation of the upstream that crashed.
        recorded: Wall-clock time in seconds since the epoch.
        has_begun: Whether it had just begun to answer the prompt.
    """

    part_id: str
    upstream_id: str
    incarnation: str
    recorded: float
    has_begun: bool

    @property
    def crash_id(self) -> str:
        """Id of the crash: the upstream and its incarnation."""
        return f'{self.upstream_id}/{self.incarnation}'

    @property
    def key(self) -> str:
        """Key of the row, equal for all hosts that saw the same."""
        return ids.digest(
            b'begun part' if self.has_begun else b'part',
            self.part_id.encode(),
            self.upstream_id.encode(),
            self.incarnation.encode(),
        ).hex()


@functools.singledispatch
def encode(crash: Crash | PartCrash) -> rows.RowWrite:
    """Return the write of a crash."""
    raise NotImplementedError(type(crash).__name__)


@encode.register
def _encode_crash(crash: Crash) -> rows.RowWrite:
    return _write(crash, {'fingerprint': crash.fingerprint.hex()})


@encode.register
def _encode_part_crash(crash: PartCrash) -> rows.RowWrite:
    return _write(crash, {'part': crash.part_id, 'has_begun': crash.has_begun})


def encode_removal(crash: Crash | PartCrash) -> rows.RowWrite:
    """Return the write that deletes a crash."""
    return rows.RowWrite(TABLE, crash.key, None)


def decode(row: rows.StoredRow) -> Crash | PartCrash:
    """Decode a row.

    Raises:
        errors.SetupError: The row is malformed.
    """
    try:
        document = decoding.load(row.content)
        upstream = (
            str(document['upstream']),
            str(document['incarnation']),
            decoding.seconds(document['recorded_ms']),
        )
        part_id = document.get('part')
        if part_id is not None:
            has_begun = bool(document['has_begun'])
            return PartCrash(str(part_id), *upstream, has_begun)
        return Crash(bytes.fromhex(document['fingerprint']), *upstream)
    except decoding.DECODE_ERRORS as error:
        raise errors.SetupError(
            f'row {row.key!r} is malformed: {error}', step='decode crash'
        ) from error


def _write(
    crash: Crash | PartCrash, subject: dict[str, typing.Any]
) -> rows.RowWrite:
    document = {
        **subject,
        'upstream': crash.upstream_id,
        'incarnation': crash.incarnation,
        'recorded_ms': int(crash.recorded * units.MS_PER_S),
    }
    return rows.RowWrite(TABLE, crash.key, json.dumps(document).encode())
