"""Stand-in of the platform's transactional table service.

Implements the calls of the platform's metadata store: conditional
transactions, ranges of rows and a feed of changes with a bounded history.

Faults are set over HTTP: ``POST /faults`` with ``{"mode": ...}``, where the
mode is ``none``, ``down`` (503), ``lose_answers`` (writes take effect, but
are answered with 500) or ``slow`` (each call takes ``delay_s``). ``POST
/compact`` drops the history. ``POST /write`` writes a row on behalf of the
operator or an upstream. ``restore`` returns to an older copy, after which the
header ``Store-Era`` of all answers is one higher.
"""

import json
import time
import typing
import urllib.parse

import eventlet
from eventlet import event

from standins import web

PAGE_ROWS = 500
MAX_WAIT_S = 30.0
# Tables that only the operator and the upstreams may write.
FOREIGN_TABLES = frozenset(('op', 'servers'))

RowKey = tuple[str, str, str]
StoredRow = dict[str, typing.Any]


class TableStandin:
    """Rows in memory.

    Attributes:
        era: Number of times that the rows were restored from a copy.
        row_by_key: Rows by table, part and key; deleted ones are removed.
        version: Version of the last transaction.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.era = 0
        self.faults: dict[str, typing.Any] = {'mode': 'none'}
        self.writes = 0
        self.reads = 0
        self._history: list[StoredRow] = []
        self._history_starts = 0
        self._changed = event.Event()

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        status, body = self._handle(environ)
        headers = (
            ('Content-Type', 'application/json'),
            ('Store-Era', str(self.era)),
        )
        return web.ReplyWithHeaders(status, headers, json.dumps(body).encode())

    def copy(self) -> tuple[int, dict[RowKey, StoredRow]]:
        """Return a copy of the rows, for ``restore``."""
        return self.version, dict(self.row_by_key)

    def restore(self, copied: tuple[int, dict[RowKey, StoredRow]]) -> None:
        """Return to a copy; what was written since is gone."""
        version, rows = copied
        self.version = version
        self.row_by_key = dict(rows)
        self.era += 1
        self.compact()
        self._notify()

    def write(self, table: str, key: str, value: str | None) -> None:
        """Write or delete a row on behalf of the operator or an upstream.

        Args:
            table: Name of the table.
            key: Key of the row in the empty part.
            value: Content in base64; None deletes the row.
        """
        self.version += 1
        self._store((table, '', key), value)
        self._notify()

    def compact(self) -> None:
        """Drop the history, so that clients must read all rows again."""
        self._history.clear()
        self._history_starts = self.version

    def _handle(self, environ: web.Environ) -> tuple[int, typing.Any]:
        path = environ['PATH_INFO']
        if not path.startswith('/ivystep/'):
            return self._control(path, environ)
        mode = self.faults['mode']
        if mode == 'down':
            return 503, {'error': 'down'}
        if mode == 'slow':
            eventlet.sleep(self.faults['delay_s'])
        if path == '/ivystep/rows-tx':
            return self._handle_write(environ, mode)
        self.reads += 1
        query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                environ['QUERY_STRING'], keep_blank_values=True
            ).items()
        }
        if path == '/ivystep/rows-get':
            return 200, self._page(query)
        if path == '/ivystep/rows-feed':
            return self._feed(query)
        return 404, {'error': 'unknown call'}

    def _control(
        self, path: str, environ: web.Environ
    ) -> tuple[int, typing.Any]:
        """Answer a control call that only the stand-in has."""
        if path == '/faults':
            self.faults = json.loads(web.read_body(environ))
        elif path == '/compact':
            self.compact()
        elif path == '/write':
            written = json.loads(web.read_body(environ))
            self.write(written['table'], written['key'], written['value'])
        elif path != '/counts':
            return 404, {'error': 'unknown call'}
        return 200, {'writes': self.writes, 'reads': self.reads}

    def _handle_write(
        self, environ: web.Environ, mode: str
    ) -> tuple[int, typing.Any]:
        document = json.loads(web.read_body(environ))
        if any(put['table'] in FOREIGN_TABLES for put in document['puts']):
            return 403, {'error': 'not writable'}
        status, body = self._transact(document)
        if mode == 'lose_answers':
            return 500, {'error': 'answer lost'}
        return status, body

    def _transact(
        self, document: dict[str, typing.Any]
    ) -> tuple[int, typing.Any]:
        expected = {_key(one): one['ver'] for one in document['expected']}
        found = {key: self.row_by_key.get(key) for key in expected}
        if any(_version(row) != expected[key] for key, row in found.items()):
            rows = [row for row in found.values() if row]
            return 412, {'rows': rows, **self._clock_fields()}
        self.version += 1
        for put in document['puts']:
            self.writes += 1
            self._store(_key(put), put['value'])
        for removed in document['remove']:
            self.writes += 1
            self._store(_key(removed), None)
        self._notify()
        return 200, self._clock_fields()

    def _store(self, key: RowKey, value: str | None) -> None:
        row: StoredRow = {
            'table': key[0],
            'part': key[1],
            'key': key[2],
            'ver': self.version,
        }
        if value is None:
            self.row_by_key.pop(key, None)
            self._history.append({**row, 'tombstone': True})
            return
        row['value'] = value
        self.row_by_key[key] = row
        self._history.append(row)

    def _notify(self) -> None:
        changed = self._changed
        self._changed = event.Event()
        changed.send()

    def _page(self, query: dict[str, str]) -> dict[str, typing.Any]:
        prefix = (query['table'], query.get('part', ''))
        first, end = query.get('from', ''), query.get('to', '')
        limit = min(int(query.get('limit', PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(
            key
            for key in self.row_by_key
            if key[:2] == prefix
            and key[2] >= first
            and (not end or key[2] < end)
        )
        rows = [self.row_by_key[key] for key in keys[:limit]]
        return {
            'rows': rows,
            'truncated': len(keys) > limit,
            **self._clock_fields(),
        }

    def _feed(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = int(query['after'])
        deadline = time.monotonic() + min(
            int(query.get('wait_ms', 0)) / 1000, MAX_WAIT_S
        )
        while True:
            if after < self._history_starts or after > self.version:
                return 410, {'error': 'the store does not have this version'}
            rows = [
                row
                for row in self._history
                if row['ver'] > after and row['table'] == query['table']
            ]
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return 200, {'rows': rows, **self._clock_fields()}
            with eventlet.Timeout(left_s, exception=False):
                self._changed.wait()

    def _clock_fields(self) -> dict[str, int]:
        return {'ver': self.version, 'now_ms': int(time.monotonic() * 1000)}


def _version(row: StoredRow | None) -> int:
    return row['ver'] if row else 0


def _key(row: dict[str, typing.Any]) -> RowKey:
    return row['table'], row['part'], row['key']
