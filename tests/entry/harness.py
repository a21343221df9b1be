"""A real entry server on loopback in front of in-memory upstreams."""

import hashlib
import io
import json
import socket

import eventlet
from eventlet import event

from ivystep.coordination import claims, retry_budget
from ivystep.core import errors, types
from ivystep.entry import api, connections, dispatch, isolation, progress
from ivystep.metrics import registry
from ivystep.platform import table
from ivystep.settings import models
from ivystep.setup import compiled, document

KEY = 'key-of-fields'
OTHER_KEY = 'key-of-depot'
ONCE_KEY = 'key-of-dosages'
LIMITS = models.RequestLimits(max_body_bytes=4096, read_timeout_s=0.3)


def _application(name, key, **more):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {'name': name, 'key_digests': [digest], 'grants': ['plan'], **more}


def _account(name, *applications, active=2):
    adapter = {
        'name': 'plan',
        'pool': 'base',
        'active_version': active,
        'versions': [{'version': n, 'source': f's{n}'} for n in (1, 2)],
    }
    return {'name': name, 'applications': applications, 'adapters': [adapter]}


def setup(limits=None, version=7, active=2, grants=('plan',), key=KEY):
    """Two accounts; the first also has a non-idempotent application."""
    more = {'limits': limits} if limits else {}
    fields = {'grants': grants, 'services': ['stock'], **more}
    dosages = {'grants': grants, 'idempotent': False}
    return compiled.CompiledSetup.from_document(
        document.Document.model_validate(
            {
                'pools': [
                    {'name': 'base'},
                    {'name': 'desk', 'kind': 'service'},
                ],
                'services': [
                    {
                        'name': 'stock',
                        'pool': 'desk',
                        'non_idempotent_paths': ['/returns'],
                    }
                ],
                'accounts': [
                    _account(
                        'fields',
                        _application('app', key, **fields),
                        _application('dosages', ONCE_KEY, **dosages),
                        active=active,
                    ),
                    _account('depot', _application('app', OTHER_KEY, **more)),
                ],
            }
        ),
        version,
    )


class FakePool:
    """Upstreams a, b and c; ``run`` decides what an attempt does."""

    def __init__(self, run):
        self.run = run
        self.attempts = []
        self.finished = 0
        self.revoked = types.ExecutionStatus.UNKNOWN
        self.gate = None

    def place(self, request, avoid=frozenset()):
        if self.gate is not None:
            self.gate.wait()
        names = sorted({'a', 'b', 'c'} - avoid) or ['a']
        return types.Placement(request, names[0], f'{names[0]}-1')

    def link(self, upstream_id):
        pool = self

        class Link:
            def run(self, attempt):
                pool.attempts.append(attempt)
                return pool.run(attempt)

            def revoke(self, attempt):
                return pool.revoked

        return Link()

    def finish(self, placement):
        self.finished += 1

    @property
    def held(self):
        return len(self.attempts) - self.finished


def answer(*chunks, status=200):
    return types.Answer(
        types.AnswerHead(status, 'application/json'), iter(chunks)
    )


def request_error(
    ran=types.ExecutionStatus.UNKNOWN, status=502, code='upstream_lost'
):
    return errors.RequestError(code, 'Lost.', status=status, ran=ran)


class MemoryTable:
    """In-memory table service; ``faults`` lists faults of the next calls."""

    era = 0

    def __init__(self):
        self.row_by_key = {}
        self.faults = []
        self.is_down = False

    def get(self, key):
        if self.is_down or self._fault() == 'unavailable':
            raise errors.UnavailableError('out')
        return self.row_by_key.get(key)

    def transact(self, puts):
        fault = self._fault()
        if self.is_down or fault == 'unavailable':
            raise errors.UnavailableError('out')
        if fault == 'dropped':
            raise errors.UncertainWriteError('dropped')
        for put in puts:
            row = self.row_by_key.get(put.key)
            if put.expected_version != (row.version if row else 0):
                raise errors.ConflictError('version')
        for put in puts:
            self.row_by_key[put.key] = table.Row(
                put.key, put.value, put.expected_version + 1
            )
        if fault == 'lost':
            raise errors.UncertainWriteError('lost')

    def _fault(self):
        eventlet.sleep(0.0017)
        return self.faults.pop(0) if self.faults else 'ok'


class MemoryInput(io.BytesIO):
    """A body stream with the attributes of eventlet's ``wsgi.Input``."""

    chunked_input = False
    position = 0
    content_length = 0


class FakeConnection:
    """The caller's connection in ``call_in_memory``."""

    is_closing = False
    on_gone = None

    def watch(self, on_gone):
        self.on_gone = on_gone

    def poll(self):
        pass

    def unwatch(self):
        self.on_gone = None

    def close_after_answer(self):
        pass


class Entry:
    """An entry with its components; ``pool`` answers ``{}`` by default."""

    def __init__(self, run=None, limits=LIMITS, *, virtual=False, **parts):
        self.pool = FakePool(run or (lambda _: answer(b'{}')))
        self.progress = progress.RequestRegistry()
        self.metrics = registry.Metrics()
        self.server_state = connections.ServerState(limits.read_timeout_s)
        self.setup = parts.pop('setup', None) or setup()
        self.api = api.CallerApi(
            lambda: self.setup,
            dispatch.Dispatcher(
                {'base': self.pool, 'desk': self.pool},
                retry_budget.RetryBudgets(),
                isolation.Isolation(),
                self.metrics,
            ),
            claims.ClaimLog(parts.pop('table', None) or MemoryTable(), 'e'),
            self.progress,
            limits,
            self.metrics,
        )
        if virtual:
            return
        self.listener = eventlet.listen(('127.0.0.1', 0))
        self.address = self.listener.getsockname()
        self.server = eventlet.spawn(
            connections.serve, self.listener, self.api, self.server_state, 64
        )

    def call_in_memory(self, body, key=KEY, connection=None, **environ):
        """Call the application without a socket, on the virtual clock."""
        raw = json.dumps(body).encode()
        stream = MemoryInput(raw)
        started = []
        response = self.api(
            {
                'REQUEST_METHOD': 'POST',
                'PATH_INFO': '/v1/completions',
                'HTTP_AUTHORIZATION': f'Bearer {key}',
                'CONTENT_LENGTH': str(len(raw)),
                'wsgi.input': stream,
                connections.ENVIRON_KEY: connection,
                **environ,
            },
            lambda status, headers: started.append((status, dict(headers))),
        )
        try:
            received = b''.join(response)
        finally:
            response.close()
        status, headers = started[0]
        return int(status.split()[0]), headers, received

    def connect(self):
        connection = socket.create_connection(self.address)
        connection.settimeout(5)
        return connection

    def raw(self, *pieces):
        """Send bytes; return all bytes received until the connection ends."""
        with self.connect() as connection:
            for piece in pieces:
                connection.sendall(piece)
            return read_all(connection)

    def call(self, body=None, key=KEY, path='/v1/completions', **headers):
        """Call on a new connection; return status, headers and document."""
        return parse(self.raw(head_and_body(body, key, path, **headers)))


def head_and_body(body=None, key=KEY, path='/v1/completions', **headers):
    if not isinstance(body, bytes):
        body = json.dumps(body or {'model': 'plan'}).encode()
    method = headers.pop('method', 'POST')
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: entry',
        f'Authorization: Bearer {key}',
        f'Content-Length: {len(body)}',
        f'Connection: {headers.pop("connection", "close")}',
        *(f'{k.replace("_", "-")}: {v}' for k, v in headers.items()),
    ]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def read_all(connection):
    received = b''
    while chunk := connection.recv(65536):
        received += chunk
    return received


def parse(raw):
    head, _, body = raw.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = dict(line.split(': ', 1) for line in lines)
    status = int(first.split()[1])
    is_json = headers.get('Content-Type') == 'application/json'
    return status, headers, json.loads(body) if is_json and body else body


def wait_until(check):
    """Let other tasks run until a condition holds."""
    with eventlet.Timeout(5):
        while not check():
            eventlet.sleep(0.005)


def new_gate():
    return event.Event()
