"""Tests of the platform clients against misbehaving services."""

import contextlib
import json

import pytest

from ivystep.core import errors
from ivystep.platform import hosts, http, objects, rows, table
from tests import serving


@pytest.fixture
def serve():
    """Return a function that serves one fixed answer and gives its URL."""
    with contextlib.ExitStack() as servers:

        def start(status, body):
            server = serving.serve(lambda _: (status, body))
            return f'http://127.0.0.1:{servers.enter_context(server)}'

        yield start


@pytest.mark.parametrize(
    'body',
    [b'', b'nonsense', b'[' * 100000, b'[]', b'{"rows": [1]}', b'{"key": 1}'],
)
def test_malformed_answers_raise_unavailable_error(serve, body):
    """Guards against tasks that end because of a malformed answer."""
    url = serve(200, body)
    client = table.TableClient(url, 2)
    with pytest.raises(errors.UnavailableError):
        client.get('setup/current')
    with pytest.raises(errors.UnavailableError):
        list(client.scan('audit/'))
    with pytest.raises(errors.UnavailableError):
        hosts.HostsClient(url, 2).read()
    with pytest.raises(errors.UnavailableError):
        objects.ObjectsClient(url, 2).get('0' * 64)


def test_answers_over_the_size_limit_are_refused(serve, monkeypatch):
    """Guards against a service whose answer exhausts the memory."""
    monkeypatch.setattr(http, 'MAX_ANSWER_BYTES', 1000)
    url = serve(200, b'x' * 1001)
    with pytest.raises(errors.UnavailableError, match='longer than 1000'):
        table.TableClient(url, 2).get('setup/current')


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (412, rows.RowConflictError),
        (503, errors.UnavailableError),
        (500, errors.UncertainWriteError),
        (400, errors.UnavailableError),
    ],
)
def test_status_of_a_write_decides_its_error(serve, status, expected):
    """Guards against an uncertain write reported as certain, or the reverse."""
    client = table.TableClient(serve(status, b'{"rows": []}'), 2)
    with pytest.raises(errors.PlatformError) as caught:
        client.transact((table.Put('a', 1, 0),))
    assert type(caught.value) is expected
    with pytest.raises(errors.UnavailableError):
        table.TableClient('http://127.0.0.1:1', 2).transact(())


HOST = {
    'host': 'up-1',
    'role': 'sidecar',
    'address': '127.0.0.1',
    'port': 7000,
    'data_centre': 'dc',
    'pool': 'base',
    'state': 'live',
}

OTHER = {**HOST, 'host': 'up-0'}


@pytest.mark.parametrize(
    'odd',
    [
        {**OTHER, 'port': 70000},
        {**OTHER, 'port': 10**300},
        {**OTHER, 'port': 0},
        {**OTHER, 'address': ['127.0.0.1']},
        {**OTHER, 'state': 'asleep'},
        {**HOST, 'host': []},
        {'host': 'up-0'},
        7,
    ],
)
def test_odd_host_does_not_hide_the_others(serve, odd):
    """Guards against an entry that stops to follow the list of hosts."""
    url = serve(200, json.dumps({'hosts': [odd, HOST]}).encode())
    assert list(hosts.HostsClient(url, 2).read()) == ['up-1']
