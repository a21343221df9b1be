"""Distributes the demand for one service over the data centres.

The leader alone decides, since it hears from all hosts. The demand of each data
centre is distributed so that the expected delay of the last request is equal
wherever requests are sent, the crossing included. A *crossing* is a request
that is sent from one data centre to another.

Demand and capacity are counted in requests in progress. Demand is the arrivals
times the mean time in progress, so where requests are sent does not feed back
into the decision, and old reports cause no oscillation.

Designed for up to 11 data centres and some dozens of services per call.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

# A move is worth making if it gains more than this share of the mean time in
# progress; smaller gains are below what the inputs tell.
TOLERANCE = 0.002
# Least cost of a crossing as a share of the mean time in progress. Without it,
# equal distributions would differ in how many requests cross.
LEAST_CROSSING = 0.01
# Age from which reports of a data centre count as unknown.
MAX_AGE_S = 1.0
# Times that each data centre is asked in one decision. Two suffice unless
# several data centres compete for the capacity of a third; 8 left one example
# in some thousands off by 0.05 of the time in progress.
MAX_ROUNDS = 16
BISECTIONS = 8
# Smaller parts of the demand of a data centre are left out.
LEAST_AMOUNT = 0.001

Flows = dict[str, dict[str, float]]


@dataclasses.dataclass(frozen=True, slots=True)
class CentreLoad:
    """One data centre as the leader knows it, for one service.

    Attributes:
        capacity: Requests that its usable upstreams take at once; 0 if it has
            no usable upstream.
        demand: Requests in progress that the arrivals at its hosts lead to,
            wherever they are sent.
        noise: Relative standard deviation of the demand.
        age_s: Age of the newest report of its hosts, in seconds.
    """

    capacity: float
    demand: float
    noise: float = 0.0
    age_s: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether the reports are new enough to send more requests there."""
        return self.age_s <= MAX_AGE_S


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The demand for one service and what can take it.

    Attributes:
        run_s: Mean time in progress of a request, in seconds.
        target_latency_s: Time within which an answer has its full value.
        crossing_s: Delay of a crossing by source and destination, in seconds,
            including the price.
    """

    run_s: float
    centre_by_name: Mapping[str, CentreLoad]
    crossing_s: Mapping[tuple[str, str], float]
    target_latency_s: float = math.inf

    def crossing_of(self, source: str, destination: str) -> float:
        """Return the delay of a crossing; 0 within a data centre."""
        if source == destination:
            return 0.0
        known_s = self.crossing_s.get((source, destination), 0.0)
        return max(known_s, LEAST_CROSSING * self.run_s)

    def fill_alone(self, name: str) -> float:
        """Return the fill of a data centre if nothing crossed."""
        centre = self.centre_by_name[name]
        if centre.capacity <= 0:
            return math.inf
        return centre.demand / centre.capacity

    def delay_s(self, name: str, demand: float) -> float:
        """Return the expected delay of the last of some requests.

        A request waits with a probability that grows with the fill of the
        batches, for a time that grows with it as well.

        Args:
            name: The data centre.
            demand: Requests in progress there.
        """
        capacity = self.centre_by_name[name].capacity
        if capacity <= 0:
            return math.inf
        fill = demand / capacity
        return self.run_s * fill * fill


@dataclasses.dataclass(slots=True)
class _Destination:
    """A data centre to which a source may send.

    Attributes:
        crossing: Delay of the crossing in times of the mean time in progress.
        sent: Requests in progress that the source sends there.
    """

    name: str
    capacity: float
    crossing: float
    sent: float = 0.0

    def cost(self, total: float) -> float:
        """Return the delay of the last request, as ``crossing`` is given."""
        fill = total / self.capacity
        return fill * fill + self.crossing


class _Distribution:
    """A distribution of the demand that is improved source by source."""

    def __init__(self, load: ServiceLoad) -> None:
        self._demand_by_source: dict[str, float] = {}
        self._options_by_source: dict[str, list[_Destination]] = {}
        self._total = dict.fromkeys(load.centre_by_name, 0.0)
        for source, centre in load.centre_by_name.items():
            options = [
                _Destination(
                    name,
                    load.centre_by_name[name].capacity,
                    load.crossing_of(source, name) / load.run_s,
                )
                for name in _destinations(load, source)
            ]
            if options and centre.demand > 0:
                options[0].sent = centre.demand
                self._total[options[0].name] += centre.demand
                self._options_by_source[source] = options
                self._demand_by_source[source] = centre.demand

    @property
    def sources(self) -> Iterable[str]:
        """Data centres that have demand."""
        return self._demand_by_source.keys()

    @property
    def flows(self) -> Flows:
        """Requests in progress by source and destination."""
        return {
            source: {one.name: one.sent for one in options if one.sent}
            for source, options in self._options_by_source.items()
        }

    def improve(self, source: str) -> bool:
        """Distribute the demand of one source anew, the others being fixed.

        Returns:
            Whether this gains anything.
        """
        options = self._options_by_source[source]
        costs = [one.cost(self._total[one.name]) for one in options]
        worst = max(
            cost for one, cost in zip(options, costs, strict=True) if one.sent
        )
        if worst - min(costs) <= TOLERANCE:
            return False
        demand = self._demand_by_source[source]
        bases = [self._total[one.name] - one.sent for one in options]
        amounts = [
            amount if amount > LEAST_AMOUNT * demand else 0.0
            for amount in _fill_up(options, bases, demand)
        ]
        scale = demand / sum(amounts)
        for one, base, amount in zip(options, bases, amounts, strict=True):
            one.sent = amount * scale
            self._total[one.name] = base + one.sent
        return True


def _fill_up(
    options: list[_Destination], bases: list[float], demand: float
) -> list[float]:
    """Return what each destination gets at the cost at which all is taken.

    Args:
        options: The destinations.
        bases: What the other sources send to each of them.
        demand: What is to be sent.
    """
    pairs = list(zip(options, bases, strict=True))
    low = min(one.cost(base) for one, base in pairs)
    high = min(one.cost(base + demand) for one, base in pairs)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if sum(_room(one, base, middle) for one, base in pairs) < demand:
            low = middle
        else:
            high = middle
    # A destination of large capacity takes much within the last interval.
    sure = [_room(one, base, low) for one, base in pairs]
    most = [_room(one, base, high) for one, base in pairs]
    span = sum(most) - sum(sure)
    weight = (demand - sum(sure)) / span if span > 0 else 0.0
    return [
        least + weight * (largest - least)
        for least, largest in zip(sure, most, strict=True)
    ]


def _room(one: _Destination, base: float, cost: float) -> float:
    """Return what raises the cost of a destination to a level."""
    if cost <= one.crossing:
        return 0.0
    return max(one.capacity * math.sqrt(cost - one.crossing) - base, 0.0)


def distribute(load: ServiceLoad) -> Flows:
    """Return the demand that each data centre sends to each other one.

    Args:
        load: The demand and what can take it.

    Returns:
        Requests in progress by source and destination, without sources that
        have no demand; empty if no data centre has capacity.
    """
    made = _Distribution(load)
    # The others must make room for those that send most.
    active = sorted(made.sources, key=load.fill_alone, reverse=True)
    for _ in range(MAX_ROUNDS):
        # Each source is asked in turn, also after another one has gained.
        if not sum(made.improve(source) for source in active):
            break
    return made.flows


def _destinations(load: ServiceLoad, source: str) -> list[str]:
    """Return where requests of a source may be sent, the nearest first.

    A crossing that alone takes the target latency gains nothing, and a data
    centre that is unknown only seems idle. Both are used if there is no other
    capacity.
    """
    nearest = sorted(
        (
            name
            for name, centre in load.centre_by_name.items()
            if centre.capacity > 0
        ),
        key=lambda name: (
            name != source,
            not load.centre_by_name[name].is_known,
            load.crossing_of(source, name),
            name,
        ),
    )
    return nearest[:1] + [
        name
        for name in nearest[1:]
        if load.crossing_of(source, name) < load.target_latency_s
        and load.centre_by_name[name].is_known
    ]
