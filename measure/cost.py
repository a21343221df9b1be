"""Measures the processing time of the pool's decisions on the real clock."""

import functools
import itertools
import random
import statistics
import time
from collections.abc import Callable

from ivystep.core import types
from ivystep.entry import pool
from ivystep.runtime import virtual_hub
from ivystep.setup import document

ADAPTERS = (3000, 30000, 120000)
UPSTREAMS = (9, 100, 1000)
SLOTS = 8
BACKLOG = 40
REPEATS = 200
HEADER = (
    '| adapters | upstreams | place and finish | status | report '
    '| choose load and target |'
)
MICROSECONDS = 1e6


def table() -> str:
    """Measure all sizes and return a table of them."""
    lines = [
        '\nDecision cost in microseconds, median\n',
        HEADER,
        '|---|---|---|---|---|---|',
    ]
    for adapters, upstreams in itertools.product(ADAPTERS, UPSTREAMS):
        costs = virtual_hub.run(functools.partial(measure, adapters, upstreams))
        cells = ' | '.join(f'{cost:.0f}' for cost in costs)
        lines.append(f'| {adapters} | {upstreams} | {cells} |')
    return '\n'.join(lines)


class BenchmarkEntry:
    """One entry with all slots in use, and the decisions to measure.

    Args:
        adapters: Number of adapters whose popularity is known.
        upstreams: Number of upstreams.
    """

    def __init__(self, adapters: int, upstreams: int) -> None:
        self._random = random.Random(1)
        self._pool = pool.Pool('cost', 'entry-0')
        self._pool.configure(document.Pool(name='cost'))
        refs = [
            types.AdapterRef(f'account-{number % 50}', f'adapter-{number}', 1)
            for number in range(adapters)
        ]
        self._pool.planner.count_arrivals(_demand(ref, 0) for ref in refs)
        self._held = [
            self._random.sample(refs[:-BACKLOG], SLOTS)
            for _ in range(upstreams)
        ]
        self._sequence = itertools.count(1)
        for number in range(upstreams):
            self._report(number)
        self._requests = [
            _request(self._random.choice(held))
            for held in self._random.choices(self._held, k=64)
        ]
        self._demands = tuple(_demand(ref, 1) for ref in refs[-BACKLOG:])

    def place(self) -> None:
        """Place and finish a request whose adapter is resident."""
        self._pool.finish(self._pool.place(self._random.choice(self._requests)))

    def report_status(self) -> None:
        """Process one upstream's status."""
        self._report(self._random.randrange(len(self._held)))

    def report_demand(self) -> None:
        """Process one entry's demand for 40 adapters."""
        self._pool.planner.report_demand('entry-0', self._demands)

    def choose(self) -> None:
        """Choose the next of 40 loads and its target upstream."""
        self._pool.planner.choose(0.0)

    def _report(self, number: int) -> None:
        status = _status(number, self._held[number], next(self._sequence))
        self._pool.on_status(status, None)


def measure(adapters: int, upstreams: int) -> tuple[float, ...]:
    """Return the median costs of one size in microseconds.

    Args:
        adapters: Number of adapters whose popularity is known.
        upstreams: Number of upstreams.
    """
    entry = BenchmarkEntry(adapters, upstreams)
    return (
        _median(entry.place),
        _median(entry.report_status),
        _median(entry.report_demand),
        _median(entry.choose),
    )


def _median(action: Callable[[], None]) -> float:
    found = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        action()
        found.append(time.perf_counter() - started)
    return statistics.median(found) * MICROSECONDS


def _demand(ref: types.AdapterRef, waiting: int) -> types.AdapterDemand:
    return types.AdapterDemand(ref, 'weights', 1, 1.0, waiting, 1.0, 60.0, 1)


def _request(ref: types.AdapterRef) -> types.Request:
    return types.Request(
        request_id=ref.name,
        account=ref.account,
        application='cost',
        pool='cost',
        adapter=ref,
        adapter_source='weights',
        path='/v1/completions',
        body=b'',
        stream=False,
        idempotent=True,
        arrived=0.0,
        deadline=600.0,
        fingerprint=b'',
        setup_version=1,
    )


def _status(
    number: int, held: list[types.AdapterRef], sequence: int
) -> types.UpstreamStatus:
    return types.UpstreamStatus(
        upstream_id=f'upstream-{number}',
        sidecar_incarnation='inc-1',
        engine_incarnation='1',
        sequence=sequence,
        healthy=True,
        draining=False,
        running=0,
        slots=SLOTS,
        max_running=16,
        resident_by_ref={ref: types.ResidentAdapter(ref, 0) for ref in held},
        loading=None,
        setup_version=1,
        crash_fingerprints=(),
    )
