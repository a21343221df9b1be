"""Stand-in of the platform's metadata store.

Rows lie in tables and change in transactions, each with the next version. Each
machine reaches the store at a port of its own, which can be taken away from it.
A drill returns the store to an older copy and raises ``Store-Era``.
"""

import asyncio
import base64
import contextlib
import enum
import json
import time
import typing
import urllib.parse

from review import http

HISTORY_S = 20.0
ANSWER_S = 0.004
CLOSED_TABLES = frozenset(('op', 'servers'))

RowKey = tuple[str, str, str]
StoredRow = dict[str, typing.Any]
Copy = tuple[int, dict[RowKey, StoredRow]]


class Mode(enum.Enum):
    """How the store treats calls."""

    SERVE = 'serve'
    SILENT = 'silent'


class Store:
    """Rows in memory.

    Attributes:
        mode: How calls are treated.
        version: Version of the last transaction.
        era: Number of returns to an older copy.
    """

    def __init__(self) -> None:
        self.mode = Mode.SERVE
        self.version = 0
        self.era = 0
        self._row_by_key: dict[RowKey, StoredRow] = {}
        self._history: list[tuple[float, StoredRow]] = []
        self._history_starts = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: typing.Any) -> None:
        """Write a row on behalf of the operator or a server."""
        content = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self._store((table, '', key), content)
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Remove a row on behalf of the platform."""
        self.version += 1
        self._store((table, '', key), None)
        self._notify()

    def copy(self) -> Copy:
        """Return a copy of the rows."""
        return self.version, dict(self._row_by_key)

    def restore(self, copied: Copy) -> None:
        """Return to a copy; what was written since is gone."""
        version, rows = copied
        self.version = version
        self._row_by_key = dict(rows)
        self.era += 1
        self._history.clear()
        self._history_starts = self.version
        self._notify()

    def read(self, table: str, key: str) -> typing.Any:
        """Return the document of a row; None if there is none."""
        row = self._row_by_key.get((table, '', key))
        return row and json.loads(base64.b64decode(row['value']))

    async def handle(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Answer one call."""
        await asyncio.sleep(ANSWER_S)
        status, document = 404, {}
        if self.mode is Mode.SERVE:
            status, document = await self._answer(request)
        if self.mode is Mode.SILENT:
            # The answer is lost, and nothing further comes on the channel.
            while self.mode is Mode.SILENT:
                await asyncio.sleep(0.05)
            channel.close()
            return
        document |= {
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }
        era = {'Store-Era': self.era}
        await channel.send(http.encode_json(status, document, era))

    async def _answer(
        self, request: http.Request
    ) -> tuple[int, dict[str, typing.Any]]:
        if request.path == '/ivystep/rows-tx':
            return self._transact(json.loads(request.body))
        parsed = urllib.parse.parse_qs(
            urllib.parse.urlsplit(request.target).query
        )
        query = {name: texts[0] for name, texts in parsed.items()}
        if request.path == '/ivystep/rows-get':
            return 200, self._page(query)
        if request.path == '/ivystep/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _transact(
        self, document: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        puts = document.get('puts', [])
        removed = document.get('remove', [])
        if any(one['table'] in CLOSED_TABLES for one in (*puts, *removed)):
            return 403, {}
        expected = {
            _key(one): one['ver'] for one in document.get('expected', [])
        }
        found = {key: self._row_by_key.get(key) for key in expected}
        if any(
            (row or {'ver': 0})['ver'] != expected[key]
            for key, row in found.items()
        ):
            return 412, {'rows': [row for row in found.values() if row]}
        self.version += 1
        for put in puts:
            self._store(_key(put), put['value'])
        for one in removed:
            self._store(_key(one), None)
        self._notify()
        return 200, {}

    def _page(self, query: dict[str, str]) -> dict[str, typing.Any]:
        first, end = query.get('from', ''), query.get('to', '')
        part = (query['table'], query.get('part', ''))
        limit = min(int(query.get('limit', '500')), 500)
        keys = sorted(
            key
            for key in self._row_by_key
            if key[:2] == part and key[2] >= first and (not end or key[2] < end)
        )
        rows = [self._row_by_key[key] for key in keys[:limit]]
        return {'rows': rows, 'truncated': len(keys) > limit}

    async def _feed(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]]:
        after = int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while self._history_starts <= after <= self.version:
            rows = [
                row
                for _, row in self._history
                if row['ver'] > after and row['table'] == query['table']
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return 200, {'rows': rows}
            await self._wait(left_s)
        return 410, {}

    async def _wait(self, timeout_s: float) -> None:
        """Wait for a change."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), timeout_s)

    def _store(self, key: RowKey, content: str | None) -> None:
        table, part, name = key
        row = {'table': table, 'part': part, 'key': name, 'ver': self.version}
        if content is None:
            self._row_by_key.pop(key, None)
            row['tombstone'] = True
        else:
            row['value'] = content
            self._row_by_key[key] = row
        now = time.monotonic()
        self._history.append((now, row))
        while self._history[0][0] < now - HISTORY_S:
            self._history_starts = self._history.pop(0)[1]['ver']

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _key(row: dict[str, typing.Any]) -> RowKey:
    return row['table'], row.get('part', ''), row['key']
