"""Measures the data path of one entry (``python -m measure.relay``).

Starts one entry, and engine stand-ins with their sidecars, as processes on
loopback. Reports the entry's processor time for each request and each relayed
event, and the time to the first event compared with direct calls to the
engine stand-in. Reads processor time from ``/proc``, so it runs on Linux only.
"""

import concurrent.futures
import contextlib
import dataclasses
import functools
import http.client
import json
import pathlib
import statistics
import tempfile
import time
import typing
import urllib.parse
from types import MappingProxyType

import cappa

from demo import cluster

KEY = 'measure-key'
ACCOUNT = 'measure'
NS_PER_US = 1000
US_PER_S = 1_000_000
# Pools by name, with the seconds between two tokens of a stream.
STEP_S_BY_POOL = MappingProxyType({'paced': 0.004, 'burst': 0.0})
# Three sidecars send faster than one entry relays, so chunks queue up.
UPSTREAMS_BY_POOL = MappingProxyType({'paced': 1, 'burst': 3})
WARM_UP_REQUESTS = 20


@cappa.command(name='relay', description='Measure the data path of an entry.')
@dataclasses.dataclass
class Options:
    """Options of the measurement."""

    requests: typing.Annotated[int, cappa.Arg(long=True)] = 600
    streams: typing.Annotated[int, cappa.Arg(long=True)] = 48
    tokens: typing.Annotated[int, cappa.Arg(long=True)] = 400
    concurrency: typing.Annotated[int, cappa.Arg(long=True)] = 12
    first_tokens: typing.Annotated[int, cappa.Arg(long=True)] = 500


def setup_document() -> dict[str, object]:
    """Return a setup with one adapter in each pool and high rate limits."""
    limits = {'requests_per_s': 1e6, 'burst': 1000000}
    return {
        'pools': [{'name': pool} for pool in STEP_S_BY_POOL],
        'accounts': [
            {
                'name': ACCOUNT,
                'limits': limits,
                'applications': [
                    {
                        'name': 'app',
                        'limits': limits,
                        'key_digests': [cluster.key_digest(KEY)],
                        'grants': list(STEP_S_BY_POOL),
                    }
                ],
                'adapters': [
                    {
                        'name': pool,
                        'pool': pool,
                        'active_version': 1,
                        'versions': [{'version': 1, 'source': pool}],
                    }
                    for pool in STEP_S_BY_POOL
                ],
            }
        ],
    }


class Caller:
    """A caller with one persistent connection.

    Args:
        url: Base URL of the entry or of an engine.
        model: Name of the model at that URL.
    """

    def __init__(self, url: str, model: str) -> None:
        address = urllib.parse.urlsplit(url)
        self._http = http.client.HTTPConnection(
            address.hostname, address.port, timeout=60
        )
        self._model = model

    def call(self, tokens: int, *, stream: bool) -> tuple[float, int]:
        """Make one call.

        Args:
            tokens: Tokens to generate.
            stream: Whether to stream the answer.

        Returns:
            Seconds until the first bytes of the body, and events received.
        """
        document = {
            'model': self._model,
            'prompt': 'p',
            'max_tokens': tokens,
            'stream': stream,
        }
        started = time.perf_counter()
        self._http.request(
            'POST',
            '/v1/completions',
            json.dumps(document),
            {'Authorization': f'Bearer {KEY}'},
        )
        response = self._http.getresponse()
        first = response.read1(65536)
        first_s = time.perf_counter() - started
        if response.status != 200:
            raise RuntimeError(f'status {response.status}: {first!r}')
        rest = response.read()
        return first_s, (first + rest).count(b'\n\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Calls to the entry and the processor time that they took there.

    Attributes:
        calls: Number of calls.
        cpu_us: Processor time of the entry in microseconds.
        events: Events that callers received.
        wall_s: Duration in seconds.
    """

    calls: int
    cpu_us: float
    events: int
    wall_s: float


def cpu_us(pid: int) -> float:
    """Return the processor time of a process in microseconds."""
    with pathlib.Path(f'/proc/{pid}/schedstat').open() as stream:
        return int(stream.read().split()[0]) / NS_PER_US


def stream_all(caller: Caller, calls: int, tokens: int) -> int:
    """Make streamed calls one after another and return their events."""
    return sum(caller.call(tokens, stream=True)[1] for _ in range(calls))


def apply_load(
    entry: cluster.Node, pool: str, calls: int, tokens: int, concurrency: int
) -> Load:
    """Make streamed calls in parallel and measure the entry."""
    callers = [Caller(entry.url, pool) for _ in range(concurrency)]
    work = functools.partial(
        stream_all, calls=calls // concurrency, tokens=tokens
    )
    with concurrent.futures.ThreadPoolExecutor(concurrency) as threads:
        started_us, started = cpu_us(entry.process.pid), time.perf_counter()
        events = sum(threads.map(work, callers))
        wall_s = time.perf_counter() - started
        spent_us = cpu_us(entry.process.pid) - started_us
    return Load(calls // concurrency * concurrency, spent_us, events, wall_s)


def first_event_times(
    entry: cluster.Node, engine: cluster.Node, count: int
) -> tuple[list[float], list[float]]:
    """Return the seconds to the first event, by entry and directly.

    The calls alternate, so that other load on the host affects both equally.
    """
    by_entry = Caller(entry.url, 'paced')
    direct = Caller(engine.url, f'{ACCOUNT}/paced@1')
    pairs = [
        (by_entry.call(1, stream=True)[0], direct.call(1, stream=True)[0])
        for _ in range(count)
    ]
    return [pair[0] for pair in pairs], [pair[1] for pair in pairs]


def report(entry: cluster.Node, engine: cluster.Node, options: Options) -> None:
    """Measure the data path and print the results."""
    for pool in STEP_S_BY_POOL:
        caller = Caller(entry.url, pool)
        for _ in range(WARM_UP_REQUESTS):
            caller.call(1, stream=True)
    short = apply_load(entry, 'paced', options.requests, 1, options.concurrency)
    request_us = short.cpu_us / short.calls
    print(f'request: {request_us:.0f} us of processor time (one token)')
    for pool in STEP_S_BY_POOL:
        load = apply_load(
            entry, pool, options.streams, options.tokens, options.concurrency
        )
        event_us = (load.cpu_us - load.calls * request_us) / load.events
        print(
            f'{pool}: {event_us:.1f} us an event, {load.events} events at '
            f'{load.events / load.wall_s:.0f} a second, entry busy '
            f'{load.cpu_us / US_PER_S / load.wall_s:.0%}'
        )
    by_entry, direct = first_event_times(entry, engine, options.first_tokens)
    for name, times_s in (('entry', by_entry), ('direct', direct)):
        cuts = statistics.quantiles(times_s, n=100)
        print(
            f'first event, {name}: p50 {cuts[49] * 1000:.2f} ms, '
            f'p99 {cuts[98] * 1000:.2f} ms'
        )


def main() -> None:
    """Run the measurement in a temporary folder."""
    options = cappa.parse(Options)
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix='ivystep-relay-')
        )
        system = cluster.Cluster(pathlib.Path(folder))
        stack.callback(system.stop)
        system.start_platform()
        system.submit(setup_document(), 0)
        for pool, step_s in STEP_S_BY_POOL.items():
            for number in range(UPSTREAMS_BY_POOL[pool]):
                system.start_upstream(
                    f'{pool}-{number}', pool, 'dc', '--step-s', str(step_s)
                )
        entry = system.start_entry('entry', 'dc')
        system.await_ready('entry')
        report(entry, system.node_by_name['paced-0-engine'], options)


if __name__ == '__main__':
    main()
