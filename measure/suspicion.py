"""Compares failure detection rules (``python -m measure.suspicion``).

All rules process the same traces. Reported are the time from a sidecar's
death until it is suspected, the attempts sent to it in that time, and how
often and how long a live sidecar was suspected.
"""

import dataclasses
import statistics
import typing
from collections.abc import Callable, Iterator

from measure import suspicion_rules as rules
from measure import suspicion_traces as traces

SEEDS = range(20)
STEP_S = 0.02
HOURS = len(SEEDS) * traces.ALIVE_S / 3600
RULES: tuple[Callable[[], typing.Any], ...] = (
    lambda: rules.FixedTimeout(2.0),
    lambda: rules.FixedTimeout(2.5),
    lambda: rules.FixedTimeout(3.0),
    lambda: rules.FixedTimeout(5.0),
    lambda: rules.AttemptEvidence(1),
    lambda: rules.AttemptEvidence(2),
    lambda: rules.Accrual(8, 0),
    lambda: rules.Accrual(8, 1.0),
    lambda: rules.Accrual(16, 1.0),
    lambda: rules.Accrual(32, 1.0),
)


@dataclasses.dataclass(slots=True)
class Score:
    """Results of one rule on the traces of one profile."""

    detections_s: list[float] = dataclasses.field(default_factory=list)
    attempts_into_death: int = 0
    wrong: int = 0
    wrong_s: float = 0.0


def events(trace: traces.Trace) -> Iterator[tuple[float, str]]:
    """Yield heartbeats and timed-out attempts in order of time."""
    found = [(time, 'heartbeat') for time in trace.heartbeats]
    found += [
        (start + traces.ACCEPT_TIMEOUT_S, 'attempt_timed_out')
        for start, accepted in trace.attempts
        if accepted - start > traces.ACCEPT_TIMEOUT_S
    ]
    yield from sorted(found)


def replay(rule: typing.Any, trace: traces.Trace, score: Score) -> None:
    """Run one rule over one trace."""
    last = 0.0
    for time, kind in events(trace):
        if time >= trace.died:
            break
        # Between events, suspicion never decreases, so it is highest just
        # before the next event.
        if rule.is_suspected(time):
            score.wrong += 1
            score.wrong_s += time - first_suspected(rule, last, time)
        getattr(rule, kind)(time)
        last = time
    detected = _detection(rule, trace)
    score.detections_s.append(detected - trace.died)
    score.attempts_into_death += sum(
        trace.died <= start < detected for start, _ in trace.attempts
    )


def first_suspected(rule: typing.Any, start: float, end: float) -> float:
    """Return when a rule began to suspect, accurate to ``STEP_S``."""
    while end - start > STEP_S:
        middle = (start + end) / 2
        if rule.is_suspected(middle):
            end = middle
        else:
            start = middle
    return end


def _detection(rule: typing.Any, trace: traces.Trace) -> float:
    """Return when the death is suspected, at the latest the trace's end."""
    start = trace.died
    end = trace.died + traces.AFTER_DEATH_S
    late = [event for event in events(trace) if event[0] >= trace.died]
    for time, kind in late:
        if rule.is_suspected(time):
            return first_suspected(rule, start, time)
        getattr(rule, kind)(time)
        start = time
    return first_suspected(rule, start, end)


def row(name: str, score: Score) -> str:
    """Return one line of the table."""
    ordered = sorted(score.detections_s)
    return (
        f'| {name} | {statistics.fmean(ordered):.2f} | {ordered[-1]:.2f} '
        f'| {score.attempts_into_death / len(ordered):.2f} '
        f'| {score.wrong / HOURS:.2f} | {score.wrong_s / HOURS:.1f} |'
    )


def main() -> None:
    """Print one table for each profile."""
    for profile in traces.PROFILES:
        profile_traces = [traces.generate(profile, seed) for seed in SEEDS]
        print(f'\n### {profile.name}\n')
        print(
            '| rule | detection mean s | max s | attempts into the death '
            '| wrong suspicions per hour | wrongly suspected s per hour |'
        )
        print('|---|---|---|---|---|---|')
        for build in RULES:
            score = Score()
            for trace in profile_traces:
                replay(build(), trace, score)
            print(row(build().name, score))


if __name__ == '__main__':
    main()
