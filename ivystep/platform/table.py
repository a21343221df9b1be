"""Stores ivystep's own rows in the transactional table service.

A row has a key, a JSON value and a version that grows by one with each write.
A put states the version that it expects; 0 means that the row does not exist.
The store's own versions count its transactions, so the version of a row is
stored in the row beside the value.

A row that was deleted and written anew, or restored from a copy, may have the
version of an earlier one. A put that follows a read therefore also names the
state of the store that was read (``Put.replacing``).
"""

import collections
import dataclasses
import json
import typing
from collections.abc import Iterable, Iterator, Sequence

from ivystep.core import errors
from ivystep.platform import decoding, http, rows

TABLE = 'ivystep'
# A row whose versions are not cached is read before it is written.
MAX_CACHED_VERSIONS = 4096
LAST_CHARACTER = '\U0010ffff'


@dataclasses.dataclass(frozen=True, slots=True)
class ReadState:
    """State of the store in which a row was read.

    Attributes:
        store_version: The store's own version of the row.
        era: Era of the store; see ``Table``.
    """

    store_version: int
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row with its version.

    Attributes:
        read: State in which it was read; None if that is unknown.
    """

    key: str
    value: typing.Any
    version: int
    read: ReadState | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A conditional write of one row.

    Attributes:
        expected_version: Version that the row must have; 0 if it must not
            exist.
        read: State in which the row must still be; None for any in which it
            has the expected version.
    """

    key: str
    value: typing.Any
    expected_version: int
    read: ReadState | None = dataclasses.field(default=None, compare=False)

    @classmethod
    def replacing(
        cls, row: Row | None, key: str, value: typing.Any
    ) -> typing.Self:
        """Return the write that replaces a row as it was read.

        Args:
            row: The row by which the write was decided on; None if the table
                had none.
            key: Key of the row.
            value: New value.
        """
        if row is None:
            return cls(key, value, 0)
        return cls(key, value, row.version, row.read)


class Table(typing.Protocol):
    """Interface of the table service.

    Attributes:
        era: Number of times that the service has been restored from an older
            copy, as far as its answers to this process have named it.
    """

    era: int

    def get(self, key: str) -> Row | None:
        """Read one row.

        Raises:
            errors.UnavailableError: The row could not be read.
        """

    def transact(self, puts: Sequence[Put]) -> ReadState | None:
        """Apply all puts atomically.

        Returns:
            State of the written rows, as if they had been read; None if it is
            unknown.

        Raises:
            errors.ConflictError: A row has another version; none was applied.
            errors.UnavailableError: None was applied.
            errors.UncertainWriteError: All were applied, or none.
        """

    def scan(self, prefix: str, after: str = '') -> Iterator[Row]:
        """Read all rows whose key starts with a prefix, in key order.

        Args:
            prefix: Start of the keys.
            after: Only rows whose keys sort after this one are read.

        Raises:
            errors.UnavailableError: A page could not be read.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class _Versions:
    """Versions of a row when it was last read or written."""

    version: int
    store_version: int


ABSENT = _Versions(0, 0)


class TableClient:
    """``Table`` in a table of the metadata store.

    Args:
        base_url: URL of the store.
        timeout_s: Longest wait for one call, in seconds.
        table: Name of the table.
        on_call: See ``http.PlatformHttp``.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        table: str = TABLE,
        on_call: http.OnCall | None = None,
    ) -> None:
        self._rows = rows.RowsClient.connect(base_url, timeout_s, on_call)
        self._table = table
        self._versions_by_key: collections.OrderedDict[str, _Versions] = (
            collections.OrderedDict()
        )

    @property
    def era(self) -> int:
        """Highest era that an answer has named; see ``Table.era``."""
        return self._rows.era

    def get(self, key: str) -> Row | None:
        """Read one row; see ``Table.get``."""
        page = self._rows.read(self._table, key, f'{key}\0', limit=1)
        if page.era is not None and page.era < self.era:
            raise errors.UnavailableError(
                f'era {page.era} is older than {self.era}',
                step='get',
                peer='table service',
            )
        if not page.rows:
            self._cache_versions(key, ABSENT)
            return None
        return self._row(page.rows[0])

    def transact(self, puts: Sequence[Put]) -> ReadState:
        """Apply all puts atomically; see ``Table.transact``."""
        writes = [self._write(put) for put in puts]
        try:
            store_version = self._rows.transact(writes)
        except rows.RowConflictError as conflict:
            self._refresh_versions(puts, conflict.rows)
            raise
        for put in puts:
            self._cache_versions(
                put.key, _Versions(put.expected_version + 1, store_version)
            )
        return ReadState(store_version, self.era)

    def scan(self, prefix: str, after: str = '') -> Iterator[Row]:
        """Read all rows with a prefix; see ``Table.scan``."""
        first = max(prefix, f'{after}\0' if after else '')
        end = f'{prefix}{LAST_CHARACTER}'
        while True:
            page = self._rows.read(self._table, first, end)
            for stored in page.rows:
                yield self._row(stored)
            if not page.is_truncated or not page.rows:
                return
            first = f'{page.rows[-1].key}\0'

    def _write(self, put: Put) -> rows.RowWrite:
        document = {'version': put.expected_version + 1, 'value': put.value}
        return rows.RowWrite(
            self._table,
            put.key,
            json.dumps(document).encode(),
            self._expected_store_version(put),
        )

    def _expected_store_version(self, put: Put) -> int:
        """Return the store's version that a row must have.

        Raises:
            errors.ConflictError: The row has changed.
        """
        if put.read is not None:
            if put.read.era != self.era:
                raise _conflict(f'{put.key} was read in era {put.read.era}')
            return put.read.store_version
        versions = self._find_versions(put)
        if versions.version != put.expected_version:
            raise _conflict(f'{put.key} has version {versions.version}')
        return versions.store_version

    def _find_versions(self, put: Put) -> _Versions:
        """Return the row's versions.

        The row is read again if the cached version is not the expected one.
        """
        if not put.expected_version:
            return ABSENT
        versions = self._versions_by_key.get(put.key)
        if versions is None or versions.version != put.expected_version:
            self.get(put.key)
            versions = self._versions_by_key[put.key]
        return versions

    def _refresh_versions(
        self, puts: Sequence[Put], found: Iterable[rows.StoredRow]
    ) -> None:
        for put in puts:
            self._versions_by_key.pop(put.key, None)
        for stored in found:
            if stored.version:
                self._row(stored)

    def _cache_versions(self, key: str, versions: _Versions) -> None:
        self._versions_by_key[key] = versions
        self._versions_by_key.move_to_end(key)
        if len(self._versions_by_key) > MAX_CACHED_VERSIONS:
            self._versions_by_key.popitem(last=False)

    def _row(self, stored: rows.StoredRow) -> Row:
        try:
            document = json.loads(stored.content)
            row = Row(
                stored.key,
                document['value'],
                document['version'],
                ReadState(stored.version, self.era),
            )
        except decoding.DECODE_ERRORS as error:
            raise self._malformed() from error
        if not isinstance(row.version, int):
            raise self._malformed()
        self._cache_versions(row.key, _Versions(row.version, stored.version))
        return row

    def _malformed(self) -> errors.UnavailableError:
        return errors.UnavailableError(
            'malformed row', step='read', peer='table service'
        )


def _conflict(reason: str) -> errors.ConflictError:
    return errors.ConflictError(reason, step='transact', peer='table service')
