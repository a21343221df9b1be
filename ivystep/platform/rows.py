"""Reads and writes rows of the platform's metadata store.

Each row has the version of the transaction that wrote it last, taken from a
counter of the whole store. A feed returns the rows that changed after a given
version, as long as the store retains that part of its history.
"""

import base64
import binascii
import dataclasses
import json
import math
import re
import typing
import urllib.parse
from collections.abc import Iterator, Sequence

from ivystep.core import errors, units
from ivystep.platform import decoding, http

READ_PATH = '/ivystep/rows-get'
FEED_PATH = '/ivystep/rows-feed'
TRANSACT_PATH = '/ivystep/rows-tx'
# Number of times that the store has been restored from an older copy.
ERA_HEADER = 'Store-Era'
ERA = re.compile(r'\d{1,18}')
# Latest time on the store's clock that a float represents to the millisecond.
MAX_TIME_MS = 2**53
# Largest number of rows in one answer.
PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the store.

    Attributes:
        content: The bytes of the row; empty if the row is deleted.
        version: Version of the transaction that wrote the row.
        is_deleted: Whether a feed reports the row as deleted.
        written_after: Uptime of this host in seconds at which the store did
            not contain the row yet; minus infinity if unknown.
    """

    table: str
    key: str
    # The operator's configuration contains API keys.
    content: bytes = dataclasses.field(repr=False)
    version: int
    is_deleted: bool = False
    written_after: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A write of one row.

    Attributes:
        content: New bytes of the row; None deletes it.
        expected: Version that the row must have; 0 if it must not exist, None
            if any version may be replaced.
    """

    table: str
    key: str
    content: bytes | None
    expected: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RowSet:
    """Result of a read or of a feed.

    Attributes:
        version: Newest version of the store at the time of the read.
        is_truncated: Whether more rows follow the last one.
        era: Number of times that the store has been restored from an older
            copy; None if the answer does not say.
        store_time_s: Time of the read on the store's steady clock; None if
            the answer does not say.
    """

    rows: tuple[StoredRow, ...]
    version: int
    is_truncated: bool = False
    era: int | None = None
    store_time_s: float | None = None


class RowConflictError(errors.ConflictError):
    """A row had a version other than the expected one; nothing was written.

    Attributes:
        rows: Current state of the conflicting rows.
    """

    def __init__(
        self, reason: str, rows: tuple[StoredRow, ...], *, peer: str
    ) -> None:
        super().__init__(reason, step='transact', peer=peer)
        self.rows = rows


class HistoryGoneError(errors.UnavailableError):
    """The store no longer retains the requested changes."""


class RowsClient:
    """Client of the store. All calls use the partition with the empty name.

    Args:
        calls: HTTP calls to the store.

    Attributes:
        era: Highest era that an answer has named; 0 before.
    """

    def __init__(self, calls: http.PlatformHttp) -> None:
        self.era = 0
        self._http = calls

    @classmethod
    def connect(
        cls,
        base_url: str,
        timeout_s: float,
        on_call: http.OnCall | None = None,
    ) -> typing.Self:
        """Create a client of the store at a URL.

        Args:
            base_url: URL without a path.
            timeout_s: Longest wait for one call, in seconds.
            on_call: See ``http.PlatformHttp``.
        """
        return cls(
            http.PlatformHttp('table service', base_url, timeout_s, on_call)
        )

    def read(
        self, table: str, first: str = '', end: str = '', limit: int = PAGE_ROWS
    ) -> RowSet:
        """Read rows in key order.

        Args:
            table: Name of the table.
            first: First key of the range, inclusive.
            end: End of the range, exclusive; empty for the end of the table.
            limit: Largest number of rows to read.

        Raises:
            errors.UnavailableError: The rows could not be read.
        """
        query = {'table': table, 'part': '', 'limit': limit}
        if first:
            query['from'] = first
        if end:
            query['to'] = end
        return self._row_set(self._http.read(_path(READ_PATH, query)))

    def read_all(self, table: str) -> RowSet:
        """Read a whole table.

        Returns:
            All rows, with the version and the time of the first page, so that
            a feed that starts there misses no change.

        Raises:
            errors.UnavailableError: A page could not be read.
        """
        page = self.read(table)
        rows = list(page.rows)
        version = page.version
        store_time_s = page.store_time_s
        while page.is_truncated and page.rows:
            era = page.era
            page = self.read(table, first=_next_key(page.rows[-1].key))
            if page.era != era or page.version < version:
                raise errors.UnavailableError(
                    'a page is from another state of the store',
                    step='read',
                    peer=self._http.name,
                )
            rows.extend(page.rows)
        return RowSet(
            tuple(rows), version, era=page.era, store_time_s=store_time_s
        )

    def changes(self, table: str, after: int, wait_s: float) -> RowSet:
        """Wait for changes of a table.

        Args:
            table: Name of the table.
            after: Only changes after this version are returned.
            wait_s: Longest wait for a change, in seconds.

        Raises:
            HistoryGoneError: The store no longer retains these changes.
            errors.UnavailableError: The changes could not be read.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * units.MS_PER_S),
        }
        answer = self._http.read(_path(FEED_PATH, query), wait_s)
        if answer.status == 410:
            raise HistoryGoneError(
                f'changes after version {after} are no longer retained',
                step='feed',
                peer=self._http.name,
            )
        return self._row_set(answer)

    def transact(self, writes: Sequence[RowWrite]) -> int:
        """Apply all writes atomically.

        Returns:
            Version of the written rows.

        Raises:
            RowConflictError: A row has another version; none was applied.
            errors.UnavailableError: None was applied.
            errors.UncertainWriteError: All were applied, or none.
        """
        document = {
            'expected': [
                {**_row_key(write), 'ver': write.expected}
                for write in writes
                if write.expected is not None
            ],
            'puts': [
                {**_row_key(write), 'value': _encoded(write.content)}
                for write in writes
                if write.content is not None
            ],
            'remove': [
                _row_key(write) for write in writes if write.content is None
            ],
        }
        answer = self._http.send(
            'POST', TRANSACT_PATH, json.dumps(document).encode()
        )
        self._era(answer)
        if answer.status == 412:
            rows = tuple(self._rows(self._http.parse(answer.body)))
            raise RowConflictError(
                'a row has another version', rows, peer=self._http.name
            )
        if answer.status != 200:
            raise errors.UnavailableError(
                f'status {answer.status}', step='transact', peer=self._http.name
            )
        return self._version(self._http.parse(answer.body))

    def _row_set(self, answer: http.Answer) -> RowSet:
        if answer.status != 200:
            raise errors.UnavailableError(
                f'status {answer.status}', step='read', peer=self._http.name
            )
        page = self._http.parse(answer.body)
        rows = tuple(self._rows(page))
        is_truncated = bool(page.get('truncated'))
        return RowSet(
            rows,
            self._version(page),
            is_truncated,
            self._era(answer),
            _store_time_s(page),
        )

    def _era(self, answer: http.Answer) -> int | None:
        """Return the era that an answer names, and remember the highest."""
        named = answer.headers.get(ERA_HEADER)
        if named is None:
            return None
        if not ERA.fullmatch(named):
            raise self._malformed(f'malformed era {named!r}')
        era = int(named)
        self.era = max(self.era, era)
        return era

    def _version(self, page: typing.Any) -> int:
        version = page.get('ver') if isinstance(page, dict) else None
        if not isinstance(version, int):
            raise self._malformed('the answer has no version')
        return version

    def _rows(self, page: typing.Any) -> Iterator[StoredRow]:
        rows = page.get('rows') if isinstance(page, dict) else None
        if not isinstance(rows, list):
            raise self._malformed('the answer has no list of rows')
        for raw in rows:
            try:
                yield _stored_row(raw)
            except decoding.DECODE_ERRORS as error:
                raise self._malformed(f'a row is malformed: {error}') from error

    def _malformed(self, reason: str) -> errors.UnavailableError:
        return errors.UnavailableError(
            reason, step='read', peer=self._http.name
        )


def _store_time_s(page: dict[str, typing.Any]) -> float | None:
    """Return the time of an answer on the store's clock; None without one."""
    now_ms = page.get('now_ms')
    if isinstance(now_ms, int) and 0 <= now_ms <= MAX_TIME_MS:
        return now_ms / units.MS_PER_S
    return None


def _path(path: str, query: dict[str, typing.Any]) -> str:
    return f'{path}?{urllib.parse.urlencode(query)}'


def _next_key(key: str) -> str:
    """Return the lowest key that sorts after the given one."""
    return f'{key}\0'


def _row_key(write: RowWrite) -> dict[str, typing.Any]:
    return {'table': write.table, 'part': '', 'key': write.key}


def _encoded(content: bytes) -> str:
    return base64.b64encode(content).decode()


def _stored_row(raw: dict[str, typing.Any]) -> StoredRow:
    """Decode a row. Content that cannot be decoded is returned as empty.

    Other programs may write such a row, and it must not prevent the others from
    being read.
    """
    # A tombstone marks a deleted row.
    is_deleted = bool(raw.get('tombstone'))
    content = b''
    if not is_deleted:
        try:
            content = base64.b64decode(raw['value'], validate=True)
        except (binascii.Error, TypeError, ValueError):
            content = b''
    return StoredRow(
        str(raw['table']), str(raw['key']), content, int(raw['ver']), is_deleted
    )
