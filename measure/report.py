"""Measures all pools, prints the tables and writes the plot.

Run with ``make measure`` or ``python -m measure.report``.
"""

import dataclasses
import itertools
import multiprocessing
import pathlib
import sys

import matplotlib
from matplotlib import figure

from measure import bench, bound, cost, profiles, summary

WORKERS = 4
RATES = (0.5, 1.0, 2.0, 4.0)
DEADLINES_S = (10.0, 30.0)
POOLS = ('policy', 'affinity', 'random', 'least-loaded')
PROFILES = (profiles.AUTHORITY, profiles.VAN_HOUTTE)
EVENTS = (
    'steady',
    'shift',
    'scan',
    'flood',
    'restart',
    'failing',
    'slow',
    'lagging',
)
SETTLE_LOADS = 30
SATURATION_RATES = (0.9, 0.95, 1.0, 1.05)
PLOT = pathlib.Path(__file__).parent.parent / 'docs' / 'policy.svg'
HEADER = (
    '| profile | rate | deadline | event | pool | mean | p50 | p95 | p99 | max '
    '| batch | in time | refused | held | late | failed | lost | dup | loads '
    '| worst decile |'
)
BOUND_HEADER = (
    '| profile | rate | deadline | clairvoyant bound in time | reference '
    'in time | reference mean | reference p99 |'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One run to measure.

    Attributes:
        excludes_scanner: Whether to leave out the account that scans or floods.
    """

    scenario: profiles.Scenario
    pool: str
    excludes_scanner: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """A job with its results."""

    job: Job
    figures: summary.Summary


@dataclasses.dataclass(frozen=True, slots=True)
class Bounded:
    """Bounds of a scenario."""

    scenario: profiles.Scenario
    in_time: float
    reference: bound.Reference


def measure(job: Job) -> Measured:
    """Run one job."""
    scenario = job.scenario
    since_s = 0.0
    if scenario.event == 'shift':
        settle_s = SETTLE_LOADS / scenario.profile.loads_per_s
        since_s = scenario.event_at_s + settle_s
    run = bench.run(scenario, job.pool)
    return Measured(
        job,
        summary.summarize(
            scenario,
            run,
            excludes_scanner=job.excludes_scanner,
            since_s=since_s,
        ),
    )


def bounds(scenario: profiles.Scenario) -> Bounded:
    """Compute the bounds of a scenario."""
    return Bounded(
        scenario, bound.share_in_time(scenario), bound.reference(scenario)
    )


def grid() -> list[Job]:
    """Return the steady runs of all pools, longest first."""
    return [
        Job(profiles.Scenario(profile, rate, deadline_s), pool)
        for rate, profile, deadline_s, pool in itertools.product(
            sorted(RATES, reverse=True), PROFILES, DEADLINES_S, POOLS
        )
    ]


def events() -> list[Job]:
    """Return the runs with events, at 0.5 and 1.0 times saturation."""
    return [
        Job(
            profiles.Scenario(profiles.AUTHORITY, rate, 30.0, event),
            pool,
            excludes_scanner=True,
        )
        for rate, event, pool in itertools.product(
            (0.5, 1.0), EVENTS, ('policy', 'affinity')
        )
    ]


def row(measured: Measured) -> str:
    """Return one line of the table."""
    scenario = measured.job.scenario
    figures = measured.figures
    cells = [
        scenario.profile.name,
        f'{scenario.rate:g}',
        f'{scenario.deadline_s:g} s',
        scenario.event,
        measured.job.pool,
        *(
            f'{value:.2f}'
            for value in (
                figures.stall_mean,
                figures.stall_p50,
                figures.stall_p95,
                figures.stall_p99,
                figures.stall_max,
            )
        ),
        *(
            f'{value:.3f}'
            for value in (
                figures.efficiency,
                figures.in_time,
                figures.refused,
                figures.held,
                figures.late,
                figures.failed,
            )
        ),
        str(figures.lost),
        str(figures.duplicated),
        f'{figures.loads:.2f}',
        f'{figures.worst_decile:.2f}',
    ]
    return f'| {" | ".join(cells)} |'


def bound_row(bounded: Bounded) -> str:
    """Return one line of the table of bounds."""
    scenario = bounded.scenario
    reference = bounded.reference
    cells = (
        scenario.profile.name,
        f'{scenario.rate:g}',
        f'{scenario.deadline_s:g} s',
        f'{bounded.in_time:.3f}',
        f'{reference.in_time:.3f}',
        f'{reference.mean:.2f}',
        f'{reference.p99:.2f}',
    )
    return f'| {" | ".join(cells)} |'


def _order(measured: Measured) -> tuple[str, str, float, float, int]:
    scenario = measured.job.scenario
    return (
        scenario.profile.name,
        scenario.event,
        scenario.deadline_s,
        scenario.rate,
        POOLS.index(measured.job.pool),
    )


def _print_table(title: str, header: str, rows: list[str]) -> None:
    rule = '|---' * (header.count('|') - 1)
    print(f'\n{title}\n\n{header}\n{rule}|')
    print('\n'.join(rows), flush=True)


def plot(found: list[Measured], limits: list[Bounded]) -> None:
    """Write the share answered in time against the rate.

    Args:
        found: Steady runs.
        limits: Bounds of the same scenarios.
    """
    # Without a fixed salt, the ids in the file differ between runs.
    matplotlib.rcParams['svg.hashsalt'] = 'ivystep'
    drawing = figure.Figure(figsize=(9, 7))
    axes = drawing.subplots(2, 2, sharex=True)
    for (line, profile), (column, deadline_s) in itertools.product(
        enumerate(PROFILES), enumerate(DEADLINES_S)
    ):
        axis = axes[line][column]
        axis.set_title(f'{profile.name}, {deadline_s:g} s deadline')
        axis.set_xscale('log', base=2)
        axis.set_ylabel('answered in time')
        for pool in POOLS:
            points = sorted(
                (one.job.scenario.rate, one.figures.in_time)
                for one in found
                if one.job.pool == pool
                and one.job.scenario.profile == profile
                and one.job.scenario.deadline_s == deadline_s
            )
            axis.plot(*zip(*points, strict=True), marker='o', label=pool)
        points = sorted(
            (one.scenario.rate, one.in_time)
            for one in limits
            if one.scenario.profile == profile
            and one.scenario.deadline_s == deadline_s
        )
        axis.plot(*zip(*points, strict=True), 'k--', label='bound')
    axes[1][0].set_xlabel('rate over saturation rate')
    axes[0][0].legend()
    drawing.tight_layout()
    drawing.savefig(PLOT, metadata={'Date': None})


def saturation() -> None:
    """Print the results of the affinity pool around the saturation rate."""
    jobs = [
        Job(profiles.Scenario(profile, rate, 30.0), 'affinity')
        for profile in PROFILES
        for rate in SATURATION_RATES
    ]
    with multiprocessing.Pool(WORKERS) as workers:
        found = workers.map(measure, jobs, chunksize=1)
    _print_table('Saturation', HEADER, [row(one) for one in found])


def main() -> None:
    """Run all measurements."""
    jobs = [*grid(), *events()]
    scenarios = list(
        dict.fromkeys(job.scenario for job in grid() if job.pool == 'policy')
    )
    with multiprocessing.Pool(WORKERS, maxtasksperchild=4) as workers:
        found = workers.map(measure, jobs, chunksize=1)
        limits = workers.map(bounds, scenarios, chunksize=1)
    steady = found[: len(grid())]
    _print_table(
        'Steady Zipf; times in seconds',
        HEADER,
        [row(one) for one in sorted(steady, key=_order)],
    )
    limits.sort(
        key=lambda one: (
            one.scenario.profile.name,
            one.scenario.deadline_s,
            one.scenario.rate,
        )
    )
    _print_table(
        'Clairvoyant bound, and an ideal pool without knowledge of the future',
        BOUND_HEADER,
        [bound_row(one) for one in limits],
    )
    _print_table(
        'Events, without the account that scans or floods',
        HEADER,
        [row(one) for one in found[len(grid()) :]],
    )
    print(cost.table())
    plot(steady, limits)


if __name__ == '__main__':
    if '--saturation' in sys.argv:
        saturation()
    else:
        main()
