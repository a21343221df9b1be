"""Traces of heartbeats and attempts between one entry and one sidecar.

A trace covers one hour of a live sidecar, which then dies. Sidecars report
once a second and on change, so a busy one reports at short intervals.
"""

import dataclasses
import random
from collections.abc import Iterator

ALIVE_S = 3600.0
HEARTBEAT_S = 1.0
COALESCE_S = 0.05
# About 3 requests per second, spread over 3 entries and 9 upstreams.
ATTEMPTS_PER_S = 0.1
ACCEPT_TIMEOUT_S = 1.0
# Traces continue after a death for far longer than any rule takes.
AFTER_DEATH_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """Disturbances of a live sidecar's heartbeats.

    Attributes:
        delay_s: Median delay of a report; the delay is log-normal.
        delay_spread: Standard deviation of the logarithm of the delay.
        loss: Share of reports that never arrive.
        pause_every_s: Mean time between pauses of the process; 0 for none.
        pause_s: Median length of a pause; log-normal with spread 0.7.
        changes_per_s: Rate of reports on change in busy minutes; 0 for none.
    """

    name: str
    delay_s: float = 0.001
    delay_spread: float = 0.3
    loss: float = 0.0
    pause_every_s: float = 0.0
    pause_s: float = 0.8
    changes_per_s: float = 0.0


PROFILES = (
    Profile('quiet'),
    Profile('jitter', delay_s=0.05, delay_spread=1.2),
    Profile('loss', loss=0.02),
    Profile('pauses', pause_every_s=300.0),
    Profile('busy', changes_per_s=5.0),
    Profile(
        'all',
        delay_s=0.05,
        delay_spread=1.2,
        loss=0.02,
        pause_every_s=300.0,
        changes_per_s=5.0,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """The events of one hour and of the time after the sidecar's death.

    Attributes:
        heartbeats: Times at which reports arrive.
        attempts: Start of each attempt and the time at which it was accepted;
            infinity if it was not.
        died: Time of the death.
    """

    heartbeats: tuple[float, ...]
    attempts: tuple[tuple[float, float], ...]
    died: float


def generate(profile: Profile, seed: int) -> Trace:
    """Return the trace of a profile and a seed."""
    source = random.Random(f'{profile.name}-{seed}')
    died = ALIVE_S + source.random() * HEARTBEAT_S
    pauses = tuple(_pauses(profile, source, died))
    arrivals = [
        _after_pause(sent, pauses) + _delay(profile, source)
        for sent in _reports(profile, source, died)
        if source.random() >= profile.loss
    ]
    attempts = tuple(
        (start, _accepted_at(start, pauses, died))
        for start in _poisson(source, ATTEMPTS_PER_S, died + AFTER_DEATH_S)
    )
    return Trace(tuple(sorted(arrivals)), attempts, died)


def _poisson(
    source: random.Random, rate_per_s: float, until: float
) -> Iterator[float]:
    current = source.expovariate(rate_per_s)
    while current < until:
        yield current
        current += source.expovariate(rate_per_s)


def _reports(
    profile: Profile, source: random.Random, died: float
) -> Iterator[float]:
    """Yield the times at which the sidecar sends: on change or each second."""
    changes: list[float] = []
    if profile.changes_per_s:
        # Busy and idle minutes alternate.
        changes = [
            time
            for time in _poisson(source, profile.changes_per_s, died)
            if int(time // 60) % 2
        ]
    current = 0.0
    for change in (*changes, died):
        while current + HEARTBEAT_S < change:
            current += HEARTBEAT_S
            yield current
        if change >= current + COALESCE_S and change < died:
            current = change
            yield current


def _pauses(
    profile: Profile, source: random.Random, died: float
) -> Iterator[tuple[float, float]]:
    if not profile.pause_every_s:
        return
    for start in _poisson(source, 1 / profile.pause_every_s, died):
        length = profile.pause_s * source.lognormvariate(0, 0.7)
        yield start, min(start + length, died)


def _after_pause(time: float, pauses: tuple[tuple[float, float], ...]) -> float:
    for start, end in pauses:
        if start <= time < end:
            return end
    return time


def _accepted_at(
    start: float, pauses: tuple[tuple[float, float], ...], died: float
) -> float:
    return float('inf') if start >= died else _after_pause(start, pauses)


def _delay(profile: Profile, source: random.Random) -> float:
    return profile.delay_s * source.lognormvariate(0, profile.delay_spread)
