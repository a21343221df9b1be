"""Load profiles of the two users, and the arrivals of a run.

The arrivals of a run depend only on its ``Scenario``, so all pools are
measured with the same requests.
"""

import bisect
import dataclasses
import itertools
import random

from ivystep.core import types

ACCOUNTS = 30
ADAPTERS = 3000
FLOOD_FACTOR = 10
SCAN_PER_S = 4.0
SCANNING_ACCOUNT = 'account-1'
HOT_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """The pool of one user.

    Attributes:
        loads_per_s: Rate of the weight store.
        saturation_per_s: Request rate at which the best baseline uses all
            loads, according to ``python -m measure.report --saturation``.
        mean_tokens: Mean length of an answer.
        step_s: Duration of an engine step with an empty batch.
        step_per_request_s: Added duration for each request in the batch.
        delay_s: One-way delay between hosts.
    """

    name: str
    upstreams: int
    slots: int
    max_running: int
    loads_per_s: float
    saturation_per_s: float
    mean_tokens: int
    batching_weight: float
    delay_s: float
    step_s: float = 0.025
    step_per_request_s: float = 0.0004


AUTHORITY = Profile(
    'Authority', 5, 8, 16, 2.0, 3.15, 40, batching_weight=0.2, delay_s=0.0005
)
VAN_HOUTTE = Profile(
    'Van Houtte', 9, 8, 16, 4.0, 7.35, 100, batching_weight=0.6, delay_s=0.001
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One run.

    Attributes:
        rate: Multiple of the profile's saturation rate.
        event: Event at ``event_at_s``: ``steady`` (none), ``shift``,
            ``scan``, ``flood``, ``restart``, ``failing``, ``slow`` or
            ``lagging``.
        warm_up_s: Time before requests are counted.
    """

    profile: Profile
    rate: float
    deadline_s: float
    event: str = 'steady'
    seed: int = 7
    warm_up_s: float = 300.0
    counted_s: float = 600.0

    @property
    def until(self) -> float:
        """Time of the last arrival."""
        return self.warm_up_s + self.counted_s

    @property
    def event_at_s(self) -> float:
        """Time at which the scenario's event happens."""
        return self.warm_up_s


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a run.

    Attributes:
        rank: Popularity rank of its adapter, 0 for the most popular.
        is_extra: Whether a scan or a flood added the request.
    """

    at: float
    rank: int
    tokens: int
    is_extra: bool = False


def adapter_ref(rank: int) -> types.AdapterRef:
    """Return the adapter of a rank; ranks are spread over the accounts."""
    account = (rank * 7) % ACCOUNTS
    return types.AdapterRef(f'account-{account}', f'adapter-{rank}', 1)


def arrivals(scenario: Scenario) -> list[Arrival]:
    """Return the requests of a run in order of time.

    Args:
        scenario: The run; its seed fixes the result.
    """
    generator = random.Random(scenario.seed)
    rate = scenario.rate * scenario.profile.saturation_per_s
    weights = itertools.accumulate(1 / (rank + 1) for rank in range(ADAPTERS))
    cumulative = list(weights)
    found = []
    at = 0.0
    while at < scenario.until:
        at += generator.expovariate(rate)
        point = generator.random() * cumulative[-1]
        rank = bisect.bisect_left(cumulative, point)
        has_shifted = scenario.event == 'shift' and at >= scenario.event_at_s
        if has_shifted and generator.random() < HOT_SHARE:
            rank = ADAPTERS - 1
        found.append(Arrival(at, rank, _tokens(scenario, generator)))
    found.extend(_extra(scenario, generator))
    return sorted(found, key=lambda arrival: arrival.at)


def _extra(scenario: Scenario, generator: random.Random) -> list[Arrival]:
    """Return the requests that a scan or a flood by one account adds."""
    owned = [
        rank
        for rank in range(ADAPTERS)
        if adapter_ref(rank).account == SCANNING_ACCOUNT
    ]
    share = sum(1 / (rank + 1) for rank in owned)
    total = sum(1 / (rank + 1) for rank in range(ADAPTERS))
    rate = scenario.rate * scenario.profile.saturation_per_s * share / total
    extra_per_s = {'scan': SCAN_PER_S, 'flood': rate * (FLOOD_FACTOR - 1)}
    if scenario.event not in extra_per_s:
        return []
    found = []
    at = scenario.event_at_s
    scan = itertools.cycle(owned[len(owned) // 4 :])
    weights = [1 / (rank + 1) for rank in owned]
    while at < scenario.until:
        at += generator.expovariate(extra_per_s[scenario.event])
        if scenario.event == 'scan':
            rank = next(scan)
        else:
            rank = generator.choices(owned, weights)[0]
        found.append(Arrival(at, rank, _tokens(scenario, generator), True))
    return found


def _tokens(scenario: Scenario, generator: random.Random) -> int:
    mean = scenario.profile.mean_tokens
    return generator.randint(mean // 2, mean + mean // 2)
