"""Tests of the clients of the metadata store against its stand-in."""

import contextlib
import json

import eventlet
import pytest

from ivystep.coordination import cas, lease
from ivystep.core import errors
from ivystep.platform import http, rows, table
from standins import table as table_standin
from standins import web
from tests import serving


@pytest.fixture
def store():
    """Serve a store; yield the stand-in and its URL."""
    standin = table_standin.TableStandin()
    with serving.serve(standin.handle) as port:
        yield standin, f'http://127.0.0.1:{port}'


def write(key, content, expected):
    return rows.RowWrite('own', key, content, expected)


def test_conflict_returns_the_current_rows(store):
    """Guards against a lost update, and a further read after a conflict."""
    _, url = store
    client = rows.RowsClient.connect(url, 2)
    version = client.transact((write('a', b'1', 0),))
    with pytest.raises(rows.RowConflictError) as caught:
        client.transact((write('a', b'2', 0),))
    assert [row.content for row in caught.value.rows] == [b'1']
    assert client.transact((write('a', b'2', version),)) > version


def test_feed_returns_changes_and_deletions(store):
    """Guards against an upstream whose removal is not noticed."""
    standin, url = store
    client = rows.RowsClient.connect(url, 2)
    standin.write('servers', 'i-1', 'YQ==')
    start = client.read_all('servers')
    eventlet.spawn_after(0.05, standin.write, 'servers', 'i-2', 'Yg==')
    changes = client.changes('servers', start.version, 2)
    assert [(row.key, row.content) for row in changes.rows] == [('i-2', b'b')]
    standin.write('servers', 'i-1', None)
    changes = client.changes('servers', changes.version, 2)
    assert [(row.key, row.is_deleted) for row in changes.rows] == [
        ('i-1', True)
    ]


def test_feed_from_before_the_retained_history_raises_an_error(store):
    """Guards against a feed that silently skips changes."""
    standin, url = store
    client = rows.RowsClient.connect(url, 2)
    standin.write('servers', 'i-1', 'YQ==')
    standin.compact()
    with pytest.raises(rows.HistoryGoneError):
        client.changes('servers', 0, 0)


class Restorable:
    """A store whose answers carry the header of its restorations."""

    def __init__(self, value):
        self.standin = table_standin.TableStandin()
        self.value = value

    def handle(self, environ):
        reply = self.standin.handle(environ)
        headers = () if self.value is None else (('Store-Era', self.value),)
        return web.ReplyWithHeaders(reply.status, headers, reply.body)


@pytest.mark.parametrize(('value', 'era'), [('7', 7), ('0', 0), (None, None)])
def test_era_of_the_store_is_decoded(value, era):
    """Guards against positions that are compared across a restoration."""
    with serving.serve(Restorable(value).handle) as port:
        client = rows.RowsClient.connect(f'http://127.0.0.1:{port}', 2)
        assert client.read_all('servers').era == era
        assert client.changes('servers', 0, 0).era == era


@pytest.mark.parametrize('value', ['', 'x', '-1', '1.5', '9' * 30])
def test_malformed_era_fails_the_call(value):
    """Guards against rows that are taken over from an unknown era."""
    with serving.serve(Restorable(value).handle) as port:
        client = rows.RowsClient.connect(f'http://127.0.0.1:{port}', 2)
        with pytest.raises(errors.UnavailableError):
            client.read_all('servers')


def test_all_pages_of_a_table_are_read(store, monkeypatch):
    """Guards against a read that omits all rows after the first page."""
    standin, url = store
    monkeypatch.setattr(table_standin, 'PAGE_ROWS', 2)
    for number in range(5):
        standin.write('servers', f'i-{number}', 'YQ==')
    found = rows.RowsClient.connect(url, 2).read_all('servers')
    assert [row.key for row in found.rows] == [f'i-{n}' for n in range(5)]


def test_row_that_cannot_be_decoded_is_returned_as_empty(store):
    """Guards against a malformed row that makes the whole read fail."""
    standin, url = store
    standin.write('servers', 'bad', '***')
    standin.write('servers', 'good', 'YQ==')
    found = rows.RowsClient.connect(url, 2).read_all('servers')
    assert [row.content for row in found.rows] == [b'', b'a']


def test_rows_of_the_operator_cannot_be_written(store):
    """Guards against a host that changes the operator's configuration."""
    _, url = store
    client = rows.RowsClient.connect(url, 2)
    with pytest.raises(errors.UnavailableError):
        client.transact((rows.RowWrite('op', 'config', b'{}', 0),))


def test_row_versions_grow_by_one_despite_other_transactions(store):
    """Guards against a setup version that skips numbers."""
    standin, url = store
    client = table.TableClient(url, 2)
    client.transact((table.Put('a', 1, 0),))
    standin.write('servers', 'i-1', 'YQ==')
    client.transact((table.Put('a', 2, 1),))
    other = table.TableClient(url, 2)
    assert other.get('a') == table.Row('a', 2, 2)
    other.transact((table.Put('a', 3, 2),))
    with pytest.raises(errors.ConflictError):
        client.transact((table.Put('a', 4, 2),))
    assert client.get('a') == table.Row('a', 3, 3)


def test_row_without_cached_versions_is_read_before_a_write(store):
    """Guards against writes that fail after a restart."""
    _, url = store
    table.TableClient(url, 2).transact((table.Put('a', 1, 0),))
    table.TableClient(url, 2).transact((table.Put('a', 2, 1),))
    with contextlib.suppress(errors.ConflictError):
        table.TableClient(url, 2).transact((table.Put('a', 9, 1),))
    assert table.TableClient(url, 2).get('a').value == 2


class PagedCalls:
    """Calls to a store whose pages come from different copies."""

    name = 'store'

    def __init__(self, *pages):
        self.pages = list(pages)

    def read(self, path):
        return http.Answer(200, json.dumps(self.pages.pop(0)).encode(), {})

    def parse(self, body):
        return json.loads(body)


def test_page_from_an_older_copy_is_refused():
    """Guards against a row that is skipped, since the feed starts after it.

    The row at b was written with version 9, which the second page lacks.
    """
    row = {'table': 't', 'part': '', 'key': 'a', 'ver': 1, 'value': 'YQ=='}
    client = rows.RowsClient(
        PagedCalls(
            {'rows': [row], 'truncated': True, 'ver': 10},
            {'rows': [], 'truncated': False, 'ver': 8},
        )
    )
    with pytest.raises(errors.UnavailableError):
        client.read_all('t')


@pytest.mark.parametrize(
    ('now_ms', 'expected'),
    [
        ('7500', 7.5),
        ('NaN', None),
        ('Infinity', None),
        ('-1', None),
        ('1' + '0' * 400, None),
        ('"noon"', None),
    ],
)
def test_time_of_an_answer_is_a_number_or_ignored(now_ms, expected):
    """Guards against a host that follows the table no more."""
    page = json.loads(f'{{"rows": [], "ver": 1, "now_ms": {now_ms}}}')
    found = rows.RowsClient(PagedCalls(page)).read('t')
    assert found.store_time_s == expected


def test_update_is_not_written_onto_a_later_row_of_the_same_version(store):
    """Guards against a decision by one row, written in place of another.

    Another task of the process has read the later row in between.
    """
    standin, url = store
    client = table.TableClient(url, 2)
    cas.update(client, 'a', lambda _: ['first'])

    def change(content):
        if content == ['first']:
            standin.write(table.TABLE, 'a', None)
            other = table.TableClient(url, 2)
            cas.update(other, 'a', lambda _: ['second'])
            assert client.get('a').version == 1
        return [*content, 'third']

    assert cas.update(client, 'a', change) == ['second', 'third']
    assert cas.read(client, 'a') == ['second', 'third']


def test_update_is_not_written_into_a_later_era_of_the_store(store):
    """Guards against a restored store in which row versions are used again."""
    standin, url = store
    client = table.TableClient(url, 2)
    cas.update(client, 'a', lambda _: ['first'])
    copied = standin.copy()
    cas.update(client, 'a', lambda _: ['lost'])

    def change(content):
        if content == ['lost']:
            standin.restore(copied)
            other = table.TableClient(url, 2)
            cas.update(other, 'a', lambda found: [*found, 'second'])
            assert client.get('a').version == 2
        return [*content, 'third']

    assert cas.update(client, 'a', change) == ['first', 'second', 'third']


@pytest.mark.parametrize('is_restored', [True, False])
def test_renewal_is_not_written_onto_another_row_of_the_same_version(
    store, is_restored
):
    """Guards against a renewal in place of another holder's row.

    Another task of the process has read that row.
    """
    standin, url = store
    copied = standin.copy()
    client = table.TableClient(url, 2)
    held = lease.Lease(client, 'lease', 'here', 100)
    held.acquire()
    if is_restored:
        standin.restore(copied)
    else:
        standin.write(table.TABLE, 'lease', None)
    lease.Lease(table.TableClient(url, 2), 'lease', 'there', 0.5).acquire()
    assert client.get('lease').value['holder_id'] == 'there'
    with pytest.raises(errors.ConflictError):
        held._renew()
    assert not held.is_held()
    assert client.get('lease').value['holder_id'] == 'there'
