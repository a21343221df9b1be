"""Stand-in of the platform's transactional table service.

Faults are set over HTTP: ``POST /faults`` with ``{"mode": ...}``, where the
mode is ``none``, ``down`` (503), ``lose_answers`` (writes take effect, then
the answer is 500) or ``slow`` (each call takes ``delay_s``).
"""

import json
import typing
import urllib.parse

import eventlet

from standins import web


class TableStandin:
    """Rows in memory."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, dict[str, typing.Any]] = {}
        self.faults: dict[str, typing.Any] = {'mode': 'none'}
        self.writes = 0
        self.reads = 0

    def handle(self, environ: web.Environ) -> web.Reply:
        """Answer one request."""
        path = environ['PATH_INFO']
        if path == '/faults':
            self.faults = json.loads(web.read_body(environ))
            return 200, {}
        if path == '/counts':
            return 200, {'writes': self.writes, 'reads': self.reads}
        mode = self.faults['mode']
        if mode == 'down':
            return 503, {'error': 'down'}
        if mode == 'slow':
            eventlet.sleep(self.faults['delay_s'])
        if path == '/transact':
            status, body = self._transact(json.loads(web.read_body(environ)))
            if mode == 'lose_answers':
                return 500, {'error': 'answer lost'}
            return status, body
        self.reads += 1
        if path == '/rows':
            return self._scan(
                urllib.parse.parse_qs(
                    environ['QUERY_STRING'], keep_blank_values=True
                )
            )
        row = self.row_by_key.get(path.removeprefix('/rows/'))
        return (200, row) if row else (404, {'error': 'absent'})

    def _transact(self, document: dict[str, typing.Any]) -> web.Reply:
        for put in document['puts']:
            row = self.row_by_key.get(put['key'])
            version = row['version'] if row else 0
            if version != put['expected_version']:
                return 409, {'key': put['key'], 'version': version}
        for put in document['puts']:
            self.writes += 1
            self.row_by_key[put['key']] = {
                'key': put['key'],
                'value': put['value'],
                'version': put['expected_version'] + 1,
            }
        return 200, {}

    def _scan(self, query: dict[str, list[str]]) -> web.Reply:
        prefix, after = query['prefix'][0], query['after'][0]
        limit = int(query['limit'][0])
        keys = sorted(
            key
            for key in self.row_by_key
            if key.startswith(prefix) and key > after
        )
        return 200, {'rows': [self.row_by_key[key] for key in keys[:limit]]}
