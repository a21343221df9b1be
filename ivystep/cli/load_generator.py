"""Sends a bounded number of completion requests and reports the results."""

import collections
import dataclasses
import itertools
import json
import math
import re
from collections.abc import Iterable

import eventlet
import urllib3

from ivystep.core import units
from ivystep.platform import bounded_answers
from ivystep.runtime import clock

MAX_REQUESTS = 100000
MAX_CONCURRENCY = 256
MAX_ANSWER_BYTES = 1048576
MAX_METRICS_BYTES = 8388608
PERCENTILES = (50, 95, 99)
METRIC_LINE = re.compile(r'^(ivystep_\w+)(?:\{[^}]*\})? (\S+)$', re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Requests to send.

    Attributes:
        url: Base URL of an entry.
        key: Bearer key of an application.
        models: Names of adapters, called in rotation.
        requests: Number of requests.
        concurrency: Number of requests in flight.
        max_tokens: Limit of generated tokens for each request.
        timeout_s: Time-out of one request in seconds.
    """

    url: str
    key: str
    models: tuple[str, ...]
    requests: int
    concurrency: int
    max_tokens: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Result of one request.

    Attributes:
        outcome: ``ok``, the error code of the answer, or the name of the
            client's exception.
        duration_s: Time in seconds until the answer was complete.
    """

    outcome: str
    duration_s: float


def run(workload: Workload) -> list[Sample]:
    """Send all requests and return their results in order."""
    pool = bounded_answers.pool_manager(
        MAX_ANSWER_BYTES,
        maxsize=workload.concurrency,
        retries=False,
        timeout=workload.timeout_s,
    )
    workers = eventlet.GreenPool(workload.concurrency)
    models = itertools.islice(
        itertools.cycle(workload.models), workload.requests
    )
    return list(
        workers.imap(lambda model: _call(pool, workload, model), models)
    )


def read_metric_totals(
    operators_url: str, timeout_s: float
) -> dict[str, float]:
    """Return the sum of each metric of an entry over its labels.

    Args:
        operators_url: Base URL of the operators' address.
        timeout_s: Time-out in seconds.

    Returns:
        Totals by metric name; empty if the metrics cannot be read.
    """
    pool = bounded_answers.pool_manager(
        MAX_METRICS_BYTES, retries=False, timeout=timeout_s
    )
    try:
        answer = pool.request(
            'GET', f'{operators_url}/metrics', preload_content=False
        )
        text = answer.read(MAX_METRICS_BYTES).decode(errors='replace')
    except urllib3.exceptions.HTTPError:
        return {}
    total_by_name: dict[str, float] = collections.defaultdict(float)
    for name, number in METRIC_LINE.findall(text):
        total_by_name[name] += float(number)
    return dict(total_by_name)


def format_report(
    samples: Iterable[Sample],
    duration_s: float,
    before: dict[str, float],
    after: dict[str, float],
) -> str:
    """Return the report of a run as text.

    Args:
        samples: Results of all requests.
        duration_s: Duration of the run in seconds.
        before: Metric totals before the run.
        after: Metric totals after the run.
    """
    samples = list(samples)
    counts = collections.Counter(sample.outcome for sample in samples)
    durations = sorted(
        sample.duration_s for sample in samples if sample.outcome == 'ok'
    )
    lines = [f'requests: {len(samples)} in {duration_s:.1f} s']
    lines.extend(f'  {name}: {count}' for name, count in counts.most_common())
    if durations:
        shown = ', '.join(
            f'p{level} {percentile(durations, level) * units.MS_PER_S:.0f} ms'
            for level in PERCENTILES
        )
        lines.append(f'latency: {shown}')
    for title, name in (
        ('mean load stall (s)', 'ivystep_load_stall_seconds'),
        ('mean batch efficiency', 'ivystep_batch_fill_ratio'),
    ):
        lines.append(f'{title}: {_mean(name, before, after)}')
    return '\n'.join((*lines, ''))


def percentile(ordered: list[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method.

    Args:
        ordered: Values in ascending order, at least one.
        percent: Percentile, from 0 to 100.
    """
    rank = math.ceil(len(ordered) * percent / 100)
    return ordered[max(rank, 1) - 1]


def _call(pool: urllib3.PoolManager, workload: Workload, model: str) -> Sample:
    started_at = clock.now()
    document = {
        'model': model,
        'prompt': 'load',
        'max_tokens': workload.max_tokens,
    }
    try:
        answer = pool.request(
            'POST',
            f'{workload.url}/v1/completions',
            json=document,
            headers={'Authorization': f'Bearer {workload.key}'},
            preload_content=False,
        )
        body = answer.read(MAX_ANSWER_BYTES)
        answer.release_conn()
    except urllib3.exceptions.HTTPError as error:
        return Sample(type(error).__name__, clock.now() - started_at)
    outcome = 'ok' if answer.status == 200 else _error_code(answer.status, body)
    return Sample(outcome, clock.now() - started_at)


def _error_code(status: int, body: bytes) -> str:
    try:
        return str(json.loads(body)['error']['code'])
    except (ValueError, KeyError, TypeError):
        return f'status {status}'


def _mean(name: str, before: dict[str, float], after: dict[str, float]) -> str:
    count = _increase(f'{name}_count', before, after)
    if not count:
        return 'not reported'
    return f'{_increase(f"{name}_sum", before, after) / count:.3f}'


def _increase(
    name: str, before: dict[str, float], after: dict[str, float]
) -> float:
    return after.get(name, 0) - before.get(name, 0)
