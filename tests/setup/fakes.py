"""In-memory platform services with faults that a test can inject."""

import dataclasses

from ivystep.core import errors
from ivystep.platform import objects, table
from ivystep.setup import document


class FakeTable:
    """An in-memory table service.

    Attributes:
        is_down: Whether every call fails without effect.
        reads_that_fail: Number of reads that fail before one succeeds.
        lost_answers: Number of writes that take effect but fail.
        lost_writes: Number of writes that fail and are kept in
            ``delayed_writes``.
        delayed_writes: Lost writes that a test may apply later.
        before_write: Called once before the next write, to cause a race.
    """

    def __init__(self):
        self.row_by_key = {}
        self.is_down = False
        self.reads_that_fail = 0
        self.lost_answers = 0
        self.lost_writes = 0
        self.delayed_writes = []
        self.before_write = None
        self.reads = 0

    def get(self, key):
        self.reads += 1
        self._check()
        if self.reads_that_fail:
            self.reads_that_fail -= 1
            raise errors.UnavailableError('read failed', peer='table')
        return self.row_by_key.get(key)

    def transact(self, puts):
        self._check()
        if self.before_write:
            run, self.before_write = self.before_write, None
            run()
        if self.lost_writes:
            self.lost_writes -= 1
            self.delayed_writes.append(puts)
            raise errors.UncertainWriteError('answer lost', peer='table')
        self.apply(puts)
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.UncertainWriteError('answer lost', peer='table')

    def apply(self, puts):
        for put in puts:
            row = self.row_by_key.get(put.key)
            if (row.version if row else 0) != put.expected_version:
                raise errors.ConflictError(put.key, peer='table')
        for put in puts:
            self.row_by_key[put.key] = table.Row(
                put.key, put.value, put.expected_version + 1
            )

    def scan(self, prefix, after=''):
        self._check()
        for key in sorted(self.row_by_key):
            if key.startswith(prefix) and key > after:
                yield self.row_by_key[key]

    def _check(self):
        if self.is_down:
            raise errors.UnavailableError('down', peer='table')


class FakeObjects:
    """An in-memory object store that counts reads and writes."""

    def __init__(self):
        self.body_by_digest = {}
        self.is_down = False
        self.refuses_puts = False
        self.gets = 0
        self.puts = 0

    def get(self, digest):
        self._check()
        self.gets += 1
        return self.body_by_digest[digest]

    def put(self, body):
        self._check()
        if self.refuses_puts:
            raise errors.UncertainWriteError('full', peer='objects')
        self.puts += 1
        digest = objects.digest_of(body)
        self.body_by_digest[digest] = body
        return digest

    def _check(self):
        if self.is_down:
            raise errors.UnavailableError('down', peer='objects')


def account(name, adapters=('letters',), active=1, **fields):
    """Return the raw section of an account, with versions up to ``active``."""
    return {
        'name': name,
        'applications': [
            {
                'name': 'app',
                'key_digests': [objects.digest_of(name.encode())],
                'grants': list(adapters),
            }
        ],
        'adapters': [
            {
                'name': adapter,
                'pool': 'base',
                'active_version': active,
                'versions': [
                    {'version': number, 'source': f'{adapter}-{number}'}
                    for number in range(1, active + 1)
                ],
            }
            for adapter in adapters
        ],
        **fields,
    }


def raw_document(*accounts):
    """Return a raw document with one pool."""
    return {'pools': [{'name': 'base'}], 'accounts': list(accounts)}


def make_document(*accounts):
    """Return a validated document with one pool."""
    return document.Document.model_validate(raw_document(*accounts))


@dataclasses.dataclass
class Platform:
    """The table service and the object store."""

    rows: FakeTable = dataclasses.field(default_factory=FakeTable)
    store: FakeObjects = dataclasses.field(default_factory=FakeObjects)
