"""An upper bound on the share of requests that any pool can answer in time.

The bound sees all arrivals in advance. Every pool obeys two limits: the loads
that the weight store allows, and the slot time of all engines. Each load also
takes a slot for its duration, and a slot serves a request only if the adapter
is resident at some time between its arrival and the last moment at which the
shortest answer could still meet the deadline. All other limits (batch size,
steps, delays, one load at a time) are dropped, which can only raise the bound.

Lagrange multipliers turn the two limits into a price for a load and a price
for a second of slot time. With prices, adapters no longer compete, so the best
schedule of each adapter is found separately by dynamic programming over its
arrivals. By weak duality, the sum of their values plus the price of the limits
is at least the optimum for any non-negative prices; the search over prices
only makes the bound tighter.
"""

import collections
import dataclasses
import functools
from collections.abc import Callable

from measure import profiles

SEARCH_STEPS = 14
MAX_LOAD_PRICE = 1.5
MAX_SLOT_PRICE = 0.1
GOLDEN = 0.618


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Arrivals and limits known to a clairvoyant pool.

    Attributes:
        times_by_rank: Arrival times in seconds by adapter, in order.
        loads: Number of loads allowed.
        slot_s: Slot time of all engines in seconds.
        window_s: Longest time that a request may wait for its adapter.
        load_s: Slot time that each load takes before the adapter can serve.
        service_s: Duration of the shortest answer.
    """

    times_by_rank: dict[int, list[float]]
    loads: float
    slot_s: float
    window_s: float
    load_s: float
    service_s: float

    @classmethod
    def from_scenario(cls, scenario: profiles.Scenario) -> 'Problem':
        """Collect the counted arrivals and the limits of a run.

        Args:
            scenario: The run.
        """
        profile = scenario.profile
        times_by_rank = collections.defaultdict(list)
        for arrival in profiles.arrivals(scenario):
            if arrival.at >= scenario.warm_up_s:
                times_by_rank[arrival.rank].append(arrival.at)
        step_s = profile.step_s + profile.step_per_request_s
        service_s = profile.mean_tokens // 2 * step_s
        slots = profile.upstreams * profile.slots
        duration_s = scenario.counted_s + scenario.deadline_s
        return cls(
            times_by_rank=dict(times_by_rank),
            # Adapters resident when counting starts were loaded earlier.
            loads=profile.loads_per_s * duration_s + slots,
            slot_s=slots * duration_s,
            window_s=scenario.deadline_s - service_s,
            load_s=1 / profile.loads_per_s,
            service_s=service_s,
        )


def share_in_time(scenario: profiles.Scenario) -> float:
    """Return an upper bound on the share answered within the deadline.

    Args:
        scenario: The run.
    """
    problem = Problem.from_scenario(scenario)
    total = sum(len(times) for times in problem.times_by_rank.values())
    best = _minimum(
        functools.partial(_best_slot_price, problem), MAX_LOAD_PRICE
    )
    return min(best / total, 1.0)


def _best_slot_price(problem: Problem, load_price: float) -> float:
    return _minimum(
        functools.partial(dual, problem, load_price), MAX_SLOT_PRICE
    )


def dual(problem: Problem, load_price: float, slot_price: float) -> float:
    """Return the bound on answered requests for given prices.

    Args:
        problem: Arrivals and limits.
        load_price: Price of one load, in requests.
        slot_price: Price of one second of slot time, in requests.
    """
    load_cost = load_price + slot_price * (problem.load_s + problem.service_s)
    gain = sum(
        _best_value(times, problem.window_s, load_cost, slot_price)
        for times in problem.times_by_rank.values()
    )
    return gain + load_price * problem.loads + slot_price * problem.slot_s


def _best_value(
    times: list[float], window_s: float, load_cost: float, slot_price: float
) -> float:
    """Return the best value of one adapter's schedule.

    ``absent`` holds the best values with the adapter not resident after each
    arrival. ``held`` is the best with it resident since before the arrival,
    ``fresh`` with it loaded just for the requests that wait; that load may
    have been up to ``window_s`` later than the arrival.
    """
    absent = [0.0]
    held = fresh = float('-inf')
    first = 0
    previous = times[0]
    for index, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        gap = at - previous
        held = 1 + max(
            held - slot_price * gap,
            fresh - slot_price * max(gap - window_s, 0),
        )
        fresh = absent[first] + (index - first + 1) - load_cost
        absent.append(max(absent[-1], held, fresh))
        previous = at
    return absent[-1]


def _minimum(function: Callable[[float], float], upper: float) -> float:
    """Return the least value found of a convex function on [0, upper]."""
    low, high = 0.0, upper
    left, right = high - GOLDEN * high, GOLDEN * high
    at_left, at_right = function(left), function(right)
    least = min(at_left, at_right, function(0.0))
    for _ in range(SEARCH_STEPS):
        if at_left < at_right:
            high, right, at_right = right, left, at_left
            left = high - GOLDEN * (high - low)
            at_left = function(left)
        else:
            low, left, at_left = left, right, at_right
            right = low + GOLDEN * (high - low)
            at_right = function(right)
        least = min(least, at_left, at_right)
    return least


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """Results of an ideal pool that does not know the future.

    Attributes:
        mean: Mean load stall of the requests that are not refused, in seconds.
        p99: 99th percentile of that load stall.
        in_time: Share answered within the deadline.
    """

    mean: float
    p99: float
    in_time: float


def reference(scenario: profiles.Scenario) -> Reference:
    """Simulate an ideal pool that always holds the most popular adapters.

    Without knowledge of the future, no choice of resident adapters misses
    less often than the most popular ones, and each miss waits for at least
    its own load. Loads run one at a time in order of arrival; a loaded adapter
    serves the requests that wait for it and is then evicted. A request whose
    load cannot end in time is refused immediately. Loads take no slot,
    messages take no time, and popularity is known from the start.

    Args:
        scenario: The run.
    """
    profile = scenario.profile
    window_s = Problem.from_scenario(scenario).window_s
    slots = profile.upstreams * profile.slots
    ready_by_rank: dict[int, float] = {}
    free_at = 0.0
    waits = []
    counted = 0
    for arrival in profiles.arrivals(scenario):
        ready = ready_by_rank.get(arrival.rank, 0.0)
        if arrival.rank < slots:
            ready = arrival.at
        elif ready <= arrival.at:
            ready = max(free_at, arrival.at) + 1 / profile.loads_per_s
        is_counted = arrival.at >= scenario.warm_up_s
        counted += is_counted
        if ready - arrival.at > window_s:
            continue
        if arrival.rank >= slots:
            free_at = max(free_at, ready)
            ready_by_rank[arrival.rank] = ready
        if is_counted:
            waits.append(ready - arrival.at)
    waits.sort()
    return Reference(
        sum(waits) / len(waits),
        waits[int(0.99 * len(waits))],
        len(waits) / counted,
    )
