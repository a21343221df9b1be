"""Client of the transactional table service.

A row has a key, a JSON value and a version that grows by one with each write.
A put names the version that it expects; 0 means that the row is absent.
"""

import dataclasses
import json
import typing
import urllib.parse
from collections.abc import Iterator, Sequence

from ivystep.core import errors
from ivystep.platform import http

SCAN_PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read."""

    key: str
    value: typing.Any
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A conditional write of one row."""

    key: str
    value: typing.Any
    expected_version: int


class Table(typing.Protocol):
    """What the rest of ivystep needs of the table service."""

    def get(self, key: str) -> Row | None:
        """Read one row.

        Raises:
            errors.UnavailableError: The row could not be read.
        """

    def transact(self, puts: Sequence[Put]) -> None:
        """Apply all puts or none.

        Raises:
            errors.ConflictError: A row has another version; none was applied.
            errors.UnavailableError: None was applied.
            errors.UncertainWriteError: All were applied, or none.
        """

    def scan(self, prefix: str, after: str = '') -> Iterator[Row]:
        """Read all rows whose key starts with a prefix, in key order.

        Args:
            prefix: Start of the keys.
            after: Only keys that sort after this one are read.

        Raises:
            errors.UnavailableError: A page could not be read.
        """


class TableClient:
    """``Table`` over HTTP."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._http = http.PlatformHttp('table service', base_url, timeout_s)

    def get(self, key: str) -> Row | None:
        """Read one row; see ``Table.get``."""
        body = self._http.get(f'/rows/{urllib.parse.quote(key, safe="")}')
        return None if body is None else self._row(self._http.parse(body))

    def transact(self, puts: Sequence[Put]) -> None:
        """Apply all puts or none; see ``Table.transact``."""
        document = {'puts': [dataclasses.asdict(put) for put in puts]}
        status, body = self._http.send(
            'POST', '/transact', json.dumps(document).encode()
        )
        if status == 409:
            raise errors.ConflictError(
                body.decode(errors='replace'),
                step='transact',
                peer=self._http.name,
            )
        if status != 200:
            raise errors.UnavailableError(
                f'status {status}', step='transact', peer=self._http.name
            )

    def scan(self, prefix: str, after: str = '') -> Iterator[Row]:
        """Read all rows with a prefix; see ``Table.scan``."""
        while True:
            query = urllib.parse.urlencode(
                {
                    'prefix': prefix,
                    'after': after,
                    'limit': SCAN_PAGE_ROWS,
                }
            )
            page = self._http.parse(self._http.get(f'/rows?{query}') or b'')
            rows = [self._row(raw) for raw in self._rows_of(page)]
            yield from rows
            if len(rows) < SCAN_PAGE_ROWS:
                return
            after = rows[-1].key

    def _rows_of(self, page: typing.Any) -> list[typing.Any]:
        if not isinstance(page, dict) or not isinstance(page.get('rows'), list):
            raise self._malformed()
        return page['rows']

    def _row(self, raw: typing.Any) -> Row:
        try:
            row = Row(raw['key'], raw['value'], raw['version'])
        except (KeyError, TypeError) as error:
            raise self._malformed() from error
        if not isinstance(row.version, int) or not isinstance(row.key, str):
            raise self._malformed()
        return row

    def _malformed(self) -> errors.UnavailableError:
        return errors.UnavailableError(
            'malformed answer', step='read', peer=self._http.name
        )
