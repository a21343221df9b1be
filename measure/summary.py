"""Statistics of one run."""

import collections
import dataclasses
import math

from measure import bench, profiles

DECILES = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of a run; times in seconds, shares of all requests.

    Attributes:
        stall_mean: Mean wait for an upstream on which the adapter is
            resident, over all requests except those refused immediately; the
            percentiles and the maximum are of the same waits.
        efficiency: Mean batch size of the engine steps over ``max_running``.
        in_time: Share answered within the deadline.
        refused: Share refused within 0.25 s of arrival.
        held: Share refused after a longer wait.
        late: Share answered after the deadline.
        failed: Share that ended with another error.
        lost: Requests without any outcome.
        duplicated: Completed runs beyond the first of a request.
        loads: Loads used, as a share of the store's capacity.
        worst_decile: Smallest share answered within the deadline among
            tenths of the adapters, by popularity.
    """

    stall_mean: float
    stall_p50: float
    stall_p95: float
    stall_p99: float
    stall_max: float
    efficiency: float
    in_time: float
    refused: float
    held: float
    late: float
    failed: float
    lost: int
    duplicated: int
    loads: float
    worst_decile: float


def summarize(
    scenario: profiles.Scenario,
    run: bench.Run,
    *,
    excludes_scanner: bool = False,
    since_s: float = 0.0,
) -> Summary:
    """Compute the statistics of a run.

    Args:
        scenario: Scenario of the run.
        run: Results of the run.
        excludes_scanner: Whether to leave out the account that scans or floods.
        since_s: Time of the first arrival that counts.
    """
    outcomes = [
        one
        for one in run.outcomes
        if one.arrival.at >= since_s
        and not (excludes_scanner and _is_scanner(one))
    ]
    kinds = [classify(scenario, outcome) for outcome in outcomes]
    stalls = sorted(
        outcome.waited_s
        for outcome, kind in zip(outcomes, kinds, strict=True)
        if kind != 'refused'
    ) or [0.0]
    total = len(outcomes)
    profile = scenario.profile
    return Summary(
        stall_mean=sum(stalls) / len(stalls),
        stall_p50=percentile(stalls, 0.5),
        stall_p95=percentile(stalls, 0.95),
        stall_p99=percentile(stalls, 0.99),
        stall_max=stalls[-1],
        efficiency=run.request_steps / max(run.steps, 1) / profile.max_running,
        in_time=kinds.count('in_time') / total,
        refused=kinds.count('refused') / total,
        held=kinds.count('held') / total,
        late=kinds.count('late') / total,
        failed=kinds.count('failed') / total,
        lost=kinds.count('lost'),
        duplicated=run.duplicated,
        loads=run.loads / (profile.loads_per_s * scenario.counted_s),
        worst_decile=_worst_decile(outcomes, kinds),
    )


def _is_scanner(outcome: bench.Outcome) -> bool:
    ref = profiles.adapter_ref(outcome.arrival.rank)
    return ref.account == profiles.SCANNING_ACCOUNT


def classify(scenario: profiles.Scenario, outcome: bench.Outcome) -> str:
    """Return the kind of a request's outcome, as named in ``Summary``."""
    if outcome.code == 'lost':
        return 'lost'
    if outcome.code == 'answered':
        deadline = outcome.arrival.at + scenario.deadline_s
        return 'in_time' if outcome.finished <= deadline else 'late'
    if outcome.code not in {'deadline_exceeded', 'overloaded'}:
        return 'failed'
    return (
        'refused' if outcome.waited_s <= bench.IMMEDIATE_REFUSAL_S else 'held'
    )


def percentile(ordered: list[float], share: float) -> float:
    """Return the smallest value that a share of all values do not exceed."""
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)]


def _worst_decile(outcomes: list[bench.Outcome], kinds: list[str]) -> float:
    asked: collections.Counter[int] = collections.Counter()
    answered: collections.Counter[int] = collections.Counter()
    for outcome, kind in zip(outcomes, kinds, strict=True):
        decile = outcome.arrival.rank * DECILES // profiles.ADAPTERS
        asked[decile] += 1
        answered[decile] += kind == 'in_time'
    return min(answered[decile] / asked[decile] for decile in asked)
